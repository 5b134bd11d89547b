/**
 * @file engine_job.h
 * One chat completion on the engine stand-in: what it says and in which form.
 */
#ifndef TESTS_STANDINS_ENGINE_JOB_H
#define TESTS_STANDINS_ENGINE_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standins/standin.h"

#define ENGINE_ID_BYTES 128

/** What a caller is told about the request; of a crossed answer another request's. */
struct engine_identity {
	char attempt_id[ENGINE_ID_BYTES];
	char request_id[ENGINE_ID_BYTES];
};

struct engine_job {
	struct standin_request *request;
	struct engine_job *next;
	struct engine_identity identity;
	char organisation[ENGINE_ID_BYTES];
	char version[ENGINE_ID_BYTES];
	char *prompt;
	bool stream;
	bool running;
	bool late; /**< ignores its deadline and a caller that leaves */
	int64_t priority;
	uint64_t prompt_tokens;
	uint64_t total_tokens;
	uint64_t made_tokens;
	uint64_t cut_after; /**< tokens; UINT64_MAX: never */
	uint64_t stall_after;
	uint64_t late_us;
	uint64_t score_permille; /**< what the rating stand-in will find */
	uint64_t next_token_us;
	uint64_t deadline_us; /**< UINT64_MAX: none */
	char *text; /**< of a plain answer, as far as made */
	size_t text_len;
};

/** A job from a request's body and headers; NULL if it isn't a chat completion. */
struct engine_job *engine_job_new(struct standin_request *request);

/** Frees the job, not its request. */
void engine_job_free(struct engine_job *job);

/** True if the prompt contains @p word. */
bool engine_job_contains(const struct engine_job *job, const char *word);

/** Makes the next token: written to the stream, or kept for the plain answer. */
void engine_job_make_token(struct engine_job *job);

/** Writes the stream's last chunk with the usage and its end marker. */
void engine_job_end_stream(const struct engine_job *job);

/** The plain answer. */
struct json_object *engine_job_answer(const struct engine_job *job);

#endif
