#include "wharf-gateway/shifts_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "base/random.h"

#define KEY_BYTES 200
#define COUNT_FIELDS 6
/* Records that are read within this time after an order were read with it. */
#define READ_TOGETHER_US (50 * DW_US_PER_MS)
/* A process that starts late asks for the pins at these times after it has read the order: the first
 * members are known then, and a lost datagram isn't repeated. */
static const uint64_t ask_after_us[] = { 300 * DW_US_PER_MS, 1500 * DW_US_PER_MS };
/* Operators have written again within this time after a restore what it has lost, and an order that they haven't was
 * given up by then, see view_restore.h. */
#define REWRITTEN_WITHIN_US (12 * DW_US_PER_S)
/* An instance that started this long ago may know nothing of a restore. */
#define NEWCOMER_FOR_US (10 * DW_US_PER_S)
#define ASK_COUNT (sizeof(ask_after_us) / sizeof(ask_after_us[0]))

void shifts_init(struct shifts *shifts, struct dw_log *log, const char *instance,
		 struct era_guard *era_guard)
{
	memset(shifts, 0, sizeof(*shifts));
	shifts->era_guard = era_guard;
	shifts->log = log;
	shifts->instance = instance;
	shifts->pins = dw_session_pins_new();
}

static struct service_shift *find(struct shifts *shifts, const char *service)
{
	struct service_shift *found;

	HASH_FIND_STR(shifts->services, service, found);
	return found;
}

/* The records of a service may be read before its order: their revisions are kept for the writes. */
static struct service_shift *find_or_add(struct shifts *shifts, const char *service)
{
	struct service_shift *found = find(shifts, service);
	size_t len = strlen(service);

	if (found || len >= sizeof(found->shift.order.service))
		return found;
	found = calloc(1, sizeof(*found));
	if (!found)
		abort();
	found->owner = shifts;
	memcpy(found->shift.order.service, service, len + 1);
	HASH_ADD_STR(shifts->services, shift.order.service, found);
	return found;
}

const struct dw_shift *shifts_find(struct shifts *shifts, const char *service)
{
	const struct service_shift *found = find(shifts, service);

	return found ? &found->shift : NULL;
}

static void log_shift(const struct service_shift *service, const char *cause, uint64_t now_us)
{
	const struct dw_shift *shift = &service->shift;
	struct dw_shift_counts new = dw_shift_pooled_counts(shift, DW_SHIFT_NEW, now_us);
	struct dw_shift_counts old = dw_shift_pooled_counts(shift, DW_SHIFT_OLD, now_us);
	const struct dw_shift_load *own_load = &shift->own.load;
	const struct dw_shift_load *peer_load = &shift->peers.load;
	uint64_t old_loads = (uint64_t)own_load->old_answers + peer_load->old_answers;
	uint64_t old_load_sum = own_load->old_permille_sum + peer_load->old_permille_sum;

	dw_log_event(service->owner->log, DW_EVENT_SHIFT_CHANGED,
		     DW_STR("service", shift->order.service),
		     DW_STR("target", shift->order.target_version),
		     DW_STR("state", dw_shift_state_name(shift->state)), DW_STR("cause", cause),
		     DW_INT("progress_permille", dw_shift_progress(shift, now_us)),
		     DW_INT("new_answers", new.answers), DW_INT("new_bad", new.bad),
		     DW_INT("new_timed", new.timed), DW_INT("new_slow", new.slow),
		     DW_INT("new_good", new.good), DW_INT("new_busy_ms", new.busy_ms),
		     DW_INT("old_answers", old.answers), DW_INT("old_bad", old.bad),
		     DW_INT("old_timed", old.timed), DW_INT("old_slow", old.slow),
		     DW_INT("old_good", old.good), DW_INT("old_busy_ms", old.busy_ms),
		     DW_INT("new_loaded", own_load->good[DW_SHIFT_LOAD_LEVELS - 1] +
						  peer_load->good[DW_SHIFT_LOAD_LEVELS - 1]),
		     DW_INT("new_loaded_bad", own_load->bad[DW_SHIFT_LOAD_LEVELS - 1] +
						      peer_load->bad[DW_SHIFT_LOAD_LEVELS - 1]),
		     DW_INT("old_load_permille", old_loads > 0 ? old_load_sum / old_loads : 0));
}

