/*
 * One of seven engines fails part of its requests: it runs them and answers 503 of its own, without Not-Executed. Does
 * a consumer get that 503, which promises that the request hasn't run?
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../kit-2/engine.h"
#include "../kit-2/gateway.h"
#include "../kit-2/harness.h"
#include "../kit-2/store.h"

#define ENGINES 7
/* fleetbench kinds, srv_grey: a share of .15 of the engines fails x .4 of its requests. One of seven is .143. */
#define FAILING_IN_TEN 4
#define GATEWAYS 2
#define ORDERS 300
#define TRIES 2
#define WORK_MS 20
#define KEY "n2ctnfzs989anu6wsjnb"
#define NAME_BYTES 64
#define ATTEMPTS_MAX (ORDERS * TRIES)

struct run {
	char attempt[NAME_BYTES];
	char target[NAME_BYTES];
};

static struct run runs[ATTEMPTS_MAX];
static uint32_t run_count;
static uint32_t grey_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Counts the run; returns whether the engine fails it. */
static bool note_run(const char *attempt, const char *target, bool is_grey)
{
	bool fails = false;

	pthread_mutex_lock(&lock);
	if (run_count < ATTEMPTS_MAX) {
		snprintf(runs[run_count].attempt, NAME_BYTES, "%s", attempt);
		snprintf(runs[run_count].target, NAME_BYTES, "%s", target);
		run_count++;
	}
	if (is_grey)
		fails = grey_requests++ % 10 < FAILING_IN_TEN;
	pthread_mutex_unlock(&lock);
	return fails;
}

static bool run(int fd, const struct message *request, struct engine *engine)
{
	bool is_grey = harness_has_trouble() && strcmp(engine->id, "i-0") == 0;
	char id[NAME_BYTES] = "";
	bool fails;

	message_field(request, "Attempt-Id", id, sizeof(id));
	fails = note_run(id, request->target, is_grey);
	record("engine %s runs %s, %s%s", engine->id, id, request->target,
	       fails ? ", and answers 503 with its seal, without Not-Executed" : "");
	sleep_ms(WORK_MS);
	return fails ? engine_answer(fd, request, 503, "failed", 6)
		     : engine_answer(fd, request, 200, "booked", 6);
}

static uint32_t count_attempt(const char *attempt)
{
	uint32_t count = 0;

	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < run_count; i++)
		count += strcmp(runs[i].attempt, attempt) == 0;
	pthread_mutex_unlock(&lock);
	return count;
}

static uint32_t count_order(uint32_t order)
{
	char target[NAME_BYTES];
	uint32_t count = 0;

	snprintf(target, sizeof(target), "/book/%u", order);
	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < run_count; i++)
		count += strcmp(runs[i].target, target) == 0;
	pthread_mutex_unlock(&lock);
	return count;
}

static void put_config(void)
{
	store_put("op/config",
		  "{\"Version\":7,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"a.example\","
		  "\"PathPrefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,"
		  "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":1,"
		  "\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
		  "\"MaxConnections\":110,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":"
		  "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
		  "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY
		  "\"]}]}");
}

/* Sends one attempt of an order; returns its status, or 0. */
static int book(const struct gateway *gateway, uint32_t order, const char *attempt)
{
	struct message answer;
	char text[512];
	int status = 0;

	snprintf(text, sizeof(text),
		 "POST /book/%u HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
		 "Deadline-Ms: 3000\r\nCredential: " KEY "\r\nContent-Length: 2\r\n\r\nok",
		 order, attempt);
	if (call(gateway->caller_port, text, 4000, &answer) == MESSAGE_COMPLETE) {
		status = answer.status;
		message_free(&answer);
	}
	return status;
}

/* A consumer sends an order again only after a promise that it hasn't run. Returns the broken promises. */
static uint32_t order_once(const struct gateway *gateways, uint32_t order, uint32_t *served)
{
	uint32_t broken = 0;

	for (uint32_t i = 0; i < TRIES; i++) {
		char attempt[NAME_BYTES];
		int status;
		bool has_run;

		snprintf(attempt, sizeof(attempt), "a%04u-%u", order, i);
		status = book(&gateways[(order + i) % GATEWAYS], order, attempt);
		has_run = count_attempt(attempt) > 0;
		*served += status == 200;
		record("request %s for order %u is answered %d%s", attempt, order, status,
		       has_run ? ", it has run" : ", it has not run");
		if (status != 503 && status != 429)
			break;
		broken += has_run;
	}
	return broken;
}

static void start_engines(void)
{
	static struct engine engines[ENGINES];
	static char ids[ENGINES][8];

	for (uint32_t i = 0; i < ENGINES; i++) {
		snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
		engines[i] = (struct engine){ .id = ids[i], .service = "app", .run = run };
		engine_start(&engines[i]);
		engine_register(&engines[i], "ready", 1);
	}
}

int main(int argc, char **argv)
{
	static struct gateway gateways[GATEWAYS];
	struct gateway_options options = { .memory_mb = 260 };
	uint32_t served = 0;
	uint32_t broken = 0;
	uint32_t twice = 0;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	options.store_port = store_start();
	options.peer_port = free_port();
	start_engines();
	put_config();
	for (options.number = 0; options.number < GATEWAYS; options.number++)
		gateway_start(&gateways[options.number], &options);

	for (uint32_t order = 0; order < ORDERS; order++)
		broken += order_once(gateways, order, &served);
	for (uint32_t order = 0; order < ORDERS; order++)
		twice += count_order(order) > 1;
	if (served < ORDERS / 2)
		harness_give_up("the orders aren't served");
	record("%u orders, %u served; answered 503 though they have run: %u requests; "
	       "orders that ran twice: %u",
	       ORDERS, served, broken, twice);
	record("rule REFUSED %s", broken > 0 ? "is broken" : "held");
	harness_close(broken > 0 ? HARNESS_EXIT_BROKEN : HARNESS_EXIT_HELD);
}
