/**
 * @file organisation_queue.h
 * One organisation's waiting entries, by priority and deadline, and its state in fair queuing.
 */
#ifndef WHARF_CORE_ORGANISATION_QUEUE_H
#define WHARF_CORE_ORGANISATION_QUEUE_H

#include <uthash.h>

#include <dragonflywharf/admission.h>

struct organisation_queue;

struct queued_entry {
	struct dw_admission_entry entry;
	dw_admission_handle handle;
	struct organisation_queue *organisation;
	struct queued_entry *prev;
	struct queued_entry *next;
};

struct organisation_queue {
	uint64_t organisation_id;
	uint32_t weight;
	uint32_t max_in_flight; /* 0: no limit */
	uint32_t in_flight;
	uint32_t count; /* number of waiting entries */
	bool configured; /* set by dw_admission_set_organisation(); isn't freed while idle */
	uint64_t start_tag; /* virtual start time of its next entry */
	struct queued_entry
		*lists[DW_ADMISSION_PRIORITY_COUNT]; /* utlist, earliest deadline first */
	UT_hash_handle hh;
};

/* Deadline for ordering; an entry without one sorts last. */
uint64_t queued_entry_deadline_us(const struct queued_entry *waiting);

/*
 * Latest time at which the entry can start and still finish by its deadline; UINT64_MAX if it has
 * none.
 */
uint64_t queued_entry_latest_start_us(const struct queued_entry *waiting);

/* Inserts after all entries with the same or an earlier deadline. */
void organisation_queue_insert(struct organisation_queue *queue, struct queued_entry *waiting);

void organisation_queue_remove(struct organisation_queue *queue, struct queued_entry *waiting);

/*
 * Returns the first entry of the priority whose pool is in the mask; NULL if there is none or the
 * organisation's limit is reached.
 */
struct queued_entry *organisation_queue_first(const struct organisation_queue *queue,
					      enum dw_admission_priority priority, uint64_t pools);

/*
 * Sum of the service times of the entries that wait for @p pool at the priority with a deadline up
 * to @p deadline_us.
 */
uint64_t organisation_queue_work_us(const struct organisation_queue *queue,
				    enum dw_admission_priority priority, uint32_t pool,
				    uint64_t deadline_us);

/* Virtual time that work of @p service_us costs the organisation. */
uint64_t organisation_queue_virtual_cost(const struct organisation_queue *queue,
					 uint64_t service_us);

#endif
