#include "dragonflywharfd/chat_request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "dragonflywharfd/chat_plan.h"
#include "dragonflywharfd/chat_request_state.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/request_headers.h"
#include "dragonflywharfd/session_sync.h"
#include "dragonflywharfd/upstream_table.h"

#define CHAT_PATH "/v1/chat/completions"
/**
 * Interval of the check whether a broken connection was a crash; also the time that the evidence of
 * a crash gets to reach the peers.
 */
#define CRASH_CHECK_POLL_MS 20U
/** Time after which the cause of a broken connection is taken as unknown. */
#define CRASH_CHECK_TIMEOUT_US (1200 * DW_US_PER_MS)
/**
 * Delay before a request is queued again that waits for other suspected requests to end, or whose
 * upstream became cold or was removed before the request was sent.
 */
#define REQUEUE_DELAY_MS 20U

struct chat_step *chat_request_step(struct chat_request *request)
{
	return &request->steps[request->step];
}

void chat_request_free_if_done(struct chat_request *request)
{
	if (!request->ended || request->pending > 0)
		return;
	chat_body_clear(&request->body);
	free(request->content);
	free(request->held_back);
	free(request);
}

static void on_retry_timer_closed(uv_handle_t *handle)
{
	struct chat_request *request = handle->data;

	request->pending--;
	chat_request_free_if_done(request);
}

void chat_request_end(struct chat_request *request)
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
	uv_close((uv_handle_t *)&request->retry_timer, on_retry_timer_closed);
}

void chat_request_fail(struct chat_request *request, enum dw_status status, const char *message)
{
	struct dw_http_exchange *exchange = request->exchange;
	enum not_run not_run = request->may_have_run ? NOT_RUN_UNPROVEN : NOT_RUN_PROVEN;

	error_log_request_end(request->daemon, request->id, request->organisation, status, not_run,
			      message);
	request->exchange = NULL;
	if (exchange && request->answer_started)
		dw_http_stream_end(exchange, false);
	else if (exchange)
		error_reply(exchange, status, not_run, message);
	chat_request_end(request);
}

static void on_caller_gone(struct dw_http_exchange *exchange, void *data)
{
	struct chat_request *request = data;

	request->exchange = NULL;
	if (request->ended)
		return;
	dw_counters_add(&request->daemon->counters, DW_COUNTER_CALLERS_GONE, 1);
	dw_log_event(&request->daemon->log, DW_EVENT_CALLER_GONE, DW_STR("request", request->id));
	chat_request_end(request);
}

static void enqueue(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);
	enum dw_status status;

	request->queue_entry.service_us =
		chat_plan_expected_tokens(request) * CHAT_DEFAULT_TOKEN_US / 4;
	status = dispatcher_enqueue(request->daemon->dispatcher, &request->queue_entry, step->model,
				    step->version);
	if (status != DW_OK)
		chat_request_fail(request, status, "no capacity within the deadline");
}

void chat_request_next_step(struct chat_request *request)
{
	/* The step has run, although its answer was not released. */
	request->may_have_run = true;
	request->step++;
	request->tried_count = 0;
	memset(&request->usage, 0, sizeof(request->usage));
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	enqueue(request);
	daemon_pump(request->daemon);
}

/* Chooses another version for the current step. On success, the current version stays excluded. */
static enum dw_status choose_other_version(struct chat_request *request, struct chat_step *other)
{
	const struct chat_step *step = chat_request_step(request);
	enum dw_status status;

	*other = *step;
	memcpy(request->excluded_version, step->version, sizeof(request->excluded_version));
	status = chat_plan_choose_version(request, other, NULL);
	if (status != DW_OK)
		request->excluded_version[0] = '\0';
	return status;
}

bool chat_request_rates_before_release(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);
	struct daemon *daemon = request->daemon;
	struct chat_step other;

	if (!daemon->rater || request->in_session || request->excluded_version[0] ||
	    !chat_request_at_last_step(request) ||
	    !dw_rollout_is_watched(daemon->rollout,
				   chat_plan_version_id(step->model, step->version)) ||
	    choose_other_version(request, &other) != DW_OK)
		return false;
	request->excluded_version[0] = '\0';
	return true;
}

