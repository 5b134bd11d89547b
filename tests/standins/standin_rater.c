/**
 * @file standin_rater.c
 * Stand-in for the rating service. The score of an answer is N of the text "quality:N", which the
 * engine stand-in writes in its answers, or 0 without such a text.
 *
 * Faults: outage (503), slow (n ms), malformed (a response without a score).
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/standin.h"

#define SCORE_PREFIX "quality:"
#define MAX_SCORE_PERMILLE 1000

struct rater {
	uint64_t rated;
	struct json_object *by_version;
};

static const char *const fault_kinds[] = { "outage", "slow", "malformed", NULL };

static uint64_t parse_score(const char *answer)
{
	const char *prefix = strstr(answer, SCORE_PREFIX);
	uint64_t score = prefix ? strtoull(prefix + strlen(SCORE_PREFIX), NULL, 10) : 0;

	return score < MAX_SCORE_PERMILLE ? score : MAX_SCORE_PERMILLE;
}

static void rate(struct standin_request *request)
{
	struct rater *rater = request->standin->data;
	struct json_object *body = json_object_new_object();

	rater->rated++;
	json_increment(rater->by_version, json_text(request->body, "version", ""), 1);
	json_set_u64(body, "score_permille", parse_score(json_text(request->body, "answer", "")));
	standin_answer(request, 200, body);
}

static void on_request(struct standin_request *request)
{
	struct fault_set *faults = &request->standin->faults;
	struct json_object *body;
	const struct fault *slow;

	if (strcmp(request->path, "/rate") != 0 || !json_text(request->body, "answer", NULL)) {
		standin_answer_error(request, 400, "not a rating request");
		return;
	}
	if (fault_set_consume(faults, "outage", request->path)) {
		/* Includes a score, to check that clients ignore it in a failed response. */
		body = json_object_new_object();
		json_set_u64(body, "score_permille", MAX_SCORE_PERMILLE);
		standin_answer(request, 503, body);
		return;
	}
	if (fault_set_consume(faults, "malformed", request->path)) {
		standin_answer(request, 200, json_object_new_object());
		return;
	}
	slow = fault_set_consume(faults, "slow", request->path);
	if (slow)
		standin_delay(request, slow->n * DW_US_PER_MS, rate);
	else
		rate(request);
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct rater *rater = standin->data;

	json_set_u64(stats, "rated", rater->rated);
	json_object_object_add(stats, "by_version", json_object_get(rater->by_version));
}

int main(int argc, char **argv)
{
	static struct rater rater;
	struct standin standin = {
		.name = "standin_rater",
		.purpose = "a service that rates answers",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_stats = on_stats,
		.data = &rater,
	};
	struct standin_common common;
	int rc;

	standin_common_init(&common);
	void *table[] = { common.help, common.version, common.ip, common.port, common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	rater.by_version = json_object_new_object();
	return standin_run(&standin, &common);
}
