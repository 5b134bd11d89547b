#include "wharf-gateway/admission_gate.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/admission_floor.h>
#include <dragonflywharf/admission_terms.h>
#include <dragonflywharf/organisation_usage.h>
#include <dragonflywharf/rendezvous.h>
#include <dragonflywharf/release_pace.h>
#include <dragonflywharf/service_capacity.h>
#include <dragonflywharf/silence.h>

#include "base/clock.h"
#include "wharf-gateway/exchange_reply.h"
#include "wharf-gateway/exchange_state.h"

#define QUEUE_ENTRIES 512
/* While requests wait, it is checked this often whether one can go on, */
#define POLL_US (20 * DW_US_PER_MS)
/* and this long after a request has ended, so that many ends share one check. */
#define WAKE_MS 2
/* Entries that are tried in one check. */
#define TRIES_MAX 64
/* Requests that wait for the first configuration; the other pools are sets of engines. */
#define CONFIG_POOL 0
/* Assumed until a request of the pool has ended: of a plain service, and of model engines. */
#define PLAIN_RUN_US (50 * DW_US_PER_MS)
#define MODEL_RUN_US DW_US_PER_S
/* Weight of a sample in the learnt times: one part in so many. */
#define LEARN_PART 8
/* Assumed while the number of instances isn't known, for some seconds after a start. Too many would hold
 * requests until they are late, too few only cost some rejections by engines. */
#define START_INSTANCES 64
/* The limits of an instance vary with this period: that of the digests which pass on the loads. */
#define LIMIT_PERIOD_US (300 * DW_US_PER_MS)
#define RETRY_HINT_MAX_US (2 * DW_US_PER_S)

enum refusal_cause {
	REFUSED_NO_CONFIG, /* the first configuration came too late */
	REFUSED_LATE, /* could no longer be served in time */
	REFUSED_FULL, /* the queue was full */
	REFUSAL_CAUSE_COUNT
};

static const char *const refusal_names[REFUSAL_CAUSE_COUNT] = {
	[REFUSED_NO_CONFIG] = "no_config",
	[REFUSED_LATE] = "late",
	[REFUSED_FULL] = "queue_full",
};

/* The requests that the same engines can serve. */
struct gate_pool {
	char service[DW_ENGINE_TEXT_BYTES];
	char model[DW_ENGINE_TEXT_BYTES];
	uint64_t
		lead_us; /* mean time from sending to the first byte of a stream, else to the end */
	uint64_t run_us; /* mean time from sending to the end */
	struct dw_release_pace pace;
	struct dw_admission_floor floor;
};

struct admission_gate {
	struct router *router;
	struct dw_admission *admission;
	struct gate_pool pools[DW_ADMISSION_POOLS_MAX];
	uint32_t pool_count;
	struct dw_organisation_usage usage;
	uint64_t seed; /* of this instance's limits */
	uv_timer_t timer;
	struct exchange *turn; /* the request whose on_turn() runs */
	uint64_t waited; /* requests sent after they have waited, since the start */
	uint64_t refused[REFUSAL_CAUSE_COUNT];
};

struct admission_gate *admission_gate_new(struct router *router, uv_loop_t *loop)
{
	struct admission_gate *gate = calloc(1, sizeof(*gate));

	if (!gate)
		abort();
	gate->router = router;
	gate->admission = dw_admission_new(QUEUE_ENTRIES);
	if (!gate->admission)
		abort();
	gate->pool_count = CONFIG_POOL + 1;
	uv_random(NULL, NULL, &gate->seed, sizeof(gate->seed), 0, NULL);
	uv_timer_init(loop, &gate->timer);
	gate->timer.data = gate;
	return gate;
}

void admission_gate_free(struct admission_gate *gate)
{
	dw_admission_free(gate->admission);
	free(gate);
}

static struct admission_gate *gate_of(const struct exchange *exchange)
{
	return exchange->router->admission;
}

