#include "wharf-gateway/shifts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <uthash.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "base/random.h"
#include "platform/records.h"

#define PROGRESS_PREFIX "wharf/progress/"
#define EVIDENCE_PREFIX "wharf/evidence/"
#define KEY_BYTES 200
#define VALUE_BYTES 384
#define COUNTS_BYTES 96
#define COUNT_FIELDS 6

#define CHECK_PERIOD_MS 200
#define WRITE_TIMEOUT_US (800 * DW_US_PER_MS)
/* Shortest time between two writes of an instance's evidence, which is only written while it counts
 * against the new version. */
#define EVIDENCE_PERIOD_US (700 * DW_US_PER_MS)
/* The progress is written each time it has grown by this much, in thousandths of the duration. */
#define PROGRESS_STEP_PERMILLE 125
/* Shared records (status and progress) could be written by every instance. To save writes, the instance
 * that wrote the last one writes at once, and each of the others with a probability of one in
 * FIRST_WRITER_ONE_IN within FIRST_WRITER_SPREAD_US. The rest write after a backup delay if the record
 * still hasn't been written; the delay is shorter for an outcome. */
#define FIRST_WRITER_ONE_IN 8
#define FIRST_WRITER_SPREAD_US (200 * DW_US_PER_MS)
#define BACKUP_WRITER_DELAY_US (2500 * DW_US_PER_MS)
#define BACKUP_WRITER_OUTCOME_DELAY_US (700 * DW_US_PER_MS)
#define BACKUP_WRITER_SPREAD_US (900 * DW_US_PER_MS)

struct peer_evidence {
	char instance[DW_ENGINE_TEXT_BYTES];
	struct dw_shift_evidence evidence;
	struct peer_evidence *next;
};

/* Write state of a record in the store. */
struct stored_record {
	uint64_t revision; /**< of the key, as last seen */
	uint64_t write_due_us; /**< when this instance will write; 0: no write is needed */
	bool in_flight;
};

struct service_shift {
	struct shifts *owner;
	struct dw_shift shift;
	struct peer_evidence *peers;
	struct stored_record status;
	struct stored_record progress;
	struct stored_record evidence;
	bool is_writer; /**< this instance wrote the rollout's last shared record */
	uint32_t written_progress; /**< progress in the store, in thousandths */
	/* Counts of the new version in this instance's evidence record in the store. */
	uint32_t written_bad_or_slow;
	uint32_t written_answers;
	uint64_t evidence_at_us;
	bool is_proof_told; /**< the counts that may prove the new version good were written */
	bool is_proof_in_flight; /**< they are being written */
	uint64_t proof_retry_at_us; /**< after a failed write; 0: none failed */
	enum dw_shift_state written_state;
	UT_hash_handle hh; /**< keyed by shift.order.service */
};

void shifts_init(struct shifts *shifts, struct dw_log *log, const char *instance)
{
	memset(shifts, 0, sizeof(*shifts));
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
		     DW_INT("old_good", old.good), DW_INT("old_busy_ms", old.busy_ms));
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
	service->written_progress = 0;
	service->is_proof_told = false;
	service->is_proof_in_flight = false;
	service->proof_retry_at_us = 0;
	service->is_writer = false;
	service->written_state = DW_SHIFT_NONE;
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

	dw_session_pins_record(shifts->pins, service, session, version, now_us);
	if (shift && dw_shift_pin_is_news(shift, dw_rendezvous_key(session, strlen(session)),
					  version, now_us))
		dw_session_pins_tell(shifts->pins, service, session);
}

void shifts_apply_order(struct shifts *shifts, const struct dw_shift_order *order, uint64_t now_us)
{
	struct service_shift *service = find(shifts, order->service);

	if (!service) {
		service = calloc(1, sizeof(*service));
		if (!service)
			abort();
		service->owner = shifts;
		memcpy(service->shift.order.service, order->service,
		       sizeof(service->shift.order.service));
		HASH_ADD_STR(shifts->services, shift.order.service, service);
	}
	if (service->shift.state != DW_SHIFT_NONE &&
	    order->revision <= service->shift.order.revision)
		return;
	reset_evidence(service);
	dw_shift_set_order(&service->shift, order, now_us);
	dw_session_pins_tell_all(shifts->pins, order->service, is_news,
				 &(struct pin_rule){ &service->shift, now_us });
	log_shift(service, "order", now_us);
}

