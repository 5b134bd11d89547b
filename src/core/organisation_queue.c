#include "core/organisation_queue.h"

#include <utlist.h>

/* Keeps integer division by a weight precise. */
#define CHARGE_SCALE 16

uint64_t queued_entry_deadline_us(const struct waiting *waiting)
{
	return waiting->entry.deadline_us ? waiting->entry.deadline_us : UINT64_MAX;
}

uint64_t queued_entry_latest_start_us(const struct waiting *waiting)
{
	const struct dw_admission_entry *entry = &waiting->entry;

	if (!entry->deadline_us)
		return UINT64_MAX;
	return entry->deadline_us > entry->service_us ? entry->deadline_us - entry->service_us : 0;
}

void organisation_queue_insert(struct organisation_queue *queue, struct waiting *waiting)
{
	struct waiting **list = &queue->lists[waiting->entry.priority];
	uint64_t deadline_us = queued_entry_deadline_us(waiting);
	struct waiting *before = *list ? (*list)->prev : NULL;

	/* From the tail: later arrivals mostly have later deadlines. */
	while (before && queued_entry_deadline_us(before) > deadline_us)
		before = before == *list ? NULL : before->prev;
	if (before)
		DL_APPEND_ELEM(*list, before, waiting);
	else
		DL_PREPEND(*list, waiting);
	queue->count++;
}

void organisation_queue_remove(struct organisation_queue *queue, struct waiting *waiting)
{
	DL_DELETE(queue->lists[waiting->entry.priority], waiting);
	queue->count--;
}

struct waiting *organisation_queue_first(const struct organisation_queue *queue,
					 enum dw_admission_priority priority, uint64_t pools)
{
	struct waiting *waiting;

	if (queue->max_in_flight && queue->in_flight >= queue->max_in_flight)
		return NULL;
	DL_FOREACH(queue->lists[priority], waiting) {
		if (pools >> waiting->entry.pool & 1)
			return waiting;
	}
	return NULL;
}

uint64_t organisation_queue_work_us(const struct organisation_queue *queue,
				    enum dw_admission_priority priority, uint32_t pool,
				    uint64_t deadline_us)
{
	const struct waiting *waiting;
	uint64_t work_us = 0;

	DL_FOREACH(queue->lists[priority], waiting) {
		if (queued_entry_deadline_us(waiting) > deadline_us)
			break;
		if (waiting->entry.pool == pool)
			work_us += waiting->entry.service_us;
	}
	return work_us;
}

uint64_t organisation_queue_virtual_cost(const struct organisation_queue *queue,
					 uint64_t service_us)
{
	return (service_us + 1) * CHARGE_SCALE / queue->weight;
}