/* Pools beyond the table share its last entry, whose requests are then tried one by one. */
static uint32_t pool_of(struct admission_gate *gate, const struct exchange *exchange)
{
	const char *model = exchange->model ? exchange->model : "";
	struct gate_pool *pool;
	uint32_t i;

	for (i = CONFIG_POOL + 1; i < gate->pool_count; i++) {
		if (strcmp(gate->pools[i].service, exchange->service_name) == 0 &&
		    strcmp(gate->pools[i].model, model) == 0)
			return i;
	}
	if (i == DW_ADMISSION_POOLS_MAX)
		return i - 1;
	pool = &gate->pools[gate->pool_count++];
	snprintf(pool->service, sizeof(pool->service), "%s", exchange->service_name);
	snprintf(pool->model, sizeof(pool->model), "%s", model);
	pool->run_us = exchange->service && exchange->service->batch_slots > 0 ? MODEL_RUN_US
									       : PLAIN_RUN_US;
	return i;
}

/* Whether what keeps the request from being sent may not keep others of its pool. */
static bool is_alone(const struct admission_gate *gate, const struct exchange *exchange)
{
	return exchange->tried_count > 0 || exchange->has_suspicion ||
	       exchange->send_wait_deadline_us > 0 ||
	       (gate->pool_count == DW_ADMISSION_POOLS_MAX &&
		exchange->wait.entry.pool == DW_ADMISSION_POOLS_MAX - 1);
}

static struct dw_service_capacity capacity_of(const struct admission_gate *gate,
					      const struct gate_pool *pool, uint64_t now_us)
{
	const struct view *view = gate->router->view;
	struct dw_service_capacity capacity = { 0 };

	for (struct dw_engine *it = dw_engine_set_first(view->engines); it; it = it->next) {
		if (strcmp(it->entry.service, pool->service) == 0 &&
		    dw_engine_is_usable(it, now_us) && !dw_engine_is_paused(it, now_us) &&
		    it->ejected_until_us <= now_us &&
		    (!pool->model[0] || dw_engine_has_model(it, pool->model)) &&
		    !dw_domain_list_contains(&view->evacuated, it->entry.failure_domain))
			dw_service_capacity_add(&capacity, it, now_us);
	}
	return capacity;
}

static uint32_t instances(const struct admission_gate *gate, uint64_t now_us)
{
	uint32_t estimated = peers_estimated_instances(&gate->router->view->peers, now_us);

	return estimated < DW_MEMBERSHIP_MAX ? estimated : START_INSTANCES;
}

static uint64_t interval_us(const struct admission_gate *gate, const struct gate_pool *pool,
			    uint64_t now_us)
{
	struct dw_service_capacity capacity = capacity_of(gate, pool, now_us);

	return dw_service_capacity_interval_us(&capacity, pool->run_us, instances(gate, now_us));
}

static void on_timer(uv_timer_t *timer);

static void set_timer(struct admission_gate *gate, uint64_t after_ms)
{
	if (dw_admission_waiting(gate->admission) == 0)
		uv_timer_stop(&gate->timer);
	else
		uv_timer_start(&gate->timer, on_timer, after_ms, 0);
}

static enum dw_capacity_class class_of(const struct admission_gate *gate,
				       const struct admission_wait *wait, uint64_t now_us)
{
	return dw_admission_class_of(&wait->entry, &gate->pools[wait->entry.pool].floor,
				     &gate->usage, now_us);
}

