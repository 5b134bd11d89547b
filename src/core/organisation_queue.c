#include "core/organisation_queue.h"

#include <utlist.h>

/* Keeps the integer division by a weight precise. */
#define VIRTUAL_COST_SCALE 16

uint64_t queued_entry_deadline_us(const struct queued_entry *waiting)
{
	return waiting->entry.deadline_us ? waiting->entry.deadline_us : UINT64_MAX;
}

uint64_t queued_entry_latest_start_us(const struct queued_entry *waiting)
{
	const struct dw_admission_entry *entry = &waiting->entry;

	if (!entry->deadline_us)
		return UINT64_MAX;
	return entry->deadline_us > entry->service_us ? entry->deadline_us - entry->service_us : 0;
}

void organisation_queue_insert(struct organisation_queue *queue, struct queued_entry *waiting)
{
	struct queued_entry **list = &queue->lists[waiting->entry.priority][waiting->is_late];
	uint64_t deadline_us = queued_entry_deadline_us(waiting);
	struct queued_entry *previous = *list ? (*list)->prev : NULL;

	/* Searches from the tail, as later arrivals mostly have later deadlines. */
	while (previous && queued_entry_deadline_us(previous) > deadline_us)
		previous = previous == *list ? NULL : previous->prev;
	if (previous)
		DL_APPEND_ELEM(*list, previous, waiting);
	else
		DL_PREPEND(*list, waiting);
	queue->count++;
}

void organisation_queue_remove(struct organisation_queue *queue, struct queued_entry *waiting)
{
	DL_DELETE(queue->lists[waiting->entry.priority][waiting->is_late], waiting);
	queue->count--;
}

struct queued_entry *organisation_queue_first(const struct organisation_queue *queue,
					      const struct queue_filter *filter)
{
	struct queued_entry *waiting;

	if (queue->max_in_flight && queue->in_flight >= queue->max_in_flight)
		return NULL;
	DL_FOREACH(queue->lists[filter->priority][filter->is_late], waiting) {
		if ((filter->pools >> waiting->entry.pool & 1) &&
		    waiting->skipped_round != filter->round)
			return waiting;
	}
	return NULL;
}

static uint64_t list_work_us(const struct queued_entry *list, uint32_t pool, uint64_t deadline_us)
{
	const struct queued_entry *waiting;
	uint64_t work_us = 0;

	DL_FOREACH(list, waiting) {
		if (queued_entry_deadline_us(waiting) > deadline_us)
			break;
		if (waiting->entry.pool == pool)
			work_us += waiting->entry.service_us;
	}
	return work_us;
}

uint64_t organisation_queue_work_us(const struct organisation_queue *queue, uint32_t priority,
				    uint32_t pool, uint64_t deadline_us)
{
	return list_work_us(queue->lists[priority][false], pool, deadline_us) +
	       list_work_us(queue->lists[priority][true], pool, deadline_us);
}

uint64_t organisation_queue_virtual_cost(const struct organisation_queue *queue,
					 uint64_t service_us)
{
	return (service_us + 1) * VIRTUAL_COST_SCALE / queue->weight;
}
