#include "dragonflywharfd/service_request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "dragonflywharfd/attempt.h"
#include "dragonflywharfd/error_reply.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/once_sync.h"
#include "dragonflywharfd/request_headers.h"
#include "dragonflywharfd/upstream_table.h"

#define ATTEMPTS_MAX 4
#define REQUEST_ID_BYTES 40
#define PATH_BYTES 1024
#define KEY_BYTES 256
#define CONTENT_TYPE_BYTES 96
#define EXPECTED_SERVICE_US (50 * DW_US_PER_MS)

struct service_request {
	struct daemon *daemon;
	struct dw_http_exchange *exchange; /* NULL once answered or disconnected */
	char organisation[DW_NAME_MAX_BYTES + 1];
	char service[DW_NAME_MAX_BYTES + 1];
	char id[REQUEST_ID_BYTES];
	char method[16];
	char path[PATH_BYTES]; /* without the service prefix, with the query */
	char key[KEY_BYTES]; /* idempotency key; "" if none */
	char content_type[CONTENT_TYPE_BYTES];
	char *body;
	size_t body_len;
	struct dw_fingerprint request_id;
	struct dw_fingerprint fingerprint;
	struct queue_entry queue_entry;
	struct attempt *attempt;
	uint64_t tried[ATTEMPTS_MAX];
	size_t tried_count;
	bool at_most_once;
	uint64_t ticket; /* of the at-most-once journal; 0 if none */
	bool may_have_run; /* an attempt was sent */
	bool reserved; /* has space reserved in the ledger */
	bool ended;
	uint32_t pending; /* callbacks that still refer to this request */
	/* The answer, held back until its outcome and its usage record are stored. */
	bool answered;
	int http_status;
	char answer_content_type[CONTENT_TYPE_BYTES];
	char *answer;
	size_t answer_len;
};

static void free_if_done(struct service_request *request)
{
	if (!request->ended || request->pending > 0)
		return;
	free(request->body);
	free(request->answer);
	free(request);
}

static void end_request(struct service_request *request)
{
	if (request->ended)
		return;
	request->ended = true;
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	if (request->attempt)
		attempt_abandon(request->attempt);
	request->attempt = NULL;
	if (request->reserved)
		ledger_sync_unreserve(request->daemon->ledger_sync);
	request->reserved = false;
	if (request->ticket)
		once_sync_detach(request->daemon->once_sync, request->ticket);
}

static void fail_request(struct service_request *request, enum dw_status status,
			 enum not_run not_run, const char *message)
{
	struct dw_http_exchange *exchange = request->exchange;

	error_log_request_end(request->daemon, request->id, request->organisation, status, not_run,
			      message);
	request->exchange = NULL;
	if (exchange)
		error_reply(exchange, status, not_run, message);
	end_request(request);
}

/*
 * Fails a request. An at-most-once request gets here only if nothing was sent, so its key is
 * released to be used again.
 */
static void release_key_and_fail(struct service_request *request, enum dw_status status,
				 const char *message)
{
	if (request->ticket)
		once_sync_release(request->daemon->once_sync, request->ticket);
	request->ticket = 0;
	fail_request(request, status, request->may_have_run ? NOT_RUN_UNPROVEN : NOT_RUN_PROVEN,
		     message);
}

static void on_caller_gone(struct dw_http_exchange *exchange, void *data)
{
	struct service_request *request = data;

	request->exchange = NULL;
	if (request->ended)
		return;
	dw_counters_add(&request->daemon->counters, DW_COUNTER_CALLERS_GONE, 1);
	dw_log_event(&request->daemon->log, DW_EVENT_CALLER_GONE, DW_STR("request", request->id));
	/* An at-most-once request continues, so that a repeated request gets its outcome. */
	if (!request->at_most_once)
		end_request(request);
	free_if_done(request);
}

