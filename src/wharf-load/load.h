/**
 * @file load.h
 * A bounded load of chat calls against one or more instances, and what came of it.
 */
#ifndef WHARF_LOAD_LOAD_H
#define WHARF_LOAD_LOAD_H

#include <uv.h>

#include "base/settings.h"
#include "net/http_client.h"

#define LOAD_STATUSES 600

struct load_options {
	struct dw_endpoint_list targets; /**< taken in turn */
	const char *key; /**< the callers' bearer key */
	const char *path;
	const char *body; /**< "%u" in it is replaced by the number of the request */
	uint64_t requests;
	uint32_t concurrency;
	uint64_t interval_us; /**< between starts; 0: as soon as another has ended */
	uint64_t timeout_us; /**< of one request */
};

struct load_result {
	uint64_t done; /**< whole answers of status 200 */
	uint64_t failed; /**< no whole answer */
	uint64_t by_status[LOAD_STATUSES];
	uint64_t duration_us;
	uint64_t body_bytes;
	uint32_t *first_byte_us; /**< of each whole answer, unsorted; owned by the load */
	uint32_t *total_us;
};

/** Runs the load to its end on @p loop. The result lives as long as the process. */
const struct load_result *load_run(uv_loop_t *loop, const struct load_options *options);

/** The value below which @p permille of the @p count values lie; sorts them. */
uint32_t load_percentile(uint32_t *values, uint64_t count, uint32_t permille);

#endif