bool chat_request_rerun(struct chat_request *request)
{
	struct dw_retry_budget_options options = dw_retry_budget_default_options();
	struct daemon *daemon = request->daemon;
	struct chat_step other;
	uint64_t now_us = dw_clock_now_us();

	if (now_us >= request->deadline_us || choose_other_version(request, &other) != DW_OK ||
	    chat_plan_expected_us(request, &other) > request->deadline_us - now_us)
		return false;
	if (!dw_retry_budget_take(request_headers_budget(daemon, request->organisation_id), NULL,
				  &options, now_us)) {
		dw_counters_add(&daemon->counters, DW_COUNTER_RETRIES_DENIED, 1);
		return false;
	}
	dispatcher_finish(daemon->dispatcher, &request->queue_entry);
	if (dispatcher_enqueue(daemon->dispatcher, &request->queue_entry, other.model,
			       other.version) != DW_OK)
		return false;
	request->may_have_run = true;
	*chat_request_step(request) = other;
	request->tried_count = 0;
	memset(&request->usage, 0, sizeof(request->usage));
	dw_counters_add(&daemon->counters, DW_COUNTER_RETRIES, 1);
	daemon_pump(daemon);
	return true;
}

static void on_expired(void *owner)
{
	chat_request_fail(owner, DW_TIMEOUT, "no capacity within the deadline");
}

static void on_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
		     void *owner)
{
	chat_answer_stream_event(owner, data, data_len, raw, raw_len);
}

static bool take_retry_budget(struct chat_request *request, const struct attempt_end *end)
{
	struct dw_retry_budget_options options = dw_retry_budget_default_options();
	struct daemon *daemon = request->daemon;
	struct upstream *upstream =
		upstream_table_find(daemon->upstreams, request->tried[request->tried_count - 1]);

	/* An attempt that was not sent adds no load. */
	if (end->progress == DW_HTTP_NOT_SENT)
		return true;
	return dw_retry_budget_take(request_headers_budget(daemon, request->organisation_id),
				    upstream ? &upstream->budget : NULL, &options,
				    dw_clock_now_us());
}

static bool may_retry(struct chat_request *request, const struct attempt_end *end)
{
	struct daemon *daemon = request->daemon;

	if (request->answer_started || request->tried_count >= CHAT_ATTEMPTS_MAX ||
	    dw_clock_now_us() >= request->deadline_us || end->status == DW_TIMEOUT)
		return false;
	if (!dw_quarantine_may_retry(daemon->quarantine, request->fingerprint,
				     request->crash_retries, dw_clock_now_us()))
		return false;
	if (take_retry_budget(request, end))
		return true;
	dw_counters_add(&daemon->counters, DW_COUNTER_RETRIES_DENIED, 1);
	return false;
}

static void retry_or_fail(struct chat_request *request)
{
	const struct attempt_end *end = &request->last_failure;

	if (!may_retry(request, end)) {
		chat_request_fail(request, end->status, "the attempt failed and was not retried");
		return;
	}
	if (request->connection_lost)
		request->crash_retries++;
	free(request->content);
	request->content = NULL;
	request->content_len = 0;
	dw_counters_add(&request->daemon->counters, DW_COUNTER_RETRIES, 1);
	enqueue(request);
	daemon_pump(request->daemon);
}

/* True until it is known whether the upstream crashed, and for one more poll in which the evidence
 * can reach the peers. */
static bool crash_check_pending(struct chat_request *request)
{
	bool cause_known = !upstream_table_crash_check_pending(
		request->daemon->upstreams, request->tried[request->tried_count - 1],
		request->fingerprint);
	bool evidence_sent = request->crash_check_done;

	request->crash_check_done = cause_known;
	return dw_clock_now_us() < request->crash_check_deadline_us &&
	       !(cause_known && evidence_sent);
}

static void on_retry_timer(uv_timer_t *timer)
{
	struct chat_request *request = timer->data;

	if (request->ended)
		return;
	if (request->waits_for_suspects) {
		request->waits_for_suspects = false;
		enqueue(request);
		daemon_pump(request->daemon);
		return;
	}
	if (request->connection_lost && crash_check_pending(request)) {
		uv_timer_start(timer, on_retry_timer, CRASH_CHECK_POLL_MS, 0);
		return;
	}
	retry_or_fail(request);
}

