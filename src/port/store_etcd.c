#include "port/store_etcd.h"

#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "port/etcd_json.h"
#include "port/etcd_watch.h"

/** A longer response body is an error, like a lost response. */
#define MAX_RESPONSE_BYTES ((size_t)64 << 20)
#define HTTP_OK 200

struct store_etcd {
	struct dw_store store; /* base; must be the first member */
	struct dw_http_client *client;
	struct dw_store_etcd_endpoint endpoints[DW_STORE_ETCD_MAX_ENDPOINTS];
	size_t endpoint_count;
	size_t current; /* endpoint of the next call's first attempt */
	bool away; /* the last call that ended wasn't answered by any endpoint */
	uint64_t cluster_id; /* 0 until an answer has named it */
};

/** One call. Failed attempts are retried at the next endpoint, see can_retry(). */
struct call {
	struct store_etcd *etcd;
	enum dw_store_verb verb;
	char *body;
	size_t first_endpoint; /* endpoint of the first attempt */
	size_t attempts; /* attempts made so far */
	uint64_t started_us;
	uint64_t deadline_us;
	uint64_t revision_when_sent; /* by dw_store.revision, at the last attempt */
	uint64_t restores_when_sent;
	bool exact;
	bool may_be_stale;
	union {
		dw_store_range_done range;
		dw_store_put_done put;
		dw_store_lease_done lease;
	} done;
	void *data;
};

/** Result of one attempt. */
enum attempt_result {
	ATTEMPT_ANSWERED, /* valid response with HTTP status 200, which may report a conflict */
	ATTEMPT_NOT_APPLIED, /* certainly not applied; another endpoint may succeed */
	ATTEMPT_REFUSED, /* certainly not applied; every endpoint would reject it */
	ATTEMPT_LOST, /* may have been applied */
};

static const char *const paths[DW_STORE_VERB_COUNT] = {
	[DW_STORE_RANGE] = "/v3/kv/range",
	[DW_STORE_PUT] = "/v3/kv/txn",
	[DW_STORE_LEASE_GRANT] = "/v3/lease/grant",
	[DW_STORE_LEASE_KEEP_ALIVE] = "/v3/lease/keepalive",
};

static struct store_etcd *to_etcd(struct dw_store *store)
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

/* etcd reports "no leader" and overload before it proposes a write to the cluster. Other
 * UNAVAILABLE errors, timeouts in particular, can follow a proposal that is applied later. */
static enum attempt_result classify_error(const struct dw_http_fetch_result *result)
{
	struct dw_etcd_error error;

	dw_etcd_parse_error(result->body, result->body_len, &error);
	switch (error.code) {
	case DW_ETCD_CODE_RESOURCE_EXHAUSTED:
		return ATTEMPT_NOT_APPLIED;
	case DW_ETCD_CODE_UNAVAILABLE:
		if (strcmp(error.message, "etcdserver: no leader") == 0)
			return ATTEMPT_NOT_APPLIED;
		return ATTEMPT_LOST;
	case DW_ETCD_CODE_INVALID_ARGUMENT:
	case DW_ETCD_CODE_NOT_FOUND:
	case DW_ETCD_CODE_PERMISSION_DENIED:
	case DW_ETCD_CODE_FAILED_PRECONDITION:
	case DW_ETCD_CODE_OUT_OF_RANGE:
	case DW_ETCD_CODE_UNAUTHENTICATED:
		return ATTEMPT_REFUSED;
	default:
		return ATTEMPT_LOST;
	}
}

static enum attempt_result classify_response(const struct dw_http_fetch_result *result)
{
	if (result->result.progress == DW_HTTP_NOT_SENT)
		return ATTEMPT_NOT_APPLIED;
	if (result->result.status != DW_OK)
		return ATTEMPT_LOST;
	if (result->result.http_status == HTTP_OK)
		return ATTEMPT_ANSWERED;
	return classify_error(result);
}

static enum dw_status failure_status(enum attempt_result attempt_result,
				     const struct dw_http_fetch_result *result)
{
	if (attempt_result == ATTEMPT_REFUSED)
		return DW_NOT_FOUND;
	if (result->result.status == DW_TIMEOUT)
		return DW_TIMEOUT;
	return attempt_result == ATTEMPT_NOT_APPLIED ? DW_UNAVAILABLE : DW_UPSTREAM_FAILED;
}

static void report_range(struct call *call, enum dw_status status,
			 const struct dw_etcd_reply *reply)
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