static void reset_evidence(struct service_shift *service)
{
	for (struct peer_evidence *next, *at = service->peers; at; at = next) {
		next = at->next;
		free(at);
	}
	service->peers = NULL;
	service->written_answers = 0;
	service->written_bad_or_slow = 0;
	service->written_proof = 0;
	service->written_progress = 0;
	service->is_proof_told = false;
	service->is_proof_in_flight = false;
	service->proof_retry_at_us = 0;
	service->is_late = false;
	service->questions = 0;
	service->is_writer = false;
	service->written_state = DW_SHIFT_NONE;
	service->is_recorded = false;
	service->is_evidence_lost = false;
}

struct pin_rule {
	const struct dw_shift *shift;
	uint64_t now_us;
};

static bool is_news(uint64_t session_key, const char *version, const void *data)
{
	const struct pin_rule *rule = data;

	return dw_shift_pin_is_news(rule->shift, session_key, version, rule->now_us);
}

void shifts_pin_session(struct shifts *shifts, const char *service, const char *session,
			const char *version, uint64_t now_us)
{
	const struct dw_shift *shift = shifts_find(shifts, service);
	char kept[DW_ENGINE_TEXT_BYTES];

	if (shift && dw_shift_keeps_pins(shift, version, now_us)) {
		const char *pinned = dw_session_pins_find(shifts->pins, service, session, 0);

		snprintf(kept, sizeof(kept), "%s", pinned ? pinned : version);
		version = kept;
	}
	dw_session_pins_record(shifts->pins, service, session, version, now_us);
	if (shift && dw_shift_pin_is_news(shift, dw_rendezvous_key(session, strlen(session)),
					  version, now_us))
		dw_session_pins_tell(shifts->pins, service, session);
}

/* Whether the revision belongs to an era whose first state isn't complete here. */
static bool is_of_next_era(const struct shifts *shifts, uint64_t revision)
{
	return dw_revision_era(revision) > shifts->era_guard->era;
}

static bool is_newcomer(const struct shifts *shifts, uint64_t now_us)
{
	return shifts->restored_at_us == 0 && now_us < shifts->started_at_us + NEWCOMER_FOR_US;
}

/* Whether operators may be writing again what the store has lost, rather than the same order anew. */
static bool is_rewriting_time(const struct service_shift *service, uint64_t revision,
			      uint64_t now_us)
{
	const struct shifts *shifts = service->owner;

	if (dw_revision_era(revision) == 0)
		return false;
	return is_of_next_era(shifts, revision) ||
	       (shifts->restored_at_us > 0 &&
		now_us < shifts->restored_at_us + REWRITTEN_WITHIN_US) ||
	       (is_newcomer(shifts, now_us) && service->shift.state == DW_SHIFT_RUNNING);
}

static void renumber_order(struct service_shift *service, uint64_t revision, uint64_t now_us)
{
	struct shifts *shifts = service->owner;

	dw_shift_renumber_order(&service->shift, revision);
	service->written_state = DW_SHIFT_NONE;
	service->written_progress = 0;
	service->is_evidence_lost = true;
	log_shift(service, "order written again", now_us);
	/* Else at the end of the era's first state. */
	if (!is_of_next_era(shifts, revision))
		shift_records_rewrite(service, now_us);
}

void shifts_apply_order(struct shifts *shifts, const struct dw_shift_order *order, uint64_t now_us)
{
	struct service_shift *service = find_or_add(shifts, order->service);

	if (!service)
		return;
	if (service->shift.state != DW_SHIFT_NONE &&
	    order->revision == service->shift.order.revision)
		return;
	if (dw_shift_is_same_order(&service->shift, order) &&
	    is_rewriting_time(service, order->revision, now_us)) {
		renumber_order(service, order->revision, now_us);
		return;
	}
	reset_evidence(service);
	service->number++;
	dw_shift_set_order(&service->shift, order, now_us);
	dw_session_pins_tell_all(shifts->pins, order->service, is_news,
				 &(struct pin_rule){ &service->shift, now_us });
	log_shift(service, "order", now_us);
}

/* A record of the order's progress was read: if it was there with the order, this process is late. */
static void note_progress(struct service_shift *service, uint64_t now_us)
{
	if (now_us < service->shift.ordered_at_us + READ_TOGETHER_US)
		service->is_late = true;
}

