#include "wharf-gateway/view_restore.h"

#include <string.h>

#include <dragonflywharf/restore_rule.h>
#include <dragonflywharf/store_revision.h>

#include "base/clock.h"
#include "platform/config_record.h"
#include "platform/records.h"

/* Operators have written their orders again by then, and what they have written since must be in force soon after. */
#define ORDERS_SETTLED_AFTER_US (3 * DW_US_PER_S)
/* By then engines that run have written their entries again, and old entries of others have expired. */
#define SETTLED_AFTER_US (6 * DW_US_PER_S)
/* Other instances settle by then, as they entered the era at most seconds later. */
#define ASK_KEPT_US (4 * DW_US_PER_S)
/* Then for all their records, for as long as an instance waits for a source that doesn't answer, or longer. */
#define ASK_ALL_US (4 * DW_US_PER_S)
/* Shorter than a request is held in between, so that each second one asks: three levels of the tree within ASK_KEPT_US. */
#define ASK_PERIOD_US (300 * DW_US_PER_MS)

/* An instance that started with the others gets all that they know within this time. */
#define MEMORY_AFTER_US (3 * DW_US_PER_S)

static const char *const ask_names[VIEW_ASK_COUNT] = {
	[VIEW_ASK_CHANGES] = "",
	[VIEW_ASK_KEPT] = "kept",
	[VIEW_ASK_ALL] = "kept",
	[VIEW_ASK_MEMORY] = "past",
};

const char *view_ask_name(enum view_ask ask)
{
	return ask_names[ask];
}

bool view_ask_read(const char *name, enum view_ask *ask)
{
	for (int i = VIEW_ASK_KEPT; i < VIEW_ASK_COUNT; i++) {
		if (strcmp(name, ask_names[i]) != 0)
			continue;
		*ask = (enum view_ask)i;
		return true;
	}
	return false;
}

void view_restore_init(struct view_restore *restore, uint64_t engine_lease_us, uint64_t now_us)
{
	restore->read_phase = DW_RESTORE_PHASE_COUNT - 1;
	restore->engine_lease_us = engine_lease_us;
	restore->lacks_memory = true;
	restore->memory_due_us = now_us + MEMORY_AFTER_US;
}

bool view_restore_may_ask_again(const struct view_restore *restore, uint64_t now_us)
{
	return now_us >= restore->kept_asked_at_us + ASK_PERIOD_US;
}

bool view_restore_is_memory_due(const struct view_restore *restore, uint64_t now_us)
{
	return restore->lacks_memory &&
	       (!restore->was_told || view_restore_may_ask_again(restore, now_us));
}

void view_restore_told(struct view_restore *restore, bool has_memory, uint64_t now_us)
{
	restore->was_told = true;
	if (has_memory || now_us >= restore->memory_due_us)
		restore->lacks_memory = false;
}

bool view_restore_has_memory(const struct view_restore *restore, uint64_t now_us)
{
	return !restore->lacks_memory || now_us >= restore->memory_due_us;
}

static void begin(struct view_restore *restore, uint64_t now_us)
{
	uint64_t lease_us = restore->engine_lease_us;
	uint64_t leases_us = lease_us > SETTLED_AFTER_US ? lease_us : SETTLED_AFTER_US;

	restore->phase_begin_us[DW_RESTORE_FRESH] = now_us;
	restore->phase_begin_us[DW_RESTORE_ORDERS_SETTLED] = now_us + ORDERS_SETTLED_AFTER_US;
	restore->phase_begin_us[DW_RESTORE_SETTLED] = now_us + SETTLED_AFTER_US;
	restore->phase_begin_us[DW_RESTORE_LEASES_ENDED] =
		lease_us > 0 ? now_us + leases_us : UINT64_MAX;
	restore->read_phase = DW_RESTORE_FRESH;
}

void view_restore_entered(struct view_restore *restore, uint64_t returned_at_us, uint64_t now_us)
{
	restore->returned_at_us = returned_at_us;
	begin(restore, now_us);
}

bool view_restore_awaits_settling(const struct view_restore *restore)
{
	bool are_leases_known = restore->engine_lease_us > 0;

	return restore->read_phase <
	       (are_leases_known ? DW_RESTORE_LEASES_ENDED : DW_RESTORE_SETTLED);
}

void view_restore_told_kept(struct view_restore *restore, uint64_t now_us)
{
	if (!view_restore_awaits_settling(restore))
		begin(restore, now_us);
}

void view_restore_read(struct view_restore *restore, enum dw_restore_phase phase)
{
	if (phase > restore->read_phase)
		restore->read_phase = phase;
}

enum dw_restore_phase view_restore_phase(const struct view_restore *restore, uint64_t now_us)
{
	int phase = DW_RESTORE_PHASE_COUNT - 1;

	while (phase > DW_RESTORE_FRESH && now_us < restore->phase_begin_us[phase])
		phase--;
	return (enum dw_restore_phase)phase;
}

bool view_restore_is_settling_due(const struct view_restore *restore, uint64_t now_us)
{
	return view_restore_phase(restore, now_us) > restore->read_phase;
}

static enum dw_restored_kind kind_of(const char *key, const char **name)
{
	switch (record_kind_of(key, name)) {
	case RECORD_CONFIG:
		return DW_RESTORED_CONFIG;
	case RECORD_ENGINE:
		return DW_RESTORED_ENGINE;
	case RECORD_ROLLOUT_ORDER:
	case RECORD_EVACUATION:
		return DW_RESTORED_ORDER;
	case RECORD_ROLLOUT_STATUS:
	case RECORD_UNKNOWN:
	case RECORD_KIND_COUNT:
		break;
	}
	return DW_RESTORED_OWN;
}

