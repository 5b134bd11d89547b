#include "dragonflywharfd/chat_body.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/route.h>
#include <xxhash.h>

/** Rough length of a token, for the estimate before an upstream has counted them. */
#define BYTES_PER_TOKEN 4
/** Messages hashed to identify a conversation: the system message and the first user message. */
#define AFFINITY_MESSAGES 2
#define JSON_DEPTH_MAX 32

static struct json_object *parse(const char *text, size_t len)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
	struct json_object *root = NULL;

	if (!tokener || len > INT_MAX)
		return NULL;
	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
	root = json_tokener_parse_ex(tokener, text, (int)len);
	if (json_tokener_get_error(tokener) == json_tokener_continue) {
		/* Only a terminating NUL tells the parser that a final number is complete. */
		root = json_tokener_parse_ex(tokener, "", 1);
	}
	if (json_tokener_get_error(tokener) != json_tokener_success) {
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tokener);
	return root;
}

static const char *string_field(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

static bool bool_field(struct json_object *object, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(object, name, &value) && json_object_get_boolean(value);
}

static uint32_t count_field(struct json_object *object, const char *name)
{
	struct json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_int))
		return 0;
	number = json_object_get_int64(value);
	return number > 0 && number <= INT_MAX ? (uint32_t)number : 0;
}

static enum dw_status parse_model(struct chat_body *body)
{
	const char *name = string_field(body->root, "model");
	const char *slash = name ? strchr(name, '/') : NULL;
	size_t model_len;

	if (!name)
		return dw_fail(DW_INVALID_ARGUMENT, "model: required");
	model_len = slash ? (size_t)(slash - name) : strlen(name);
	if (model_len > DW_NAME_MAX_BYTES || (slash && strlen(slash + 1) > DW_NAME_MAX_BYTES))
		return dw_fail(DW_INVALID_ARGUMENT, "model: too long");
	memcpy(body->model, name, model_len);
	body->model[model_len] = '\0';
	snprintf(body->version, sizeof(body->version), "%s", slash ? slash + 1 : "");
	if (!dw_name_valid(body->model) || (slash && !dw_name_valid(body->version)))
		return dw_fail(DW_INVALID_ARGUMENT, "model: expected MODEL or MODEL/VERSION");
	return DW_OK;
}

static enum dw_status parse_messages(struct chat_body *body, const char *organisation)
{
	struct json_object *messages;
	uint64_t hash = XXH64(organisation, strlen(organisation), 0);
	size_t bytes = 0;

	if (!json_object_object_get_ex(body->root, "messages", &messages) ||
	    !json_object_is_type(messages, json_type_array) ||
	    json_object_array_length(messages) == 0)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "messages: expected an array of at least one message");
	for (size_t i = 0; i < json_object_array_length(messages); i++) {
		struct json_object *message = json_object_array_get_idx(messages, i);
		const char *text;

		if (!json_object_is_type(message, json_type_object) ||
		    !string_field(message, "role"))
			return dw_fail(DW_INVALID_ARGUMENT,
				       "messages[%zu]: expected an object with a role", i);
		text = json_object_to_json_string_ext(message, JSON_C_TO_STRING_PLAIN);
		bytes += strlen(text);
		if (i < AFFINITY_MESSAGES)
			hash = dw_route_affinity(hash, text, strlen(text));
	}
	body->affinity = hash;
	body->prompt_tokens = (uint32_t)(bytes / BYTES_PER_TOKEN + 1);
	return DW_OK;
}

enum dw_status chat_body_parse(struct chat_body *body, const char *text, size_t len,
			       const char *organisation)
{
	struct json_object *options;
	enum dw_status status;

	memset(body, 0, sizeof(*body));
	body->root = parse(text, len);
	if (!json_object_is_type(body->root, json_type_object))
		return dw_fail(DW_INVALID_ARGUMENT, "body: expected a JSON object");
	status = parse_model(body);
	if (status != DW_OK)
		return status;
	body->stream = bool_field(body->root, "stream");
	body->max_tokens = count_field(body->root, "max_tokens");
	if (json_object_object_get_ex(body->root, "stream_options", &options) &&
	    json_object_is_type(options, json_type_object))
		body->wants_usage = bool_field(options, "include_usage");
	return parse_messages(body, organisation);
}

void chat_body_clear(struct chat_body *body)
{
	json_object_put(body->root);
	body->root = NULL;
}

