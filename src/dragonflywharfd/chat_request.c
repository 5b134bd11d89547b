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
/** Between two looks for the report that tells a crash from a cut connection; also the time that
 * the evidence gets to reach the peers. */
#define CRASH_VERDICT_POLL_MS 20U
/** A broken attempt is given up for unexplained after this. */
#define CRASH_VERDICT_US (1200 * DW_US_PER_MS)
/** A suspected request looks again so often for an upstream that runs no other suspect. */
#define SUSPECT_WAIT_MS 20U

struct chat_step *chat_request_step(struct chat_request *request)
{
	return &request->steps[request->step];
}

void chat_request_settle(struct chat_request *request)
{
	if (!request->ended || request->pending > 0)
		return;
	chat_body_clear(&request->body);
	free(request->content);
	free(request->tail);
	free(request);
}

static void on_retry_timer_closed(uv_handle_t *handle)
{
	struct chat_request *request = handle->data;

	request->pending--;
	chat_request_settle(request);
}

void chat_request_end(struct chat_request *request)
{
	if (request->ended)
		return;
	request->ended = true;
	dispatcher_done(request->daemon->dispatcher, &request->turn);
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

	error_count_end(request->daemon, request->id, request->organisation, status, not_run,
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

	request->turn.service_us = chat_plan_expected_tokens(request) * CHAT_GUESSED_TOKEN_US / 4;
	status = dispatcher_enqueue(request->daemon->dispatcher, &request->turn, step->model,
				    step->version);
	if (status != DW_OK)
		chat_request_fail(request, status, "no capacity within the deadline");
}

void chat_request_next_step(struct chat_request *request)
{
	/* A step has run, though none of its answer was released. */
	request->may_have_run = true;
	request->step++;
	request->tried_count = 0;
	memset(&request->usage, 0, sizeof(request->usage));
	dispatcher_done(request->daemon->dispatcher, &request->turn);
	enqueue(request);
	daemon_pump(request->daemon);
}

/* Another version than the avoided one for the current step. */
static enum dw_status choose_other_version(struct chat_request *request, struct chat_step *other)
{
	const struct chat_step *step = chat_request_step(request);
	enum dw_status status;

	*other = *step;
	memcpy(request->avoided_version, step->version, sizeof(request->avoided_version));
	status = chat_plan_choose_version(request, other, NULL);
	if (status != DW_OK)
		request->avoided_version[0] = '\0';
	return status;
}

bool chat_request_rates_first(struct chat_request *request)
{
	const struct chat_step *step = chat_request_step(request);
	struct daemon *daemon = request->daemon;
	struct chat_step other;

	if (!daemon->rater || request->in_session || request->avoided_version[0] ||
	    !chat_request_at_last_step(request) ||
	    !dw_rollout_is_watched(daemon->rollout,
				   chat_plan_version_id(step->model, step->version)) ||
	    choose_other_version(request, &other) != DW_OK)
		return false;
	request->avoided_version[0] = '\0';
	return true;
}

bool chat_request_run_again(struct chat_request *request)
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
	dispatcher_done(daemon->dispatcher, &request->turn);
	if (dispatcher_enqueue(daemon->dispatcher, &request->turn, other.model, other.version) !=
	    DW_OK)
		return false;
	request->may_have_run = true;
	*chat_request_step(request) = other;
	request->tried_count = 0;
	memset(&request->usage, 0, sizeof(request->usage));
	dw_counters_add(&daemon->counters, DW_COUNTER_RETRIES, 1);
	daemon_pump(daemon);
	return true;
}

static void turn_expired(void *owner)
{
	chat_request_fail(owner, DW_TIMEOUT, "no capacity within the deadline");
}

static void on_event(const char *data, size_t data_len, const char *raw, size_t raw_len,
		     void *owner)
{
	chat_answer_event(owner, data, data_len, raw, raw_len);
}

