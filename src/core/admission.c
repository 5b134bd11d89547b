#include <dragonflywharf/admission.h>

#include <stdlib.h>

#include "core/organisation_queue.h"

#define EWMA_SHIFT 3
#define HANDLE_INDEX_BITS 32
/* No entry is skipped in it. */
#define NO_ROUND UINT64_MAX

struct pool {
	uint32_t concurrency; /* 0: unknown, adds no expected wait */
	uint32_t in_flight;
	uint32_t waiting;
	uint64_t service_us; /* exponentially weighted moving average */
};

struct dw_admission {
	struct organisation_queue *organisations; /* uthash, by organisation_id */
	struct pool pools[DW_ADMISSION_POOLS_MAX];
	uint64_t virtual_time;
	uint64_t generation;
	uint64_t next_expiry_us; /* no entry expires up to this time */
	uint64_t next_late_us; /* no entry becomes late up to this time */
	uint64_t round; /* of dw_admission_begin_round() */
	size_t count;
	size_t capacity;
	size_t *free_indexes;
	struct queued_entry entries[];
};

struct dw_admission *dw_admission_new(size_t capacity)
{
	struct dw_admission *admission =
		calloc(1, sizeof(*admission) + capacity * sizeof(admission->entries[0]));

	if (!admission)
		return NULL;
	admission->free_indexes = calloc(capacity + 1, sizeof(admission->free_indexes[0]));
	if (!admission->free_indexes) {
		free(admission);
		return NULL;
	}
	for (size_t i = 0; i < capacity; i++)
		admission->free_indexes[i] = capacity - 1 - i;
	admission->capacity = capacity;
	admission->next_expiry_us = UINT64_MAX;
	admission->next_late_us = UINT64_MAX;
	admission->round = 1;
	return admission;
}

void dw_admission_free(struct dw_admission *admission)
{
	struct organisation_queue *queue;
	struct organisation_queue *next;

	if (!admission)
		return;
	queue = admission->organisations;
	HASH_CLEAR(hh, admission->organisations);
	for (; queue; queue = next) {
		next = queue->hh.next;
		free(queue);
	}
	free(admission->free_indexes);
	free(admission);
}

static struct organisation_queue *find_queue(const struct dw_admission *admission,
					     uint64_t organisation_id)
{
	struct organisation_queue *queue;

	HASH_FIND(hh, admission->organisations, &organisation_id, sizeof(organisation_id), queue);
	return queue;
}

static struct organisation_queue *find_or_add_queue(struct dw_admission *admission,
						    uint64_t organisation_id)
{
	struct organisation_queue *queue = find_queue(admission, organisation_id);

	if (queue)
		return queue;
	queue = calloc(1, sizeof(*queue));
	if (!queue)
		return NULL;
	queue->organisation_id = organisation_id;
	queue->weight = 1;
	HASH_ADD(hh, admission->organisations, organisation_id, sizeof(queue->organisation_id),
		 queue);
	return queue;
}

/*
 * Frees the queue of an idle organisation that wasn't configured. Its start tag must not be ahead
 * of virtual time, or the organisation would get more than its share when it returns.
 */
static void free_if_idle(struct dw_admission *admission, struct organisation_queue *queue)
{
	if (queue->configured || queue->count || queue->in_flight ||
	    queue->start_tag > admission->virtual_time)
		return;
	HASH_DEL(admission->organisations, queue);
	free(queue);
}

enum dw_status dw_admission_set_organisation(struct dw_admission *admission,
					     uint64_t organisation_id, uint32_t weight,
					     uint32_t max_in_flight)
{
	struct organisation_queue *queue = find_or_add_queue(admission, organisation_id);

	if (!queue)
		return dw_fail(DW_NO_MEMORY, "admission queue: out of memory for an organisation");
	queue->weight = weight ? weight : 1;
	queue->max_in_flight = max_in_flight;
	queue->configured = true;
	return DW_OK;
}