static void send_answer(struct service_request *request)
{
	struct dw_http_exchange *exchange = request->exchange;

	request->exchange = NULL;
	if (exchange) {
		dw_counters_add(&request->daemon->counters, DW_COUNTER_REQUESTS_DONE, 1);
		request_headers_credit_budget(request->daemon,
					      request->queue_entry.organisation_id);
		dw_log_event(&request->daemon->log, DW_EVENT_REQUEST_DONE,
			     DW_STR("request", request->id),
			     DW_STR("organisation", request->organisation),
			     DW_STR("service", request->service),
			     DW_INT("http_status", request->http_status));
		dw_http_add_header(exchange, "x-request-id", request->id);
		dw_http_respond(exchange, request->http_status, request->answer_content_type,
				request->answer, request->answer_len);
	}
	end_request(request);
}

static void on_usage_confirmed(void *owner)
{
	struct service_request *request = owner;

	request->pending--;
	send_answer(request);
	free_if_done(request);
}

static void record_usage_and_send(struct service_request *request)
{
	struct dw_usage_record record = {
		.request_id = request->request_id,
		.finished_at_us = dw_clock_wall_us(),
	};

	snprintf(record.organisation, sizeof(record.organisation), "%s", request->organisation);
	snprintf(record.model, sizeof(record.model), "%s", request->service);
	request->reserved = false;
	request->pending++;
	ledger_sync_append(request->daemon->ledger_sync, &record, on_usage_confirmed, request);
}

static void store_answer(struct service_request *request, int http_status, const char *type,
			 const char *body, size_t len)
{
	request->http_status = http_status;
	snprintf(request->answer_content_type, sizeof(request->answer_content_type), "%s", type);
	free(request->answer);
	request->answer = malloc(len + 1);
	if (!request->answer)
		abort();
	memcpy(request->answer, body, len);
	request->answer[len] = '\0';
	request->answer_len = len;
	request->answered = true;
}

static void enqueue(struct service_request *request)
{
	enum dw_status status = dispatcher_enqueue(request->daemon->dispatcher,
						   &request->queue_entry, request->service, NULL);

	if (status != DW_OK)
		release_key_and_fail(request, status, "no capacity within the deadline");
}

static void replay_answer(struct service_request *request, const struct dw_once_decision *decision)
{
	const struct dw_once_answer *answer = &decision->answer;

	dw_log_event(&request->daemon->log, DW_EVENT_INTENT_REPEATED,
		     DW_STR("request", request->id), DW_STR("service", request->service));
	if (!answer->body) {
		fail_request(request, DW_UNKNOWN_OUTCOME, NOT_RUN_UNPROVEN,
			     "the call has run, but its answer was too large to store");
		return;
	}
	store_answer(request, answer->http_status, answer->content_type, answer->body,
		     answer->body_bytes);
	if (request->exchange)
		dw_http_add_header(request->exchange, "x-replayed", "1");
	record_usage_and_send(request);
}

static void on_outcome_stored(struct service_request *request, bool stored)
{
	dw_log_event(&request->daemon->log, DW_EVENT_OUTCOME_KEPT, DW_STR("request", request->id),
		     DW_INT("kept", stored));
	if (request->answered)
		record_usage_and_send(request);
	else
		fail_request(request, DW_UNKNOWN_OUTCOME, NOT_RUN_UNPROVEN,
			     "the call may have run and will not be sent again");
}

