/**
 * @file event_order.h
 * Keeps the events of a resumable stream in order: none twice, none left out, none of another run.
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
	uint64_t last_id; /**< of the last event that was passed on, or that the caller has */
};

enum dw_event_verdict {
	DW_EVENT_PASS,
	DW_EVENT_REPEATED, /**< the caller has it: leave it out */
	DW_EVENT_GAP, /**< an event before it is missing: the stream can't go on */
	DW_EVENT_VERDICT_COUNT
};

/** Takes the next event's id and says what becomes of it. */
enum dw_event_verdict dw_event_order_check(struct dw_event_order *order, uint64_t id);

/** The number behind "id:" in the text of one event; false if it has none. */
bool dw_event_parse_id(const char *raw, size_t len, uint64_t *id);

#ifdef __cplusplus
}
#endif

#endif
