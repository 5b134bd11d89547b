#include <dragonflywharf/restore_rule.h>

/* Revisions of both go back to the copy, so the lower one is the older one, unless it was written after the
 * restore. That can't be told, so this decides only until lost states were written again. */
static bool is_lost(const struct dw_restored_state *known, const struct dw_restored_state *shown,
		    bool is_settled)
{
	return !is_settled && known->number > shown->number;
}

static bool keeps_config(const struct dw_restored_state *known,
			 const struct dw_restored_state *shown, enum dw_restore_phase phase)
{
	if (!known->exists)
		return false;
	if (!shown->exists)
		return true;
	if (!known->is_readable || !shown->is_readable)
		return is_lost(known, shown, phase >= DW_RESTORE_SETTLED);
	return shown->sequence < known->sequence;
}

/* Whether the shown entry is from before the known one, or from before its removal. */
static bool is_older_report(const struct dw_restored_state *known,
			    const struct dw_restored_state *shown)
{
	if (shown->lifetime != known->lifetime)
		return shown->lifetime < known->lifetime;
	if (shown->sequence != known->sequence)
		return shown->sequence < known->sequence;
	return !known->exists || (known->is_leaving && !shown->is_leaving);
}

/* An entry that isn't shown counts as removed: its engine stays in use for a while, as after an outage. */
static bool keeps_engine(const struct dw_restored_state *known,
			 const struct dw_restored_state *shown, enum dw_restore_phase phase)
{
	if (!shown->exists || !shown->is_readable)
		return false;
	if (!known->exists && phase >= DW_RESTORE_LEASES_ENDED)
		return false;
	if (!known->is_readable)
		return is_lost(known, shown, phase >= DW_RESTORE_SETTLED);
	return is_older_report(known, shown);
}

/* A lost evacuation is kept for longer than one that is shown is ignored: a domain that was taken out gets no requests
 * meanwhile, and one that is taken out anew must get none before the operators' limit. */
static bool keeps_order(const struct dw_restored_state *known,
			const struct dw_restored_state *shown, enum dw_restore_phase phase)
{
	if (!shown->exists)
		return known->exists && phase < DW_RESTORE_SETTLED;
	return is_lost(known, shown, phase >= DW_RESTORE_ORDERS_SETTLED);
}

bool dw_restore_keeps(enum dw_restored_kind kind, const struct dw_restored_state *known,
		      const struct dw_restored_state *shown, enum dw_restore_phase phase)
{
	if (!known->is_known)
		return false;
	switch (kind) {
	case DW_RESTORED_CONFIG:
		return keeps_config(known, shown, phase);
	case DW_RESTORED_ENGINE:
		return keeps_engine(known, shown, phase);
	case DW_RESTORED_ORDER:
		return keeps_order(known, shown, phase);
	case DW_RESTORED_OWN:
	case DW_RESTORED_KIND_COUNT:
		break;
	}
	return false;
}
