#include "standins/fault.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"

static bool is_supported(const char *const *kinds, const char *kind)
{
	for (; *kinds; kinds++) {
		if (strcmp(*kinds, kind) == 0)
			return true;
	}
	return false;
}

enum dw_status fault_set_add(struct fault_set *set, const char *const *kinds,
			     struct json_object *body)
{
	const char *kind = json_text(body, "kind", "");
	struct fault *fault = &set->faults[set->count];
	uint64_t for_ms = json_u64(body, "for_ms", 0);

	if (strcmp(kind, "none") == 0) {
		set->count = 0;
		return DW_OK;
	}
	if (!is_supported(kinds, kind))
		return dw_fail(DW_INVALID_ARGUMENT, "unknown fault kind: %s", kind);
	if (set->count == FAULT_MAX)
		return dw_fail(DW_OVERLOADED, "more than %d faults at once", FAULT_MAX);
	memset(fault, 0, sizeof(*fault));
	snprintf(fault->kind, sizeof(fault->kind), "%s", kind);
	snprintf(fault->path, sizeof(fault->path), "%s", json_text(body, "path", ""));
	snprintf(fault->word, sizeof(fault->word), "%s", json_text(body, "word", ""));
	fault->n = json_u64(body, "n", 0);
	fault->remaining = json_u64(body, "count", UINT64_MAX);
	fault->until_us = for_ms ? dw_clock_now_us() + for_ms * DW_US_PER_MS : UINT64_MAX;
	set->count++;
	return DW_OK;
}

static void remove_expired(struct fault_set *set)
{
	uint64_t now_us = dw_clock_now_us();
	size_t kept = 0;

	for (size_t i = 0; i < set->count; i++) {
		if (set->faults[i].until_us > now_us && set->faults[i].remaining > 0)
			set->faults[kept++] = set->faults[i];
	}
	set->count = kept;
}

static struct fault *find_active(struct fault_set *set, const char *kind, const char *path)
{
	remove_expired(set);
	for (size_t i = 0; i < set->count; i++) {
		struct fault *fault = &set->faults[i];

		if (strcmp(fault->kind, kind) == 0 &&
		    strncmp(path, fault->path, strlen(fault->path)) == 0)
			return fault;
	}
	return NULL;
}

const struct fault *fault_set_find(struct fault_set *set, const char *kind, const char *path)
{
	return find_active(set, kind, path);
}

const struct fault *fault_set_consume(struct fault_set *set, const char *kind, const char *path)
{
	struct fault *fault = find_active(set, kind, path);

	if (fault && fault->remaining != UINT64_MAX)
		fault->remaining--;
	return fault;
}
