#include "wharf-gateway/view_restore.h"

#include <string.h>

#include <dragonflywharf/restore_rule.h>

#include "base/clock.h"
#include "platform/config_record.h"
#include "platform/records.h"

/* Operators have written their orders again by then, and what they have written since must be in force soon after. */
#define ORDERS_SETTLED_AFTER_US (3 * DW_US_PER_S)
/* By then engines that run have written their entries again, and old entries of others have expired. */
#define SETTLED_AFTER_US (6 * DW_US_PER_S)
/* Other instances settle by then, as they entered the era at most seconds later. */
#define ASK_KEPT_US (4 * DW_US_PER_S)
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

void view_restore_init(struct view_restore *restore, uint64_t now_us)
{
	restore->lacks_memory = true;
	restore->memory_due_us = now_us + MEMORY_AFTER_US;
}

bool view_restore_is_memory_due(const struct view_restore *restore, uint64_t now_us)
{
	return restore->lacks_memory &&
	       (!restore->was_told || now_us >= restore->kept_asked_at_us + ASK_PERIOD_US);
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

void view_restore_entered(struct view_restore *restore, uint64_t now_us)
{
	restore->entered_at_us = now_us;
	restore->orders_settled_at_us = now_us + ORDERS_SETTLED_AFTER_US;
	restore->settled_at_us = now_us + SETTLED_AFTER_US;
	restore->are_orders_read = false;
	restore->awaits_settling = true;
}

void view_restore_told_kept(struct view_restore *restore, uint64_t now_us)
{
	if (restore->awaits_settling)
		return;
	restore->orders_settled_at_us = now_us + ORDERS_SETTLED_AFTER_US;
	restore->settled_at_us = now_us + SETTLED_AFTER_US;
	restore->are_orders_read = false;
	restore->awaits_settling = true;
}

enum dw_restore_phase view_restore_phase(const struct view_restore *restore, uint64_t now_us)
{
	if (now_us >= restore->settled_at_us)
		return DW_RESTORE_SETTLED;
	return now_us >= restore->orders_settled_at_us ? DW_RESTORE_ORDERS_SETTLED
						       : DW_RESTORE_FRESH;
}

bool view_restore_is_settling_due(const struct view_restore *restore, uint64_t now_us)
{
	switch (view_restore_phase(restore, now_us)) {
	case DW_RESTORE_ORDERS_SETTLED:
		return restore->awaits_settling && !restore->are_orders_read;
	case DW_RESTORE_SETTLED:
		return restore->awaits_settling;
	case DW_RESTORE_FRESH:
	case DW_RESTORE_PHASE_COUNT:
		break;
	}
	return false;
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

enum view_ask view_restore_ask(struct view_restore *restore, const struct dw_view_log *log,
			       uint64_t now_us)
{
	bool is_late = now_us >= restore->settled_at_us + ASK_KEPT_US;
	struct view_kept kept;

	if (view_restore_is_memory_due(restore, now_us)) {
		restore->kept_asked_at_us = now_us;
		return VIEW_ASK_MEMORY;
	}
	if (!view_restore_is_settling_due(restore, now_us) ||
	    now_us < restore->kept_asked_at_us + ASK_PERIOD_US)
		return VIEW_ASK_CHANGES;
	kept = view_restore_kept(log);
	restore->kept_asked_at_us = now_us;
	/* Engines and configurations may be kept until they change, so the question for them ends. */
	if (view_restore_phase(restore, now_us) == DW_RESTORE_SETTLED)
		restore->awaits_settling =
			kept.orders > 0 || (kept.configs + kept.engines > 0 && !is_late);
	else
		restore->are_orders_read = kept.orders == 0;
	if (!restore->awaits_settling)
		return VIEW_ASK_CHANGES;
	return is_late ? VIEW_ASK_ALL : VIEW_ASK_KEPT;
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