/* Counts and logs a refusal, and tells the caller when the queue will have passed. */
static void count_refusal(struct exchange *exchange, enum refusal_cause cause, uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	struct admission_wait *wait = &exchange->wait;
	struct gate_pool *pool = &gate->pools[wait->entry.pool];
	uint64_t waited_us = wait->since_us > 0 ? now_us - wait->since_us : 0;

	gate->refused[cause]++;
	if (wait->entry.pool != CONFIG_POOL) {
		size_t waiting = dw_admission_pool_waiting(gate->admission, wait->entry.pool);
		/* The less a request is favoured, the later its caller is told to come back. */
		uint64_t hint_us = interval_us(gate, pool, now_us) * (waiting + 1) *
				   (1 + (uint64_t)class_of(gate, wait, now_us));

		if (hint_us > RETRY_HINT_MAX_US)
			hint_us = RETRY_HINT_MAX_US;
		if (now_us + hint_us > exchange->retry_not_before_us)
			exchange->retry_not_before_us = now_us + hint_us;
		dw_admission_floor_refused(&pool->floor, wait->entry.priority);
	}
	dw_log_event(gate->router->log, DW_EVENT_WAIT_REFUSED,
		     DW_STR("request", exchange->fields.attempt_id),
		     DW_STR("service", exchange->service_name ? exchange->service_name : ""),
		     DW_STR("cause", refusal_names[cause]),
		     DW_STR("engines", dw_choice_result_name(wait->cause)),
		     DW_INT("priority", wait->entry.priority),
		     DW_INT("waited_ms", waited_us / DW_US_PER_MS),
		     DW_INT("waiting", dw_admission_waiting(gate->admission)));
}

/* Refuses a request that couldn't wait, or waited too long. */
static void refuse(struct exchange *exchange, enum refusal_cause cause, uint64_t now_us)
{
	const struct admission_wait *wait = &exchange->wait;

	count_refusal(exchange, cause, now_us);
	if (wait->entry.pool == CONFIG_POOL)
		exchange_refuse(exchange, DW_NO_CONFIGURATION, "no configuration yet");
	else if (wait->cause == DW_CHOICE_FOUND)
		wait->callbacks->on_refused(exchange, "too many requests wait for the engines");
	else
		wait->callbacks->on_refused(exchange, dw_choice_result_name(wait->cause));
}

static void give_turn(struct admission_gate *gate, struct exchange *exchange)
{
	gate->turn = exchange;
	exchange->wait.callbacks->on_turn(exchange);
	gate->turn = NULL;
}

/*
 * Ends a wait that was in vain. A request that only waited for engines with less to do is sent if its
 * caller's time allows: the engine may have room, and a late answer is better than none.
 */
static void end_wait(struct exchange *exchange, enum refusal_cause cause, uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	const struct admission_wait *wait = &exchange->wait;

	if (cause == REFUSED_LATE && wait->cause == DW_CHOICE_FOUND && gate->turn != exchange &&
	    now_us + gate->pools[wait->entry.pool].lead_us < exchange->policy.deadline_us)
		give_turn(gate, exchange);
	else
		refuse(exchange, cause, now_us);
}

static void push(struct exchange *exchange, uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	enum dw_status status = dw_admission_push(gate->admission, now_us, &exchange->wait.entry,
						  &exchange->wait.handle);

	if (status == DW_OK) {
		exchange->wait.since_us = now_us;
		if (!uv_is_active((const uv_handle_t *)&gate->timer))
			set_timer(gate, POLL_US / DW_US_PER_MS);
	} else if (status == DW_OVERLOADED) {
		refuse(exchange, REFUSED_FULL, now_us);
	} else {
		end_wait(exchange,
			 exchange->wait.entry.pool == CONFIG_POOL ? REFUSED_NO_CONFIG
								  : REFUSED_LATE,
			 now_us);
	}
}

void admission_gate_wait_for_config(struct exchange *exchange,
				    void (*on_config)(struct exchange *exchange))
{
	const struct request_fields *fields = &exchange->fields;
	uint64_t arrived_us = exchange->request.arrived_at_us;
	exchange->wait.entry = (struct dw_admission_entry){
		.pool = CONFIG_POOL,
		.deadline_us = dw_admission_first_config_until_us(
			arrived_us, fields->has_deadline
					    ? arrived_us + fields->time_left_ms * DW_US_PER_MS
					    : 0),
		.data = exchange,
	};

	exchange->wait.is_first_config = true;
	exchange->wait.on_config = on_config;
	push(exchange, dw_clock_now_us());
}

/* Whether the engines' load allows to send the request. */
static bool has_room(const struct admission_gate *gate, const struct exchange *exchange,
		     uint64_t now_us)
{
	const struct admission_wait *wait = &exchange->wait;
	struct dw_service_capacity capacity;

	if (!gate->router->settings->hold_by_load)
		return true;
	capacity = capacity_of(gate, &gate->pools[wait->entry.pool], now_us);
	return exchange->send_count > 0 ||
	       dw_service_capacity_has_room(
		       &capacity, class_of(gate, wait, now_us),
		       dw_rendezvous_score(gate->seed, now_us / LIMIT_PERIOD_US));
}