static enum dw_store_outcome put_outcome(enum attempt_result attempt_result,
					 const struct dw_etcd_reply *reply)
{
	switch (attempt_result) {
	case ATTEMPT_ANSWERED:
		return reply->succeeded ? DW_STORE_DONE : DW_STORE_CONFLICT;
	case ATTEMPT_NOT_APPLIED:
		return DW_STORE_UNAVAILABLE;
	case ATTEMPT_REFUSED:
		return DW_STORE_REFUSED;
	case ATTEMPT_LOST:
		break;
	}
	return DW_STORE_UNKNOWN;
}

static void report_put(struct call *call, enum attempt_result attempt_result,
		       const struct dw_etcd_reply *reply)
{
	struct dw_store_put_result result = { .outcome = put_outcome(attempt_result, reply) };

	if (result.outcome == DW_STORE_DONE)
		result.revision = reply->revision;
	else if (result.outcome == DW_STORE_CONFLICT && reply->count > 0)
		result.revision = reply->events[0].entry.mod_revision;
	call->done.put(&result, call->data);
}

static void report_lease(struct call *call, enum dw_status status,
			 const struct dw_etcd_reply *reply)
{
	struct dw_store_lease_result result = { .status = status, .lease_id = reply->lease_id };

	if (status == DW_OK && reply->ttl_s == 0)
		result.status = DW_NOT_FOUND;
	if (result.status == DW_OK)
		result.expiry_us = call->started_us + reply->ttl_s * DW_US_PER_S;
	call->done.lease(&result, call->data);
}

static void call_end(struct call *call, enum attempt_result attempt_result, enum dw_status status,
		     const struct dw_etcd_reply *reply)
{
	switch (call->verb) {
	case DW_STORE_RANGE:
		report_range(call, status, reply);
		break;
	case DW_STORE_PUT:
		report_put(call, attempt_result, reply);
		break;
	default:
		report_lease(call, status, reply);
		break;
	}
	free(call->body);
	free(call);
}