enum dw_status dw_admission_set_pool(struct dw_admission *admission, uint32_t pool,
				     uint32_t concurrency)
{
	if (pool >= DW_ADMISSION_POOLS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "admission queue: pool %u out of range, there are %d", pool,
			       DW_ADMISSION_POOLS_MAX);
	admission->pools[pool].concurrency = concurrency;
	return DW_OK;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Estimates the work that is dispatched before the entry. Another organisation of the same priority
 * gets at most its weighted share of the work up to and including this entry.
 */
static uint64_t work_ahead_us(const struct dw_admission *admission,
			      const struct dw_admission_entry *entry,
			      const struct organisation_queue *own)
{
	uint64_t deadline_us = entry->deadline_us ? entry->deadline_us : UINT64_MAX;
	uint32_t own_weight = own ? own->weight : 1;
	uint64_t own_us =
		own ? organisation_queue_work_us(own, entry->priority, entry->pool, deadline_us)
		    : 0;
	uint64_t ahead_us = own_us;
	const struct organisation_queue *queue;

	for (queue = admission->organisations; queue; queue = queue->hh.next) {
		uint64_t share_us = (own_us + entry->service_us) * queue->weight / own_weight;

		if (!queue->count)
			continue;
		for (uint32_t priority = 0; priority < entry->priority; priority++)
			ahead_us += organisation_queue_work_us(queue, priority, entry->pool,
							       UINT64_MAX);
		if (queue != own)
			ahead_us += min_u64(share_us,
					    organisation_queue_work_us(queue, entry->priority,
								       entry->pool, UINT64_MAX));
	}
	return ahead_us;
}

uint64_t dw_admission_expected_wait_us(const struct dw_admission *admission,
				       const struct dw_admission_entry *entry)
{
	const struct pool *pool = &admission->pools[entry->pool];
	const struct organisation_queue *own = find_queue(admission, entry->organisation_id);
	uint64_t service_us = pool->service_us ? pool->service_us : entry->service_us;
	uint64_t ahead_us = work_ahead_us(admission, entry, own);
	uint64_t wait_us = 0;
	uint64_t own_wait_us = 0;

	/* Entries in flight are half done on average. */
	if (pool->concurrency &&
	    (ahead_us + service_us / 2) / (service_us + 1) + pool->in_flight >= pool->concurrency)
		wait_us = (ahead_us + pool->in_flight * service_us / 2) / pool->concurrency;
	if (own && own->max_in_flight && own->in_flight >= own->max_in_flight)
		own_wait_us = (organisation_queue_work_us(own, entry->priority, entry->pool,
							  entry->deadline_us ? entry->deadline_us
									     : UINT64_MAX) +
			       own->in_flight * service_us / 2) /
			      own->max_in_flight;
	return wait_us > own_wait_us ? wait_us : own_wait_us;
}

static enum dw_status check_entry(const struct dw_admission *admission, uint64_t now_us,
				  const struct dw_admission_entry *entry)
{
	uint64_t wait_us;

	if (entry->pool >= DW_ADMISSION_POOLS_MAX || entry->priority >= DW_ADMISSION_LEVELS)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "admission queue: pool %u or priority %u out of range", entry->pool,
			       entry->priority);
	if (admission->count == admission->capacity)
		return dw_fail(DW_OVERLOADED, "the admission queue is full: %zu requests wait",
			       admission->count);
	if (!entry->deadline_us)
		return DW_OK;
	wait_us = dw_admission_expected_wait_us(admission, entry);
	if (now_us + wait_us + entry->service_us > entry->deadline_us)
		return dw_fail(
			DW_TIMEOUT,
			"the deadline is too short: expected to wait %llu ms and run %llu ms, "
			"%llu ms left",
			(unsigned long long)wait_us / 1000,
			(unsigned long long)entry->service_us / 1000,
			(unsigned long long)(entry->deadline_us > now_us
						     ? entry->deadline_us - now_us
						     : 0) /
				1000);
	return DW_OK;
}

