/**
 * @file organisation_queue.h
 * One organisation's waiting entries, by priority and deadline, and its place in fair queuing.
 */
#ifndef WHARF_CORE_ORGANISATION_QUEUE_H
#define WHARF_CORE_ORGANISATION_QUEUE_H

#include <uthash.h>

#include <dragonflywharf/admission.h>

struct organisation_queue;

struct waiting {
	struct dw_admission_entry entry;
	dw_admission_handle handle;
	struct organisation_queue *organisation;
	struct waiting *prev;
	struct waiting *next;
};

struct organisation_queue {
	uint64_t organisation_id;
	uint32_t weight;
	uint32_t max_in_flight; /* 0 for no limit */
	uint32_t in_flight;
	uint32_t count; /* entries that wait */
	bool configured; /* kept while idle */
	uint64_t start_tag; /* virtual time at which its next entry starts */
	struct waiting *lists[DW_ADMISSION_PRIORITY_COUNT]; /* utlist, earliest deadline first */
	UT_hash_handle hh;
};

/* Deadline of an entry for ordering; one without a deadline comes last. */
uint64_t queued_entry_deadline_us(const struct waiting *waiting);

/* Last time at which the entry can start and still finish; UINT64_MAX without a deadline. */
uint64_t queued_entry_latest_start_us(const struct waiting *waiting);

/* Inserts behind all entries of the same or an earlier deadline. */
void organisation_queue_insert(struct organisation_queue *queue, struct waiting *waiting);

void organisation_queue_remove(struct organisation_queue *queue, struct waiting *waiting);

/* First entry of the priority whose pool is in the mask; NULL if none may go. */
struct waiting *organisation_queue_first(const struct organisation_queue *queue,
					 enum dw_admission_priority priority, uint64_t pools);

/* Work that waits for @p pool at the priority, of deadlines up to @p deadline_us. */
uint64_t organisation_queue_work_us(const struct organisation_queue *queue,
				    enum dw_admission_priority priority, uint32_t pool,
				    uint64_t deadline_us);

/* What the virtual time advances by for work of @p service_us. */
uint64_t organisation_queue_virtual_cost(const struct organisation_queue *queue,
					 uint64_t service_us);

#endif
