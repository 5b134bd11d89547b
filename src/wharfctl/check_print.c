#include "wharfctl/check_print.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "platform/config_path.h"

#define PATH_BYTES 512
#define NUMBER_FORMAT "%.15g"

/* %s: subject, %o: other, %v: value, %b: bound, %d: detail. */
static const char *const sentences[DW_FINDING_KIND_COUNT] = {
	[DW_FINDING_UNREADABLE] = "%d",
	[DW_FINDING_NO_ROUTES] = "there are no routes, every request gets 404",
	[DW_FINDING_ROUTE_SHADOWED] = "never matches, route %v (%s) has the same host and prefix",
	[DW_FINDING_PREFIX_NEVER_MATCHES] =
		"never matches, a path has no blank and no query and at most 2047 bytes",
	[DW_FINDING_NAME_REPEATED] = "entry %v has the same name",
	[DW_FINDING_SERVICE_SHADOWED] = "is never used, entry %v has the same name",
	[DW_FINDING_SERVICE_UNKNOWN] = "there is no service %s",
	[DW_FINDING_MODEL_UNKNOWN] = "service %o doesn't list model %s",
	[DW_FINDING_SERVICE_WITHOUT_MODELS] = "service %s has engines but lists no models",
	[DW_FINDING_SERVICE_UNUSED] = "no route sends requests to it",
	[DW_FINDING_WEIGHTS_ZERO] = "all weights are 0, so that %s gets all requests",
	[DW_FINDING_WITHOUT_KEYS] = "has no keys, so that no request belongs to it",
	[DW_FINDING_TIMEOUT_UNDER_TARGET] =
		"the timeout of %v ms is under the target latency of %b ms",
	[DW_FINDING_TIMEOUT_UNDER_GAP] = "the timeout of %v ms is under the target gap of %b ms",
	[DW_FINDING_ATTEMPTS_NOT_IDEMPOTENT] =
		"%v attempts have no effect, requests of this kind run at most once",
	[DW_FINDING_LIMIT_ZERO] = "is 0, so that no such request is accepted",
	[DW_FINDING_HEADER_LIMIT_UNDER_ROUTE] =
		"%v bytes are too few for a request to route %s, which needs at least %b",
	[DW_FINDING_BODY_LIMIT_UNDER_HEADER] =
		"%v bytes are under the limit of %b bytes for headers",
	[DW_FINDING_IDLE_UNDER_HEADER_TIMEOUT] =
		"%v ms are under the header timeout of %b ms, which then rarely applies",
	[DW_FINDING_COLD_RATE_ZERO] = "is 0, so that a cold start of %v ms has no limit",
	[DW_FINDING_CONNECTIONS_UNDER_SLOTS] =
		"%v connections to an engine can't fill its %b slots",
	[DW_FINDING_CACHE_UNDER_EVENT] = "a cache of %v tokens can't hold one event of %b tokens",
	[DW_FINDING_COST_FALLS] =
		"model %s costs %v, more than the larger model %o, which costs %b",
	[DW_FINDING_VERSION_NOT_NEWER] =
		"version %v isn't newer than %b in force, instances ignore it",
	[DW_FINDING_ADDED] = "is new",
	[DW_FINDING_REMOVED] = "is removed",
	[DW_FINDING_ROUTE_REMOVED] = "is removed, %o gets its requests",
	[DW_FINDING_ORGANISATION_REMOVED] = "is removed, %v of its keys stop working",
	[DW_FINDING_ROUTE_LEAVES_SERVICE] =
		"no longer sends to service %s but to %o; sessions lose their version",
	[DW_FINDING_ROUTE_JOINS_SERVICE] = "now sends %v of 100 requests to service %s",
	[DW_FINDING_SERVICE_LOSES_ROUTES] =
		"no route sends requests to it any more; sessions lose their versions",
	[DW_FINDING_SHARE_CHANGED] = "sends %v of 100 requests to service %s, before %b",
	[DW_FINDING_MODEL_REMOVED] = "no longer lists model %s",
	[DW_FINDING_MODEL_ADDED] = "now lists model %s",
	[DW_FINDING_KEYS_REMOVED] = "%v of its keys stop working",
	[DW_FINDING_KEYS_ADDED] = "has %v new keys",
	[DW_FINDING_KEYS_MOVED] = "%v of its keys now belong to %o",
	[DW_FINDING_NO_KEYS_LEFT] =
		"no organisation is left: only requests on public routes are allowed",
	[DW_FINDING_KEYS_NOT_NEEDED] = "without organisations, no request needs a key any more",
	[DW_FINDING_LOWERED] = "is lowered to %v from %b",
	[DW_FINDING_RAISED] = "is raised to %v from %b",
	[DW_FINDING_CHANGED] = "is changed",
	[DW_FINDING_KIND_CHANGED] = "is %s, before %o; whether requests may run twice can change",
	[DW_FINDING_MADE_PUBLIC] = "needs no key any more",
	[DW_FINDING_NO_LONGER_PUBLIC] = "needs a key now",
	[DW_FINDING_NO_LONGER_RESUMABLE] = "broken streams are no longer resumed",
	[DW_FINDING_ENTITY_INVALID] = "%d",
	[DW_FINDING_ENTITY_REPEATED] = "overwrites entry %v, which has the same key",
	[DW_FINDING_REFERENCE_UNKNOWN] = "refers to %s, which isn't in the given files",
	[DW_FINDING_KEY_SHARED] = "shares a key hash with %s, so that the key belongs to neither",
	[DW_FINDING_WITHOUT_PERMISSIONS] = "may use no model and no service",
	[DW_FINDING_MODEL_WITHOUT_VERSIONS] = "has no live version",
	[DW_FINDING_WITHOUT_UPSTREAMS] = "no upstream in service serves it",
	[DW_FINDING_PERMISSION_REMOVED] = "may no longer use %s",
	[DW_FINDING_VERSION_WITHDRAWN] = "is withdrawn, its sessions lose their version",
	[DW_FINDING_UPSTREAM_LEAVES] = "gets no new requests any more",
	[DW_FINDING_DOMAIN_DRAINED] = "its upstreams get no new requests any more",
	[DW_FINDING_UPSTREAM_DROPS_VERSION] = "no longer serves %s",
	[DW_FINDING_VERSION_LOSES_UPSTREAMS] =
		"no upstream in service serves it any more, its sessions lose their version",
	[DW_FINDING_UPSTREAM_LIMIT_LOWERED] =
		"is lowered to %v from %b, which \"apply\" refuses without --allow-lower",
	[DW_FINDING_ENTITY_CHANGED] = "is changed",
};

