/**
 * @file standin_kv.c
 * Stand-in for etcd: an in-memory key-value service with the part of etcd v3's JSON gateway that
 * the project uses.
 *
 * Faults:
 * - outage: requests get 503 "no leader" and watches are closed
 * - slow: each request is executed n ms late
 * - answer_lost: the request is executed, then the connection is closed without a response
 * - timed_out: the request is executed, then answered with 503 "request timed out"
 * - freeze: no request is executed and no event sent until the fault ends
 *
 * POST /admin/backup saves a copy of the data, /admin/restore restores it, /admin/compact
 * {"n": revision} removes the history up to a revision, /admin/cut_watches closes all watches.
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/kv_call.h"
#include "standins/standin.h"

#define LEASE_CHECK_MS 20
/** Above this size the older half of the history is removed, like etcd's automatic compaction. */
#define MAX_HISTORY_BYTES ((size_t)64 << 20)
#define FREEZE_CHECK_US UINT64_C(10000)
#define HTTP_OK 200
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE 503

struct watch {
	struct standin_request *request;
	struct kv_range range;
	uint64_t next_revision;
	struct watch *next;
};

struct kv {
	struct kv_service service;
	struct kv_table *backup;
	struct watch *watches;
	struct json_object *calls; /* by path */
	struct json_object *refused; /* calls rejected by an outage or by the limit, by path */
	uint64_t max_calls_per_s; /* 0: no limit */
	uint64_t second; /* the second that calls_in_second counts */
	uint64_t calls_in_second;
	uint64_t peak_calls_per_s;
	uv_timer_t lease_timer;
};

static const char *const fault_kinds[] = { "outage",	"slow",	  "answer_lost",
					   "timed_out", "freeze", NULL };

static struct kv *get_kv(const struct standin *standin)
{
	return standin->data;
}

static void watch_free(struct watch *watch)
{
	kv_range_clear(&watch->range);
	free(watch);
}

static void watch_unlink(struct kv *kv, const struct watch *watch)
{
	struct watch **at = &kv->watches;

	while (*at && *at != watch)
		at = &(*at)->next;
	if (*at)
		*at = watch->next;
}

/* Sends one message of a watch's stream as one line. */
static void send_message(struct dw_http_exchange *exchange, struct json_object *result)
{
	struct json_object *message = json_object_new_object();
	const char *text;

	json_object_object_add(message, "result", result);
	text = json_object_to_json_string_ext(message, JSON_OUTPUT_FLAGS);
	dw_http_stream_write(exchange, text, strlen(text));
	dw_http_stream_write(exchange, "\n", 1);
	json_object_put(message);
}

/* Sends the changes since the last notification to a watch. */
static void notify_watch(struct kv *kv, struct watch *watch)
{
	const struct kv_table *table = kv->service.table;
	struct json_object *events = json_object_new_array();
	struct json_object *result;

	for (size_t i = kv_table_history_from(table, watch->next_revision);
	     i < table->history_count; i++) {
		const struct kv_entry *change = &table->history[i];
		struct json_object *event;

		if (!kv_range_contains(&watch->range, &change->key))
			continue;
		event = json_object_new_object();
		if (change->deleted)
			json_set_text(event, "type", "DELETE");
		json_object_object_add(event, "kv", kv_entry_json(change));
		json_object_array_add(events, event);
	}
	if (watch->next_revision <= table->revision)
		watch->next_revision = table->revision + 1;
	if (json_object_array_length(events) == 0) {
		json_object_put(events);
		return;
	}
	result = json_object_new_object();
	json_object_object_add(result, "header", kv_header(&kv->service));
	json_object_object_add(result, "events", events);
	send_message(watch->request->exchange, result);
}

static void compact_older_half(struct kv_table *table)
{
	kv_table_compact(table, table->history[table->history_count / 2].mod_revision);
}

static void notify_watches(struct standin *standin)
{
	struct kv *kv = get_kv(standin);

	if (fault_set_find(&standin->faults, "freeze", "/v3/watch"))
		return;
	for (struct watch *watch = kv->watches; watch; watch = watch->next)
		notify_watch(kv, watch);
	/* Compact only now that all watches are up to date, so that none misses a change. */
	if (kv->service.table->history_bytes > MAX_HISTORY_BYTES)
		compact_older_half(kv->service.table);
}

