/**
 * @file event_queue.h
 * A priority queue of simulation events by time; events of the same time come in the order in which
 * they were added.
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
	EVENT_ANSWER, /* subject: job; its answer reaches the instance */
	EVENT_RATED_BEFORE_RELEASE, /* subject: job; its answer waits for the rating */
	EVENT_RATED_AFTER_RELEASE, /* subject: job; its answer was released already */
	EVENT_ENGINE_UP, /* subject: engine; it has restarted after a crash */
	EVENT_ENGINE_WARM, /* subject: engine; its cold start is over */
	EVENT_TICK, /* periodic load reports, gossip and expiry */
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
