/**
 * @file admission.h
 * Admission queue of one instance.
 *
 * Order: higher priority first; within a priority the organisations share by weight (start-time
 * fair queuing, Goyal, Vin and Cheng 1996); within an organisation the earliest deadline first. A
 * request that isn't expected to finish by its deadline is refused at once. One that can no longer
 * finish by its deadline while it waits is returned by dw_admission_expire(). Neither has run.
 *
 * Within a priority, an entry that can still be answered in time goes before one that will be late
 * (in_time_until_us and dw_admission_mark_late(); without these no entry counts as late).
 *
 * A caller that knows the pools with a free permit uses dw_admission_pop(). One that has to try whether
 * an entry can be dispatched uses dw_admission_peek(), then dw_admission_take() or dw_admission_skip().
 *
 * Each entry waits for a pool. The caller gives a pool number to each set of upstreams that can
 * serve the same entries, so that entries of a full pool don't block those of other pools.
 */
#ifndef DRAGONFLYWHARF_ADMISSION_H
#define DRAGONFLYWHARF_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ADMISSION_POOLS_MAX 64
#define DW_ADMISSION_ALL_POOLS UINT64_MAX

/** Number of priorities; 0 is the most urgent. */
#define DW_ADMISSION_LEVELS 10
#define DW_ADMISSION_ALL_LEVELS ((UINT32_C(1) << DW_ADMISSION_LEVELS) - 1)

/** Priorities of the chat interface. */
enum dw_admission_priority {
	DW_ADMISSION_HIGH,
	DW_ADMISSION_NORMAL,
	DW_ADMISSION_LOW,
	DW_ADMISSION_PRIORITY_COUNT
};

/** Identifies an entry while it waits. Never 0; a value isn't reused for a long time. */
typedef uint64_t dw_admission_handle;

struct dw_admission_entry {
	uint64_t organisation_id;
	uint32_t priority; /**< below DW_ADMISSION_LEVELS */
	uint32_t pool; /**< below DW_ADMISSION_POOLS_MAX */
	uint64_t deadline_us; /**< 0: no deadline */
	uint64_t service_us; /**< expected time from dispatch to completion */
	void *data; /**< opaque to this module */
	uint64_t in_time_until_us; /**< if it is dispatched later, it is late; 0: never late */
};

struct dw_admission;

/** Creates a queue of at most @p capacity entries. @return NULL if memory runs out. */
struct dw_admission *dw_admission_new(size_t capacity);
void dw_admission_free(struct dw_admission *admission);

/**
 * Sets an organisation's weight (0 counts as 1) and how many of its requests this instance may have
 * in flight (0: no limit). Organisations that weren't set have weight 1 and no limit. Lowering the
 * limit doesn't stop requests that are in flight.
 */
enum dw_status dw_admission_set_organisation(struct dw_admission *admission,
					     uint64_t organisation_id, uint32_t weight,
					     uint32_t max_in_flight);

/**
 * Sets how many entries of a pool this instance can run at once. Only the estimate of the waiting
 * time uses it. The caller passes an even share of the upstreams' limits, or the number that it has
 * in flight and can still start, whichever is greater. 0: unknown, so the pool adds no expected
 * wait.
 */
enum dw_status dw_admission_set_pool(struct dw_admission *admission, uint32_t pool,
				     uint32_t concurrency);

/**
 * Queues an entry, even if it could run at once; dw_admission_pop() dispatches it.
 *
 * @return DW_OK; DW_TIMEOUT if the entry isn't expected to finish by its deadline; DW_OVERLOADED if
 * the queue is full; DW_INVALID_ARGUMENT; DW_NO_MEMORY. On failure nothing is queued.
 */
enum dw_status dw_admission_push(struct dw_admission *admission, uint64_t now_us,
				 const struct dw_admission_entry *entry, dw_admission_handle *out);

/** Estimates how long an entry like this one would wait until it is dispatched. */
uint64_t dw_admission_expected_wait_us(const struct dw_admission *admission,
				       const struct dw_admission_entry *entry);

/** Removes a waiting entry. @return DW_OK or DW_NOT_FOUND. */
enum dw_status dw_admission_cancel(struct dw_admission *admission, dw_admission_handle handle);

/**
 * Removes the next entry whose pool is set in the bit mask @p pools, which must hold the pools with
 * a free permit. The caller dispatches the entry; it counts as in flight for its organisation and
 * pool until dw_admission_finished().
 *
 * @return DW_OK, or DW_NOT_FOUND if no entry can be dispatched.
 */
enum dw_status dw_admission_pop(struct dw_admission *admission, uint64_t pools,
				struct dw_admission_entry *out, dw_admission_handle *handle);

/**
 * Finds the entry that dw_admission_pop() would return, among the priorities in the bit mask @p levels and
 * without those skipped in this round. It keeps waiting.
 */
enum dw_status dw_admission_peek(struct dw_admission *admission, uint64_t pools, uint32_t levels,
				 struct dw_admission_entry *out, dw_admission_handle *handle);

/** Whether an entry that waits for the pool goes before @p entry: it is neither less urgent nor late. */
bool dw_admission_is_behind(const struct dw_admission *admission,
			    const struct dw_admission_entry *entry, uint64_t now_us);

/** Dispatches a waiting entry as dw_admission_pop() does. @return DW_OK or DW_NOT_FOUND. */
enum dw_status dw_admission_take(struct dw_admission *admission, dw_admission_handle handle);

/** Leaves a waiting entry out of this round: it can't be dispatched, though others of its pool can. */
void dw_admission_skip(struct dw_admission *admission, dw_admission_handle handle);

/** Starts a round of peeks, in which no entry has been skipped. */
void dw_admission_begin_round(struct dw_admission *admission);

/** Moves entries whose in_time_until_us has passed behind the others of their priority. */
void dw_admission_mark_late(struct dw_admission *admission, uint64_t now_us);

/** Reports that a popped or taken entry has ended, @p service_us after its dispatch; 0 if it didn't run. */
void dw_admission_finished(struct dw_admission *admission, uint64_t organisation_id, uint32_t pool,
			   uint64_t service_us);

/**
 * Removes one entry that can no longer finish by its deadline, to be refused as not run.
 *
 * @return DW_OK, or DW_NOT_FOUND if there is none.
 */
enum dw_status dw_admission_expire(struct dw_admission *admission, uint64_t now_us,
				   struct dw_admission_entry *out, dw_admission_handle *handle);

/** Earliest time at which dw_admission_expire() can find an entry; UINT64_MAX if never. */
uint64_t dw_admission_next_expiry_us(const struct dw_admission *admission);

/** Number of waiting entries. */
size_t dw_admission_waiting(const struct dw_admission *admission);
/** Number of entries that wait for a pool. */
size_t dw_admission_pool_waiting(const struct dw_admission *admission, uint32_t pool);

#ifdef __cplusplus
}
#endif

#endif
