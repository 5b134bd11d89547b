/**
 * @file check_report.h
 * Findings of a check of a configuration, as typed values.
 *
 * A finding borrows its strings from what was checked, which must outlive the report, or from
 * dw_check_report_copy(). It never contains a key or a hash of one. Running out of memory aborts.
 */
#ifndef DRAGONFLYWHARF_CHECK_REPORT_H
#define DRAGONFLYWHARF_CHECK_REPORT_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

enum dw_check_severity {
	DW_CHECK_NOTICE, /**< a change that takes nothing away */
	DW_CHECK_WARNING, /**< works, but probably not as intended, or takes something away */
	DW_CHECK_ERROR, /**< is refused or ignored, or requests are certain to fail */
	DW_CHECK_SEVERITY_COUNT
};

/** What an entry is; the adapter of the platform knows its name in the file. */
enum dw_check_section {
	DW_CHECK_FILE,
	DW_CHECK_LIMITS,
	DW_CHECK_ROUTES,
	DW_CHECK_SERVICES,
	DW_CHECK_ORGANISATIONS,
	DW_CHECK_ENTITIES,
	DW_CHECK_SECTION_COUNT
};

/** The field of an entry that a finding is about. */
enum dw_check_field {
	DW_CHECK_NO_FIELD,
	DW_CHECK_VERSION,
	DW_CHECK_KIND,
	DW_CHECK_PATH_PREFIX,
	DW_CHECK_TIMEOUT,
	DW_CHECK_TARGET_LATENCY,
	DW_CHECK_TARGET_GAP,
	DW_CHECK_MAX_ATTEMPTS,
	DW_CHECK_PRIORITY,
	DW_CHECK_PUBLIC,
	DW_CHECK_RESUMABLE,
	DW_CHECK_SIZES, /**< a route's models */
	DW_CHECK_TRAFFIC_SPLIT,
	DW_CHECK_HEALTH_PATH,
	DW_CHECK_MAX_CONNECTIONS,
	DW_CHECK_COLD_START,
	DW_CHECK_COLD_RATE,
	DW_CHECK_SLOTS,
	DW_CHECK_KV_CAPACITY,
	DW_CHECK_TOKENS_PER_EVENT,
	DW_CHECK_MODELS, /**< a service's models */
	DW_CHECK_COST,
	DW_CHECK_KEYS,
	DW_CHECK_MAX_HEADER_BYTES,
	DW_CHECK_MAX_BODY_BYTES,
	DW_CHECK_HEADER_TIMEOUT,
	DW_CHECK_IDLE_TIMEOUT,
	/* Fields of the project's own entities. */
	DW_CHECK_LIMIT,
	DW_CHECK_COLD_LIMIT,
	DW_CHECK_MAX_IN_FLIGHT,
	DW_CHECK_ROLLOUT_WEIGHT,
	DW_CHECK_CASCADE,
	DW_CHECK_FIELD_COUNT
};