bool admission_gate_must_wait(struct exchange *exchange, uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	struct admission_wait *wait = &exchange->wait;
	const char *organisation = exchange->organisation ? exchange->organisation->name : "";

	if (gate->turn == exchange || exchange->send_count > 0)
		return false;
	wait->entry.pool = pool_of(gate, exchange);
	wait->entry.priority = dw_admission_priority_of(exchange->route, exchange->organisation);
	wait->entry.organisation_id = dw_rendezvous_key(organisation, strlen(organisation));
	if (exchange->has_suspicion)
		return false;
	return wait->is_first_config ||
	       dw_admission_is_behind(gate->admission, &wait->entry, now_us) ||
	       !has_room(gate, exchange, now_us);
}

/* A request that has been dispatched from the queue has ended, or is queued once more. */
static void finish(struct exchange *exchange, uint64_t service_us)
{
	struct admission_wait *wait = &exchange->wait;

	if (!wait->is_taken)
		return;
	wait->is_taken = false;
	dw_admission_finished(gate_of(exchange)->admission, wait->entry.organisation_id,
			      wait->entry.pool, service_us);
}

/* Whether all engines pause for longer than the request may wait. */
static bool pauses_too_long(struct exchange *exchange, const struct dw_choice_request *choice,
			    uint64_t goal_us)
{
	struct router *router = exchange->router;
	uint64_t end_us = dw_engine_pause_end_us(router->view->engines, choice);

	if (end_us < goal_us) {
		router->pause_waits++;
		return false;
	}
	if (end_us < UINT64_MAX)
		exchange->retry_not_before_us = end_us;
	router->pause_refusals++;
	return true;
}

static void set_limits(struct exchange *exchange, uint64_t now_us)
{
	struct admission_wait *wait = &exchange->wait;
	const struct gate_pool *pool = &gate_of(exchange)->pools[wait->entry.pool];
	struct dw_admission_request request = {
		.route = exchange->route,
		.organisation = exchange->organisation,
		.arrived_at_us = exchange->request.arrived_at_us,
		.deadline_us = exchange->policy.deadline_us,
		.is_after_start = wait->is_first_config,
		.lead_us = pool->lead_us,
	};
	struct dw_admission_terms terms = dw_admission_terms_of(&request, now_us);

	/* A stream that has begun waits for as long as its caller. */
	if (exchange->policy.is_stream_started)
		terms.wait_until_us = dw_silence_wait_goal_us(exchange->route, &exchange->policy,
							      request.arrived_at_us,
							      exchange->last_progress_at_us);
	wait->entry.deadline_us = terms.wait_until_us + pool->lead_us;
	wait->entry.service_us = pool->lead_us;
	wait->entry.in_time_until_us = terms.in_time_until_us;
	wait->entry.data = exchange;
}

/* Tells the queue how many requests this instance can run at once, for its estimate of the wait. */
static void update_pool(struct admission_gate *gate, uint32_t index, uint64_t now_us)
{
	struct dw_service_capacity capacity = capacity_of(gate, &gate->pools[index], now_us);
	uint64_t share = capacity.slots / instances(gate, now_us);

	dw_admission_set_pool(gate->admission, index,
			      capacity.slots == 0 ? 0 : (uint32_t)(share > 0 ? share : 1));
}

