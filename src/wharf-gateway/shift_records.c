#include "wharf-gateway/shifts_state.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include <dragonflywharf/restore_writes.h>

#include "base/clock.h"
#include "base/random.h"
#include "platform/records.h"

#define KEY_BYTES 200
#define STATUS_BYTES 384
/* A text as JSON, in which each byte may be written as six. */
#define JSON_TEXT_BYTES (6 * DW_ENGINE_TEXT_BYTES + 3)
#define PROGRESS_BYTES (JSON_TEXT_BYTES + 100)
#define EVIDENCE_BYTES (JSON_TEXT_BYTES + 2048)

#define WRITE_TIMEOUT_US (800 * DW_US_PER_MS)
/* Shortest time between two writes of an instance's evidence, which is only written while it counts
 * against the new version. */
#define EVIDENCE_PERIOD_US (700 * DW_US_PER_MS)
/* The progress is written each time it has grown by this much, in thousandths of the duration. */
#define PROGRESS_STEP_PERMILLE 125
/* Shared records (status and progress) could be written by every instance. To save writes, the instance
 * that wrote the last one writes at once, and each of the others with a probability of one in
 * FIRST_WRITER_ONE_IN within FIRST_WRITER_SPREAD_US. The rest write after a backup delay if the record
 * still hasn't been written; the delay is shorter for an outcome, and at most a part of the time limit, which
 * the record must meet. */
#define FIRST_WRITER_ONE_IN 8
#define FIRST_WRITER_SPREAD_US (200 * DW_US_PER_MS)
#define BACKUP_WRITER_DELAY_US (2500 * DW_US_PER_MS)
#define BACKUP_WRITER_OUTCOME_DELAY_US (700 * DW_US_PER_MS)
#define BACKUP_WRITER_SPREAD_US (900 * DW_US_PER_MS)
#define OUTCOME_DELAY_PERMILLE 30
#define OUTCOME_SPREAD_PERMILLE 40

/* After a restore, each instance writes its evidence again: this long after each other, on average, but in time
 * for the rollout. */
#define EVIDENCE_PACE_US (20 * DW_US_PER_MS)
#define EVIDENCE_SPREAD_MAX_US (6 * DW_US_PER_S)
/* By then, an instance that knew an outcome which the store has lost has written it again. */
#define OUTCOME_KNOWN_US (1 * DW_US_PER_S)

struct record_write {
	struct service_shift *service;
	struct stored_record *record;
	const char *record_name;
};

static void end_evidence_write(struct service_shift *service, enum dw_store_outcome outcome)
{
	if (outcome != DW_STORE_DONE) {
		/* Nobody may have got it: it is due again. */
		service->written_bad_or_slow = 0;
		service->written_proof = 0;
	}
	if (!service->is_proof_in_flight)
		return;
	service->is_proof_in_flight = false;
	service->is_proof_told = outcome == DW_STORE_DONE;
	service->proof_retry_at_us = dw_clock_now_us() + EVIDENCE_PERIOD_US / 2 +
				     dw_random_next(&service->owner->random) % EVIDENCE_PERIOD_US;
}

/* A conflict shows a record that this instance may not have read, such as another's outcome, which mustn't be
 * replaced. So the next write waits until it was read. A record that doesn't exist says nothing. */
static void note_result(struct stored_record *record, const struct dw_store_put_result *result)
{
	/* A record of the copy has the number that it had in the era before. */
	bool is_read =
		dw_revision_number(result->revision) == dw_revision_number(record->read_revision);

	record->in_flight = false;
	record->write_due_us = 0;
	/* The view may have brought a later state already. */
	if (result->outcome == DW_STORE_DONE && result->revision > record->revision)
		record->revision = result->revision;
	if (result->outcome != DW_STORE_CONFLICT)
		return;
	if (result->revision == 0 || is_read)
		record->revision = result->revision;
	else
		record->unread_revision = result->revision;
}

void shift_records_read(struct stored_record *record, uint64_t revision)
{
	record->revision = revision;
	record->read_revision = revision;
}

static enum era_rewrite rewrite_of(const struct service_shift *service,
				   const struct stored_record *record)
{
	if (record == &service->status)
		return ERA_REWRITE_STATUS;
	return record == &service->progress ? ERA_REWRITE_PROGRESS : ERA_REWRITE_EVIDENCE;
}

static void count_rewrite(struct service_shift *service, struct stored_record *record)
{
	if (record->is_rewrite)
		era_guard_count_rewrite(service->owner->era_guard, rewrite_of(service, record));
	record->is_rewrite = false;
}

static bool is_unread(const struct stored_record *record)
{
	return record->revision < record->unread_revision;
}