static bool take_retry_budget(struct chat_request *request, const struct attempt_end *end)
{
	struct dw_retry_budget_options options = dw_retry_budget_default_options();
	struct daemon *daemon = request->daemon;
	struct upstream *upstream =
		upstream_table_find(daemon->upstreams, request->tried[request->tried_count - 1]);

	/* A try that reached no one adds no load. */
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
	const struct attempt_end *end = &request->failed;

	if (!may_retry(request, end)) {
		chat_request_fail(request, end->status, "the upstream's answer failed");
		return;
	}
	if (request->broke)
		request->crash_retries++;
	free(request->content);
	request->content = NULL;
	request->content_len = 0;
	dw_counters_add(&request->daemon->counters, DW_COUNTER_RETRIES, 1);
	enqueue(request);
	daemon_pump(request->daemon);
}

/* True until the verdict has come and its evidence has had time to travel. */
static bool verdict_pending(struct chat_request *request)
{
	bool judged = !upstream_table_judging(request->daemon->upstreams,
					      request->tried[request->tried_count - 1],
					      request->fingerprint);
	bool travelled = request->judged;

	request->judged = judged;
	return dw_clock_now_us() < request->verdict_deadline_us && !(judged && travelled);
}

static void on_retry_timer(uv_timer_t *timer)
{
	struct chat_request *request = timer->data;

	if (request->ended)
		return;
	if (request->waits_for_others) {
		request->waits_for_others = false;
		enqueue(request);
		daemon_pump(request->daemon);
		return;
	}
	if (request->broke && verdict_pending(request)) {
		uv_timer_start(timer, on_retry_timer, CRASH_VERDICT_POLL_MS, 0);
		return;
	}
	retry_or_fail(request);
}

/* Gives the turn to others and queues again later. */
static void come_back(struct chat_request *request)
{
	request->waits_for_others = true;
	dispatcher_done(request->daemon->dispatcher, &request->turn);
	uv_update_time(&request->daemon->loop);
	uv_timer_start(&request->retry_timer, on_retry_timer, SUSPECT_WAIT_MS, 0);
}

/*
 * After a broken connection neither a retry nor the caller, who may send the request again through
 * another instance, goes before the crash's evidence does.
 */
static void attempt_failed(struct chat_request *request, const struct attempt_end *end)
{
	if (end->withheld) {
		request->tried_count--;
		come_back(request);
		return;
	}
	request->broke = end->status == DW_UPSTREAM_FAILED && end->progress != DW_HTTP_NOT_SENT;
	request->failed = (struct attempt_end){
		.status = end->status == DW_OK ? DW_UPSTREAM_FAILED : end->status,
		.progress = end->progress,
		.http_status = end->http_status,
	};
	if (end->progress != DW_HTTP_NOT_SENT)
		request->may_have_run = true;
	if (end->http_status == 500 && chat_request_at_last_step(request))
		chat_rating_count(request->daemon, chat_request_step(request)->model,
				  chat_request_step(request)->version, DW_ROLLOUT_ERROR);
	dispatcher_done(request->daemon->dispatcher, &request->turn);
	request->judged = false;
	request->verdict_deadline_us = dw_clock_now_us() + CRASH_VERDICT_US;
	uv_update_time(&request->daemon->loop);
	uv_timer_start(&request->retry_timer, on_retry_timer,
		       request->broke ? CRASH_VERDICT_POLL_MS : 0, 0);
}

/* The upstream refuses the request itself: no other would take it. */
static void pass_refusal(struct chat_request *request, const struct attempt_end *end)
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
	return http_status >= 400 && http_status < 500 && http_status != 408 && http_status != 429;
}

static void on_attempt_end(const struct attempt_end *end, void *owner)
{
	struct chat_request *request = owner;
	bool whole = end->status == DW_OK && end->http_status == 200;
	bool last = chat_request_at_last_step(request);

	request->attempt = NULL;
	if (whole && last && request->body.stream && !request->rates_first)
		chat_answer_streamed(request);
	else if (whole)
		chat_answer_plain(request, end->body, end->body_len);
	else if (end->status == DW_OK && is_refusal(end->http_status))
		pass_refusal(request, end);
	else
		attempt_failed(request, end);
	if (whole) {
		end->sample->prompt_tokens = request->usage.prompt_tokens;
		end->sample->output_tokens = request->usage.completion_tokens;
	}
}

