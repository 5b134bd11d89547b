/**
 * @file engine.h
 * Stand-in for an engine of a plain service.
 */
#ifndef REVIEW_ENGINE_H
#define REVIEW_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "harness.h"

#define ENGINE_FILLERS 4

struct engine {
	const char *id;
	const char *service;
	uint16_t port; /**< 0: a free one */
	uint64_t born; /**< start of this lifetime; 0: the same for all */
	int listener;
	int fillers[ENGINE_FILLERS];
	/** Answers a request that this engine may run; false: the connection is closed. */
	bool (*run)(int fd, const struct message *request, struct engine *engine);
};

/** Starts it; engine_register() tells the store of it. */
void engine_start(struct engine *engine);

/** From here on new connections to it aren't answered, until engine_come_back(). */
void engine_fall_silent(struct engine *engine);

void engine_come_back(struct engine *engine);

/** Writes the engine's entry, with the state "ready" or "draining". */
void engine_register(const struct engine *engine, const char *state, uint32_t sequence);

/** Sends a complete answer with the id of the request and a seal. */
bool engine_answer(int fd, const struct message *request, int status, const char *body,
		   size_t body_len);

#endif