static void close_watches(struct kv *kv)
{
	while (kv->watches) {
		struct watch *watch = kv->watches;
		struct dw_http_exchange *exchange = watch->request->exchange;

		kv->watches = watch->next;
		standin_request_free(watch->request);
		watch_free(watch);
		dw_http_stream_end(exchange, false);
	}
}

static void on_watch_disconnect(struct standin_request *request)
{
	struct watch *watch = request->data;

	watch_unlink(get_kv(request->standin), watch);
	standin_request_free(request);
	watch_free(watch);
}

/* Responds to a watch whose start revision was compacted: "canceled" is set, as etcd does. */
static void send_compacted(struct kv *kv, struct standin_request *request)
{
	struct dw_http_exchange *exchange = request->exchange;
	struct json_object *result = json_object_new_object();

	json_object_object_add(result, "header", kv_header(&kv->service));
	json_object_object_add(result, "canceled", json_object_new_boolean(1));
	json_set_u64(result, "compact_revision", kv->service.table->compact_revision);
	standin_request_free(request);
	dw_http_stream_start(exchange, HTTP_OK, "application/json");
	send_message(exchange, result);
	dw_http_stream_end(exchange, true);
}

static void start_watch(struct standin_request *request)
{
	struct kv *kv = get_kv(request->standin);
	struct json_object *create = json_field(request->body, "create_request");
	struct json_object *created;
	struct watch *watch;
	uint64_t from = json_u64(create, "start_revision", 0);

	if (!request->exchange) {
		standin_request_free(request);
		return;
	}
	if (from && from <= kv->service.table->compact_revision) {
		send_compacted(kv, request);
		return;
	}
	watch = calloc(1, sizeof(*watch));
	if (!kv_read_range(create, &watch->range)) {
		watch_free(watch);
		standin_answer(request, 400, kv_error(KV_CODE_INVALID, "malformed watch"));
		return;
	}
	watch->request = request;
	watch->next_revision = from ? from : kv->service.table->revision + 1;
	watch->next = kv->watches;
	kv->watches = watch;
	request->data = watch;
	request->on_disconnect = on_watch_disconnect;
	dw_http_stream_start(request->exchange, HTTP_OK, "application/json");
	created = json_object_new_object();
	json_object_object_add(created, "header", kv_header(&kv->service));
	json_object_object_add(created, "created", json_object_new_boolean(1));
	send_message(watch->request->exchange, created);
	notify_watch(kv, watch);
}

static void execute(struct standin_request *request)
{
	struct standin *standin = request->standin;
	struct kv *kv = get_kv(standin);
	kv_call call = kv_call_find(request->path);
	struct json_object *response;
	int status = HTTP_OK;

	if (fault_set_find(&standin->faults, "freeze", request->path)) {
		standin_delay(request, FREEZE_CHECK_US, execute);
		return;
	}
	if (!call) {
		start_watch(request);
		return;
	}
	response = call(&kv->service, request->body, &status);
	if (fault_set_consume(&standin->faults, "answer_lost", request->path)) {
		json_object_put(response);
		standin_close_connection(request);
	} else if (fault_set_consume(&standin->faults, "timed_out", request->path)) {
		json_object_put(response);
		standin_answer(request, HTTP_UNAVAILABLE,
			       kv_error(KV_CODE_UNAVAILABLE, "etcdserver: request timed out"));
	} else {
		standin_answer(request, status, response);
	}
	notify_watches(standin);
}

static bool over_limit(struct kv *kv)
{
	uint64_t second = dw_clock_now_us() / DW_US_PER_S;

	if (second != kv->second)
		kv->calls_in_second = 0;
	kv->second = second;
	kv->calls_in_second++;
	if (kv->calls_in_second > kv->peak_calls_per_s)
		kv->peak_calls_per_s = kv->calls_in_second;
	return kv->max_calls_per_s && kv->calls_in_second > kv->max_calls_per_s;
}