static void on_decided(const struct dw_once_decision *decision, void *owner)
{
	struct service_request *request = owner;

	/* Keeps the request until free_if_done() below: an answer sent at once would free it. */
	request->pending++;
	switch (decision->kind) {
	case DW_ONCE_DISPATCH:
		dw_log_event(&request->daemon->log, DW_EVENT_INTENT_COMMITTED,
			     DW_STR("request", request->id), DW_STR("service", request->service));
		if (!request->exchange) {
			release_key_and_fail(request, DW_CANCELLED, "the caller has disconnected");
			break;
		}
		enqueue(request);
		break;
	case DW_ONCE_REPLAY:
		replay_answer(request, decision);
		break;
	case DW_ONCE_IN_PROGRESS:
		fail_request(request, DW_CONFLICT, NOT_RUN_UNPROVEN,
			     "a call with this idempotency key is in progress");
		break;
	case DW_ONCE_OUTCOME_UNKNOWN:
		fail_request(request, DW_UNKNOWN_OUTCOME, NOT_RUN_UNPROVEN,
			     "an earlier call with this idempotency key may have run and will not "
			     "be sent again");
		break;
	case DW_ONCE_MISMATCH:
		fail_request(request, DW_CONFLICT, NOT_RUN_UNPROVEN,
			     "this idempotency key was used with another path or body");
		break;
	case DW_ONCE_REFUSED:
		fail_request(request, decision->status,
			     decision->key_unused ? NOT_RUN_PROVEN : NOT_RUN_UNPROVEN,
			     "the intent could not be committed; nothing was sent");
		break;
	case DW_ONCE_OUTCOME_STORED:
	case DW_ONCE_OUTCOME_NOT_STORED:
		on_outcome_stored(request, decision->kind == DW_ONCE_OUTCOME_STORED);
		break;
	case DW_ONCE_DECISION_KIND_COUNT:
		break;
	}
	request->pending--;
	free_if_done(request);
}

/* A chunked answer of a server that closes its connection after it may be cut off between two chunks;
 * invalid JSON shows it. */
static bool is_complete(const struct attempt_end *end)
{
	struct json_object *parsed;
	bool complete;

	if (end->has_length || end->body_len == 0)
		return end->has_length;
	if (!strstr(end->content_type, "json"))
		return false;
	parsed = json_tokener_parse(end->body);
	complete = parsed != NULL;
	json_object_put(parsed);
	return complete;
}

static void finish_at_most_once(struct service_request *request, const struct attempt_end *end)
{
	struct dw_once_answer answer = {
		.http_status = (uint16_t)end->http_status,
		.body = end->body,
		.body_bytes = (uint32_t)end->body_len,
	};
	/* The call may have run, whatever the status of its answer promises. */
	bool complete_answer = end->status == DW_OK && is_complete(end) &&
			       !end->may_be_earlier_refusal &&
			       !error_status_is_refusal(end->http_status);

	request->may_have_run = true;
	if (complete_answer)
		store_answer(request, end->http_status, end->content_type, end->body,
			     end->body_len);
	snprintf(answer.content_type, sizeof(answer.content_type), "%s", end->content_type);
	once_sync_finish(request->daemon->once_sync, request->ticket,
			 complete_answer ? &answer : NULL);
}

static bool may_retry(struct service_request *request, const struct attempt_end *end)
{
	struct daemon *daemon = request->daemon;
	struct dw_retry_budget_options options = dw_retry_budget_default_options();

	if (request->tried_count >= ATTEMPTS_MAX ||
	    dw_clock_now_us() >= request->queue_entry.deadline_us || end->status == DW_TIMEOUT)
		return false;
	if (end->progress == DW_HTTP_NOT_SENT)
		return true;
	return !request->at_most_once &&
	       dw_retry_budget_take(
		       request_headers_budget(daemon, request->queue_entry.organisation_id), NULL,
		       &options, dw_clock_now_us());
}

static void on_attempt_end(const struct attempt_end *end, void *owner)
{
	struct service_request *request = owner;
	bool succeeded = end->status == DW_OK && is_complete(end) &&
			 (request->at_most_once || end->http_status < 500) &&
			 !error_status_is_refusal(end->http_status);

	request->pending++;
	request->attempt = NULL;
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	if (end->progress != DW_HTTP_NOT_SENT)
		request->may_have_run = true;
	if (succeeded && !request->at_most_once) {
		store_answer(request, end->http_status, end->content_type, end->body,
			     end->body_len);
		record_usage_and_send(request);
	} else if (request->at_most_once && end->progress != DW_HTTP_NOT_SENT) {
		finish_at_most_once(request, end);
	} else if (may_retry(request, end)) {
		dw_counters_add(&request->daemon->counters, DW_COUNTER_RETRIES, 1);
		enqueue(request);
	} else {
		release_key_and_fail(request,
				     end->status == DW_OK ? DW_UPSTREAM_FAILED : end->status,
				     "the service is unreachable or failed");
	}
	request->pending--;
	free_if_done(request);
}