bool shifts_may_lack_pins(struct shifts *shifts, const char *service_name, uint64_t session_us,
			  uint64_t now_us)
{
	const struct service_shift *service = find(shifts, service_name);

	return service && service->is_late && now_us < shifts->started_at_us + session_us;
}

/* Whether the status record was written after the order was. Of two eras, the later one's records that the copy had are
 * as old as their numbers say. */
static bool is_after_order(const struct service_shift *service)
{
	uint64_t order = service->shift.first_revision;
	uint64_t status = service->status.read_revision;

	if (dw_revision_era(status) <= dw_revision_era(order))
		return status > order;
	return !era_guard_is_from_copy(service->owner->era_guard, status) ||
	       dw_revision_number(status) > dw_revision_number(order);
}

/* The copy's status says that the order's target was reached, before the order: it was written again after a restore
 * that this instance hasn't seen. If not, as all use that version there is nothing left to do either. */
static bool was_completed_before(const struct service_shift *service, uint64_t now_us)
{
	return service->stored.state == DW_SHIFT_COMPLETED &&
	       service->shift.state == DW_SHIFT_RUNNING &&
	       dw_revision_era(service->status.read_revision) > 0 &&
	       era_guard_is_from_copy(service->owner->era_guard, service->status.read_revision) &&
	       is_newcomer(service->owner, now_us);
}

/* Applies what the status record says, if that is of this rollout. */
static void judge_status(struct service_shift *service, uint64_t now_us)
{
	struct stored_status *stored = &service->stored;
	enum dw_shift_state before = service->shift.state;
	bool is_of_target = strcmp(stored->target, service->shift.order.target_version) == 0;

	stored->is_unjudged = false;
	service->written_state = DW_SHIFT_NONE;
	if (!is_after_order(service)) {
		if (is_of_target && was_completed_before(service, now_us))
			service->shift.state = DW_SHIFT_COMPLETED;
	} else {
		dw_shift_set_outcome(&service->shift, stored->state, stored->target,
				     service->status.read_revision);
		note_progress(service, now_us);
		if (is_of_target) {
			service->written_state = stored->state;
			service->is_recorded |= stored->state != DW_SHIFT_RUNNING;
		}
	}
	if (service->shift.state != before)
		log_shift(service, "recorded outcome", now_us);
}

void shifts_apply_status(struct shifts *shifts, const char *service_name, enum dw_shift_state state,
			 const char *target, uint64_t revision)
{
	struct service_shift *service = find_or_add(shifts, service_name);

	if (!service)
		return;
	shift_records_read(&service->status, revision);
	service->stored.state = state;
	snprintf(service->stored.target, sizeof(service->stored.target), "%s", target);
	service->stored.is_unjudged = true;
	if (!is_of_next_era(shifts, revision))
		judge_status(service, dw_clock_now_us());
}

void shifts_apply_status_deleted(struct shifts *shifts, const char *service_name)
{
	struct service_shift *service = find(shifts, service_name);

	if (!service)
		return;
	shift_records_read(&service->status, 0);
	memset(&service->stored, 0, sizeof(service->stored));
}

void shifts_entered_era(struct shifts *shifts, uint64_t now_us)
{
	for (struct service_shift *at = shifts->services; at; at = at->hh.next) {
		if (at->stored.is_unjudged)
			judge_status(at, now_us);
	}
}

void shifts_store_restored(struct shifts *shifts, const struct dw_view_place *place,
			   uint64_t now_us)
{
	shifts->place = *place;
	shifts->restored_at_us = now_us;
	shifts_entered_era(shifts, now_us);
	for (struct service_shift *at = shifts->services; at; at = at->hh.next) {
		if (at->status.read_revision == 0)
			at->written_state = DW_SHIFT_NONE;
		if (at->shift.state != DW_SHIFT_NONE)
			shift_records_rewrite(at, now_us);
	}
}

static uint64_t read_number(struct json_object *root, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(root, name, &value) ? json_object_get_uint64(value) : 0;
}

/* Whether a progress or evidence record is of the current order. Earlier releases write no target. */
static bool is_of_order(const struct service_shift *service, struct json_object *root)
{
	const struct dw_shift_order *order = &service->shift.order;
	struct json_object *target;

	if (read_number(root, "order") != dw_revision_number(order->revision))
		return false;
	if (!json_object_object_get_ex(root, "target", &target))
		return true;
	return json_object_is_type(target, json_type_string) &&
	       strcmp(json_object_get_string(target), order->target_version) == 0;
}

