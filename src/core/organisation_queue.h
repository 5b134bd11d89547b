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
	bool is_late;
	uint64_t skipped_round; /* of dw_admission_begin_round(); 0: never skipped */
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
	/* utlist, earliest deadline first; by priority, and whether the entries are late */
	struct queued_entry *lists[DW_ADMISSION_LEVELS][2];
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

/* Which entries a search considers. */
struct queue_filter {
	uint32_t priority;
	bool is_late;
	uint64_t pools; /* bit mask */
	uint64_t round; /* entries skipped in it are passed over */
};

/*
 * Returns the first entry that passes the filter; NULL if there is none or the organisation's limit is
 * reached.
 */
struct queued_entry *organisation_queue_first(const struct organisation_queue *queue,
					      const struct queue_filter *filter);

/*
 * Sum of the service times of the entries that wait for @p pool at the priority with a deadline up
 * to @p deadline_us.
 */
uint64_t organisation_queue_work_us(const struct organisation_queue *queue, uint32_t priority,
				    uint32_t pool, uint64_t deadline_us);

/* Virtual time that work of @p service_us costs the organisation. */
uint64_t organisation_queue_virtual_cost(const struct organisation_queue *queue,
					 uint64_t service_us);

#endif
