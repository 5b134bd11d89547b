#include <dragonflywharf/check_report.h>

#include <stdlib.h>
#include <string.h>

struct dw_check_text {
	struct dw_check_text *next;
	char bytes[];
};

static const struct {
	const char *name;
	enum dw_check_severity severity;
} kinds[DW_FINDING_KIND_COUNT] = {
	[DW_FINDING_UNREADABLE] = { "unreadable", DW_CHECK_ERROR },
	[DW_FINDING_NO_ROUTES] = { "no_routes", DW_CHECK_ERROR },
	[DW_FINDING_ROUTE_SHADOWED] = { "route_shadowed", DW_CHECK_ERROR },
	[DW_FINDING_PREFIX_NEVER_MATCHES] = { "prefix_never_matches", DW_CHECK_ERROR },
	[DW_FINDING_NAME_REPEATED] = { "name_repeated", DW_CHECK_WARNING },
	[DW_FINDING_SERVICE_SHADOWED] = { "service_shadowed", DW_CHECK_ERROR },
	[DW_FINDING_SERVICE_UNKNOWN] = { "service_unknown", DW_CHECK_ERROR },
	[DW_FINDING_MODEL_UNKNOWN] = { "model_unknown", DW_CHECK_ERROR },
	[DW_FINDING_SERVICE_WITHOUT_MODELS] = { "service_without_models", DW_CHECK_WARNING },
	[DW_FINDING_SERVICE_UNUSED] = { "service_unused", DW_CHECK_WARNING },
	[DW_FINDING_WEIGHTS_ZERO] = { "weights_zero", DW_CHECK_WARNING },
	[DW_FINDING_WITHOUT_KEYS] = { "without_keys", DW_CHECK_WARNING },
	[DW_FINDING_TIMEOUT_UNDER_TARGET] = { "timeout_under_target", DW_CHECK_WARNING },
	[DW_FINDING_TIMEOUT_UNDER_GAP] = { "timeout_under_gap", DW_CHECK_WARNING },
	[DW_FINDING_ATTEMPTS_NOT_IDEMPOTENT] = { "attempts_not_idempotent", DW_CHECK_WARNING },
	[DW_FINDING_LIMIT_ZERO] = { "limit_zero", DW_CHECK_ERROR },
	[DW_FINDING_HEADER_LIMIT_UNDER_ROUTE] = { "header_limit_under_route", DW_CHECK_ERROR },
	[DW_FINDING_BODY_LIMIT_UNDER_HEADER] = { "body_limit_under_header", DW_CHECK_WARNING },
	[DW_FINDING_IDLE_UNDER_HEADER_TIMEOUT] = { "idle_under_header_timeout", DW_CHECK_WARNING },
	[DW_FINDING_COLD_RATE_ZERO] = { "cold_rate_zero", DW_CHECK_WARNING },
	[DW_FINDING_CONNECTIONS_UNDER_SLOTS] = { "connections_under_slots", DW_CHECK_WARNING },
	[DW_FINDING_CACHE_UNDER_EVENT] = { "cache_under_event", DW_CHECK_ERROR },
	[DW_FINDING_COST_FALLS] = { "cost_falls", DW_CHECK_WARNING },
	[DW_FINDING_VERSION_NOT_NEWER] = { "version_not_newer", DW_CHECK_ERROR },
	[DW_FINDING_ADDED] = { "added", DW_CHECK_NOTICE },
	[DW_FINDING_REMOVED] = { "removed", DW_CHECK_WARNING },
	[DW_FINDING_ROUTE_REMOVED] = { "route_removed", DW_CHECK_WARNING },
	[DW_FINDING_ORGANISATION_REMOVED] = { "organisation_removed", DW_CHECK_WARNING },
	[DW_FINDING_ROUTE_LEAVES_SERVICE] = { "route_leaves_service", DW_CHECK_WARNING },
	[DW_FINDING_ROUTE_JOINS_SERVICE] = { "route_joins_service", DW_CHECK_NOTICE },
	[DW_FINDING_SERVICE_LOSES_ROUTES] = { "service_loses_routes", DW_CHECK_WARNING },
	[DW_FINDING_SHARE_CHANGED] = { "share_changed", DW_CHECK_NOTICE },
	[DW_FINDING_MODEL_REMOVED] = { "model_removed", DW_CHECK_WARNING },
	[DW_FINDING_MODEL_ADDED] = { "model_added", DW_CHECK_NOTICE },
	[DW_FINDING_KEYS_REMOVED] = { "keys_removed", DW_CHECK_WARNING },
	[DW_FINDING_KEYS_ADDED] = { "keys_added", DW_CHECK_NOTICE },
	[DW_FINDING_KEYS_MOVED] = { "keys_moved", DW_CHECK_WARNING },
	[DW_FINDING_NO_KEYS_LEFT] = { "no_keys_left", DW_CHECK_WARNING },
	[DW_FINDING_KEYS_NOT_NEEDED] = { "keys_not_needed", DW_CHECK_WARNING },
	[DW_FINDING_LOWERED] = { "lowered", DW_CHECK_WARNING },
	[DW_FINDING_RAISED] = { "raised", DW_CHECK_NOTICE },
	[DW_FINDING_CHANGED] = { "changed", DW_CHECK_NOTICE },
	[DW_FINDING_KIND_CHANGED] = { "kind_changed", DW_CHECK_WARNING },
	[DW_FINDING_MADE_PUBLIC] = { "made_public", DW_CHECK_WARNING },
	[DW_FINDING_NO_LONGER_PUBLIC] = { "no_longer_public", DW_CHECK_WARNING },
	[DW_FINDING_NO_LONGER_RESUMABLE] = { "no_longer_resumable", DW_CHECK_WARNING },
	[DW_FINDING_ENTITY_INVALID] = { "entity_invalid", DW_CHECK_ERROR },
	[DW_FINDING_ENTITY_REPEATED] = { "entity_repeated", DW_CHECK_ERROR },
	[DW_FINDING_REFERENCE_UNKNOWN] = { "reference_unknown", DW_CHECK_WARNING },
	[DW_FINDING_KEY_SHARED] = { "key_shared", DW_CHECK_ERROR },
	[DW_FINDING_WITHOUT_PERMISSIONS] = { "without_permissions", DW_CHECK_WARNING },
	[DW_FINDING_MODEL_WITHOUT_VERSIONS] = { "model_without_versions", DW_CHECK_WARNING },
	[DW_FINDING_WITHOUT_UPSTREAMS] = { "without_upstreams", DW_CHECK_WARNING },
	[DW_FINDING_PERMISSION_REMOVED] = { "permission_removed", DW_CHECK_WARNING },
	[DW_FINDING_VERSION_WITHDRAWN] = { "version_withdrawn", DW_CHECK_WARNING },
	[DW_FINDING_UPSTREAM_LEAVES] = { "upstream_leaves", DW_CHECK_WARNING },
	[DW_FINDING_DOMAIN_DRAINED] = { "domain_drained", DW_CHECK_WARNING },
	[DW_FINDING_UPSTREAM_DROPS_VERSION] = { "upstream_drops_version", DW_CHECK_WARNING },
	[DW_FINDING_UPSTREAM_LIMIT_LOWERED] = { "upstream_limit_lowered", DW_CHECK_WARNING },
	[DW_FINDING_VERSION_LOSES_UPSTREAMS] = { "version_loses_upstreams", DW_CHECK_WARNING },
	[DW_FINDING_ENTITY_CHANGED] = { "entity_changed", DW_CHECK_NOTICE },
};