static void on_request(struct standin_request *request)
{
	struct standin *standin = request->standin;
	struct kv *kv = get_kv(standin);
	const struct fault *slow;

	if (!kv_call_find(request->path) && strcmp(request->path, "/v3/watch") != 0) {
		standin_answer(request, 404, kv_error(KV_CODE_NOT_FOUND, "Not Found"));
		return;
	}
	json_increment(kv->calls, request->path, 1);
	if (fault_set_consume(&standin->faults, "outage", request->path)) {
		json_increment(kv->refused, request->path, 1);
		standin_answer(request, HTTP_UNAVAILABLE,
			       kv_error(KV_CODE_UNAVAILABLE, "etcdserver: no leader"));
		return;
	}
	if (over_limit(kv)) {
		json_increment(kv->refused, request->path, 1);
		standin_answer(request, HTTP_TOO_MANY_REQUESTS,
			       kv_error(KV_CODE_EXHAUSTED, "etcdserver: too many requests"));
		return;
	}
	slow = fault_set_consume(&standin->faults, "slow", request->path);
	if (slow)
		standin_delay(request, slow->n * DW_US_PER_MS, execute);
	else
		execute(request);
}

static void on_admin(struct standin_request *request)
{
	struct kv *kv = get_kv(request->standin);

	if (strcmp(request->path, "/admin/backup") == 0) {
		kv_table_free(kv->backup);
		kv->backup = kv_table_backup(kv->service.table);
	} else if (strcmp(request->path, "/admin/restore") == 0 && kv->backup) {
		kv_table_free(kv->service.table);
		kv->service.table = kv_table_backup(kv->backup);
		close_watches(kv);
	} else if (strcmp(request->path, "/admin/compact") == 0) {
		kv_table_compact(kv->service.table, json_u64(request->body, "n", 0));
	} else if (strcmp(request->path, "/admin/cut_watches") == 0) {
		close_watches(kv);
	} else {
		standin_answer_error(request, 404, "unknown admin call, or no backup");
		return;
	}
	standin_answer(request, HTTP_OK, json_object_new_object());
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct kv *kv = get_kv(standin);
	uint64_t watches = 0;

	for (const struct watch *watch = kv->watches; watch; watch = watch->next)
		watches++;
	json_object_object_add(stats, "calls", json_object_get(kv->calls));
	json_object_object_add(stats, "refused", json_object_get(kv->refused));
	json_set_u64(stats, "peak_calls_per_s", kv->peak_calls_per_s);
	json_set_u64(stats, "watches", watches);
	json_set_u64(stats, "revision", kv->service.table->revision);
	json_set_u64(stats, "keys", kv->service.table->count);
	json_set_u64(stats, "leases", kv->service.lease_count);
}

static void on_fault(struct standin *standin, const char *kind)
{
	if (strcmp(kind, "outage") == 0 && fault_set_find(&standin->faults, "outage", "/v3/watch"))
		close_watches(get_kv(standin));
	notify_watches(standin);
}

static void on_lease_timer(uv_timer_t *timer)
{
	struct standin *standin = timer->data;
	struct kv *kv = get_kv(standin);

	if (!fault_set_find(&standin->faults, "freeze", "/v3/lease/keepalive"))
		kv_expire_leases(&kv->service, dw_clock_now_us());
	notify_watches(standin);
}

static void on_start(struct standin *standin)
{
	struct kv *kv = get_kv(standin);

	uv_timer_init(standin->loop, &kv->lease_timer);
	kv->lease_timer.data = standin;
	uv_timer_start(&kv->lease_timer, on_lease_timer, LEASE_CHECK_MS, LEASE_CHECK_MS);
}

int main(int argc, char **argv)
{
	static struct kv kv;
	struct standin standin = {
		.name = "standin_kv",
		.purpose = "a key-value service that speaks etcd v3's JSON gateway",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_admin = on_admin,
		.on_stats = on_stats,
		.on_fault = on_fault,
		.on_start = on_start,
		.data = &kv,
	};
	struct standin_common common;
	struct arg_int *limit = arg_int0(NULL, "max-calls-per-s", "N",
					 "calls above the limit get 429 (0: no limit)");
	int rc;

	standin_common_init(&common);
	limit->ival[0] = 0;
	void *table[] = { common.help, common.version, common.ip, common.port, limit, common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	kv.max_calls_per_s = (uint64_t)limit->ival[0];
	kv.service.table = kv_table_new();
	kv.calls = json_object_new_object();
	kv.refused = json_object_new_object();
	return standin_run(&standin, &common);
}