static enum dw_status route(struct service_request *request, struct dispatch_choice *choice)
{
	struct daemon *daemon = request->daemon;
	struct dispatch_request dispatch = {
		.model = request->service,
		.fingerprint = request->fingerprint,
		.route = {
			.now_us = dw_clock_now_us(),
			.deadline_us = request->queue_entry.deadline_us,
			.random = daemon_random(daemon),
			.output_tokens = 1,
			.tried = request->tried,
			.tried_count = request->tried_count,
		},
	};

	return dispatcher_route(daemon->dispatcher, &dispatch, choice);
}

static void start_attempt(struct service_request *request, const struct dispatch_choice *choice)
{
	struct attempt_options options = {
		.mode = ATTEMPT_BUFFERED,
		.choice = choice,
		.method = request->method,
		.path = request->path,
		.content_type = request->content_type,
		.body = request->body,
		.body_len = request->body_len,
		.organisation = request->organisation,
		.serves = request->service,
		.request_id = request->id,
		.idempotency_key = request->key[0] ? request->key : NULL,
		.fingerprint = request->fingerprint,
		.deadline_us = request->queue_entry.deadline_us,
		.on_end = on_attempt_end,
		.owner = request,
	};

	request->tried[request->tried_count++] = choice->upstream->id;
	request->attempt = attempt_start(request->daemon, &options);
}

static bool on_dispatch(void *owner)
{
	struct service_request *request = owner;
	struct daemon *daemon = request->daemon;
	struct dispatch_choice choice;
	enum dw_status status = dw_ruleset_service_permitted(daemon->ruleset, request->organisation,
							     request->service);

	if (status == DW_OK && request->ticket &&
	    !once_sync_may_send(daemon->once_sync, request->ticket))
		status = dw_fail(DW_TIMEOUT, "this instance no longer owns the intent");
	if (status == DW_OK)
		status = route(request, &choice);
	if (status == DW_OVERLOADED)
		return false;
	if (status == DW_OK)
		start_attempt(request, &choice);
	else
		release_key_and_fail(request, status, "no upstream of the service is left to try");
	free_if_done(request);
	return true;
}

static void on_expired(void *owner)
{
	struct service_request *request = owner;

	release_key_and_fail(request, DW_TIMEOUT, "no capacity within the deadline");
	free_if_done(request);
}

static enum dw_status parse_path(struct service_request *request, const char *path,
				 const char *query)
{
	const char *name = path + strlen(SERVICE_PREFIX);
	const char *rest = strchr(name, '/');
	size_t name_len = rest ? (size_t)(rest - name) : strlen(name);
	int len;

	if (name_len == 0 || name_len > DW_NAME_MAX_BYTES)
		return dw_fail(DW_NOT_FOUND,
			       "path: expected a valid service name after /services/");
	memcpy(request->service, name, name_len);
	len = snprintf(request->path, sizeof(request->path), "%s%s%s", rest ? rest : "/",
		       *query ? "?" : "", query);
	if (len >= (int)sizeof(request->path))
		return dw_fail(DW_TOO_LARGE, "the path is too long");
	return DW_OK;
}

static void copy_body(struct service_request *request)
{
	size_t len;
	const char *body = dw_http_body(request->exchange, &len);
	const char *type = dw_http_header(request->exchange, "content-type");

	request->body = malloc(len + 1);
	if (!request->body)
		abort();
	memcpy(request->body, body, len);
	request->body_len = len;
	snprintf(request->content_type, sizeof(request->content_type), "%s",
		 type ? type : "application/octet-stream");
}

