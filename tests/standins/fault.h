/**
 * @file fault.h
 * Fault injection: faults that a test sets by POST /admin/fault, limited by path, time and count.
 */
#ifndef TESTS_STANDINS_FAULT_H
#define TESTS_STANDINS_FAULT_H

#include <json-c/json.h>

#include <dragonflywharf/status.h>

#define FAULT_MAX 16

struct fault {
	char kind[24];
	char path[64]; /**< prefix of the paths it applies to; "" for all */
	char word[64]; /**< the version it applies to, for the kind "quality" */
	uint64_t until_us; /**< end time on the monotonic clock; UINT64_MAX: until "none" */
	uint64_t remaining; /**< remaining number of times; UINT64_MAX: unlimited */
	uint64_t n; /**< milliseconds, tokens, thousandths, bytes or HTTP status, by kind */
};

struct fault_set {
	struct fault faults[FAULT_MAX];
	size_t count;
};

/**
 * Adds the fault {"kind", "for_ms", "count", "path", "word", "n"}; only kind is required. The kind
 * "none" removes all faults. @p kinds is a NULL-terminated list of the supported kinds.
 * @return DW_OK, DW_INVALID_ARGUMENT (unsupported kind) or DW_OVERLOADED (too many faults).
 */
enum dw_status fault_set_add(struct fault_set *set, const char *const *kinds,
			     struct json_object *body);

/** Returns the active fault of @p kind for @p path and uses it up once; NULL if there is none. */
const struct fault *fault_set_consume(struct fault_set *set, const char *kind, const char *path);

/** Like fault_set_consume(), without using it up. */
const struct fault *fault_set_find(struct fault_set *set, const char *kind, const char *path);

#endif
