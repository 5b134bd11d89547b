/**
 * @file standin_service.c
 * Stand-in for a plain application service. It executes each request that it receives, repeated
 * ones included, and counts the executions by Idempotency-Key and path.
 *
 * Faults:
 * - answer_lost: executed, then the connection is closed without a response
 * - refuse: 503, not executed
 * - slow: n ms more between execution and response
 * - slow_start: n ms before the execution, which happens even if the client disconnects
 * - crash_before, crash_after: exits with code 70 before or after the execution
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/standin.h"

#define KEY_BYTES 256
#define HTTP_UNAVAILABLE 503

struct service {
	const char *name;
	uint64_t latency_us;
	uint64_t received;
	uint64_t refused;
	uint64_t answered;
	uint64_t executed;
	struct json_object *executions; /* by key and path */
	struct json_object *executions_by_request; /* by x-request-id */
};

static const char *const fault_kinds[] = { "answer_lost",  "refuse",	  "slow", "slow_start",
					   "crash_before", "crash_after", NULL };

static struct service *get_service(const struct standin_request *request)
{
	return request->standin->data;
}

static void crash_if_requested(struct standin_request *request, const char *kind)
{
	if (!fault_set_consume(&request->standin->faults, kind, request->path))
		return;
	printf("%s %s\n", kind, request->path);
	fflush(stdout);
	_exit(STANDIN_EXIT_CRASH);
}

static void respond(struct standin_request *request)
{
	struct service *service = get_service(request);
	struct json_object *body = json_object_new_object();

	service->answered += request->exchange != NULL;
	json_set_text(body, "service", service->name);
	json_set_text(body, "path", request->path);
	json_set_text(body, "idempotency_key", json_text(request->data, "key", ""));
	json_set_u64(body, "execution", json_u64(request->data, "execution", 0));
	json_object_put(request->data);
	standin_answer(request, 200, body);
}

static void execute(struct standin_request *request)
{
	struct service *service = get_service(request);
	struct fault_set *faults = &request->standin->faults;
	char key_and_path[KEY_BYTES * 2 + 2];
	const struct fault *slow;
	uint64_t delay_us = service->latency_us;

	crash_if_requested(request, "crash_before");
	service->executed++;
	snprintf(key_and_path, sizeof(key_and_path), "%s %s", json_text(request->data, "key", ""),
		 request->path);
	json_increment(service->executions, key_and_path, 1);
	json_increment(service->executions_by_request, json_text(request->data, "request_id", ""),
		       1);
	json_set_u64(request->data, "execution", json_u64(service->executions, key_and_path, 0));
	crash_if_requested(request, "crash_after");
	if (fault_set_consume(faults, "answer_lost", request->path)) {
		json_object_put(request->data);
		standin_close_connection(request);
		return;
	}
	slow = fault_set_consume(faults, "slow", request->path);
	if (slow)
		delay_us += slow->n * DW_US_PER_MS;
	if (delay_us)
		standin_delay(request, delay_us, respond);
	else
		respond(request);
}

static void on_request(struct standin_request *request)
{
	struct service *service = get_service(request);
	struct fault_set *faults = &request->standin->faults;
	const struct fault *slow;

	service->received++;
	if (fault_set_consume(faults, "refuse", request->path)) {
		service->refused++;
		standin_answer_error(request, HTTP_UNAVAILABLE, "the service refused the request");
		return;
	}
	/* Copy the headers now: the client may have disconnected by the time of the execution. */
	request->data = json_object_new_object();
	json_set_text(request->data, "key", standin_header(request, "idempotency-key"));
	json_set_text(request->data, "request_id", standin_header(request, "x-request-id"));
	slow = fault_set_consume(faults, "slow_start", request->path);
	if (slow)
		standin_delay(request, slow->n * DW_US_PER_MS, execute);
	else
		execute(request);
}

static uint64_t largest_count(struct json_object *counts)
{
	uint64_t largest = 0;

	json_object_object_foreach(counts, name, value)
	{
		uint64_t count = json_object_get_uint64(value);

		(void)name;
		if (count > largest)
			largest = count;
	}
	return largest;
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct service *service = standin->data;

	json_set_u64(stats, "received", service->received);
	json_set_u64(stats, "refused", service->refused);
	json_set_u64(stats, "executed", service->executed);
	json_set_u64(stats, "answered", service->answered);
	json_set_u64(stats, "most_executions_of_a_key", largest_count(service->executions));
	json_object_object_add(stats, "executions", json_object_get(service->executions));
	json_object_object_add(stats, "executions_by_request",
			       json_object_get(service->executions_by_request));
}

int main(int argc, char **argv)
{
	static struct service service;
	struct standin standin = {
		.name = "standin_service",
		.purpose = "a plain application service that counts its executions",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_stats = on_stats,
		.data = &service,
	};
	struct standin_common common;
	struct arg_str *name =
		arg_str0(NULL, "name", "NAME", "service name in responses (service)");
	struct arg_int *latency = arg_int0(NULL, "latency-ms", "N", "response time (0)");
	int rc;

	standin_common_init(&common);
	name->sval[0] = "service";
	latency->ival[0] = 0;
	void *table[] = { common.help, common.version, common.ip, common.port,
			  name,	       latency,	       common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	service.name = name->sval[0];
	service.latency_us = (uint64_t)latency->ival[0] * DW_US_PER_MS;
	service.executions = json_object_new_object();
	service.executions_by_request = json_object_new_object();
	return standin_run(&standin, &common);
}