static void on_written(const struct dw_store_put_result *result, void *data)
{
	struct record_write *write = data;
	const struct dw_shift *shift = &write->service->shift;

	note_result(write->record, result);
	if (result->outcome == DW_STORE_DONE)
		count_rewrite(write->service, write->record);
	if (write->record != &write->service->evidence)
		write->service->is_writer = result->outcome == DW_STORE_DONE;
	else
		end_evidence_write(write->service, result->outcome);
	dw_log_event(write->service->owner->log, DW_EVENT_SHIFT_EVIDENCE,
		     DW_STR("service", write->service->shift.order.service),
		     DW_STR("record", write->record_name),
		     DW_STR("outcome", dw_store_outcome_name(result->outcome)),
		     DW_INT("revision", dw_revision_number(result->revision)),
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
	era_guard_condition(service->owner->era_guard, &put);
	dw_store_put(service->owner->store, &put, on_written, write);
}

struct write_delay {
	uint64_t backup_us;
	uint64_t spread_us;
};

static const struct write_delay usual_delay = { BACKUP_WRITER_DELAY_US, BACKUP_WRITER_SPREAD_US };

static uint64_t at_most(uint64_t us, uint64_t bound_us)
{
	return us < bound_us ? us : bound_us;
}

static struct write_delay outcome_delay(const struct service_shift *service)
{
	uint64_t duration_us = service->shift.order.duration_us;

	return (struct write_delay){
		.backup_us = at_most(BACKUP_WRITER_OUTCOME_DELAY_US,
				     duration_us * OUTCOME_DELAY_PERMILLE / 1000),
		.spread_us = at_most(BACKUP_WRITER_SPREAD_US,
				     duration_us * OUTCOME_SPREAD_PERMILLE / 1000 + 1),
	};
}

static uint64_t write_delay_us(struct service_shift *service, const struct write_delay *delay)
{
	struct shifts *shifts = service->owner;

	if (service->is_writer)
		return 0;
	if (dw_random_next(&shifts->random) % FIRST_WRITER_ONE_IN == 0)
		return dw_random_next(&shifts->random) % FIRST_WRITER_SPREAD_US;
	return delay->backup_us + dw_random_next(&shifts->random) % delay->spread_us;
}

/* Schedules the write of a shared record; @return whether it is due. */
static bool is_write_due(struct service_shift *service, struct stored_record *record, bool wanted,
			 const struct write_delay *delay, uint64_t now_us)
{
	if (!wanted || record->in_flight || is_unread(record)) {
		if (!record->in_flight) {
			record->write_due_us = 0;
			record->is_rewrite = false;
		}
		return false;
	}
	if (record->write_due_us == 0)
		record->write_due_us = now_us + 1 + write_delay_us(service, delay);
	return now_us >= record->write_due_us;
}

/* Without proof this instance rolls back for itself, but others may have the proof: they record the
 * completion first. */
static bool is_unproven_early(const struct service_shift *service, enum dw_shift_state state,
			      uint64_t now_us)
{
	return state == DW_SHIFT_ROLLED_BACK &&
	       dw_shift_progress(&service->shift, now_us) < DW_SHIFT_UNPROVEN_RECORD_PERMILLE &&
	       !dw_shift_is_shown_bad(&service->shift, now_us);
}

/* After a restore, others may know an outcome that was recorded before. */
static bool may_be_lost_outcome(const struct service_shift *service, enum dw_shift_state state,
				uint64_t now_us)
{
	const struct shifts *shifts = service->owner;

	return state != DW_SHIFT_RUNNING && !service->is_recorded && !service->is_writer &&
	       shifts->restored_at_us > 0 && now_us < shifts->restored_at_us + OUTCOME_KNOWN_US;
}

static void write_status(struct service_shift *service, uint64_t now_us)
{
	const struct dw_shift_order *order = &service->shift.order;
	enum dw_shift_state state = dw_shift_next_state(&service->shift, now_us);
	bool wanted = service->written_state != state &&
		      service->written_state != DW_SHIFT_COMPLETED &&
		      service->written_state != DW_SHIFT_ROLLED_BACK &&
		      (service->is_recorded || !is_unproven_early(service, state, now_us)) &&
		      !may_be_lost_outcome(service, state, now_us);
	struct write_delay delay = outcome_delay(service);
	char value[STATUS_BYTES];
	char key[KEY_BYTES];

	if (!is_write_due(service, &service->status, wanted,
			  state == DW_SHIFT_RUNNING ? &usual_delay : &delay, now_us))
		return;
	record_rollout_status_key(order->service, key, sizeof(key));
	record_write_rollout_status(state, order->service, order->target_version, value,
				    sizeof(value));
	write_record(service, &service->status, "status", key, value);
}

/* A text as a JSON string. */
static void print_json(const char *text, char out[JSON_TEXT_BYTES])
{
	struct json_object *json = json_object_new_string(text);

	snprintf(out, JSON_TEXT_BYTES, "%s", json_object_to_json_string(json));
	json_object_put(json);
}

static void write_progress(struct service_shift *service, uint64_t now_us)
{
	uint32_t permille = dw_shift_progress(&service->shift, now_us);
	bool wanted = service->shift.state == DW_SHIFT_RUNNING &&
		      permille >= service->written_progress + PROGRESS_STEP_PERMILLE;
	char target[JSON_TEXT_BYTES];
	char value[PROGRESS_BYTES];
	char key[KEY_BYTES];

	if (!is_write_due(service, &service->progress, wanted, &usual_delay, now_us))
		return;
	snprintf(key, sizeof(key), SHIFT_PROGRESS_PREFIX "%s", service->shift.order.service);
	print_json(service->shift.order.target_version, target);
	snprintf(value, sizeof(value), "{\"order\":%" PRIu64 ",\"target\":%s,\"permille\":%u}",
		 dw_revision_number(service->shift.order.revision), target, permille);
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

/* This instance's evidence with that of its earlier processes. */
static void evidence_to_tell(const struct service_shift *service, uint64_t now_us,
			     struct dw_shift_evidence *sum)
{
	const struct peer_evidence *at = service->peers;

	dw_shift_own_evidence(&service->shift, now_us, sum);
	while (at && strcmp(at->instance, service->owner->instance) != 0)
		at = at->next;
	if (at)
		dw_shift_evidence_add(sum, &at->evidence);
}

/* Whether this instance has more of the answers that the proof still lacks. */
static bool has_new_proof(const struct service_shift *service, uint64_t now_us)
{
	return service->is_proof_told &&
	       dw_shift_proof_answers(&service->shift, now_us) > service->written_proof;
}

/* Whether to tell the others what this instance has seen: evidence against the new version as soon as
 * there is some, and once what they need to prove it good. */
static bool is_evidence_due(struct service_shift *service, uint64_t now_us)
{
	const struct dw_shift *shift = &service->shift;

	if (shift->state == DW_SHIFT_COMPLETED || service->evidence.in_flight ||
	    is_unread(&service->evidence))
		return false;
	if (!service->is_proof_told && now_us >= service->proof_retry_at_us &&
	    dw_shift_is_proof_due(shift, now_us)) {
		service->is_proof_in_flight = shift->own.counts[DW_SHIFT_NEW].good > 0 ||
					      shift->open[DW_SHIFT_NEW].count > 0;
		service->is_proof_told = !service->is_proof_in_flight;
		return service->is_proof_in_flight;
	}
	return now_us >= service->evidence_at_us + EVIDENCE_PERIOD_US &&
	       ((has_new_evidence(service) && dw_shift_is_suspect(shift)) ||
		has_new_proof(service, now_us));
}

struct text {
	char bytes[EVIDENCE_BYTES];
	size_t len;
};

static void append(struct text *text, const char *format, ...)
{
	va_list arguments;
	int len;

	va_start(arguments, format);
	len = vsnprintf(text->bytes + text->len, sizeof(text->bytes) - text->len, format,
			arguments);
	va_end(arguments);
	if (len > 0 && text->len + (size_t)len < sizeof(text->bytes))
		text->len += (size_t)len;
}

static void append_counts(struct text *text, const struct dw_shift_counts *count)
{
	append(text, "[%u,%u,%u,%u,%u,%" PRIu64 "]", count->answers, count->bad, count->timed,
	       count->slow, count->good, count->busy_ms);
}

static void append_load(struct text *text, const struct dw_shift_load *load)
{
	append(text, "[%u,%" PRIu64, load->old_answers, load->old_permille_sum);
	for (int level = 0; level < DW_SHIFT_LOAD_LEVELS; level++)
		append(text, ",%u", load->good[level]);
	for (int level = 0; level < DW_SHIFT_LOAD_LEVELS; level++)
		append(text, ",%u", load->bad[level]);
	append(text, "]");
}

static void append_route(struct text *text, const struct dw_shift_route *route)
{
	const struct dw_shift_route_counts *new = &route->counts[DW_SHIFT_NEW];
	const struct dw_shift_route_counts *old = &route->counts[DW_SHIFT_OLD];

	append(text, "[%u,%u,%u,%u,%" PRIu64 ",%u,%u,%u,%" PRIu64 "]", route->key, new->answers,
	       new->bad, new->good, new->busy_ms, old->answers, old->bad, old->good, old->busy_ms);
}

static void print_evidence(const struct service_shift *service,
			   const struct dw_shift_evidence *evidence, struct text *text)
{
	char target[JSON_TEXT_BYTES];

	print_json(service->shift.order.target_version, target);
	append(text, "{\"order\":%" PRIu64 ",\"target\":%s,\"run\":%" PRIu64 ",\"new\":",
	       dw_revision_number(service->shift.order.revision), target, service->owner->run);
	append_counts(text, &evidence->counts[DW_SHIFT_NEW]);
	append(text, ",\"old\":");
	append_counts(text, &evidence->counts[DW_SHIFT_OLD]);
	append(text, ",\"load\":");
	append_load(text, &evidence->load);
	append(text, ",\"routes\":[");
	for (uint32_t i = 0; i < evidence->route_count; i++) {
		append(text, i > 0 ? "," : "");
		append_route(text, &evidence->routes[i]);
	}
	append(text, "]}");
}

static void write_evidence(struct service_shift *service, uint64_t now_us)
{
	struct dw_shift_evidence evidence;
	struct text value = { .len = 0 };
	char key[KEY_BYTES];

	if (!is_evidence_due(service, now_us))
		return;
	service->evidence_at_us = now_us;
	service->written_answers = service->shift.own.counts[DW_SHIFT_NEW].answers;
	service->written_bad_or_slow = service->shift.own.counts[DW_SHIFT_NEW].bad +
				       service->shift.own.counts[DW_SHIFT_NEW].slow;
	service->written_proof = dw_shift_proof_answers(&service->shift, now_us);
	evidence_to_tell(service, now_us, &evidence);
	print_evidence(service, &evidence, &value);
	snprintf(key, sizeof(key), SHIFT_EVIDENCE_PREFIX "%s/%s", service->shift.order.service,
		 service->owner->instance);
	write_record(service, &service->evidence, "evidence", key, value.bytes);
}

/* This instance has written the record, and lost it before it was read. */
static bool forget_unread(const struct shifts *shifts, struct stored_record *record)
{
	bool is_forgotten = record->revision > record->read_revision &&
			    dw_revision_era(record->revision) < shifts->era_guard->era;

	if (is_forgotten)
		record->revision = record->read_revision;
	if (dw_revision_era(record->unread_revision) < shifts->era_guard->era)
		record->unread_revision = 0;
	return is_forgotten;
}

static void rewrite(struct service_shift *service, struct stored_record *record, uint64_t now_us)
{
	uint64_t random = dw_random_next(&service->owner->random);

	record->is_rewrite = true;
	record->write_due_us = now_us + 1;
	if (!service->is_writer)
		record->write_due_us += dw_restore_write_delay_us(&service->owner->place, random);
}

static void rewrite_evidence(struct service_shift *service, uint64_t now_us)
{
	struct shifts *shifts = service->owner;
	uint64_t spread_us =
		at_most(shifts->place.members * EVIDENCE_PACE_US + 1, EVIDENCE_SPREAD_MAX_US);
	uint64_t due_us = now_us + dw_random_next(&shifts->random) % spread_us;

	/* What counts against the new version is due a period after the last write. */
	service->evidence.is_rewrite = service->is_proof_told || service->written_answers > 0 ||
				       service->written_bad_or_slow > 0;
	service->evidence_at_us = due_us > EVIDENCE_PERIOD_US ? due_us - EVIDENCE_PERIOD_US : 0;
	service->proof_retry_at_us = due_us;
	service->written_answers = 0;
	service->written_bad_or_slow = 0;
	service->written_proof = 0;
	service->is_proof_told = false;
}

void shift_records_rewrite(struct service_shift *service, uint64_t now_us)
{
	forget_unread(service->owner, &service->status);
	if (forget_unread(service->owner, &service->progress))
		service->written_progress = 0;
	service->is_evidence_lost |= forget_unread(service->owner, &service->evidence);
	rewrite(service, &service->status, now_us);
	rewrite(service, &service->progress, now_us);
	if (service->is_evidence_lost)
		rewrite_evidence(service, now_us);
	service->is_evidence_lost = false;
}

/* Writes that wait for the era's key keep their distance. */
static void postpone(struct stored_record *record)
{
	if (record->write_due_us > 0)
		record->write_due_us += SHIFT_CHECK_PERIOD_MS * DW_US_PER_MS;
}

void shift_records_write(struct service_shift *service, uint64_t now_us)
{
	if (!era_guard_allows_writes(service->owner->era_guard)) {
		postpone(&service->status);
		postpone(&service->progress);
		return;
	}
	write_status(service, now_us);
	write_progress(service, now_us);
	write_evidence(service, now_us);
}