enum dw_status dw_admission_push(struct dw_admission *admission, uint64_t now_us,
				 const struct dw_admission_entry *entry, dw_admission_handle *out)
{
	enum dw_status status = check_entry(admission, now_us, entry);
	struct organisation_queue *queue;
	struct queued_entry *waiting;
	size_t index;

	*out = 0;
	if (status)
		return status;
	queue = find_or_add_queue(admission, entry->organisation_id);
	if (!queue)
		return dw_fail(DW_NO_MEMORY, "admission queue: out of memory for an organisation");
	if (!queue->count && queue->start_tag < admission->virtual_time)
		queue->start_tag = admission->virtual_time;
	index = admission->free_indexes[admission->capacity - ++admission->count];
	waiting = &admission->entries[index];
	waiting->entry = *entry;
	waiting->organisation = queue;
	waiting->is_late = entry->in_time_until_us > 0 && now_us > entry->in_time_until_us;
	waiting->skipped_round = 0;
	if (entry->in_time_until_us > 0 && !waiting->is_late)
		admission->next_late_us = min_u64(admission->next_late_us, entry->in_time_until_us);
	admission->pools[entry->pool].waiting++;
	waiting->handle = ++admission->generation << HANDLE_INDEX_BITS | index;
	organisation_queue_insert(queue, waiting);
	admission->next_expiry_us =
		min_u64(admission->next_expiry_us, queued_entry_latest_start_us(waiting));
	*out = waiting->handle;
	return DW_OK;
}

static void remove_entry(struct dw_admission *admission, struct queued_entry *waiting)
{
	organisation_queue_remove(waiting->organisation, waiting);
	admission->pools[waiting->entry.pool].waiting--;
	waiting->handle = 0;
	admission->free_indexes[admission->capacity - admission->count--] =
		(size_t)(waiting - admission->entries);
}

/* NULL: no waiting entry has this handle. */
static struct queued_entry *find_entry(struct dw_admission *admission, dw_admission_handle handle)
{
	size_t index = (size_t)(handle & UINT32_MAX);

	if (!handle || index >= admission->capacity || admission->entries[index].handle != handle)
		return NULL;
	return &admission->entries[index];
}

enum dw_status dw_admission_cancel(struct dw_admission *admission, dw_admission_handle handle)
{
	struct queued_entry *waiting = find_entry(admission, handle);

	if (!waiting)
		return dw_fail(DW_NOT_FOUND, "admission queue: no waiting request has this handle");
	remove_entry(admission, waiting);
	free_if_idle(admission, waiting->organisation);
	return DW_OK;
}

static struct queued_entry *next_of_fairest(const struct dw_admission *admission,
					    const struct queue_filter *filter)
{
	const struct organisation_queue *queue;
	const struct organisation_queue *best = NULL;
	struct queued_entry *next = NULL;

	for (queue = admission->organisations; queue; queue = queue->hh.next) {
		struct queued_entry *first;

		if (best && queue->start_tag >= best->start_tag)
			continue;
		first = organisation_queue_first(queue, filter);
		if (!first)
			continue;
		best = queue;
		next = first;
	}
	return next;
}

static struct queued_entry *next_eligible(const struct dw_admission *admission, uint64_t pools,
					  uint32_t levels, uint64_t round)
{
	struct queue_filter filter = { .pools = pools, .round = round };

	for (; filter.priority < DW_ADMISSION_LEVELS; filter.priority++) {
		struct queued_entry *waiting;

		if (!(levels >> filter.priority & 1))
			continue;
		filter.is_late = false;
		waiting = next_of_fairest(admission, &filter);
		filter.is_late = true;
		if (!waiting)
			waiting = next_of_fairest(admission, &filter);
		if (waiting)
			return waiting;
	}
	return NULL;
}

static void dispatch(struct dw_admission *admission, struct queued_entry *waiting)
{
	struct organisation_queue *queue = waiting->organisation;

	if (admission->virtual_time < queue->start_tag)
		admission->virtual_time = queue->start_tag;
	queue->start_tag += organisation_queue_virtual_cost(queue, waiting->entry.service_us);
	queue->in_flight++;
	admission->pools[waiting->entry.pool].in_flight++;
	remove_entry(admission, waiting);
}

enum dw_status dw_admission_peek(struct dw_admission *admission, uint64_t pools, uint32_t levels,
				 struct dw_admission_entry *out, dw_admission_handle *handle)
{
	struct queued_entry *waiting =
		admission->count > 0 ? next_eligible(admission, pools, levels, admission->round)
				     : NULL;

	if (!waiting)
		return DW_NOT_FOUND;
	*out = waiting->entry;
	*handle = waiting->handle;
	return DW_OK;
}

