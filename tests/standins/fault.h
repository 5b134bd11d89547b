/**
 * @file fault.h
 * Faults that an admin call asks a stand-in for, by kind, path, time and count.
 */
#ifndef TESTS_STANDINS_FAULT_H
#define TESTS_STANDINS_FAULT_H

#include <json-c/json.h>

#include <dragonflywharf/status.h>

#define FAULT_MAX 16

struct fault {
	char kind[24];
	char path[64]; /**< only requests whose path begins so; "" for all */
	char word[64]; /**< which model or version, where the kind takes one */
	uint64_t until_us; /**< on the monotonic clock; UINT64_MAX: until "none" */
	uint64_t left; /**< how often it strikes yet; UINT64_MAX: without bound */
	uint64_t n; /**< milliseconds, tokens or thousandths, as the kind has it */
};

struct fault_set {
	struct fault faults[FAULT_MAX];
	size_t count;
};

/**
 * Takes {"kind", "for_ms", "count", "path", "word", "n"}; only kind is required. The kind "none"
 * ends all faults. @p kinds closes with NULL; other kinds are DW_INVALID_ARGUMENT.
 */
enum dw_status fault_set_add(struct fault_set *set, const char *const *kinds,
			     struct json_object *body);

/** The fault of @p kind in force for @p path, counted as having struck; NULL if there is none. */
const struct fault *fault_set_take(struct fault_set *set, const char *kind, const char *path);

/** As fault_set_take(), without counting. */
const struct fault *fault_set_find(struct fault_set *set, const char *kind, const char *path);

#endif