/* A newline in a name must not look like another finding. */
static void write_name(FILE *out, const char *text)
{
	for (; text && *text; text++) {
		unsigned char byte = (unsigned char)*text;

		fputc(byte < ' ' || byte == 0x7f ? '?' : byte, out);
	}
}

static void write_sentence(FILE *out, const struct dw_finding *finding)
{
	const char *cursor = sentences[finding->kind];

	if (finding->kind == DW_FINDING_ROUTE_REMOVED && !finding->other)
		cursor = "is removed, its requests get 404";
	for (; *cursor; cursor++) {
		if (*cursor != '%') {
			fputc(*cursor, out);
			continue;
		}
		switch (*++cursor) {
		case 's':
			write_name(out, finding->subject);
			break;
		case 'o':
			write_name(out, finding->other);
			break;
		case 'd':
			write_name(out, finding->detail);
			break;
		case 'v':
			fprintf(out, NUMBER_FORMAT, finding->value);
			break;
		default:
			fprintf(out, NUMBER_FORMAT, finding->bound);
			break;
		}
	}
	if (finding->kind == DW_FINDING_CHANGED && finding->has_numbers)
		fprintf(out, " to " NUMBER_FORMAT " from " NUMBER_FORMAT, finding->value,
			finding->bound);
}

void check_print_text(FILE *out, const struct dw_check_report *report)
{
	char path[PATH_BYTES];

	for (size_t i = 0; i < report->count; i++) {
		const struct dw_finding *finding = &report->findings[i];

		config_path_write(&finding->path, path, sizeof(path));
		fprintf(out, "%s: ", dw_check_severity_name(finding->severity));
		write_name(out, path);
		fprintf(out, "%s%s: ", *path ? ": " : "", dw_finding_kind_name(finding->kind));
		write_sentence(out, finding);
		fputc('\n', out);
	}
}

static void add_text(struct json_object *object, const char *name, const char *text)
{
	if (text && *text)
		json_object_object_add(object, name, json_object_new_string(text));
}

/* JSON has no infinity, which a configuration may contain; it becomes null. */
static struct json_object *number_to_json(double number)
{
	return isfinite(number) ? json_object_new_double(number) : NULL;
}

static struct json_object *finding_to_json(const struct dw_finding *finding)
{
	struct json_object *object = json_object_new_object();
	char path[PATH_BYTES];
	char *sentence = NULL;
	size_t len = 0;
	FILE *stream = open_memstream(&sentence, &len);

	if (!stream)
		abort();
	write_sentence(stream, finding);
	fclose(stream);
	config_path_write(&finding->path, path, sizeof(path));
	add_text(object, "severity", dw_check_severity_name(finding->severity));
	add_text(object, "kind", dw_finding_kind_name(finding->kind));
	add_text(object, "path", path);
	add_text(object, "section", config_path_section(finding->path.section));
	if (finding->path.section >= DW_CHECK_ROUTES)
		json_object_object_add(object, "index",
				       json_object_new_int64((int64_t)finding->path.index));
	add_text(object, "name", finding->path.name);
	add_text(object, "field", config_path_field(finding->path.field));
	if (finding->path.is_in_force)
		json_object_object_add(object, "in_force", json_object_new_boolean(1));
	add_text(object, "subject", finding->subject);
	add_text(object, "other", finding->other);
	if (finding->has_numbers) {
		json_object_object_add(object, "value", number_to_json(finding->value));
		json_object_object_add(object, "bound", number_to_json(finding->bound));
	}
	add_text(object, "message", sentence);
	free(sentence);
	return object;
}

void check_print_json(FILE *out, const char *path, const char *against,
		      const struct dw_check_report *report)
{
	struct json_object *root = json_object_new_object();
	struct json_object *findings = json_object_new_array();

	add_text(root, "file", path);
	add_text(root, "against", against);
	for (int i = DW_CHECK_SEVERITY_COUNT - 1; i >= 0; i--) {
		static const char *const names[DW_CHECK_SEVERITY_COUNT] = { "notices", "warnings",
									    "errors" };

		json_object_object_add(root, names[i],
				       json_object_new_int64((int64_t)report->severity_counts[i]));
	}
	for (size_t i = 0; i < report->count; i++)
		json_object_array_add(findings, finding_to_json(&report->findings[i]));
	json_object_object_add(root, "findings", findings);
	fprintf(out, "%s\n",
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN |
							     JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
}