bool dw_admission_is_behind(const struct dw_admission *admission,
			    const struct dw_admission_entry *entry, uint64_t now_us)
{
	const struct queued_entry *first =
		admission->count > 0 ? next_eligible(admission, UINT64_C(1) << entry->pool,
						     DW_ADMISSION_ALL_LEVELS, NO_ROUND)
				     : NULL;

	return first && first->entry.priority <= entry->priority &&
	       (first->entry.in_time_until_us == 0 || now_us <= first->entry.in_time_until_us);
}

enum dw_status dw_admission_take(struct dw_admission *admission, dw_admission_handle handle)
{
	struct queued_entry *waiting = find_entry(admission, handle);

	if (!waiting)
		return dw_fail(DW_NOT_FOUND, "admission queue: no waiting request has this handle");
	dispatch(admission, waiting);
	return DW_OK;
}

enum dw_status dw_admission_pop(struct dw_admission *admission, uint64_t pools,
				struct dw_admission_entry *out, dw_admission_handle *handle)
{
	enum dw_status status =
		dw_admission_peek(admission, pools, DW_ADMISSION_ALL_LEVELS, out, handle);

	return status ? status : dw_admission_take(admission, *handle);
}

void dw_admission_skip(struct dw_admission *admission, dw_admission_handle handle)
{
	struct queued_entry *waiting = find_entry(admission, handle);

	if (waiting)
		waiting->skipped_round = admission->round;
}

void dw_admission_begin_round(struct dw_admission *admission)
{
	admission->round++;
}

void dw_admission_mark_late(struct dw_admission *admission, uint64_t now_us)
{
	uint64_t next_us = UINT64_MAX;

	if (now_us <= admission->next_late_us)
		return;
	for (size_t index = 0; index < admission->capacity; index++) {
		struct queued_entry *waiting = &admission->entries[index];
		uint64_t in_time_until_us = waiting->entry.in_time_until_us;

		if (!waiting->handle || waiting->is_late || in_time_until_us == 0)
			continue;
		if (now_us <= in_time_until_us) {
			next_us = min_u64(next_us, in_time_until_us);
			continue;
		}
		organisation_queue_remove(waiting->organisation, waiting);
		waiting->is_late = true;
		organisation_queue_insert(waiting->organisation, waiting);
	}
	admission->next_late_us = next_us;
}

void dw_admission_finished(struct dw_admission *admission, uint64_t organisation_id, uint32_t pool,
			   uint64_t service_us)
{
	struct organisation_queue *queue = find_queue(admission, organisation_id);
	struct pool *pool_state = &admission->pools[pool % DW_ADMISSION_POOLS_MAX];

	if (pool_state->in_flight)
		pool_state->in_flight--;
	if (service_us && !pool_state->service_us)
		pool_state->service_us = service_us;
	else if (service_us)
		pool_state->service_us +=
			(service_us >> EWMA_SHIFT) - (pool_state->service_us >> EWMA_SHIFT);
	if (!queue)
		return;
	if (queue->in_flight)
		queue->in_flight--;
	free_if_idle(admission, queue);
}

enum dw_status dw_admission_expire(struct dw_admission *admission, uint64_t now_us,
				   struct dw_admission_entry *out, dw_admission_handle *handle)
{
	uint64_t next_us = UINT64_MAX;

	if (now_us <= admission->next_expiry_us)
		return DW_NOT_FOUND;
	for (size_t index = 0; index < admission->capacity; index++) {
		struct queued_entry *waiting = &admission->entries[index];
		uint64_t latest_us;

		if (!waiting->handle)
			continue;
		latest_us = queued_entry_latest_start_us(waiting);
		if (now_us > latest_us) {
			*out = waiting->entry;
			*handle = waiting->handle;
			remove_entry(admission, waiting);
			free_if_idle(admission, waiting->organisation);
			return DW_OK;
		}
		next_us = min_u64(next_us, latest_us);
	}
	admission->next_expiry_us = next_us;
	return DW_NOT_FOUND;
}

uint64_t dw_admission_next_expiry_us(const struct dw_admission *admission)
{
	return admission->next_expiry_us == UINT64_MAX ? UINT64_MAX : admission->next_expiry_us + 1;
}

size_t dw_admission_waiting(const struct dw_admission *admission)
{
	return admission->count;
}

size_t dw_admission_pool_waiting(const struct dw_admission *admission, uint32_t pool)
{
	return pool < DW_ADMISSION_POOLS_MAX ? admission->pools[pool].waiting : 0;
}
