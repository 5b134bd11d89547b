#include "wharf-replay/trace.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

struct field {
	const char *name;
	size_t offset;
	enum { FIELD_TEXT, FIELD_U32, FIELD_U64, FIELD_BOOL, FIELD_SCORES } kind;
};

#define TEXT(type, member)                                                                         \
	{                                                                                          \
#member, offsetof(struct type, member), FIELD_TEXT                                 \
	}
#define U32(type, member)                                                                          \
	{                                                                                          \
#member, offsetof(struct type, member), FIELD_U32                                  \
	}
#define U64(type, member)                                                                          \
	{                                                                                          \
#member, offsetof(struct type, member), FIELD_U64                                  \
	}
#define END                                                                                        \
	{                                                                                          \
		NULL, 0, FIELD_TEXT                                                                \
	}

static const struct field trace_fields[] = {
	TEXT(trace, name),   U32(trace, instances), U32(trace, quality_target_permille),
	U64(trace, link_us), U64(trace, client_us), END
};
static const struct field model_fields[] = { TEXT(trace_model, name),
					     { "service", offsetof(struct trace_model, service),
					       FIELD_BOOL },
					     U32(trace_model, cost_micros_per_1k_tokens),
					     U32(trace_model, us_per_token),
					     U32(trace_model, us_per_prompt_token),
					     END };
static const struct field version_fields[] = { TEXT(trace_version, name), U32(trace_version, model),
					       U32(trace_version, rollout_weight), END };
static const struct field engine_fields[] = {
	TEXT(trace_engine, name),	 U32(trace_engine, failure_domain),
	U32(trace_engine, model),	 U32(trace_engine, slots),
	U32(trace_engine, cold_slots),	 U32(trace_engine, fall_over),
	U32(trace_engine, cache_tokens), END
};
static const struct field organisation_fields[] = { TEXT(trace_organisation, name),
						    U32(trace_organisation, weight),
						    U32(trace_organisation, allowed_models), END };
static const struct field request_fields[] = {
	U64(trace_request, at_us),
	U64(trace_request, deadline_us),
	U64(trace_request, session),
	U64(trace_request, prefix),
	U32(trace_request, organisation),
	U32(trace_request, class),
	U32(trace_request, model),
	U32(trace_request, priority),
	U32(trace_request, prompt_tokens),
	U32(trace_request, prefix_tokens),
	U32(trace_request, tokens),
	U32(trace_request, luck_permille),
	{ "score_permille", offsetof(struct trace_request, score_permille), FIELD_SCORES },
	END
};
static const struct field fault_fields[] = { U64(trace_fault, at_us),
					     { "fault", offsetof(struct trace_fault, kind),
					       FIELD_U32 },
					     U32(trace_fault, target),
					     U32(trace_fault, bad_permille),
					     END };

static void *grow_array(void *rows, size_t count, size_t row_bytes)
{
	/* The capacity is not stored: it doubles whenever the count reaches a power of two. */
	if (count & (count - 1))
		return rows;
	rows = realloc(rows, (count ? 2 * count : 1) * row_bytes);
	if (!rows)
		abort();
	return rows;
}

void trace_add_request(struct trace *trace, const struct trace_request *request)
{
	trace->requests = grow_array(trace->requests, trace->request_count, sizeof(*request));
	trace->requests[trace->request_count++] = *request;
}

void trace_add_fault(struct trace *trace, const struct trace_fault *fault)
{
	trace->faults = grow_array(trace->faults, trace->fault_count, sizeof(*fault));
	trace->faults[trace->fault_count++] = *fault;
}

void trace_free(struct trace *trace)
{
	free(trace->requests);
	free(trace->faults);
	memset(trace, 0, sizeof(*trace));
}

static struct json_object *scores_to_json(const uint32_t *scores)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < TRACE_MODELS_MAX; i++)
		json_object_array_add(list, json_object_new_int64(scores[i]));
	return list;
}

static struct json_object *field_to_json(const struct field *field, const void *row)
{
	const char *address = (const char *)row + field->offset;

	switch (field->kind) {
	case FIELD_TEXT:
		return json_object_new_string(address);
	case FIELD_U32:
		return json_object_new_int64(*(const uint32_t *)address);
	case FIELD_U64:
		return json_object_new_uint64(*(const uint64_t *)address);
	case FIELD_BOOL:
		return json_object_new_boolean(*(const bool *)address);
	case FIELD_SCORES:
		return scores_to_json((const uint32_t *)address);
	}
	return NULL;
}