static enum dw_status parse_key(struct service_request *request)
{
	const char *key = dw_http_header(request->exchange, "idempotency-key");

	if (key && (strlen(key) == 0 || strlen(key) >= sizeof(request->key)))
		return dw_fail(DW_INVALID_ARGUMENT, "idempotency-key: expected 1 to 255 bytes");
	if (!key && request->at_most_once)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "idempotency-key: required, as this call is not idempotent");
	snprintf(request->key, sizeof(request->key), "%s", key ? key : "");
	return DW_OK;
}

static enum dw_status prepare(struct service_request *request)
{
	struct daemon *daemon = request->daemon;
	const char *path = dw_http_path(request->exchange);
	const struct dw_service *service;
	char path_without_query[PATH_BYTES];
	enum dw_status status = parse_path(request, path, dw_http_query(request->exchange));

	if (status == DW_OK)
		status = dw_ruleset_service_permitted(daemon->ruleset, request->organisation,
						      request->service);
	if (status != DW_OK)
		return status;
	service = dw_ruleset_service(daemon->ruleset, request->service);
	snprintf(path_without_query, sizeof(path_without_query), "%s", request->path);
	path_without_query[strcspn(path_without_query, "?")] = '\0';
	request->at_most_once = !dw_service_path_idempotent(service, path_without_query);
	copy_body(request);
	status = parse_key(request);
	if (status != DW_OK)
		return status;
	request->fingerprint = dw_fingerprint_request(request->organisation, path, request->body,
						      request->body_len);
	status = dw_quarantine_check(daemon->quarantine, request->fingerprint, dw_clock_now_us());
	if (status != DW_OK)
		return dw_fail(status, "this request has crashed upstreams before");
	status = ledger_sync_reserve(daemon->ledger_sync);
	request->reserved = status == DW_OK;
	return status;
}

static enum dw_status enqueue_or_commit_intent(struct service_request *request)
{
	struct dw_once_request intent = {
		.organisation = request->organisation,
		.service = request->service,
		.key = request->key,
		.fingerprint = request->fingerprint,
		.deadline_us = request->queue_entry.deadline_us,
	};

	if (!request->at_most_once) {
		enqueue(request);
		return DW_OK;
	}
	return once_sync_begin(request->daemon->once_sync, &intent, on_decided, request,
			       &request->ticket);
}

void service_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			   const struct dw_organisation *organisation)
{
	struct service_request *request = calloc(1, sizeof(*request));
	enum dw_status status;

	if (!request)
		abort();
	request->daemon = daemon;
	request->exchange = exchange;
	snprintf(request->organisation, sizeof(request->organisation), "%s", organisation->name);
	snprintf(request->method, sizeof(request->method), "%s", dw_http_method(exchange));
	request_headers_read(daemon, exchange, request->organisation, &request->request_id,
			     &request->queue_entry.deadline_us, &request->queue_entry.priority);
	snprintf(request->id, sizeof(request->id), "%016" PRIx64 "%016" PRIx64,
		 request->request_id.high, request->request_id.low);
	request->queue_entry.dispatch = on_dispatch;
	request->queue_entry.expired = on_expired;
	request->queue_entry.owner = request;
	request->queue_entry.service_us = EXPECTED_SERVICE_US;
	request->queue_entry.organisation_id =
		XXH64(organisation->name, strlen(organisation->name), 0);
	dw_http_on_disconnect(exchange, on_caller_gone, request);
	dw_log_event(&daemon->log, DW_EVENT_REQUEST_RECEIVED, DW_STR("request", request->id),
		     DW_STR("organisation", request->organisation), DW_STR("kind", "service"));
	request->pending = 1;
	status = prepare(request);
	if (status == DW_OK)
		status = enqueue_or_commit_intent(request);
	if (status != DW_OK)
		fail_request(request, status, NOT_RUN_PROVEN, dw_last_message());
	request->pending--;
	free_if_done(request);
	daemon_pump(daemon);
}