static enum dw_status parse_response(enum dw_store_verb verb,
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

static void send_attempt(struct call *call);

static bool can_retry(const struct call *call, enum attempt_result attempt_result)
{
	if (call->attempts == call->etcd->endpoint_count || dw_clock_now_us() >= call->deadline_us)
		return false;
	if (attempt_result == ATTEMPT_NOT_APPLIED)
		return true;
	return attempt_result == ATTEMPT_LOST && call->verb != DW_STORE_PUT;
}

static size_t endpoint_for_attempt(const struct call *call, size_t attempts)
{
	return (call->first_endpoint + attempts) % call->etcd->endpoint_count;
}

/*
 * Ranges and writes are linearizable: one that was sent after an answer had a revision shows it or a later one.
 * A serializable range may be answered by a member that lags, so it proves nothing.
 */
static void check_history(const struct call *call, const struct dw_etcd_reply *reply)
{
	struct store_etcd *etcd = call->etcd;
	/* Without a revision nothing is known of this history, so the answer begins it. */
	bool other_cluster = etcd->store.revision && etcd->cluster_id && reply->cluster_id &&
			     reply->cluster_id != etcd->cluster_id;

	if (call->restores_when_sent != etcd->store.restores || call->may_be_stale)
		return;
	if (reply->cluster_id)
		etcd->cluster_id = reply->cluster_id;
	if (other_cluster || reply->revision < call->revision_when_sent) {
		uint64_t before = etcd->store.revision;

		etcd->store.restores++;
		etcd->store.revision = reply->revision;
		if (etcd->store.on_restored)
			etcd->store.on_restored(before, reply->revision, etcd->store.history_data);
	} else if (reply->revision > etcd->store.revision) {
		etcd->store.revision = reply->revision;
	}
}

static void note_back(struct store_etcd *etcd)
{
	if (etcd->away && etcd->store.on_back)
		etcd->store.on_back(etcd->store.history_data);
	etcd->away = false;
}

static void on_response(const struct dw_http_fetch_result *result, void *data)
{
	struct call *call = data;
	struct dw_etcd_reply reply = { 0 };
	enum attempt_result attempt_result = classify_response(result);
	enum dw_status status = DW_OK;

	if (attempt_result == ATTEMPT_ANSWERED &&
	    parse_response(call->verb, result, &reply) != DW_OK)
		attempt_result = ATTEMPT_LOST;
	if (attempt_result == ATTEMPT_ANSWERED) {
		note_back(call->etcd);
		if (call->verb == DW_STORE_RANGE || call->verb == DW_STORE_PUT)
			check_history(call, &reply);
	}
	if (attempt_result != ATTEMPT_ANSWERED) {
		status = failure_status(attempt_result, result);
		if (can_retry(call, attempt_result)) {
			send_attempt(call);
			return;
		}
		if (attempt_result == ATTEMPT_NOT_APPLIED || status == DW_TIMEOUT)
			call->etcd->away = true;
	}
	/* Keep an endpoint with a valid response. After any failure, also a refusal, the next call
	 * starts with the next endpoint. */
	call->etcd->current = endpoint_for_attempt(
		call, attempt_result == ATTEMPT_ANSWERED ? call->attempts - 1 : call->attempts);
	call_end(call, attempt_result, status, &reply);
	dw_etcd_reply_clear(&reply);
}

/* A put gets all of the remaining time, as it can't be retried after a timeout. Other calls divide
 * it among the untried endpoints. */
static uint64_t attempt_deadline_us(const struct call *call)
{
	uint64_t now_us = dw_clock_now_us();

	if (call->verb == DW_STORE_PUT || call->deadline_us <= now_us)
		return call->deadline_us;
	return now_us +
	       (call->deadline_us - now_us) / (call->etcd->endpoint_count - call->attempts);
}

static void send_attempt(struct call *call)
{
	struct store_etcd *etcd = call->etcd;
	struct dw_http_call_options options = http_options(
		etcd, call->verb, endpoint_for_attempt(call, call->attempts), call->body);

	options.deadline_us = attempt_deadline_us(call);
	call->revision_when_sent = etcd->store.revision;
	call->restores_when_sent = etcd->store.restores;
	call->attempts++;
	etcd->store.calls[call->verb]++;
	dw_http_fetch(etcd->client, &options, MAX_RESPONSE_BYTES, on_response, call);
}

static struct call *call_new(struct dw_store *store, enum dw_store_verb verb, char *body,
			     uint64_t deadline_us, void *data)
{
	struct call *call = calloc(1, sizeof(*call));

	call->etcd = to_etcd(store);
	call->verb = verb;
	call->body = body;
	call->first_endpoint = call->etcd->current;
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
	call->may_be_stale = range->may_be_stale;
	call->done.range = done;
	send_attempt(call);
}

static void etcd_put(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		     void *data)
{
	struct call *call =
		call_new(store, DW_STORE_PUT, dw_etcd_json_put(put), put->deadline_us, data);

	call->done.put = done;
	send_attempt(call);
}

static void etcd_lease_grant(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			     dw_store_lease_done done, void *data)
{
	struct call *call = call_new(store, DW_STORE_LEASE_GRANT, dw_etcd_json_lease_grant(ttl_s),
				     deadline_us, data);

	call->done.lease = done;
	send_attempt(call);
}

static void etcd_lease_keep_alive(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
				  dw_store_lease_done done, void *data)
{
	struct call *call = call_new(store, DW_STORE_LEASE_KEEP_ALIVE,
				     dw_etcd_json_lease_keep_alive(lease_id), deadline_us, data);

	call->done.lease = done;
	send_attempt(call);
}

static void on_watch_endpoint_failed(void *data)
{
	struct store_etcd *etcd = data;

	etcd->current = (etcd->current + 1) % etcd->endpoint_count;
}

static struct dw_store_watch *etcd_watch(struct dw_store *store,
					 const struct dw_store_watch_options *options)
{
	struct store_etcd *etcd = to_etcd(store);
	struct dw_etcd_watch_endpoint endpoint = {
		.client = etcd->client,
		.ip = etcd->endpoints[etcd->current].ip,
		.port = etcd->endpoints[etcd->current].port,
		.on_endpoint_failed = on_watch_endpoint_failed,
		.data = etcd,
	};

	etcd->store.calls[DW_STORE_WATCH]++;
	return dw_etcd_watch_start(&endpoint, options);
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
	free(to_etcd(store));
}

enum dw_status dw_store_etcd_parse_endpoint(const char *text, struct dw_store_etcd_endpoint *out)
{
	struct sockaddr_in address;
	char *colon = strchr(text, ':');
	size_t len = colon ? (size_t)(colon - text) : 0;
	char *end = NULL;
	unsigned long port = colon ? strtoul(colon + 1, &end, 10) : 0;

	if (len == 0 || len >= sizeof(out->ip) || port == 0 || port > UINT16_MAX || *end)
		return dw_fail(DW_INVALID_ARGUMENT, "not of the form ip:port: %s", text);
	snprintf(out->ip, sizeof(out->ip), "%.*s", (int)len, text);
	out->port = (uint16_t)port;
	if (uv_ip4_addr(out->ip, out->port, &address) != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "not a numeric IPv4 address: %s", text);
	return DW_OK;
}
