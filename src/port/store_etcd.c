#include "port/store_etcd.h"

#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "port/etcd_json.h"
#include "port/etcd_watch.h"

/** An answer larger than this is malformed. */
#define MAX_ANSWER_BYTES ((size_t)64 << 20)
#define HTTP_OK 200

struct store_etcd {
	struct dw_store store; /* first: the port's head */
	struct dw_http_client *client;
	struct dw_store_etcd_endpoint endpoints[DW_STORE_ETCD_MAX_ENDPOINTS];
	size_t endpoint_count;
	size_t current; /* the endpoint that is tried first */
};

/** One call on its way through the endpoints. */
struct call {
	struct store_etcd *etcd;
	enum dw_store_verb verb;
	char *body;
	size_t first; /* endpoint of the first try */
	size_t tried;
	uint64_t started_us;
	uint64_t deadline_us;
	bool exact;
	union {
		dw_store_range_done range;
		dw_store_put_done put;
		dw_store_lease_done lease;
	} done;
	void *data;
};

/** What one try has come to. */
enum verdict {
	VERDICT_ANSWERED,
	VERDICT_NOT_APPLIED, /* provably without effect; another endpoint may do better */
	VERDICT_REFUSED, /* provably without effect; the same everywhere */
	VERDICT_LOST, /* may have taken effect */
};

static const char *const paths[DW_STORE_VERB_COUNT] = {
	[DW_STORE_RANGE] = "/v3/kv/range",
	[DW_STORE_PUT] = "/v3/kv/txn",
	[DW_STORE_LEASE_GRANT] = "/v3/lease/grant",
	[DW_STORE_LEASE_KEEP_ALIVE] = "/v3/lease/keepalive",
};

static struct store_etcd *etcd_of(struct dw_store *store)
{
	return (struct store_etcd *)store;
}

static struct dw_http_call_options http_options(struct store_etcd *etcd, enum dw_store_verb verb,
						size_t endpoint, const char *body)
{
	static const struct dw_http_name_value headers[] = {
		{ "content-type", "application/json" },
	};

	return (struct dw_http_call_options){
		.ip = etcd->endpoints[endpoint].ip,
		.port = etcd->endpoints[endpoint].port,
		.method = "POST",
		.path = paths[verb],
		.headers = headers,
		.header_count = 1,
		.body = body,
		.body_len = strlen(body),
	};
}

/* "No leader" is answered before a write is proposed, and so is a refusal for overload. Other
 * errors of an unavailable service, a timeout above all, may follow a proposal that takes effect. */
static enum verdict judge_error(const struct dw_http_fetch_result *result)
{
	struct dw_etcd_error error;

	dw_etcd_parse_error(result->body, result->body_len, &error);
	switch (error.code) {
	case DW_ETCD_CODE_RESOURCE_EXHAUSTED:
		return VERDICT_NOT_APPLIED;
	case DW_ETCD_CODE_UNAVAILABLE:
		if (strcmp(error.message, "etcdserver: no leader") == 0)
			return VERDICT_NOT_APPLIED;
		return VERDICT_LOST;
	case DW_ETCD_CODE_INVALID_ARGUMENT:
	case DW_ETCD_CODE_NOT_FOUND:
	case DW_ETCD_CODE_PERMISSION_DENIED:
	case DW_ETCD_CODE_FAILED_PRECONDITION:
	case DW_ETCD_CODE_OUT_OF_RANGE:
	case DW_ETCD_CODE_UNAUTHENTICATED:
		return VERDICT_REFUSED;
	default:
		return VERDICT_LOST;
	}
}

static enum verdict judge(const struct dw_http_fetch_result *result)
{
	if (result->end.progress == DW_HTTP_NOT_SENT)
		return VERDICT_NOT_APPLIED;
	if (result->end.status != DW_OK)
		return VERDICT_LOST;
	if (result->end.http_status == HTTP_OK)
		return VERDICT_ANSWERED;
	return judge_error(result);
}

static enum dw_status failure_of(enum verdict verdict, const struct dw_http_fetch_result *result)
{
	if (verdict == VERDICT_REFUSED)
		return DW_NOT_FOUND;
	if (result->end.status == DW_TIMEOUT)
		return DW_TIMEOUT;
	return verdict == VERDICT_NOT_APPLIED ? DW_UNAVAILABLE : DW_UPSTREAM_FAILED;
}

