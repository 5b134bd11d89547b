#include "wharf-replay/event_queue.h"

#include <stdlib.h>

#define FIRST_CAPACITY 1024

static bool is_before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(struct event *a, struct event *b)
{
	struct event saved = *a;

	*a = *b;
	*b = saved;
}

static void grow(struct event_queue *queue)
{
	queue->capacity = queue->capacity ? 2 * queue->capacity : FIRST_CAPACITY;
	queue->heap = realloc(queue->heap, queue->capacity * sizeof(*queue->heap));
	if (!queue->heap)
		abort();
}

void event_queue_push(struct event_queue *queue, struct event event)
{
	size_t i = queue->count;

	if (queue->count == queue->capacity)
		grow(queue);
	event.seq = queue->seq++;
	queue->heap[queue->count++] = event;
	while (i && is_before(&queue->heap[i], &queue->heap[(i - 1) / 2])) {
		swap(&queue->heap[i], &queue->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

bool event_queue_pop(struct event_queue *queue, struct event *out)
{
	size_t i = 0;

	if (!queue->count)
		return false;
	*out = queue->heap[0];
	queue->heap[0] = queue->heap[--queue->count];
	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->count)
			return true;
		if (child + 1 < queue->count &&
		    is_before(&queue->heap[child + 1], &queue->heap[child]))
			child++;
		if (!is_before(&queue->heap[child], &queue->heap[i]))
			return true;
		swap(&queue->heap[child], &queue->heap[i]);
		i = child;
	}
}

void event_queue_free(struct event_queue *queue)
{
	free(queue->heap);
	*queue = (struct event_queue){ 0 };
}
