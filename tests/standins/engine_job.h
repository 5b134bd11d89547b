/**
 * @file engine_job.h
 * One chat completion request on the engine stand-in, and its response as JSON or event stream.
 */
#ifndef TESTS_STANDINS_ENGINE_JOB_H
#define TESTS_STANDINS_ENGINE_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standins/standin.h"

#define ENGINE_ID_BYTES 128

/** The ids sent in the response. With the fault "crossed" they are those of another request. */
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
	bool late; /**< fault "late": ignores its deadline and a disconnected client */
	int64_t priority;
	uint64_t prompt_tokens;
	uint64_t total_tokens;
	uint64_t generated_tokens;
	uint64_t cut_after; /**< closes the connection after so many tokens; UINT64_MAX: never */
	uint64_t stall_after; /**< makes no more tokens after so many; UINT64_MAX: never */
	uint64_t late_us; /**< extra delay of the first token */
	uint64_t score_permille; /**< quality score in the response, for the rating stand-in */
	uint64_t next_token_us;
	uint64_t deadline_us; /**< UINT64_MAX: none */
	char *text; /**< tokens generated so far, if the response isn't streamed */
	size_t text_len;
};

/** Creates a job from a request's body and headers; NULL if it isn't a chat completion. */
struct engine_job *engine_job_new(struct standin_request *request);

/** Frees the job, but not its request. */
void engine_job_free(struct engine_job *job);

/** Returns whether the prompt contains @p word. */
bool engine_job_contains(const struct engine_job *job, const char *word);

/** Generates the next token and writes it to the stream, or appends it to the text. */
void engine_job_make_token(struct engine_job *job);

/** Writes the last chunk, with the token usage, and the end marker, and ends the stream. */
void engine_job_end_stream(const struct engine_job *job);

/** Returns the response body of a request that isn't streamed. */
struct json_object *engine_job_answer(const struct engine_job *job);

#endif