static enum dw_status route(struct chat_request *request, struct dispatch_choice *choice)
{
	const struct chat_step *step = chat_request_step(request);
	struct daemon *daemon = request->daemon;
	uint64_t now_us = dw_clock_now_us();
	struct dispatch_request asked = {
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
			.suspect = dw_quarantine_is_suspect(daemon->quarantine,
							    request->fingerprint, now_us),
			.tried = request->tried,
			.tried_count = request->tried_count,
		},
	};

	return dispatcher_route(daemon->dispatcher, &asked, choice);
}

static void start_attempt(struct chat_request *request, const struct dispatch_choice *choice)
{
	const struct chat_step *step = chat_request_step(request);
	bool rates_first = chat_request_rates_first(request);
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
	request->rates_first = rates_first;
	request->tried[request->tried_count++] = choice->upstream->id;
	request->attempt = attempt_start(request->daemon, &options);
	free(body);
}

/* What may have changed while the request waited. */
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
	/* The version was withdrawn, held or forbidden meanwhile: another of the model's. */
	status = chat_plan_choose_version(request, step, NULL);
	if (status == DW_OK && last)
		request->session_moved = true;
	return status;
}

static bool turn_dispatch(void *owner)
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
	if (status == DW_UNAVAILABLE && choice.later)
		come_back(request);
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
	request->organisation_id = chat_plan_id(organisation->name);
	request_headers_read(daemon, exchange, request->organisation, &request->request_id,
			     &request->deadline_us, &request->turn.priority);
	snprintf(request->id, sizeof(request->id), "%016" PRIx64 "%016" PRIx64,
		 request->request_id.high, request->request_id.low);
	request->turn.dispatch = turn_dispatch;
	request->turn.expired = turn_expired;
	request->turn.owner = request;
	request->turn.organisation_id = request->organisation_id;
	request->turn.deadline_us = request->deadline_us;
	uv_timer_init(&daemon->loop, &request->retry_timer);
	request->retry_timer.data = request;
	request->pending = 1; /* the timer's close */
	return request;
}

static enum dw_status prepare(struct chat_request *request, const char **kept)
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
		return dw_fail(DW_NOT_FOUND, "no model %s", request->body.model);
	request->quality_target_permille = model->quality_target_permille;
	return chat_plan_session_version(request, kept);
}

/* Chooses the versions and queues the first step; @p kept is the session's version or NULL. */
static void plan_and_enqueue(struct chat_request *request, const char *kept)
{
	struct daemon *daemon = request->daemon;
	const struct dw_model *model = dw_ruleset_model(daemon->ruleset, request->body.model);
	enum dw_status status;

	if (!model) {
		dw_fail(DW_NOT_FOUND, "no model %s", request->body.model);
		chat_request_fail(request, DW_NOT_FOUND, dw_last_message());
		return;
	}
	request->in_session = kept || request->has_session_id || request->body.version[0];
	request->work_id = dw_cascade_work_class(request->body.prompt_tokens, request->in_session);
	status = chat_plan_steps(request, model, kept);
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
	chat_request_settle(request);
}

/* Proposes a version for the session that the caller names; the one that stands comes back. */
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
	const char *kept = NULL;
	enum dw_status status;

	dw_http_on_gone(exchange, on_caller_gone, request);
	dw_log_event(&daemon->log, DW_EVENT_REQUEST_RECEIVED, DW_STR("request", request->id),
		     DW_STR("organisation", request->organisation), DW_STR("kind", "chat"));
	status = prepare(request, &kept);
	if (status == DW_OK && session && !kept)
		status = resolve_session(request, session);
	else if (status == DW_OK)
		plan_and_enqueue(request, kept);
	if (status != DW_OK) {
		if (status == DW_INVALID_ARGUMENT)
			dw_counters_add(&daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
		chat_request_fail(request, status, dw_last_message());
		return;
	}
	daemon_pump(daemon);
}