void admission_gate_wait(struct exchange *exchange, const struct dw_choice_request *choice,
			 enum dw_choice_result result, const struct admission_callbacks *callbacks,
			 uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	struct admission_wait *wait = &exchange->wait;
	struct gate_pool *pool;

	wait->cause = result;
	if (wait->handle != 0)
		return;
	finish(exchange, 0);
	wait->callbacks = callbacks;
	pool = &gate->pools[wait->entry.pool];
	set_limits(exchange, now_us);
	if (result == DW_CHOICE_PAUSED &&
	    pauses_too_long(exchange, choice, wait->entry.deadline_us - wait->entry.service_us)) {
		callbacks->on_refused(exchange, dw_choice_result_name(result));
		return;
	}
	update_pool(gate, wait->entry.pool, now_us);
	if (dw_admission_pool_waiting(gate->admission, wait->entry.pool) == 0 &&
	    result == DW_CHOICE_FOUND)
		dw_release_pace_stagger(&pool->pace, interval_us(gate, pool, now_us),
					router_random(gate->router), now_us);
	push(exchange, now_us);
}

void admission_gate_sent(struct exchange *exchange, uint64_t now_us)
{
	struct admission_gate *gate = gate_of(exchange);
	struct admission_wait *wait = &exchange->wait;
	struct gate_pool *pool;

	wait->is_first_config = false;
	finish(exchange, 0);
	pool = &gate->pools[wait->entry.pool];
	dw_admission_floor_served(&pool->floor, wait->entry.priority);
	dw_organisation_usage_sent(&gate->usage, wait->entry.organisation_id);
	if (wait->handle == 0)
		return;
	dw_admission_take(gate->admission, wait->handle);
	wait->handle = 0;
	wait->is_taken = true;
	gate->waited++;
	dw_release_pace_take(&pool->pace, interval_us(gate, pool, now_us), POLL_US, now_us);
	dw_log_event(gate->router->log, DW_EVENT_REQUEST_WAITED,
		     DW_STR("request", exchange->fields.attempt_id),
		     DW_STR("service", pool->service),
		     DW_STR("engines", dw_choice_result_name(wait->cause)),
		     DW_INT("priority", wait->entry.priority),
		     DW_INT("waited_ms", (now_us - wait->since_us) / DW_US_PER_MS),
		     DW_INT("waiting", dw_admission_waiting(gate->admission)));
}

static void learn(uint64_t *mean_us, uint64_t sample_us)
{
	*mean_us = *mean_us > 0 ? *mean_us - *mean_us / LEARN_PART + sample_us / LEARN_PART
				: sample_us;
}

/* Only complete answers show how long a run takes. */
static uint64_t learn_times(struct exchange *exchange, uint64_t now_us)
{
	struct gate_pool *pool = &gate_of(exchange)->pools[exchange->wait.entry.pool];
	uint64_t sent_us = exchange->attempt_sent_at_us;
	uint64_t first_us = exchange->first_byte_at_us;
	uint64_t lead_us;

	if (exchange->send_count == 0 || first_us < sent_us || exchange->answer.status >= 300)
		return 0;
	lead_us = (exchange->route->kind == DW_ROUTE_STREAM ? first_us : now_us) - sent_us;
	learn(&pool->lead_us, lead_us);
	learn(&pool->run_us, now_us - sent_us);
	return lead_us;
}

void admission_gate_leave(struct exchange *exchange)
{
	struct admission_gate *gate = gate_of(exchange);
	struct admission_wait *wait = &exchange->wait;

	if (wait->handle != 0)
		dw_admission_cancel(gate->admission, wait->handle);
	wait->handle = 0;
	if (wait->entry.pool == CONFIG_POOL)
		return;
	finish(exchange, learn_times(exchange, dw_clock_now_us()));
	if (dw_admission_pool_waiting(gate->admission, wait->entry.pool) > 0 && !gate->turn)
		set_timer(gate, WAKE_MS);
}

static void refuse_expired(struct admission_gate *gate, uint64_t now_us)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	while (dw_admission_expire(gate->admission, now_us, &entry, &handle) == DW_OK) {
		struct exchange *exchange = entry.data;

		exchange->wait.handle = 0;
		end_wait(exchange, entry.pool == CONFIG_POOL ? REFUSED_NO_CONFIG : REFUSED_LATE,
			 now_us);
	}
}