static void tell_range(struct call *call, enum dw_status status, const struct dw_etcd_reply *reply)
{
	struct dw_store_range_result result = { .status = status, .revision = reply->revision };
	struct dw_store_entry *entries = calloc(reply->count + 1, sizeof(*entries));

	for (size_t i = 0; i < reply->count; i++)
		entries[i] = reply->events[i].entry;
	result.entries = entries;
	result.count = reply->count;
	if (status == DW_OK && call->exact && result.count == 0)
		result.status = DW_NOT_FOUND;
	call->done.range(&result, call->data);
	free(entries);
}

static enum dw_store_outcome outcome_of(enum verdict verdict, const struct dw_etcd_reply *reply)
{
	switch (verdict) {
	case VERDICT_ANSWERED:
		return reply->succeeded ? DW_STORE_DONE : DW_STORE_CONFLICT;
	case VERDICT_NOT_APPLIED:
		return DW_STORE_UNAVAILABLE;
	case VERDICT_REFUSED:
		return DW_STORE_REFUSED;
	case VERDICT_LOST:
		break;
	}
	return DW_STORE_UNKNOWN;
}

static void tell_put(struct call *call, enum verdict verdict, const struct dw_etcd_reply *reply)
{
	struct dw_store_put_result result = { .outcome = outcome_of(verdict, reply) };

	if (result.outcome == DW_STORE_DONE)
		result.revision = reply->revision;
	else if (result.outcome == DW_STORE_CONFLICT && reply->count > 0)
		result.revision = reply->events[0].entry.mod_revision;
	call->done.put(&result, call->data);
}

static void tell_lease(struct call *call, enum dw_status status, const struct dw_etcd_reply *reply)
{
	struct dw_store_lease_result result = { .status = status, .lease_id = reply->lease_id };

	if (status == DW_OK && reply->ttl_s == 0)
		result.status = DW_NOT_FOUND;
	if (result.status == DW_OK)
		result.expiry_us = call->started_us + reply->ttl_s * DW_US_PER_S;
	call->done.lease(&result, call->data);
}

static void call_end(struct call *call, enum verdict verdict, enum dw_status status,
		     const struct dw_etcd_reply *reply)
{
	switch (call->verb) {
	case DW_STORE_RANGE:
		tell_range(call, status, reply);
		break;
	case DW_STORE_PUT:
		tell_put(call, verdict, reply);
		break;
	default:
		tell_lease(call, status, reply);
		break;
	}
	free(call->body);
	free(call);
}

static enum dw_status parse_answer(enum dw_store_verb verb,
				   const struct dw_http_fetch_result *result,
				   struct dw_etcd_reply *reply)
{
	switch (verb) {
	case DW_STORE_RANGE:
		return dw_etcd_parse_range(result->body, result->body_len, reply);
	case DW_STORE_PUT:
		return dw_etcd_parse_put(result->body, result->body_len, reply);
	case DW_STORE_LEASE_GRANT:
		return dw_etcd_parse_lease_grant(result->body, result->body_len, reply);
	default:
		return dw_etcd_parse_lease_keep_alive(result->body, result->body_len, reply);
	}
}

static void call_try(struct call *call);

static bool may_try_again(const struct call *call, enum verdict verdict)
{
	if (call->tried == call->etcd->endpoint_count || dw_clock_now_us() >= call->deadline_us)
		return false;
	if (verdict == VERDICT_NOT_APPLIED)
		return true;
	return verdict == VERDICT_LOST && call->verb != DW_STORE_PUT;
}

static size_t endpoint_of_try(const struct call *call, size_t tried)
{
	return (call->first + tried) % call->etcd->endpoint_count;
}

static void on_fetched(const struct dw_http_fetch_result *result, void *data)
{
	struct call *call = data;
	struct dw_etcd_reply reply = { 0 };
	enum verdict verdict = judge(result);
	enum dw_status status = DW_OK;

	if (verdict == VERDICT_ANSWERED && parse_answer(call->verb, result, &reply) != DW_OK)
		verdict = VERDICT_LOST;
	if (verdict != VERDICT_ANSWERED) {
		status = failure_of(verdict, result);
		if (may_try_again(call, verdict)) {
			call_try(call);
			return;
		}
	}
	/* After a failure the next call begins with the next endpoint. */
	call->etcd->current =
		endpoint_of_try(call, verdict == VERDICT_ANSWERED ? call->tried - 1 : call->tried);
	call_end(call, verdict, status, &reply);
	dw_etcd_reply_clear(&reply);
}

/* A read leaves time for the endpoints that haven't been tried; a write waits for its answer. */
static uint64_t try_deadline_us(const struct call *call)
{
	uint64_t now_us = dw_clock_now_us();

	if (call->verb == DW_STORE_PUT || call->deadline_us <= now_us)
		return call->deadline_us;
	return now_us + (call->deadline_us - now_us) / (call->etcd->endpoint_count - call->tried);
}

