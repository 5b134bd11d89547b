#include "standins/engine_job.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"

#define DEFAULT_MAX_TOKENS 16

static char *join_messages(struct json_object *messages)
{
	char *prompt = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&prompt, &len);

	for (size_t i = 0; i < json_object_array_length(messages); i++)
		fprintf(out, "%s ",
			json_text(json_object_array_get_idx(messages, i), "content", ""));
	fclose(out);
	return prompt;
}

static uint64_t count_words(const char *text)
{
	uint64_t words = 0;

	while (*(text += strspn(text, " \t\n"))) {
		words++;
		text += strcspn(text, " \t\n");
	}
	return words;
}

static void read_headers(struct engine_job *job)
{
	const struct standin_request *request = job->request;
	const char *timeout = standin_header(request, "x-request-timeout-ms");

	snprintf(job->identity.attempt_id, ENGINE_ID_BYTES, "%s",
		 standin_header(request, "x-attempt-id"));
	snprintf(job->identity.request_id, ENGINE_ID_BYTES, "%s",
		 standin_header(request, "x-request-id"));
	snprintf(job->organisation, ENGINE_ID_BYTES, "%s",
		 standin_header(request, "x-organisation"));
	job->priority = strtoll(standin_header(request, "x-priority"), NULL, 10);
	job->deadline_us = UINT64_MAX;
	if (*timeout)
		job->deadline_us = dw_clock_now_us() + strtoull(timeout, NULL, 10) * DW_US_PER_MS;
}

struct engine_job *engine_job_new(struct standin_request *request)
{
	struct json_object *messages = json_field(request->body, "messages");
	struct engine_job *job;

	if (!json_object_is_type(messages, json_type_array))
		return NULL;
	job = calloc(1, sizeof(*job));
	job->request = request;
	job->prompt = join_messages(messages);
	job->prompt_tokens = count_words(job->prompt);
	job->total_tokens = json_u64(request->body, "max_tokens", DEFAULT_MAX_TOKENS);
	job->stream = json_object_get_boolean(json_field(request->body, "stream"));
	job->cut_after = UINT64_MAX;
	job->stall_after = UINT64_MAX;
	snprintf(job->version, sizeof(job->version), "%s", json_text(request->body, "model", ""));
	read_headers(job);
	return job;
}

void engine_job_free(struct engine_job *job)
{
	free(job->prompt);
	free(job->text);
	free(job);
}

bool engine_job_contains(const struct engine_job *job, const char *word)
{
	return strstr(job->prompt, word) != NULL;
}

static struct json_object *new_response(const struct engine_job *job, const char *kind,
					struct json_object *choice)
{
	struct json_object *response = json_object_new_object();
	struct json_object *choices = json_object_new_array();

	json_set_text(response, "id", job->identity.attempt_id);
	json_set_text(response, "object", kind);
	json_set_text(response, "model", job->version);
	json_set_u64(choice, "index", 0);
	json_object_array_add(choices, choice);
	json_object_object_add(response, "choices", choices);
	return response;
}

static void add_usage(const struct engine_job *job, struct json_object *response)
{
	struct json_object *usage = json_ensure_object(response, "usage");

	json_set_u64(usage, "prompt_tokens", job->prompt_tokens);
	json_set_u64(usage, "completion_tokens", job->generated_tokens);
	json_set_u64(usage, "total_tokens", job->prompt_tokens + job->generated_tokens);
}

static void write_chunk(const struct engine_job *job, struct json_object *chunk)
{
	struct dw_http_exchange *exchange = job->request->exchange;
	const char *text = json_object_to_json_string_ext(chunk, JSON_OUTPUT_FLAGS);

	dw_http_stream_write(exchange, "data: ", 6);
	dw_http_stream_write(exchange, text, strlen(text));
	dw_http_stream_write(exchange, "\n\n", 2);
	json_object_put(chunk);
}

static void write_token(const struct engine_job *job, const char *token)
{
	struct json_object *choice = json_object_new_object();

	json_set_text(json_ensure_object(choice, "delta"), "content", token);
	json_object_object_add(choice, "finish_reason", NULL);
	write_chunk(job, new_response(job, "chat.completion.chunk", choice));
}

static void append_token(struct engine_job *job, const char *token)
{
	size_t len = strlen(token);

	job->text = realloc(job->text, job->text_len + len + 1);
	memcpy(job->text + job->text_len, token, len + 1);
	job->text_len += len;
}

void engine_job_make_token(struct engine_job *job)
{
	char token[ENGINE_ID_BYTES + 64];

	if (job->generated_tokens == 0)
		snprintf(token, sizeof(token), "quality:%" PRIu64 " request:%s ",
			 job->score_permille, job->identity.request_id);
	else
		snprintf(token, sizeof(token), "token%" PRIu64 " ", job->generated_tokens);
	job->generated_tokens++;
	if (!job->stream)
		append_token(job, token);
	else if (job->request->exchange)
		write_token(job, token);
}

void engine_job_end_stream(const struct engine_job *job)
{
	static const char end_marker[] = "data: [DONE]\n\n";
	struct json_object *choice = json_object_new_object();
	struct json_object *chunk;

	json_ensure_object(choice, "delta");
	json_set_text(choice, "finish_reason", "stop");
	chunk = new_response(job, "chat.completion.chunk", choice);
	add_usage(job, chunk);
	write_chunk(job, chunk);
	dw_http_stream_write(job->request->exchange, end_marker, sizeof(end_marker) - 1);
	dw_http_stream_end(job->request->exchange, true);
}

struct json_object *engine_job_answer(const struct engine_job *job)
{
	struct json_object *choice = json_object_new_object();
	struct json_object *message = json_ensure_object(choice, "message");
	struct json_object *response;

	json_set_text(message, "role", "assistant");
	json_set_text(message, "content", job->text ? job->text : "");
	json_set_text(choice, "finish_reason", "stop");
	response = new_response(job, "chat.completion", choice);
	add_usage(job, response);
	return response;
}