void shifts_apply_status(struct shifts *shifts, const char *service_name, enum dw_shift_state state,
			 const char *target, uint64_t revision)
{
	struct service_shift *service = find(shifts, service_name);
	enum dw_shift_state before;

	if (!service)
		return;
	service->status.revision = revision;
	before = service->shift.state;
	dw_shift_set_outcome(&service->shift, state, target, revision);
	if (revision > service->shift.order.revision)
		service->written_state = state;
	if (service->shift.state != before)
		log_shift(service, "recorded outcome", dw_clock_now_us());
}

static uint64_t read_number(struct json_object *root, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(root, name, &value) ? json_object_get_uint64(value) : 0;
}

static void apply_progress(struct service_shift *service, const struct dw_store_event *event,
			   uint64_t now_us)
{
	struct json_object *root;
	uint32_t permille;

	service->progress.revision = event->deleted ? 0 : event->entry.mod_revision;
	if (event->deleted)
		return;
	root = json_tokener_parse((const char *)event->entry.value);
	if (read_number(root, "order") == service->shift.order.revision) {
		permille = (uint32_t)read_number(root, "permille");
		service->written_progress = permille;
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

static void add_count(struct dw_shift_counts *sum, const struct dw_shift_counts *count)
{
	sum->answers += count->answers;
	sum->bad += count->bad;
	sum->timed += count->timed;
	sum->slow += count->slow;
	sum->good += count->good;
	sum->busy_ms += count->busy_ms;
}

/* Counts are an array of numbers: answers, bad, timed, slow and good ones, and the time that requests
 * took. Missing ones count as zero, which only weakens the evidence. */
static void read_count(struct json_object *root, const char *name, struct dw_shift_counts *count)
{
	struct json_object *array;
	uint64_t numbers[COUNT_FIELDS] = { 0 };

	if (json_object_object_get_ex(root, name, &array) &&
	    json_object_is_type(array, json_type_array)) {
		for (size_t i = 0; i < COUNT_FIELDS && i < json_object_array_length(array); i++)
			numbers[i] = json_object_get_uint64(json_object_array_get_idx(array, i));
	}
	*count = (struct dw_shift_counts){
		.answers = (uint32_t)numbers[0],
		.bad = (uint32_t)numbers[1],
		.timed = (uint32_t)numbers[2],
		.slow = (uint32_t)numbers[3],
		.good = (uint32_t)numbers[4],
		.busy_ms = numbers[5],
	};
}

static int print_count(char *out, size_t size, const struct dw_shift_counts *count)
{
	return snprintf(out, size, "[%u,%u,%u,%u,%u,%" PRIu64 "]", count->answers, count->bad,
			count->timed, count->slow, count->good, count->busy_ms);
}

static void sum_evidence(struct service_shift *service)
{
	struct dw_shift_evidence sum = { 0 };

	for (const struct peer_evidence *at = service->peers; at; at = at->next) {
		for (int side = 0; side < DW_SHIFT_SIDE_COUNT; side++) {
			add_count(&sum.counts[side], &at->evidence.counts[side]);
		}
	}
	service->shift.peers = sum;
}

static void apply_evidence(struct service_shift *service, const char *instance,
			   const struct dw_store_event *event)
{
	bool is_own = strcmp(instance, service->owner->instance) == 0;
	struct json_object *root;
	struct dw_shift_counts *counts;

	if (is_own)
		service->evidence.revision = event->deleted ? 0 : event->entry.mod_revision;
	if (event->deleted)
		return;
	root = json_tokener_parse((const char *)event->entry.value);
	/* An own record of another run is what an earlier process of this instance has seen. */
	if (read_number(root, "order") == service->shift.order.revision &&
	    (!is_own || read_number(root, "run") != service->owner->run)) {
		counts = find_or_add_peer(service, instance)->evidence.counts;
		read_count(root, "new", &counts[DW_SHIFT_NEW]);
		read_count(root, "old", &counts[DW_SHIFT_OLD]);
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

	if (strncmp(key, PROGRESS_PREFIX, strlen(PROGRESS_PREFIX)) == 0) {
		service = find(shifts, key + strlen(PROGRESS_PREFIX));
		if (service)
			apply_progress(service, event, now_us);
		return;
	}
	if (strncmp(key, EVIDENCE_PREFIX, strlen(EVIDENCE_PREFIX)) != 0)
		return;
	key += strlen(EVIDENCE_PREFIX);
	slash = strchr(key, '/');
	if (!slash || (size_t)(slash - key) >= sizeof(name))
		return;
	memcpy(name, key, (size_t)(slash - key));
	name[slash - key] = '\0';
	service = find(shifts, name);
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

uint64_t shifts_count_sent(struct shifts *shifts, const char *service_name, const char *version,
			   uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);

	if (!service)
		return 0;
	dw_shift_request_sent(&service->shift, side_of(service, version), now_us);
	return service->shift.order.revision;
}

void shifts_count_end(struct shifts *shifts, const char *service_name,
		      const struct shift_request *request, bool is_good, uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);

	if (service && service->shift.order.revision == request->revision)
		dw_shift_request_ended(&service->shift, side_of(service, request->version),
				       request->sent_at_us, is_good, now_us);
}

void shifts_count_wait(struct shifts *shifts, const char *service_name, const char *version,
		       const struct dw_shift_wait *wait, uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);

	if (!service)
		return;
	dw_shift_count_wait(&service->shift, side_of(service, version), wait, now_us);
	roll_back_if_bad(service, now_us);
}

void shifts_count_answer(struct shifts *shifts, const char *service_name, const char *version,
			 const struct dw_shift_answer *answer, uint64_t now_us)
{
	struct service_shift *service = find_running(shifts, service_name);

	if (!service)
		return;
	dw_shift_count_answer(&service->shift, side_of(service, version), answer, now_us);
	roll_back_if_bad(service, now_us);
}

struct record_write {
	struct service_shift *service;
	struct stored_record *record;
	const char *record_name;
};

static void end_proof_write(struct service_shift *service, enum dw_store_outcome outcome)
{
	service->is_proof_in_flight = false;
	service->is_proof_told = outcome == DW_STORE_DONE;
	service->proof_retry_at_us = dw_clock_now_us() + EVIDENCE_PERIOD_US / 2 +
				     dw_random_next(&service->owner->random) % EVIDENCE_PERIOD_US;
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct record_write *write = data;
	const struct dw_shift *shift = &write->service->shift;

	write->record->in_flight = false;
	write->record->write_due_us = 0;
	if (result->outcome == DW_STORE_DONE || result->outcome == DW_STORE_CONFLICT)
		write->record->revision = result->revision;
	if (write->record != &write->service->evidence) {
		write->service->is_writer = result->outcome == DW_STORE_DONE;
	} else if (write->service->is_proof_in_flight) {
		end_proof_write(write->service, result->outcome);
	}
	dw_log_event(write->service->owner->log, DW_EVENT_SHIFT_EVIDENCE,
		     DW_STR("service", write->service->shift.order.service),
		     DW_STR("record", write->record_name),
		     DW_STR("outcome", dw_store_outcome_name(result->outcome)),
		     DW_INT("revision", result->revision),
		     DW_INT("new_answers", shift->own.counts[DW_SHIFT_NEW].answers),
		     DW_INT("new_bad", shift->own.counts[DW_SHIFT_NEW].bad),
		     DW_INT("new_timed", shift->own.counts[DW_SHIFT_NEW].timed),
		     DW_INT("new_slow", shift->own.counts[DW_SHIFT_NEW].slow),
		     DW_INT("new_good", shift->own.counts[DW_SHIFT_NEW].good),
		     DW_INT("new_busy_ms", shift->own.counts[DW_SHIFT_NEW].busy_ms),
		     DW_INT("new_open", shift->open[DW_SHIFT_NEW].count),
		     DW_INT("old_good", shift->own.counts[DW_SHIFT_OLD].good),
		     DW_INT("old_busy_ms", shift->own.counts[DW_SHIFT_OLD].busy_ms),
		     DW_INT("old_answers", shift->own.counts[DW_SHIFT_OLD].answers),
		     DW_INT("old_bad", shift->own.counts[DW_SHIFT_OLD].bad),
		     DW_INT("old_timed", shift->own.counts[DW_SHIFT_OLD].timed),
		     DW_INT("old_slow", shift->own.counts[DW_SHIFT_OLD].slow));
	free(write);
}

static void write_record(struct service_shift *service, struct stored_record *record,
			 const char *record_name, const char *key, const char *value)
{
	struct record_write *write = malloc(sizeof(*write));
	struct dw_store_put put = {
		.key = key,
		.value = (const uint8_t *)value,
		.value_len = strlen(value),
		.expected_revision = record->revision,
		.deadline_us = dw_clock_now_us() + WRITE_TIMEOUT_US,
	};

	if (!write)
		abort();
	write->service = service;
	write->record = record;
	write->record_name = record_name;
	record->in_flight = true;
	dw_store_put(service->owner->store, &put, on_written, write);
}

static uint64_t write_delay_us(struct service_shift *service, uint64_t backup_delay_us)
{
	struct shifts *shifts = service->owner;

	if (service->is_writer)
		return 0;
	if (dw_random_next(&shifts->random) % FIRST_WRITER_ONE_IN == 0)
		return dw_random_next(&shifts->random) % FIRST_WRITER_SPREAD_US;
	return backup_delay_us + dw_random_next(&shifts->random) % BACKUP_WRITER_SPREAD_US;
}

/* Schedules the write of a shared record; @return whether it is due. */
static bool is_write_due(struct service_shift *service, struct stored_record *record, bool wanted,
			 uint64_t backup_delay_us, uint64_t now_us)
{
	if (!wanted || record->in_flight) {
		if (!record->in_flight)
			record->write_due_us = 0;
		return false;
	}
	if (record->write_due_us == 0)
		record->write_due_us = now_us + 1 + write_delay_us(service, backup_delay_us);
	return now_us >= record->write_due_us;
}

static void write_status(struct service_shift *service, uint64_t now_us)
{
	const struct dw_shift_order *order = &service->shift.order;
	enum dw_shift_state state = dw_shift_next_state(&service->shift, now_us);
	bool wanted = service->written_state != state &&
		      service->written_state != DW_SHIFT_COMPLETED &&
		      service->written_state != DW_SHIFT_ROLLED_BACK;
	char value[VALUE_BYTES];
	char key[KEY_BYTES];

	if (!is_write_due(service, &service->status, wanted,
			  state == DW_SHIFT_RUNNING ? BACKUP_WRITER_DELAY_US
						    : BACKUP_WRITER_OUTCOME_DELAY_US,
			  now_us))
		return;
	record_rollout_status_key(order->service, key, sizeof(key));
	record_write_rollout_status(state, order->service, order->target_version, value,
				    sizeof(value));
	write_record(service, &service->status, "status", key, value);
}

static void write_progress(struct service_shift *service, uint64_t now_us)
{
	uint32_t permille = dw_shift_progress(&service->shift, now_us);
	bool wanted = service->shift.state == DW_SHIFT_RUNNING &&
		      permille >= service->written_progress + PROGRESS_STEP_PERMILLE;
	char value[VALUE_BYTES];
	char key[KEY_BYTES];

	if (!is_write_due(service, &service->progress, wanted, BACKUP_WRITER_DELAY_US, now_us))
		return;
	snprintf(key, sizeof(key), PROGRESS_PREFIX "%s", service->shift.order.service);
	snprintf(value, sizeof(value), "{\"order\":%" PRIu64 ",\"permille\":%u}",
		 service->shift.order.revision, permille);
	write_record(service, &service->progress, "progress", key, value);
}

/* Whether this instance's evidence has grown since it was written: more bad or slow answers of the
 * new version, or more than twice as many answers. */
static bool has_new_evidence(const struct service_shift *service)
{
	const struct dw_shift_counts *new = &service->shift.own.counts[DW_SHIFT_NEW];

	return new->bad + new->slow > service->written_bad_or_slow ||
	       new->answers > 2 * service->written_answers;
}

/* This instance's counts with those of its earlier processes. */
static struct dw_shift_counts counts_to_tell(const struct service_shift *service,
					     enum dw_shift_side side, uint64_t now_us)
{
	struct dw_shift_counts sum = dw_shift_own_counts(&service->shift, side, now_us);
	const struct peer_evidence *at = service->peers;

	while (at && strcmp(at->instance, service->owner->instance) != 0)
		at = at->next;
	if (at)
		add_count(&sum, &at->evidence.counts[side]);
	return sum;
}

/* Whether to tell the others what this instance has seen: evidence against the new version as soon as
 * there is some, and once what they need to prove it good. */
static bool is_evidence_due(struct service_shift *service, uint64_t now_us)
{
	const struct dw_shift *shift = &service->shift;

	if (shift->state == DW_SHIFT_COMPLETED || service->evidence.in_flight)
		return false;
	if (!service->is_proof_told && now_us >= service->proof_retry_at_us &&
	    dw_shift_is_proof_due(shift, now_us)) {
		service->is_proof_in_flight = shift->own.counts[DW_SHIFT_NEW].good > 0 ||
					      shift->open[DW_SHIFT_NEW].count > 0;
		service->is_proof_told = !service->is_proof_in_flight;
		return service->is_proof_in_flight;
	}
	return has_new_evidence(service) && dw_shift_is_suspect(shift) &&
	       now_us >= service->evidence_at_us + EVIDENCE_PERIOD_US;
}

static void write_evidence(struct service_shift *service, uint64_t now_us)
{
	struct dw_shift_counts new = counts_to_tell(service, DW_SHIFT_NEW, now_us);
	struct dw_shift_counts old = counts_to_tell(service, DW_SHIFT_OLD, now_us);
	char new_text[COUNTS_BYTES];
	char old_text[COUNTS_BYTES];
	char value[VALUE_BYTES];
	char key[KEY_BYTES];

	if (!is_evidence_due(service, now_us))
		return;
	service->evidence_at_us = now_us;
	service->written_answers = service->shift.own.counts[DW_SHIFT_NEW].answers;
	service->written_bad_or_slow = service->shift.own.counts[DW_SHIFT_NEW].bad +
				       service->shift.own.counts[DW_SHIFT_NEW].slow;
	print_count(new_text, sizeof(new_text), &new);
	print_count(old_text, sizeof(old_text), &old);
	snprintf(key, sizeof(key), EVIDENCE_PREFIX "%s/%s", service->shift.order.service,
		 service->owner->instance);
	snprintf(value, sizeof(value),
		 "{\"order\":%" PRIu64 ",\"run\":%" PRIu64 ",\"new\":%s,\"old\":%s}",
		 service->shift.order.revision, service->owner->run, new_text, old_text);
	write_record(service, &service->evidence, "evidence", key, value);
}

static void on_check_timer(uv_timer_t *timer)
{
	struct shifts *shifts = timer->data;
	uint64_t now_us = dw_clock_now_us();

	for (struct service_shift *at = shifts->services; at; at = at->hh.next) {
		if (at->shift.state == DW_SHIFT_NONE)
			continue;
		roll_back_if_bad(at, now_us);
		write_status(at, now_us);
		write_progress(at, now_us);
		write_evidence(at, now_us);
	}
}

void shifts_start(struct shifts *shifts, uv_loop_t *loop, struct dw_store *store, uint64_t seed)
{
	shifts->store = store;
	shifts->random = seed;
	/* JSON integers are exact up to 2^53. */
	shifts->run = dw_random_next(&shifts->random) >> 12;
	uv_timer_init(loop, &shifts->timer);
	shifts->timer.data = shifts;
	uv_timer_start(&shifts->timer, on_check_timer, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}