static void apply_progress(struct service_shift *service, const struct dw_store_event *event,
			   uint64_t now_us)
{
	struct json_object *root;
	uint32_t permille;

	shift_records_read(&service->progress, event->deleted ? 0 : event->entry.mod_revision);
	service->written_progress = 0;
	if (event->deleted)
		return;
	root = json_tokener_parse((const char *)event->entry.value);
	if (is_of_order(service, root)) {
		permille = (uint32_t)read_number(root, "permille");
		service->written_progress = permille;
		note_progress(service, now_us);
		dw_shift_catch_up(&service->shift, permille, now_us);
	}
	json_object_put(root);
}

static struct peer_evidence *find_or_add_peer(struct service_shift *service, const char *instance)
{
	struct peer_evidence *peer = service->peers;

	while (peer && strcmp(peer->instance, instance) != 0)
		peer = peer->next;
	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			abort();
		snprintf(peer->instance, sizeof(peer->instance), "%s", instance);
		peer->next = service->peers;
		service->peers = peer;
	}
	return peer;
}

/* Counts are an array of numbers: answers, bad, timed, slow and good ones, and the time that requests
 * took. Missing ones count as zero, which only weakens the evidence. */
static void read_numbers(struct json_object *array, uint64_t *numbers, size_t count)
{
	if (!json_object_is_type(array, json_type_array))
		return;
	for (size_t i = 0; i < count && i < json_object_array_length(array); i++)
		numbers[i] = json_object_get_uint64(json_object_array_get_idx(array, i));
}

static void read_count(struct json_object *root, const char *name, struct dw_shift_counts *count)
{
	uint64_t numbers[COUNT_FIELDS] = { 0 };

	read_numbers(json_object_object_get(root, name), numbers, COUNT_FIELDS);
	*count = (struct dw_shift_counts){
		.answers = (uint32_t)numbers[0],
		.bad = (uint32_t)numbers[1],
		.timed = (uint32_t)numbers[2],
		.slow = (uint32_t)numbers[3],
		.good = (uint32_t)numbers[4],
		.busy_ms = numbers[5],
	};
}

/* The load's array: number and sum of the old version's loads, then good and bad answers of the new
 * version by level. */
static void read_load(struct json_object *root, struct dw_shift_load *load)
{
	uint64_t numbers[SHIFT_LOAD_FIELDS] = { 0 };

	read_numbers(json_object_object_get(root, "load"), numbers, SHIFT_LOAD_FIELDS);
	load->old_answers = (uint32_t)numbers[0];
	load->old_permille_sum = numbers[1];
	for (size_t level = 0; level < DW_SHIFT_LOAD_LEVELS; level++) {
		load->good[level] = (uint32_t)numbers[2 + level];
		load->bad[level] = (uint32_t)numbers[2 + DW_SHIFT_LOAD_LEVELS + level];
	}
}

/* A route's array: its key, then answers, bad, good ones and the time of its requests, of the new and
 * of the old version. */
static void read_route(struct json_object *array, struct dw_shift_route *route)
{
	uint64_t numbers[SHIFT_ROUTE_FIELDS] = { 0 };
	const enum dw_shift_side sides[] = { DW_SHIFT_NEW, DW_SHIFT_OLD };

	read_numbers(array, numbers, SHIFT_ROUTE_FIELDS);
	route->key = (uint32_t)numbers[0];
	for (size_t i = 0; i < DW_SHIFT_SIDE_COUNT; i++) {
		route->counts[sides[i]] = (struct dw_shift_route_counts){
			.answers = (uint32_t)numbers[4 * i + 1],
			.bad = (uint32_t)numbers[4 * i + 2],
			.good = (uint32_t)numbers[4 * i + 3],
			.busy_ms = numbers[4 * i + 4],
		};
	}
}

static void read_evidence(struct json_object *root, struct dw_shift_evidence *evidence)
{
	struct json_object *routes = json_object_object_get(root, "routes");

	memset(evidence, 0, sizeof(*evidence));
	read_count(root, "new", &evidence->counts[DW_SHIFT_NEW]);
	read_count(root, "old", &evidence->counts[DW_SHIFT_OLD]);
	read_load(root, &evidence->load);
	if (!json_object_is_type(routes, json_type_array))
		return;
	for (size_t i = 0; i < DW_SHIFT_ROUTES && i < json_object_array_length(routes); i++)
		read_route(json_object_array_get_idx(routes, i),
			   &evidence->routes[evidence->route_count++]);
}

