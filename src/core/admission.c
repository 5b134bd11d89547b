#include <dragonflywharf/admission.h>

#include <stdlib.h>

#include "core/organisation_queue.h"

#define EWMA_SHIFT 3
#define HANDLE_INDEX_BITS 32

struct pool {
	uint32_t parallel; /* 0 for unknown: nothing is refused early */
	uint32_t in_flight;
	uint64_t service_us; /* learned mean */
};

struct dw_admission {
	struct organisation_queue *organisations; /* uthash by organisation_id */
	struct pool pools[DW_ADMISSION_POOLS_MAX];
	uint64_t virtual_time;
	uint64_t generation;
	uint64_t next_expiry_us; /* nothing expires before */
	size_t count;
	size_t capacity;
	size_t *free_rows;
	struct waiting rows[];
};

struct dw_admission *dw_admission_new(size_t capacity)
{
	struct dw_admission *admission =
		calloc(1, sizeof(*admission) + capacity * sizeof(admission->rows[0]));

	if (!admission)
		return NULL;
	admission->free_rows = calloc(capacity + 1, sizeof(admission->free_rows[0]));
	if (!admission->free_rows) {
		free(admission);
		return NULL;
	}
	for (size_t i = 0; i < capacity; i++)
		admission->free_rows[i] = capacity - 1 - i;
	admission->capacity = capacity;
	admission->next_expiry_us = UINT64_MAX;
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
	free(admission->free_rows);
	free(admission);
}

static struct organisation_queue *find(const struct dw_admission *admission,
				       uint64_t organisation_id)
{
	struct organisation_queue *queue;

	HASH_FIND(hh, admission->organisations, &organisation_id, sizeof(organisation_id), queue);
	return queue;
}

static struct organisation_queue *find_or_add(struct dw_admission *admission,
					      uint64_t organisation_id)
{
	struct organisation_queue *queue = find(admission, organisation_id);

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

/* Idle organisations without settings are forgotten once virtual time has passed their tag. */
static void forget_if_idle(struct dw_admission *admission, struct organisation_queue *queue)
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
	struct organisation_queue *queue = find_or_add(admission, organisation_id);

	if (!queue)
		return dw_fail(DW_NO_MEMORY, "no memory for an organisation's queue");
	queue->weight = weight ? weight : 1;
	queue->max_in_flight = max_in_flight;
	queue->configured = true;
	return DW_OK;
}

enum dw_status dw_admission_set_pool(struct dw_admission *admission, uint32_t pool,
				     uint32_t parallel)
{
	if (pool >= DW_ADMISSION_POOLS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "pool %u", pool);
	admission->pools[pool].parallel = parallel;
	return DW_OK;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Another organisation goes first for at most its weighted share of what this one waits for. */
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
		for (int priority = 0; priority < (int)entry->priority; priority++)
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
	const struct organisation_queue *own = find(admission, entry->organisation_id);
	uint64_t service_us = pool->service_us ? pool->service_us : entry->service_us;
	uint64_t ahead_us = work_ahead_us(admission, entry, own);
	uint64_t wait_us = 0;
	uint64_t own_wait_us = 0;

	/* What runs is on average half done. */
	if (pool->parallel &&
	    (ahead_us + service_us / 2) / (service_us + 1) + pool->in_flight >= pool->parallel)
		wait_us = (ahead_us + pool->in_flight * service_us / 2) / pool->parallel;
	if (own && own->max_in_flight && own->in_flight >= own->max_in_flight)
		own_wait_us = (organisation_queue_work_us(own, entry->priority, entry->pool,
							  entry->deadline_us ? entry->deadline_us
									     : UINT64_MAX) +
			       own->in_flight * service_us / 2) /
			      own->max_in_flight;
	return wait_us > own_wait_us ? wait_us : own_wait_us;
}

static enum dw_status check(const struct dw_admission *admission, uint64_t now_us,
			    const struct dw_admission_entry *entry)
{
	uint64_t wait_us;

	if (entry->pool >= DW_ADMISSION_POOLS_MAX ||
	    (unsigned int)entry->priority >= DW_ADMISSION_PRIORITY_COUNT)
		return dw_fail(DW_INVALID_ARGUMENT, "pool %u, priority %d", entry->pool,
			       (int)entry->priority);
	if (admission->count == admission->capacity)
		return dw_fail(DW_OVERLOADED, "%zu requests wait", admission->count);
	if (!entry->deadline_us)
		return DW_OK;
	wait_us = dw_admission_expected_wait_us(admission, entry);
	if (now_us + wait_us + entry->service_us > entry->deadline_us)
		return dw_fail(DW_TIMEOUT, "would wait %llu ms and run %llu ms",
			       (unsigned long long)wait_us / 1000,
			       (unsigned long long)entry->service_us / 1000);
	return DW_OK;
}