struct dw_finding *dw_check_report_add(struct dw_check_report *report, enum dw_finding_kind kind,
				       struct dw_check_path path)
{
	struct dw_finding *finding;

	if (report->count == report->capacity) {
		report->capacity = report->capacity ? 2 * report->capacity : 16;
		report->findings =
			realloc(report->findings, report->capacity * sizeof(*report->findings));
		if (!report->findings)
			abort();
	}
	finding = &report->findings[report->count++];
	memset(finding, 0, sizeof(*finding));
	finding->kind = kind;
	finding->severity = kinds[kind].severity;
	finding->path = path;
	report->severity_counts[finding->severity]++;
	return finding;
}

const char *dw_check_report_copy(struct dw_check_report *report, const char *text)
{
	size_t size = strlen(text) + 1;
	struct dw_check_text *copy = malloc(sizeof(*copy) + size);

	if (!copy)
		abort();
	memcpy(copy->bytes, text, size);
	copy->next = report->texts;
	report->texts = copy;
	return copy->bytes;
}

void dw_check_report_add_detail(struct dw_check_report *report, enum dw_finding_kind kind,
				struct dw_check_path path, const char *detail)
{
	const char *copy = dw_check_report_copy(report, detail);

	dw_check_report_add(report, kind, path)->detail = copy;
}

struct dw_finding *dw_check_report_add_numbers(struct dw_check_report *report,
					       enum dw_finding_kind kind, struct dw_check_path path,
					       double value, double bound)
{
	struct dw_finding *finding = dw_check_report_add(report, kind, path);

	finding->has_numbers = true;
	finding->value = value;
	finding->bound = bound;
	return finding;
}

void dw_check_report_free(struct dw_check_report *report)
{
	for (struct dw_check_text *next, *text = report->texts; text; text = next) {
		next = text->next;
		free(text);
	}
	free(report->findings);
	memset(report, 0, sizeof(*report));
}

const char *dw_finding_kind_name(enum dw_finding_kind kind)
{
	return kind < DW_FINDING_KIND_COUNT ? kinds[kind].name : "unknown";
}

const char *dw_check_severity_name(enum dw_check_severity severity)
{
	static const char *const names[DW_CHECK_SEVERITY_COUNT] = {
		[DW_CHECK_NOTICE] = "notice",
		[DW_CHECK_WARNING] = "warning",
		[DW_CHECK_ERROR] = "error",
	};

	return severity < DW_CHECK_SEVERITY_COUNT ? names[severity] : "unknown";
}