/* Leaves the queue and enters it again after REQUEUE_DELAY_MS. */
static void requeue_later(struct chat_request *request)
{
	request->waits_for_suspects = true;
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	uv_update_time(&request->daemon->loop);
	uv_timer_start(&request->retry_timer, on_retry_timer, REQUEUE_DELAY_MS, 0);
}

/*
 * After a broken connection, both the retry and the error reply wait until the evidence of a crash
 * was sent to the peers, because the caller may repeat the request through another instance.
 */
static void attempt_failed(struct chat_request *request, const struct attempt_end *end)
{
	if (end->send_refused) {
		request->tried_count--;
		requeue_later(request);
		return;
	}
	request->connection_lost =
		end->status == DW_UPSTREAM_FAILED && end->progress != DW_HTTP_NOT_SENT;
	request->last_failure = (struct attempt_end){
		.status = end->status == DW_OK ? DW_UPSTREAM_FAILED : end->status,
		.progress = end->progress,
		.http_status = end->http_status,
	};
	if (end->progress != DW_HTTP_NOT_SENT)
		request->may_have_run = true;
	if (end->http_status == 500 && chat_request_at_last_step(request))
		chat_rating_count_outcome(request->daemon, chat_request_step(request)->model,
					  chat_request_step(request)->version, DW_ROLLOUT_ERROR);
	dispatcher_finish(request->daemon->dispatcher, &request->queue_entry);
	request->crash_check_done = false;
	request->crash_check_deadline_us = dw_clock_now_us() + CRASH_CHECK_TIMEOUT_US;
	uv_update_time(&request->daemon->loop);
	uv_timer_start(&request->retry_timer, on_retry_timer,
		       request->connection_lost ? CRASH_CHECK_POLL_MS : 0, 0);
}

/* Forwards an error that is due to the request itself; other upstreams would refuse it too. */
static void forward_refusal(struct chat_request *request, const struct attempt_end *end)
{
	struct dw_http_exchange *exchange = request->exchange;

	dw_log_event(&request->daemon->log, DW_EVENT_REQUEST_FAILED, DW_STR("request", request->id),
		     DW_STR("organisation", request->organisation),
		     DW_STR("status", "refused_by_upstream"),
		     DW_INT("http_status", end->http_status), DW_INT("not_run", 0));
	request->exchange = NULL;
	dw_http_respond(exchange, end->http_status, end->content_type, end->body, end->body_len);
	chat_request_end(request);
}

static bool is_refusal(int http_status)
{
	return http_status >= 400 && http_status < 500 && !error_status_is_refusal(http_status);
}

static void on_attempt_end(const struct attempt_end *end, void *owner)
{
	struct chat_request *request = owner;
	bool complete = end->status == DW_OK && end->http_status == 200;
	bool last = chat_request_at_last_step(request);

	request->attempt = NULL;
	if (complete && last && request->body.stream && !request->rates_before_release)
		chat_answer_stream_ended(request);
	else if (complete)
		chat_answer_buffered(request, end->body, end->body_len);
	else if (end->status == DW_OK && is_refusal(end->http_status))
		forward_refusal(request, end);
	else
		attempt_failed(request, end);
	if (complete) {
		end->sample->prompt_tokens = request->usage.prompt_tokens;
		end->sample->output_tokens = request->usage.completion_tokens;
	}
}

static enum dw_status route(struct chat_request *request, struct dispatch_choice *choice)
{
	const struct chat_step *step = chat_request_step(request);
	struct daemon *daemon = request->daemon;
	uint64_t now_us = dw_clock_now_us();
	struct dispatch_request dispatch = {
		.model = step->model,
		.version = step->version,
		.fingerprint = request->fingerprint,
		.route = {
			.now_us = now_us,
			.deadline_us = request->deadline_us,
			.affinity = request->body.affinity,
			.random = daemon_random(daemon),
			.prompt_tokens = request->body.prompt_tokens,
			.output_tokens = (uint32_t)chat_plan_expected_tokens(request),
			.crash_suspect = dw_quarantine_is_suspect(daemon->quarantine,
							    request->fingerprint, now_us),
			.tried = request->tried,
			.tried_count = request->tried_count,
		},
	};

	return dispatcher_route(daemon->dispatcher, &dispatch, choice);
}