/** The comments name what `subject`, `other`, `value` and `bound` are. */
enum dw_finding_kind {
	DW_FINDING_UNREADABLE, /**< detail: the reader's message */
	DW_FINDING_NO_ROUTES,
	DW_FINDING_ROUTE_SHADOWED, /**< subject: the earlier route; value: its index */
	DW_FINDING_PREFIX_NEVER_MATCHES, /**< subject: the prefix */
	DW_FINDING_NAME_REPEATED, /**< value: index of the earlier entry */
	DW_FINDING_SERVICE_SHADOWED, /**< value: index of the later entry, which is used */
	DW_FINDING_SERVICE_UNKNOWN, /**< subject: the service */
	DW_FINDING_MODEL_UNKNOWN, /**< subject: the model; other: the service */
	DW_FINDING_SERVICE_WITHOUT_MODELS, /**< subject: the service */
	DW_FINDING_SERVICE_UNUSED,
	DW_FINDING_WEIGHTS_ZERO, /**< subject: the service that gets all requests */
	DW_FINDING_WITHOUT_KEYS,
	DW_FINDING_TIMEOUT_UNDER_TARGET, /**< value: timeout in ms; bound: target latency */
	DW_FINDING_TIMEOUT_UNDER_GAP, /**< value: timeout in ms; bound: target gap */
	DW_FINDING_ATTEMPTS_NOT_IDEMPOTENT, /**< value: attempts */
	DW_FINDING_LIMIT_ZERO, /**< field: the limit */
	DW_FINDING_HEADER_LIMIT_UNDER_ROUTE, /**< value: limit; bound: the smallest header; subject:
					      the route */
	DW_FINDING_BODY_LIMIT_UNDER_HEADER, /**< value: body limit; bound: header limit */
	DW_FINDING_IDLE_UNDER_HEADER_TIMEOUT, /**< value: idle timeout in ms; bound: the other */
	DW_FINDING_COLD_RATE_ZERO, /**< value: cold start in ms */
	DW_FINDING_CONNECTIONS_UNDER_SLOTS, /**< value: connections; bound: slots */
	DW_FINDING_CACHE_UNDER_EVENT, /**< value: tokens of the cache; bound: of one event */
	DW_FINDING_COST_FALLS, /**< subject: the smaller model; other: the larger one; value: cost of
				the smaller one; bound: of the larger one */
	/* What differs from the configuration in force. */
	DW_FINDING_VERSION_NOT_NEWER, /**< value: version; bound: version in force */
	DW_FINDING_ADDED,
	DW_FINDING_REMOVED,
	DW_FINDING_ROUTE_REMOVED, /**< other: the route that now matches, or NULL */
	DW_FINDING_ORGANISATION_REMOVED, /**< value: number of its keys */
	DW_FINDING_ROUTE_LEAVES_SERVICE, /**< subject: old service; other: first new one */
	DW_FINDING_ROUTE_JOINS_SERVICE, /**< subject: the service */
	DW_FINDING_SERVICE_LOSES_ROUTES,
	DW_FINDING_SHARE_CHANGED, /**< subject: the service; value, bound: share, old share in 100 */
	DW_FINDING_MODEL_REMOVED, /**< subject: the model */
	DW_FINDING_MODEL_ADDED, /**< subject: the model */
	DW_FINDING_KEYS_REMOVED, /**< value: number of keys */
	DW_FINDING_KEYS_ADDED, /**< value: number of keys */
	DW_FINDING_KEYS_MOVED, /**< other: the new owner; value: number of keys */
	DW_FINDING_KEYS_NOT_NEEDED,
	DW_FINDING_NO_KEYS_LEFT,
	DW_FINDING_LOWERED, /**< field; value; bound: the value in force */
	DW_FINDING_RAISED, /**< as LOWERED */
	DW_FINDING_CHANGED, /**< field; value and bound if has_numbers */
	DW_FINDING_KIND_CHANGED, /**< subject: new kind; other: old kind */
	DW_FINDING_MADE_PUBLIC,
	DW_FINDING_NO_LONGER_PUBLIC,
	DW_FINDING_NO_LONGER_RESUMABLE,
	/* The project's own entities. */
	DW_FINDING_ENTITY_INVALID, /**< detail: the message of the check */
	DW_FINDING_ENTITY_REPEATED, /**< value: index of the earlier one */
	DW_FINDING_REFERENCE_UNKNOWN, /**< subject: the key, or the part of it that is known */
	DW_FINDING_KEY_SHARED, /**< subject: the other organisation */
	DW_FINDING_WITHOUT_PERMISSIONS,
	DW_FINDING_MODEL_WITHOUT_VERSIONS,
	DW_FINDING_WITHOUT_UPSTREAMS,
	DW_FINDING_PERMISSION_REMOVED, /**< subject: the permission */
	DW_FINDING_VERSION_WITHDRAWN,
	DW_FINDING_UPSTREAM_LEAVES,
	DW_FINDING_DOMAIN_DRAINED,
	DW_FINDING_UPSTREAM_DROPS_VERSION, /**< subject: the version */
	DW_FINDING_VERSION_LOSES_UPSTREAMS,
	DW_FINDING_UPSTREAM_LIMIT_LOWERED, /**< field; value; bound: the limit in force */
	DW_FINDING_ENTITY_CHANGED,
	DW_FINDING_KIND_COUNT
};

struct dw_check_path {
	enum dw_check_section section;
	size_t index; /**< place in the file; unused for the file and its limits */
	const char *name; /**< NULL: the entry has none */
	enum dw_check_field field;
	bool is_in_force; /**< the index is one in the configuration in force */
};

struct dw_finding {
	enum dw_check_severity severity;
	enum dw_finding_kind kind;
	struct dw_check_path path;
	const char *subject;
	const char *other;
	const char *detail; /**< owned by the report */
	bool has_numbers;
	double value; /**< exact up to 2^53 */
	double bound;
};

struct dw_check_report {
	struct dw_finding *findings;
	size_t count;
	size_t capacity;
	size_t severity_counts[DW_CHECK_SEVERITY_COUNT];
	struct dw_check_text *texts; /**< of dw_check_report_copy() */
};

/** Adds a finding of @p kind at @p path with the severity of its kind. The result stays valid until
 * the next call. */
struct dw_finding *dw_check_report_add(struct dw_check_report *report, enum dw_finding_kind kind,
				       struct dw_check_path path);
/** Like dw_check_report_add(), with a copy of @p detail. */
void dw_check_report_add_detail(struct dw_check_report *report, enum dw_finding_kind kind,
				struct dw_check_path path, const char *detail);
/** Like dw_check_report_add(), with two numbers. */
struct dw_finding *dw_check_report_add_numbers(struct dw_check_report *report,
					       enum dw_finding_kind kind, struct dw_check_path path,
					       double value, double bound);
/** Returns a copy of @p text that lives as long as the report. */
const char *dw_check_report_copy(struct dw_check_report *report, const char *text);
void dw_check_report_free(struct dw_check_report *report);

/** Returns the stable lower-case name of a kind, for scripts. */
const char *dw_finding_kind_name(enum dw_finding_kind kind);
const char *dw_check_severity_name(enum dw_check_severity severity);

#ifdef __cplusplus
}
#endif

#endif