static void scores_from_json(uint32_t *scores, struct json_object *list)
{
	for (size_t i = 0; i < TRACE_MODELS_MAX; i++)
		scores[i] = (uint32_t)json_object_get_int64(json_object_array_get_idx(list, i));
}

static void field_from_json(const struct field *field, void *row, struct json_object *value)
{
	char *address = (char *)row + field->offset;

	switch (field->kind) {
	case FIELD_TEXT:
		snprintf(address, TRACE_NAME_BYTES, "%s", json_object_get_string(value));
		break;
	case FIELD_U32:
		*(uint32_t *)address = (uint32_t)json_object_get_int64(value);
		break;
	case FIELD_U64:
		*(uint64_t *)address = json_object_get_uint64(value);
		break;
	case FIELD_BOOL:
		*(bool *)address = json_object_get_boolean(value);
		break;
	case FIELD_SCORES:
		scores_from_json((uint32_t *)address, value);
		break;
	}
}

static void write_line(FILE *file, const char *kind, const struct field *fields, const void *row)
{
	struct json_object *line = json_object_new_object();

	json_object_object_add(line, "kind", json_object_new_string(kind));
	for (; fields->name; fields++)
		json_object_object_add(line, fields->name, field_to_json(fields, row));
	fprintf(file, "%s\n", json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	json_object_put(line);
}

static void write_names(FILE *file, const char *kind, char (*names)[TRACE_NAME_BYTES],
			uint32_t count)
{
	static const struct field name_field[] = { { "name", 0, FIELD_TEXT }, END };

	for (uint32_t i = 0; i < count; i++)
		write_line(file, kind, name_field, names[i]);
}

void trace_write(const struct trace *trace, FILE *file)
{
	write_line(file, "trace", trace_fields, trace);
	write_names(file, "failure_domain", (char(*)[TRACE_NAME_BYTES])trace->domains,
		    trace->domain_count);
	write_names(file, "class", (char(*)[TRACE_NAME_BYTES])trace->classes, trace->class_count);
	for (uint32_t i = 0; i < trace->model_count; i++)
		write_line(file, "model", model_fields, &trace->models[i]);
	for (uint32_t i = 0; i < trace->version_count; i++)
		write_line(file, "version", version_fields, &trace->versions[i]);
	for (uint32_t i = 0; i < trace->engine_count; i++)
		write_line(file, "engine", engine_fields, &trace->engines[i]);
	for (uint32_t i = 0; i < trace->organisation_count; i++)
		write_line(file, "organisation", organisation_fields, &trace->organisations[i]);
	for (size_t i = 0; i < trace->fault_count; i++)
		write_line(file, "fault", fault_fields, &trace->faults[i]);
	for (size_t i = 0; i < trace->request_count; i++)
		write_line(file, "request", request_fields, &trace->requests[i]);
}

/* Fixed-size array of the trace that lines of a kind are read into. */
struct line_kind {
	const char *name;
	const struct field *fields;
	size_t rows_offset;
	size_t row_bytes;
	size_t count_offset;
	uint32_t max;
};

#define ROWS(array, counter, max)                                                                  \
	offsetof(struct trace, array), sizeof(((struct trace *)0)->array[0]),                      \
		offsetof(struct trace, counter), max

static const struct field name_fields[] = { { "name", 0, FIELD_TEXT }, END };
static const struct line_kind line_kinds[] = {
	{ "failure_domain", name_fields, ROWS(domains, domain_count, TRACE_DOMAINS_MAX) },
	{ "class", name_fields, ROWS(classes, class_count, TRACE_CLASSES_MAX) },
	{ "model", model_fields, ROWS(models, model_count, TRACE_MODELS_MAX) },
	{ "version", version_fields, ROWS(versions, version_count, TRACE_VERSIONS_MAX) },
	{ "engine", engine_fields, ROWS(engines, engine_count, TRACE_ENGINES_MAX) },
	{ "organisation", organisation_fields,
	  ROWS(organisations, organisation_count, TRACE_ORGANISATIONS_MAX) },
};

static enum dw_status read_fields(const struct field *fields, struct json_object *line, void *row)
{
	struct json_object *value;

	for (; fields->name; fields++) {
		if (!json_object_object_get_ex(line, fields->name, &value))
			return dw_fail(DW_INVALID_ARGUMENT, "missing field \"%s\"", fields->name);
		if (fields->kind == FIELD_SCORES && !json_object_is_type(value, json_type_array))
			return dw_fail(DW_INVALID_ARGUMENT, "field \"%s\" is not an array",
				       fields->name);
		field_from_json(fields, row, value);
	}
	return DW_OK;
}

static enum dw_status read_request(struct trace *trace, struct json_object *line)
{
	struct trace_request request = { 0 };
	enum dw_status status = read_fields(request_fields, line, &request);

	if (status)
		return status;
	if (request.organisation >= trace->organisation_count ||
	    request.class >= trace->class_count || request.model >= trace->model_count ||
	    request.priority > 2 || !request.tokens ||
	    request.prefix_tokens > request.prompt_tokens ||
	    (trace->request_count &&
	     request.at_us < trace->requests[trace->request_count - 1].at_us))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "request with a value out of range, or not in order of time");
	trace_add_request(trace, &request);
	return DW_OK;
}