static void start_attempt(struct chat_request *request, const struct dispatch_choice *choice)
{
	const struct chat_step *step = chat_request_step(request);
	bool rates_first = chat_request_rates_before_release(request);
	bool streamed = chat_request_at_last_step(request) && request->body.stream && !rates_first;
	char serves[2 * DW_NAME_MAX_BYTES + 2];
	char *body = chat_body_for_upstream(&request->body, step->model, step->version, streamed);
	struct attempt_options options = {
		.mode = streamed ? ATTEMPT_STREAMED : ATTEMPT_BUFFERED,
		.choice = choice,
		.method = "POST",
		.path = CHAT_PATH,
		.content_type = "application/json",
		.body = body,
		.body_len = strlen(body),
		.organisation = request->organisation,
		.serves = serves,
		.request_id = request->id,
		.fingerprint = request->fingerprint,
		.deadline_us = request->deadline_us,
		.on_event = on_event,
		.on_end = on_attempt_end,
		.owner = request,
	};

	snprintf(serves, sizeof(serves), "%s/%s", step->model, step->version);
	request->rates_before_release = rates_first;
	request->tried[request->tried_count++] = choice->upstream->id;
	request->attempt = attempt_start(request->daemon, &options);
	free(body);
}

/* Checks again what may have changed while the request was queued; may choose another version. */
static enum dw_status recheck(struct chat_request *request)
{
	struct daemon *daemon = request->daemon;
	struct chat_step *step = chat_request_step(request);
	enum dw_status status =
		dw_quarantine_check(daemon->quarantine, request->fingerprint, dw_clock_now_us());
	bool last = chat_request_at_last_step(request);

	if (status != DW_OK)
		return status;
	if (last && request->body.version[0])
		return chat_plan_named_version(request, step);
	status = dw_ruleset_version_permitted(daemon->ruleset, request->organisation, step->model,
					      step->version);
	if (status == DW_OK &&
	    !dw_rollout_is_held(daemon->rollout, chat_plan_version_id(step->model, step->version)))
		return DW_OK;
	/* The version was withdrawn, held or forbidden in the meantime: choose another one. */
	status = chat_plan_choose_version(request, step, NULL);
	if (status == DW_OK && last)
		request->session_moved = true;
	return status;
}

static bool on_dispatch(void *owner)
{
	struct chat_request *request = owner;
	struct dispatch_choice choice;
	enum dw_status status = recheck(request);

	if (status != DW_OK) {
		chat_request_fail(request, status, dw_last_message());
		return true;
	}
	status = route(request, &choice);
	if (status == DW_OVERLOADED)
		return false;
	if (status == DW_UNAVAILABLE && choice.retry_later)
		requeue_later(request);
	else if (status != DW_OK)
		chat_request_fail(request, status, "no upstream in service is left to try");
	else
		start_attempt(request, &choice);
	return true;
}

static struct chat_request *request_new(struct daemon *daemon, struct dw_http_exchange *exchange,
					const struct dw_organisation *organisation)
{
	struct chat_request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->daemon = daemon;
	request->exchange = exchange;
	request->received_us = dw_clock_now_us();
	snprintf(request->organisation, sizeof(request->organisation), "%s", organisation->name);
	request->organisation_id = chat_plan_name_id(organisation->name);
	request_headers_read(daemon, exchange, request->organisation, &request->request_id,
			     &request->deadline_us, &request->queue_entry.priority);
	snprintf(request->id, sizeof(request->id), "%016" PRIx64 "%016" PRIx64,
		 request->request_id.high, request->request_id.low);
	request->queue_entry.dispatch = on_dispatch;
	request->queue_entry.expired = on_expired;
	request->queue_entry.owner = request;
	request->queue_entry.organisation_id = request->organisation_id;
	request->queue_entry.deadline_us = request->deadline_us;
	uv_timer_init(&daemon->loop, &request->retry_timer);
	request->retry_timer.data = request;
	request->pending = 1; /* until the timer is closed */
	return request;
}

static enum dw_status prepare(struct chat_request *request, const char **session_version)
{
	struct daemon *daemon = request->daemon;
	const struct dw_model *model;
	const char *body;
	size_t len;
	enum dw_status status;

