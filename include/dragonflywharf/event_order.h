/**
 * @file event_order.h
 * Checks the event ids of a resumable stream, so that the caller receives each event once and in
 * order, also when the stream is continued from another upstream. Ids grow, but not by a fixed step, so they
 * can't show a missing event: that an upstream continues after the id it was given is left to it.
 */
#ifndef DRAGONFLYWHARF_EVENT_ORDER_H
#define DRAGONFLYWHARF_EVENT_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_event_order {
	bool has_last;
	uint64_t last_id; /**< last event that was forwarded or that the caller already had */
};

enum dw_event_verdict {
	DW_EVENT_PASS, /**< next in order: forward it */
	DW_EVENT_REPEATED, /**< the caller already has it: skip it */
	DW_EVENT_VERDICT_COUNT
};

/** Checks the next event's id, and makes it the last one if the verdict is DW_EVENT_PASS. */
enum dw_event_verdict dw_event_order_check(struct dw_event_order *order, uint64_t id);

/** Reads the number of the "id:" line in the text of one event; false if there is none. */
bool dw_event_parse_id(const char *raw, size_t len, uint64_t *id);

#ifdef __cplusplus
}
#endif

#endif