enum dw_status dw_admission_push(struct dw_admission *admission, uint64_t now_us,
				 const struct dw_admission_entry *entry, dw_admission_handle *out)
{
	enum dw_status status = check(admission, now_us, entry);
	struct organisation_queue *queue;
	struct waiting *waiting;
	size_t row;

	*out = 0;
	if (status)
		return status;
	queue = find_or_add(admission, entry->organisation_id);
	if (!queue)
		return dw_fail(DW_NO_MEMORY, "no memory for an organisation's queue");
	if (!queue->count && queue->start_tag < admission->virtual_time)
		queue->start_tag = admission->virtual_time;
	row = admission->free_rows[admission->capacity - ++admission->count];
	waiting = &admission->rows[row];
	waiting->entry = *entry;
	waiting->organisation = queue;
	waiting->handle = ++admission->generation << HANDLE_INDEX_BITS | row;
	organisation_queue_insert(queue, waiting);
	admission->next_expiry_us =
		min_u64(admission->next_expiry_us, queued_entry_latest_start_us(waiting));
	*out = waiting->handle;
	return DW_OK;
}

static void take_out(struct dw_admission *admission, struct waiting *waiting)
{
	organisation_queue_remove(waiting->organisation, waiting);
	waiting->handle = 0;
	admission->free_rows[admission->capacity - admission->count--] =
		(size_t)(waiting - admission->rows);
}

enum dw_status dw_admission_cancel(struct dw_admission *admission, dw_admission_handle handle)
{
	size_t row = (size_t)(handle & UINT32_MAX);
	struct waiting *waiting = &admission->rows[row];

	if (!handle || row >= admission->capacity || waiting->handle != handle)
		return dw_fail(DW_NOT_FOUND, "the request doesn't wait");
	take_out(admission, waiting);
	forget_if_idle(admission, waiting->organisation);
	return DW_OK;
}

static struct waiting *next_of(const struct dw_admission *admission,
			       enum dw_admission_priority priority, uint64_t pools)
{
	const struct organisation_queue *queue;
	const struct organisation_queue *best = NULL;
	struct waiting *next = NULL;

	for (queue = admission->organisations; queue; queue = queue->hh.next) {
		struct waiting *first;

		if (best && queue->start_tag >= best->start_tag)
			continue;
		first = organisation_queue_first(queue, priority, pools);
		if (!first)
			continue;
		best = queue;
		next = first;
	}
	return next;
}

static void dispatch(struct dw_admission *admission, struct waiting *waiting)
{
	struct organisation_queue *queue = waiting->organisation;

	if (admission->virtual_time < queue->start_tag)
		admission->virtual_time = queue->start_tag;
	queue->start_tag += organisation_queue_virtual_cost(queue, waiting->entry.service_us);
	queue->in_flight++;
	admission->pools[waiting->entry.pool].in_flight++;
	take_out(admission, waiting);
}

enum dw_status dw_admission_pop(struct dw_admission *admission, uint64_t pools,
				struct dw_admission_entry *out, dw_admission_handle *handle)
{
	for (int priority = 0; priority < DW_ADMISSION_PRIORITY_COUNT; priority++) {
		struct waiting *waiting = next_of(admission, priority, pools);

		if (!waiting)
			continue;
		*out = waiting->entry;
		*handle = waiting->handle;
		dispatch(admission, waiting);
		return DW_OK;
	}
	return DW_NOT_FOUND;
}

void dw_admission_finished(struct dw_admission *admission, uint64_t organisation_id, uint32_t pool,
			   uint64_t service_us)
{
	struct organisation_queue *queue = find(admission, organisation_id);
	struct pool *served = &admission->pools[pool % DW_ADMISSION_POOLS_MAX];

	if (served->in_flight)
		served->in_flight--;
	if (service_us && !served->service_us)
		served->service_us = service_us;
	else if (service_us)
		served->service_us +=
			(service_us >> EWMA_SHIFT) - (served->service_us >> EWMA_SHIFT);
	if (!queue)
		return;
	if (queue->in_flight)
		queue->in_flight--;
	forget_if_idle(admission, queue);
}

enum dw_status dw_admission_expire(struct dw_admission *admission, uint64_t now_us,
				   struct dw_admission_entry *out, dw_admission_handle *handle)
{
	uint64_t next_us = UINT64_MAX;

	if (now_us <= admission->next_expiry_us)
		return DW_NOT_FOUND;
	for (size_t row = 0; row < admission->capacity; row++) {
		struct waiting *waiting = &admission->rows[row];
		uint64_t latest_us;

		if (!waiting->handle)
			continue;
		latest_us = queued_entry_latest_start_us(waiting);
		if (now_us > latest_us) {
			*out = waiting->entry;
			*handle = waiting->handle;
			take_out(admission, waiting);
			forget_if_idle(admission, waiting->organisation);
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