/* Those that waited for the first configuration are queued again, now in the order of their routes. */
static void leave_config_pool(struct admission_gate *gate)
{
	struct dw_admission_entry entry;
	dw_admission_handle handle;

	if (!view_catalog(gate->router->view))
		return;
	while (dw_admission_pop(gate->admission, UINT64_C(1) << CONFIG_POOL, &entry, &handle) ==
	       DW_OK) {
		struct exchange *exchange = entry.data;

		dw_admission_finished(gate->admission, entry.organisation_id, entry.pool, 0);
		exchange->wait.handle = 0;
		exchange->catalog = dw_catalog_retain(view_catalog(gate->router->view));
		exchange->wait.on_config(exchange);
	}
}

static uint64_t open_pools(const struct admission_gate *gate, uint64_t now_us)
{
	uint64_t open = 0;

	for (uint32_t i = CONFIG_POOL + 1; i < gate->pool_count; i++) {
		if (dw_admission_pool_waiting(gate->admission, i) > 0 &&
		    dw_release_pace_allows(&gate->pools[i].pace, now_us))
			open |= UINT64_C(1) << i;
	}
	return open;
}

static struct exchange *next_request(struct admission_gate *gate, uint64_t open,
				     dw_admission_handle *handle)
{
	struct dw_admission_entry entry;

	for (uint32_t i = CONFIG_POOL + 1; i < gate->pool_count; i++) {
		uint32_t starving =
			open >> i & 1 ? dw_admission_floor_starving(&gate->pools[i].floor) : 0;

		if (starving != 0 && dw_admission_peek(gate->admission, UINT64_C(1) << i, starving,
						       &entry, handle) == DW_OK)
			return entry.data;
	}
	return dw_admission_peek(gate->admission, open, DW_ADMISSION_ALL_LEVELS, &entry, handle) ==
			       DW_OK
		       ? entry.data
		       : NULL;
}

static void release(struct admission_gate *gate, uint64_t now_us)
{
	uint64_t open = open_pools(gate, now_us);

	dw_admission_begin_round(gate->admission);
	for (int tries = 0; open != 0 && tries < TRIES_MAX; tries++) {
		dw_admission_handle handle;
		struct exchange *exchange = next_request(gate, open, &handle);
		uint32_t pool;

		if (!exchange)
			break;
		pool = exchange->wait.entry.pool;
		if (!has_room(gate, exchange, now_us)) {
			exchange->wait.cause = DW_CHOICE_FOUND;
			dw_admission_skip(gate->admission, handle);
			continue;
		}
		give_turn(gate, exchange);
		if (exchange->wait.handle == handle && is_alone(gate, exchange))
			dw_admission_skip(gate->admission, handle);
		else if (exchange->wait.handle == handle ||
			 !dw_release_pace_allows(&gate->pools[pool].pace, now_us))
			open &= ~(UINT64_C(1) << pool);
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct admission_gate *gate = timer->data;
	uint64_t now_us = dw_clock_now_us();

	leave_config_pool(gate);
	refuse_expired(gate, now_us);
	dw_admission_mark_late(gate->admission, now_us);
	release(gate, now_us);
	set_timer(gate, POLL_US / DW_US_PER_MS);
}

void admission_gate_write_metrics(const struct admission_gate *gate, FILE *out)
{
	fprintf(out,
		"# HELP dragonflywharf_admission_waiting Requests that wait to be sent.\n"
		"# TYPE dragonflywharf_admission_waiting gauge\n"
		"dragonflywharf_admission_waiting %zu\n"
		"# HELP dragonflywharf_admission_waited_total Requests sent after a wait.\n"
		"# TYPE dragonflywharf_admission_waited_total counter\n"
		"dragonflywharf_admission_waited_total %" PRIu64 "\n"
		"# HELP dragonflywharf_admission_refused_total Requests refused from the queue.\n"
		"# TYPE dragonflywharf_admission_refused_total counter\n",
		dw_admission_waiting(gate->admission), gate->waited);
	for (int cause = 0; cause < REFUSAL_CAUSE_COUNT; cause++)
		fprintf(out, "dragonflywharf_admission_refused_total{cause=\"%s\"} %" PRIu64 "\n",
			refusal_names[cause], gate->refused[cause]);
}