static void sum_evidence(struct service_shift *service)
{
	struct dw_shift_evidence sum = { 0 };

	for (const struct peer_evidence *at = service->peers; at; at = at->next)
		dw_shift_evidence_add(&sum, &at->evidence);
	service->shift.peers = sum;
}

/* Grows with all that an instance tells of an order; less of it comes from an older copy of the store. */
static uint64_t counted(const struct dw_shift_evidence *evidence)
{
	uint64_t sum = 0;

	for (int side = 0; side < DW_SHIFT_SIDE_COUNT; side++)
		sum += (uint64_t)evidence->counts[side].answers + evidence->counts[side].good;
	return sum;
}

static void apply_evidence(struct service_shift *service, const char *instance,
			   const struct dw_store_event *event)
{
	bool is_own = strcmp(instance, service->owner->instance) == 0;
	struct dw_shift_evidence evidence;
	struct dw_shift_evidence *known;
	struct json_object *root;

	if (is_own) {
		shift_records_read(&service->evidence,
				   event->deleted ? 0 : event->entry.mod_revision);
		service->is_evidence_lost |=
			is_of_next_era(service->owner, event->entry.mod_revision);
	}
	if (event->deleted)
		return;
	root = json_tokener_parse((const char *)event->entry.value);
	/* An own record of another run is what an earlier process of this instance has seen. */
	if (is_of_order(service, root) &&
	    (!is_own || read_number(root, "run") != service->owner->run)) {
		read_evidence(root, &evidence);
		known = &find_or_add_peer(service, instance)->evidence;
		if (counted(&evidence) >= counted(known))
			*known = evidence;
		sum_evidence(service);
	}
	json_object_put(root);
}

void shifts_apply_record(struct shifts *shifts, const struct dw_store_event *event, uint64_t now_us)
{
	const char *key = event->entry.key;
	struct service_shift *service;
	char name[KEY_BYTES];
	const char *slash;

	if (strncmp(key, SHIFT_PROGRESS_PREFIX, strlen(SHIFT_PROGRESS_PREFIX)) == 0) {
		service = find_or_add(shifts, key + strlen(SHIFT_PROGRESS_PREFIX));
		if (service)
			apply_progress(service, event, now_us);
		return;
	}
	if (strncmp(key, SHIFT_EVIDENCE_PREFIX, strlen(SHIFT_EVIDENCE_PREFIX)) != 0)
		return;
	key += strlen(SHIFT_EVIDENCE_PREFIX);
	slash = strchr(key, '/');
	if (!slash || (size_t)(slash - key) >= sizeof(name))
		return;
	memcpy(name, key, (size_t)(slash - key));
	name[slash - key] = '\0';
	service = strcmp(slash + 1, shifts->instance) == 0 ? find_or_add(shifts, name)
							   : find(shifts, name);
	if (service)
		apply_evidence(service, slash + 1, event);
}

static void roll_back_if_bad(struct service_shift *service, uint64_t now_us)
{
	bool was_promoted = service->shift.promoted_at_us > 0;
	enum dw_shift_state state;

	dw_shift_promote_if_proven(&service->shift, now_us);
	if (!was_promoted && service->shift.promoted_at_us > 0)
		log_shift(service, "proven good", now_us);
	state = dw_shift_next_state(&service->shift, now_us);
	if (state == service->shift.state)
		return;
	/* A rollback takes effect here at once, so that a bad version gets no more requests. A
	 * completion takes effect only once it is recorded, as the old engines stop then. */
	if (state == DW_SHIFT_ROLLED_BACK) {
		service->shift.state = state;
		log_shift(service, "evidence", now_us);
	}
}

/* The service's rollout if it is running, else NULL. */
static struct service_shift *find_running(struct shifts *shifts, const char *service_name)
{
	struct service_shift *service = find(shifts, service_name);

	return service && service->shift.state == DW_SHIFT_RUNNING ? service : NULL;
}

static enum dw_shift_side side_of(const struct service_shift *service, const char *version)
{
	return strcmp(version, service->shift.order.target_version) == 0 ? DW_SHIFT_NEW
									 : DW_SHIFT_OLD;
}