	body = dw_http_body(request->exchange, &len);
	status = chat_body_parse(&request->body, body, len, request->organisation);
	if (status != DW_OK)
		return status;
	request->fingerprint = dw_fingerprint_request(request->organisation, CHAT_PATH, body, len);
	status = dw_quarantine_check(daemon->quarantine, request->fingerprint, dw_clock_now_us());
	if (status != DW_OK)
		return dw_fail(status, "this request has crashed upstreams before");
	model = dw_ruleset_model(daemon->ruleset, request->body.model);
	if (!model)
		return dw_fail(DW_NOT_FOUND, "model %s does not exist", request->body.model);
	request->quality_target_permille = model->quality_target_permille;
	return chat_plan_session_version(request, session_version);
}

/* Plans the steps and queues the first one; @p session_version may be NULL. */
static void plan_and_enqueue(struct chat_request *request, const char *session_version)
{
	struct daemon *daemon = request->daemon;
	const struct dw_model *model = dw_ruleset_model(daemon->ruleset, request->body.model);
	enum dw_status status;

	if (!model) {
		dw_fail(DW_NOT_FOUND, "model %s does not exist", request->body.model);
		chat_request_fail(request, DW_NOT_FOUND, dw_last_message());
		return;
	}
	request->in_session =
		session_version || request->has_session_id || request->body.version[0];
	request->work_class =
		dw_cascade_work_class(request->body.prompt_tokens, request->in_session);
	status = chat_plan_steps(request, model, session_version);
	if (status == DW_OK)
		status = ledger_sync_reserve(daemon->ledger_sync);
	if (status != DW_OK) {
		chat_request_fail(request, status, dw_last_message());
		return;
	}
	request->reserved = true;
	if (request->has_session_id && request->session_moved) {
		request->session.moves++;
		request->session.assigned_us = dw_clock_wall_us();
		request->session.member = daemon->key;
		snprintf(request->session.version, sizeof(request->session.version), "%s",
			 request->steps[request->step_count - 1].version);
		session_sync_put(daemon->session_sync, &request->session);
	}
	enqueue(request);
}

static void on_session(const struct dw_session_entry *entry, void *owner)
{
	struct chat_request *request = owner;

	request->pending--;
	if (!request->ended) {
		request->session = *entry;
		plan_and_enqueue(request, entry->version[0] ? entry->version : NULL);
		daemon_pump(request->daemon);
	}
	chat_request_free_if_done(request);
}

/* Proposes a version for the caller's session id; on_session() gets the one that is in force. */
static enum dw_status resolve_session(struct chat_request *request, const char *session)
{
	struct daemon *daemon = request->daemon;
	struct chat_step step = { .version = "" };
	struct dw_session_entry proposed = {
		.id = dw_session_id_make(request->organisation, request->body.model, session),
		.assigned_us = dw_clock_wall_us(),
		.member = daemon->key,
	};
	enum dw_status status;

	snprintf(step.model, sizeof(step.model), "%s", request->body.model);
	status = chat_plan_choose_version(request, &step, NULL);
	if (status != DW_OK)
		return status;
	snprintf(proposed.version, sizeof(proposed.version), "%s", step.version);
	request->has_session_id = true;
	request->pending++;
	session_sync_resolve(daemon->session_sync, &proposed, on_session, request);
	return DW_OK;
}

void chat_request_start(struct daemon *daemon, struct dw_http_exchange *exchange,
			const struct dw_organisation *organisation)
{
	struct chat_request *request = request_new(daemon, exchange, organisation);
	const char *session = dw_http_header(exchange, "x-session-id");
	const char *session_version = NULL;
	enum dw_status status;

	dw_http_on_disconnect(exchange, on_caller_gone, request);
	dw_log_event(&daemon->log, DW_EVENT_REQUEST_RECEIVED, DW_STR("request", request->id),
		     DW_STR("organisation", request->organisation), DW_STR("kind", "chat"));
	status = prepare(request, &session_version);
	if (status == DW_OK && session && !session_version)
		status = resolve_session(request, session);
	else if (status == DW_OK)
		plan_and_enqueue(request, session_version);
	if (status != DW_OK) {
		if (status == DW_INVALID_ARGUMENT)
			dw_counters_add(&daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
		chat_request_fail(request, status, dw_last_message());
		return;
	}
	daemon_pump(daemon);
}