static void call_try(struct call *call)
{
	struct store_etcd *etcd = call->etcd;
	struct dw_http_call_options options =
		http_options(etcd, call->verb, endpoint_of_try(call, call->tried), call->body);

	options.deadline_us = try_deadline_us(call);
	call->tried++;
	etcd->store.calls[call->verb]++;
	dw_http_fetch(etcd->client, &options, MAX_ANSWER_BYTES, on_fetched, call);
}

static struct call *call_new(struct dw_store *store, enum dw_store_verb verb, char *body,
			     uint64_t deadline_us, void *data)
{
	struct call *call = calloc(1, sizeof(*call));

	call->etcd = etcd_of(store);
	call->verb = verb;
	call->body = body;
	call->first = call->etcd->current;
	call->started_us = dw_clock_now_us();
	call->deadline_us = deadline_us;
	call->data = data;
	return call;
}

static void etcd_range(struct dw_store *store, const struct dw_store_range *range,
		       dw_store_range_done done, void *data)
{
	struct call *call = call_new(store, DW_STORE_RANGE, dw_etcd_json_range(range),
				     range->deadline_us, data);

	call->exact = range->exact;
	call->done.range = done;
	call_try(call);
}

static void etcd_put(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		     void *data)
{
	struct call *call =
		call_new(store, DW_STORE_PUT, dw_etcd_json_put(put), put->deadline_us, data);

	call->done.put = done;
	call_try(call);
}

static void etcd_lease_grant(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			     dw_store_lease_done done, void *data)
{
	struct call *call = call_new(store, DW_STORE_LEASE_GRANT, dw_etcd_json_lease_grant(ttl_s),
				     deadline_us, data);

	call->done.lease = done;
	call_try(call);
}

static void etcd_lease_keep_alive(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
				  dw_store_lease_done done, void *data)
{
	struct call *call = call_new(store, DW_STORE_LEASE_KEEP_ALIVE,
				     dw_etcd_json_lease_keep_alive(lease_id), deadline_us, data);

	call->done.lease = done;
	call_try(call);
}

static void on_watch_failed(void *data)
{
	struct store_etcd *etcd = data;

	etcd->current = (etcd->current + 1) % etcd->endpoint_count;
}

static struct dw_store_watch *etcd_watch(struct dw_store *store,
					 const struct dw_store_watch_options *options)
{
	struct store_etcd *etcd = etcd_of(store);
	struct dw_etcd_watch_peer peer = {
		.client = etcd->client,
		.ip = etcd->endpoints[etcd->current].ip,
		.port = etcd->endpoints[etcd->current].port,
		.failed = on_watch_failed,
		.data = etcd,
	};

	etcd->store.calls[DW_STORE_WATCH]++;
	return dw_etcd_watch_start(&peer, options);
}

static const struct dw_store_ops etcd_ops = {
	.range = etcd_range,
	.put = etcd_put,
	.lease_grant = etcd_lease_grant,
	.lease_keep_alive = etcd_lease_keep_alive,
	.watch = etcd_watch,
	.watch_cancel = dw_etcd_watch_cancel,
};

struct dw_store *dw_store_etcd_new(struct dw_http_client *client,
				   const struct dw_store_etcd_endpoint *endpoints, size_t count)
{
	struct store_etcd *etcd;

	if (count == 0 || count > DW_STORE_ETCD_MAX_ENDPOINTS)
		return NULL;
	etcd = calloc(1, sizeof(*etcd));
	etcd->store.ops = &etcd_ops;
	etcd->client = client;
	etcd->endpoint_count = count;
	memcpy(etcd->endpoints, endpoints, count * sizeof(*endpoints));
	return &etcd->store;
}

void dw_store_etcd_free(struct dw_store *store)
{
	free(etcd_of(store));
}

enum dw_status dw_store_etcd_parse_endpoint(const char *text, struct dw_store_etcd_endpoint *out)
{
	struct sockaddr_in address;
	char *colon = strchr(text, ':');
	size_t len = colon ? (size_t)(colon - text) : 0;
	char *end = NULL;
	unsigned long port = colon ? strtoul(colon + 1, &end, 10) : 0;

	if (len == 0 || len >= sizeof(out->ip) || port == 0 || port > UINT16_MAX || *end)
		return dw_fail(DW_INVALID_ARGUMENT, "not an address ip:port: %s", text);
	snprintf(out->ip, sizeof(out->ip), "%.*s", (int)len, text);
	out->port = (uint16_t)port;
	if (uv_ip4_addr(out->ip, out->port, &address) != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "not a numeric address: %s", text);
	return DW_OK;
}