static uint32_t route_key(const struct shift_request *request)
{
	return (uint32_t)dw_rendezvous_key(request->route, strlen(request->route));
}

uint64_t shifts_count_sent(struct shifts *shifts, const char *service_name,
			   const struct shift_request *request)
{
	struct service_shift *service = find_running(shifts, service_name);
	enum dw_shift_side side;

	if (!service)
		return 0;
	side = side_of(service, request->version);
	if (request->is_load_test) {
		if (side == DW_SHIFT_NEW)
			dw_shift_load_test_sent(&service->shift);
		return 0;
	}
	dw_shift_request_sent(&service->shift, side, request->sent_at_us);
	dw_shift_route_sent(&service->shift, route_key(request), side, request->sent_at_us);
	return service->number;
}

void shifts_count_end(struct shifts *shifts, const char *service_name,
		      const struct shift_request *request, bool is_good, uint32_t load_permille,
		      uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);
	enum dw_shift_side side;

	if (!service)
		return;
	side = side_of(service, request->version);
	if (is_good)
		dw_shift_count_load(&service->shift, side, load_permille);
	if (service->number != request->number)
		return;
	dw_shift_request_ended(&service->shift, side, request->sent_at_us, is_good, now_us);
	dw_shift_route_ended(&service->shift, route_key(request), side, request->sent_at_us,
			     is_good, now_us);
}

void shifts_count_wait(struct shifts *shifts, const char *service_name,
		       const struct shift_request *request, const struct dw_shift_wait *wait,
		       uint32_t load_permille, uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);
	enum dw_shift_side side;

	if (!service)
		return;
	side = side_of(service, request->version);
	if (request->is_load_test && side == DW_SHIFT_NEW && load_permille > 0)
		dw_shift_load_test_answered(&service->shift, load_permille, now_us);
	dw_shift_count_wait(&service->shift, side, wait, now_us);
	roll_back_if_bad(service, now_us);
}

void shifts_count_answer(struct shifts *shifts, const char *service_name,
			 const struct shift_request *request, const struct dw_shift_answer *answer,
			 uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);
	struct dw_shift_answer counted = *answer;
	enum dw_shift_side side;

	if (!service)
		return;
	side = side_of(service, request->version);
	/* A failure may come without a report of the load. */
	if (answer->failed && request->is_load_test && answer->load_permille == 0)
		counted.load_permille = service->shift.test_load_permille;
	dw_shift_count_answer(&service->shift, side, &counted, now_us);
	dw_shift_route_answered(&service->shift, route_key(request), side, answer->failed);
	roll_back_if_bad(service, now_us);
}

static void ask_for_pins(struct service_shift *service, uint64_t now_us)
{
	if (!service->is_late || service->questions == ASK_COUNT ||
	    service->shift.state != DW_SHIFT_RUNNING ||
	    now_us < service->shift.ordered_at_us + ask_after_us[service->questions])
		return;
	service->questions++;
	dw_session_pins_ask(service->owner->pins, now_us);
}

static void answer_question(struct service_shift *service, uint64_t now_us)
{
	dw_session_pins_tell_all(service->owner->pins, service->shift.order.service, is_news,
				 &(struct pin_rule){ &service->shift, now_us });
}

static void on_check_timer(uv_timer_t *timer)
{
	struct shifts *shifts = timer->data;
	uint64_t now_us = dw_clock_now_us();
	bool is_asked = dw_session_pins_take_question(shifts->pins);

	for (struct service_shift *at = shifts->services; at; at = at->hh.next) {
		if (at->shift.state == DW_SHIFT_NONE)
			continue;
		if (is_asked)
			answer_question(at, now_us);
		ask_for_pins(at, now_us);
		roll_back_if_bad(at, now_us);
		shift_records_write(at, now_us);
	}
}

void shifts_start(struct shifts *shifts, uv_loop_t *loop, struct dw_store *store, uint64_t seed)
{
	shifts->store = store;
	shifts->random = seed;
	shifts->started_at_us = dw_clock_now_us();
	/* JSON integers are exact up to 2^53. */
	shifts->run = dw_random_next(&shifts->random) >> 12;
	uv_timer_init(loop, &shifts->timer);
	shifts->timer.data = shifts;
	uv_timer_start(&shifts->timer, on_check_timer, SHIFT_CHECK_PERIOD_MS,
		       SHIFT_CHECK_PERIOD_MS);
}
