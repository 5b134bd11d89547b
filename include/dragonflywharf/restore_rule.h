/**
 * @file restore_rule.h
 * Which of two states of a key is in force after the store came back from an older copy: the one that was known
 * before, or the one that the store shows. The store shows states that have passed until their writers have written
 * again what it lost. docs/design/store-restore.md has the reasons for each kind.
 */
#ifndef DRAGONFLYWHARF_RESTORE_RULE_H
#define DRAGONFLYWHARF_RESTORE_RULE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum dw_restored_kind {
	DW_RESTORED_CONFIG, /**< ordered by its version */
	DW_RESTORED_ENGINE, /**< ordered by the start of its lifetime, then by its sequence number */
	DW_RESTORED_ORDER, /**< an operator's order: a rollout, an evacuation */
	DW_RESTORED_OWN, /**< of this system: what the store shows counts, and is written again */
	DW_RESTORED_KIND_COUNT
};

/** What is known of a key, or shown of it. */
struct dw_restored_state {
	bool exists;
	bool is_known; /**< there is a record, maybe of a deletion */
	bool is_readable; /**< the fields below are valid; of a deleted key: those of its last value */
	uint64_t number; /**< of the revision, without its era */
	uint64_t lifetime; /**< ENGINE: start of its lifetime */
	uint64_t sequence; /**< CONFIG: its version; ENGINE: number of its report */
	bool is_leaving; /**< ENGINE */
};

/** What has passed since the restore. */
enum dw_restore_phase {
	DW_RESTORE_FRESH, /**< writers may not have written again yet what was lost */
	DW_RESTORE_ORDERS_SETTLED, /**< operators' orders count as written again, or as gone */
	DW_RESTORE_SETTLED, /**< what nobody has written again counts as gone; removed engines stay out */
	DW_RESTORE_LEASES_ENDED, /**< an engine whose entry is still there lives: it has renewed its lease */
	DW_RESTORE_PHASE_COUNT
};

/** @return whether the known state stays in force */
bool dw_restore_keeps(enum dw_restored_kind kind, const struct dw_restored_state *known,
		      const struct dw_restored_state *shown, enum dw_restore_phase phase);

#ifdef __cplusplus
}
#endif

#endif