static void read_engine(const char *id, const uint8_t *value, size_t len,
			struct dw_restored_state *state)
{
	struct dw_engine_entry entry;

	state->is_readable = value && record_read_engine(id, value, len, &entry) == DW_OK;
	if (!state->is_readable)
		return;
	state->lifetime = entry.started_at_ms;
	state->sequence = entry.sequence;
	state->is_leaving = entry.is_draining;
}

static struct dw_restored_state state_of(enum dw_restored_kind kind, const char *name,
					 const struct dw_view_record *record, bool is_known)
{
	struct dw_restored_state state = { 0 };
	const uint8_t *value;
	size_t len;

	if (!record)
		return state;
	state.is_known = true;
	state.exists = !record->deleted;
	state.number = dw_revision_number(record->revision);
	value = record->value;
	len = record->value_len;
	if (record->deleted && is_known) {
		value = record->last_value;
		len = record->last_len;
	}
	switch (kind) {
	case DW_RESTORED_CONFIG:
		state.is_readable =
			value && config_record_version(value, len, &state.sequence) == DW_OK;
		break;
	case DW_RESTORED_ENGINE:
		read_engine(name, value, len, &state);
		break;
	case DW_RESTORED_ORDER:
	case DW_RESTORED_OWN:
	case DW_RESTORED_KIND_COUNT:
		break;
	}
	return state;
}

/* Whether the two may disagree because the store was restored. What the store shows beyond kept_over was written
 * after that. */
static bool is_contested(const struct view_snapshot *snapshot, const struct dw_view_record *known,
			 const struct dw_view_record *shown)
{
	if (snapshot->is_entering)
		return dw_revision_era(known->revision) < dw_revision_era(snapshot->revision) &&
		       (!shown || shown->revision <= snapshot->era_begin);
	return known->kept_over > 0 && (!shown || shown->revision <= known->kept_over);
}

bool view_restore_keeps(const struct view_snapshot *snapshot, const struct dw_view_record *known,
			const struct dw_view_record *shown)
{
	struct dw_restored_state before;
	struct dw_restored_state after;
	enum dw_restored_kind kind;
	const char *name;

	if (!is_contested(snapshot, known, shown))
		return false;
	kind = kind_of(known->key, &name);
	before = state_of(kind, name, known, true);
	after = state_of(kind, name, shown, false);
	return dw_restore_keeps(kind, &before, &after, snapshot->phase);
}

/* Whether other instances may still keep, or have given up, what this one keeps. Engines and configurations may be kept
 * until they change, so the question for them ends; that for removals once all records were asked for, as they are given
 * up in the last phase. */
static bool may_be_told(const struct view_kept *kept, enum dw_restore_phase phase,
			uint64_t phase_age_us)
{
	if (kept->orders > 0)
		return true;
	if (kept->removals > 0 && phase == DW_RESTORE_LEASES_ENDED)
		return phase_age_us < ASK_KEPT_US + ASK_ALL_US;
	return phase >= DW_RESTORE_SETTLED && kept->configs + kept->engines > 0 &&
	       phase_age_us < ASK_KEPT_US;
}

/* A store without eras isn't known to go back. Without a copy it isn't known yet whether it has eras. */
static bool may_store_go_back(const struct dw_view_log *log)
{
	uint64_t revision = dw_view_log_revision(log);

	return revision == 0 || dw_revision_era(revision) > 0;
}

enum view_ask view_restore_ask(struct view_restore *restore, const struct dw_view_log *log,
			       uint64_t now_us)
{
	enum dw_restore_phase phase = view_restore_phase(restore, now_us);
	struct view_kept kept;
	uint64_t phase_age_us;

	if (may_store_go_back(log) && view_restore_is_memory_due(restore, now_us)) {
		restore->kept_asked_at_us = now_us;
		return VIEW_ASK_MEMORY;
	}
	if (!view_restore_is_settling_due(restore, now_us) ||
	    !view_restore_may_ask_again(restore, now_us))
		return VIEW_ASK_CHANGES;
	phase_age_us = now_us - restore->phase_begin_us[phase];
	kept = view_restore_kept(log);
	restore->kept_asked_at_us = now_us;
	if (!may_be_told(&kept, phase, phase_age_us))
		view_restore_read(restore, phase);
	if (!view_restore_awaits_settling(restore))
		return VIEW_ASK_CHANGES;
	return phase_age_us >= ASK_KEPT_US ? VIEW_ASK_ALL : VIEW_ASK_KEPT;
}

struct view_kept view_restore_kept(const struct dw_view_log *log)
{
	const struct dw_view_record *record = NULL;
	struct view_kept kept = { 0 };
	const char *name;

	while ((record = dw_view_log_next(log, record))) {
		if (record->kept_over == 0)
			continue;
		switch (kind_of(record->key, &name)) {
		case DW_RESTORED_CONFIG:
			kept.configs++;
			break;
		case DW_RESTORED_ENGINE:
			kept.engines++;
			kept.removals += record->deleted;
			break;
		case DW_RESTORED_ORDER:
			kept.orders++;
			break;
		case DW_RESTORED_OWN:
		case DW_RESTORED_KIND_COUNT:
			break;
		}
	}
	return kept;
}