char *chat_body_for_upstream(const struct chat_body *body, const char *model, const char *version,
			     bool stream)
{
	char name[2 * DW_NAME_MAX_BYTES + 2];
	char *text;

	snprintf(name, sizeof(name), "%s/%s", model, version);
	json_object_object_add(body->root, "model", json_object_new_string(name));
	json_object_object_add(body->root, "stream", json_object_new_boolean(stream));
	json_object_object_del(body->root, "stream_options");
	if (stream) {
		struct json_object *options = json_object_new_object();

		json_object_object_add(options, "include_usage", json_object_new_boolean(1));
		json_object_object_add(body->root, "stream_options", options);
	}
	text = strdup(json_object_to_json_string_ext(body->root, JSON_C_TO_STRING_PLAIN));
	if (!text)
		abort();
	return text;
}

char *chat_body_prompt(const struct chat_body *body)
{
	struct json_object *messages = json_object_object_get(body->root, "messages");
	char *text = strdup(json_object_to_json_string_ext(messages, JSON_C_TO_STRING_PLAIN));

	if (!text)
		abort();
	return text;
}

static void read_usage(struct json_object *root, struct chat_usage *usage)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, "usage", &value) ||
	    !json_object_is_type(value, json_type_object))
		return;
	usage->prompt_tokens = count_field(value, "prompt_tokens");
	usage->completion_tokens = count_field(value, "completion_tokens");
	usage->is_reported = true;
}

/* Returns the first choice's @p part ("message" or "delta"); NULL if there is none. */
static struct json_object *first_choice(struct json_object *root, const char *part)
{
	struct json_object *choices;
	struct json_object *choice;
	struct json_object *found;

	if (!json_object_object_get_ex(root, "choices", &choices) ||
	    !json_object_is_type(choices, json_type_array) ||
	    json_object_array_length(choices) == 0)
		return NULL;
	choice = json_object_array_get_idx(choices, 0);
	if (!json_object_is_type(choice, json_type_object) ||
	    !json_object_object_get_ex(choice, part, &found) ||
	    !json_object_is_type(found, json_type_object))
		return NULL;
	return found;
}

enum dw_status chat_answer_read(const char *text, size_t len, struct chat_usage *usage,
				char **content)
{
	struct json_object *root = parse(text, len);
	struct json_object *message;
	const char *content_text;

	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return dw_fail(DW_UPSTREAM_FAILED, "the answer is not a complete JSON object");
	}
	message = first_choice(root, "message");
	if (!message) {
		json_object_put(root);
		return dw_fail(DW_UPSTREAM_FAILED, "the answer has no message in choices[0]");
	}
	read_usage(root, usage);
	content_text = string_field(message, "content");
	if (content) {
		*content = strdup(content_text ? content_text : "");
		if (!*content)
			abort();
	}
	json_object_put(root);
	return DW_OK;
}

enum dw_status chat_chunk_read(const char *text, size_t len, struct chat_usage *usage,
			       char **content)
{
	struct json_object *root = parse(text, len);
	struct json_object *delta;
	const char *content_text;

	*content = NULL;
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return dw_fail(DW_UPSTREAM_FAILED, "an event of the answer is not a JSON object");
	}
	read_usage(root, usage);
	delta = first_choice(root, "delta");
	content_text = delta ? string_field(delta, "content") : NULL;
	if (content_text) {
		*content = strdup(content_text);
		if (!*content)
			abort();
	}
	json_object_put(root);
	return DW_OK;
}

char *chat_answer_as_stream(const char *text, size_t len)
{
	struct json_object *root = parse(text, len);
	struct json_object *choices = json_object_object_get(root, "choices");
	struct json_object *message;
	char *out = NULL;
	size_t out_len = 0;
	FILE *file = open_memstream(&out, &out_len);

	if (!file)
		abort();
	json_object_object_add(root, "object", json_object_new_string("chat.completion.chunk"));
	for (size_t i = 0; choices && i < json_object_array_length(choices); i++) {
		struct json_object *choice = json_object_array_get_idx(choices, i);

		if (!json_object_object_get_ex(choice, "message", &message))
			continue;
		json_object_object_add(choice, "delta", json_object_get(message));
		json_object_object_del(choice, "message");
	}
	fprintf(file, "data: %s\n\ndata: [DONE]\n\n",
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	fclose(file);
	json_object_put(root);
	return out;
}
