/**
 * @file event_queue.h
 * The replay's events by time; equal times keep their order.
 */
#ifndef WHARF_REPLAY_EVENT_QUEUE_H
#define WHARF_REPLAY_EVENT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum event_kind {
	EVENT_ARRIVAL, /* subject: request */
	EVENT_FAULT, /* subject: fault */
	EVENT_TASK_DONE, /* subject: engine, detail: slot, epoch */
	EVENT_ANSWER, /* subject: job */
	EVENT_RATED, /* subject: job */
	EVENT_EVIDENCE, /* subject: job; an answer that was released is rated */
	EVENT_ENGINE_UP, /* subject: engine */
	EVENT_WARM, /* subject: engine */
	EVENT_TICK,
	EVENT_KIND_COUNT
};

struct event {
	uint64_t at_us;
	uint64_t seq;
	enum event_kind kind;
	uint32_t subject;
	uint32_t detail;
	uint32_t epoch;
};

struct event_queue {
	struct event *heap;
	size_t count;
	size_t capacity;
	uint64_t seq;
};

void event_queue_push(struct event_queue *queue, struct event event);
bool event_queue_pop(struct event_queue *queue, struct event *out);
void event_queue_free(struct event_queue *queue);

#endif