static enum dw_status read_fault(struct trace *trace, struct json_object *line)
{
	const uint32_t targets[TRACE_FAULT_KIND_COUNT] = {
		[TRACE_DOMAIN_OUT] = trace->domain_count,
		[TRACE_DOMAIN_BACK] = trace->domain_count,
		[TRACE_VERSION_BAD] = trace->version_count,
		[TRACE_ENGINE_COLD] = trace->engine_count,
	};
	struct trace_fault fault = { 0 };
	enum dw_status status = read_fields(fault_fields, line, &fault);

	if (status)
		return status;
	if ((unsigned int)fault.kind >= TRACE_FAULT_KIND_COUNT ||
	    fault.target >= targets[fault.kind])
		return dw_fail(DW_INVALID_ARGUMENT, "fault with an unknown kind or target");
	trace_add_fault(trace, &fault);
	return DW_OK;
}

static enum dw_status read_row(struct trace *trace, const struct line_kind *kind,
			       struct json_object *line)
{
	uint32_t *count = (uint32_t *)((char *)trace + kind->count_offset);
	char *rows = (char *)trace + kind->rows_offset;

	if (*count == kind->max)
		return dw_fail(DW_TOO_LARGE, "more than %u lines of kind \"%s\"", kind->max,
			       kind->name);
	return read_fields(kind->fields, line, rows + (size_t)(*count)++ * kind->row_bytes);
}

static enum dw_status read_line(struct trace *trace, struct json_object *line)
{
	struct json_object *value;
	const char *kind;

	if (!json_object_object_get_ex(line, "kind", &value))
		return dw_fail(DW_INVALID_ARGUMENT, "missing field \"kind\"");
	kind = json_object_get_string(value);
	if (!strcmp(kind, "trace"))
		return read_fields(trace_fields, line, trace);
	if (!strcmp(kind, "request"))
		return read_request(trace, line);
	if (!strcmp(kind, "fault"))
		return read_fault(trace, line);
	for (size_t i = 0; i < sizeof(line_kinds) / sizeof(line_kinds[0]); i++) {
		if (!strcmp(kind, line_kinds[i].name))
			return read_row(trace, &line_kinds[i], line);
	}
	return dw_fail(DW_INVALID_ARGUMENT, "unknown value of \"kind\"");
}

static enum dw_status validate(const struct trace *trace)
{
	for (uint32_t i = 0; i < trace->version_count; i++) {
		if (trace->versions[i].model >= trace->model_count)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "a version refers to a model that does not exist");
	}
	for (uint32_t i = 0; i < trace->engine_count; i++) {
		const struct trace_engine *engine = &trace->engines[i];

		if (engine->model >= trace->model_count || !engine->slots ||
		    engine->slots > TRACE_SLOTS_MAX || !engine->cold_slots ||
		    engine->cold_slots > engine->slots ||
		    engine->failure_domain >= trace->domain_count)
			return dw_fail(DW_INVALID_ARGUMENT, "engine with a value out of range");
	}
	if (!trace->instances || trace->instances > TRACE_INSTANCES_MAX || !trace->request_count)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "no requests, or \"instances\" is out of range");
	return DW_OK;
}

enum dw_status trace_read(struct trace *trace, FILE *file)
{
	char *text = NULL;
	size_t capacity = 0;
	enum dw_status status = DW_OK;
	int number = 0;

	memset(trace, 0, sizeof(*trace));
	while (!status && getline(&text, &capacity, file) > 0) {
		struct json_object *line = json_tokener_parse(text);

		number++;
		status = line ? read_line(trace, line)
			      : dw_fail(DW_INVALID_ARGUMENT, "not a JSON object");
		json_object_put(line);
	}
	free(text);
	if (!status)
		return validate(trace);
	fprintf(stderr, "line %d: %s\n", number, dw_last_message());
	return status;
}
