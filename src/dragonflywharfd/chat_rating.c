/* Rates answers: decides which ones a cascade releases and counts each version's outcomes. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "dragonflywharfd/chat_request_state.h"
#include "dragonflywharfd/peer_bus.h"
#include "port/rater.h"

#define RATING_TIMEOUT_US (2 * DW_US_PER_S)
#define PERMILLE 1000
/** Weight of each rating's time in the moving average: 1 / 2^3. */
#define RATING_TIME_SHIFT 3

struct rating {
	struct daemon *daemon;
	struct chat_request *request; /* NULL for a background rating */
	struct chat_step step;
	uint64_t organisation_id;
	uint64_t work_class;
	uint64_t started_us;
	uint32_t quality_target_permille;
	bool requested_model; /* a rating of the requested model, not of a cheaper step */
	void (*done)(struct chat_request *request, bool release);
};

static uint64_t hash_name(const char *name, uint64_t seed)
{
	return XXH64(name, strlen(name), seed);
}

void chat_rating_count_outcome(struct daemon *daemon, const char *model, const char *version,
			       enum dw_rollout_outcome outcome)
{
	uint64_t version_id = hash_name(version, hash_name(model, 0));
	struct dw_rollout_totals totals;
	bool watched = dw_rollout_is_watched(daemon->rollout, version_id);
	bool held = false;

	dw_rollout_count_answer(daemon->rollout, version_id, outcome, &held);
	if (!watched && dw_rollout_is_watched(daemon->rollout, version_id))
		dw_log_event(&daemon->log, DW_EVENT_VERSION_WATCHED, DW_STR("model", model),
			     DW_STR("version", version));
	/* Sent to the peers at once, as they keep serving the version until they know of it. */
	if (outcome != DW_ROLLOUT_GOOD)
		peer_bus_flush(daemon);
	if (!held)
		return;
	dw_rollout_get_totals(daemon->rollout, version_id, &totals);
	dw_log_event(&daemon->log, DW_EVENT_VERSION_HELD, DW_STR("model", model),
		     DW_STR("version", version), DW_INT("answers", totals.answers),
		     DW_INT("bad", totals.bad), DW_INT("errors", totals.errors));
}

void chat_rating_add_content(struct chat_request *request, const char *text, size_t len)
{
	if (request->content_len + len > CHAT_RATED_MAX_BYTES)
		return;
	request->content = realloc(request->content, request->content_len + len + 1);
	if (!request->content)
		abort();
	memcpy(request->content + request->content_len, text, len);
	request->content_len += len;
	request->content[request->content_len] = '\0';
}

static void update_rating_time(struct daemon *daemon, uint64_t time_us)
{
	if (daemon->mean_rating_us == 0)
		daemon->mean_rating_us = time_us;
	daemon->mean_rating_us +=
		(time_us >> RATING_TIME_SHIFT) - (daemon->mean_rating_us >> RATING_TIME_SHIFT);
}

static void on_rated(const struct dw_rater_result *result, void *data)
{
	struct rating *rating = data;
	struct daemon *daemon = rating->daemon;
	struct chat_request *request = rating->request;
	bool rated = result->status == DW_OK;
	bool passed = rated && result->score_permille >= rating->quality_target_permille;
	bool release = passed || (rating->requested_model && !rated);

	update_rating_time(daemon, dw_clock_now_us() - rating->started_us);
	if (rated && rating->requested_model)
		chat_rating_count_outcome(daemon, rating->step.model, rating->step.version,
					  passed ? DW_ROLLOUT_GOOD : DW_ROLLOUT_BAD);
	if (rated)
		dw_cascade_rates_learn(daemon->cascade_rates, rating->organisation_id,
				       hash_name(rating->step.model, 0), rating->work_class, passed,
				       dw_clock_now_us());
	if (request) {
		if (!rating->requested_model)
			dw_counters_add(&daemon->counters, DW_COUNTER_CASCADE_STEPS, 1);
		dw_log_event(&daemon->log, DW_EVENT_CASCADE_RATED, DW_STR("request", request->id),
			     DW_STR("model", rating->step.model),
			     DW_STR("version", rating->step.version),
			     DW_INT("score_permille", result->score_permille),
			     DW_INT("released", release));
		request->pending--;
		rating->done(request, release);
		chat_request_free_if_done(request);
	}
	free(rating);
}

static struct rating *rating_new(struct chat_request *request)
{
	struct rating *rating = calloc(1, sizeof(*rating));

	if (!rating)
		abort();
	rating->daemon = request->daemon;
	rating->step = *chat_request_step(request);
	rating->organisation_id = request->organisation_id;
	rating->work_class = request->work_class;
	rating->started_us = dw_clock_now_us();
	rating->quality_target_permille = request->quality_target_permille;
	rating->requested_model = chat_request_at_last_step(request);
	return rating;
}

static void start_rating(struct chat_request *request, struct rating *rating, const char *content)
{
	char *prompt = chat_body_prompt(&request->body);
	struct dw_rater_request answer = {
		.organisation = request->organisation,
		.model = rating->step.model,
		.version = rating->step.version,
		.prompt = prompt,
		.answer = content,
		.deadline_us = dw_clock_now_us() + RATING_TIMEOUT_US,
	};

	dw_rater_rate(request->daemon->rater, &answer, on_rated, rating);
	free(prompt);
}

void chat_rating_rate_sample(struct chat_request *request)
{
	struct daemon *daemon = request->daemon;

	/* An answer of an earlier step of the cascade was already rated before its release. */
	if (!daemon->rater || !request->content || !chat_request_at_last_step(request) ||
	    daemon_random(daemon) % PERMILLE >= daemon->settings.rated_permille)
		return;
	start_rating(request, rating_new(request), request->content);
}

void chat_rating_rate_before_release(struct chat_request *request, const char *content,
				     void (*done)(struct chat_request *request, bool release))
{
	struct rating *rating = rating_new(request);

	rating->request = request;
	rating->done = done;
	request->pending++;
	start_rating(request, rating, content);
}
