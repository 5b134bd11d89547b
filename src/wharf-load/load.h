/**
 * @file load.h
 * Load generator: sends a fixed number of chat requests to one or more instances and measures them.
 */
#ifndef WHARF_LOAD_LOAD_H
#define WHARF_LOAD_LOAD_H

#include <uv.h>

#include "base/settings.h"
#include "net/http_client.h"

#define LOAD_HTTP_STATUS_COUNT 600

struct load_options {
	struct dw_endpoint_list targets; /**< used round robin */
	const char *key; /**< bearer key */
	const char *path;
	const char *body; /**< the first "%u" is replaced by the number of the request */
	uint64_t requests;
	uint32_t concurrency;
	uint64_t interval_us; /**< between starts; 0: a request starts when another ends */
	uint64_t timeout_us; /**< of a request */
};

struct load_result {
	uint64_t completed; /**< complete responses with status 200 */
	/** No response, or an incomplete one with status 200. A complete response with another status
	 * counts in by_status only. */
	uint64_t failed;
	uint64_t by_status[LOAD_HTTP_STATUS_COUNT];
	uint64_t duration_us;
	uint64_t body_bytes;
	/** Times from the start of each completed request; owned by the generator. */
	uint32_t *first_byte_us;
	uint32_t *total_us;
};

/** Runs on @p loop until all requests have ended. The result is never freed. */
const struct load_result *load_run(uv_loop_t *loop, const struct load_options *options);

/** Sorts the values and returns the one at @p permille, e.g. 950 for the 95th percentile. */
uint32_t load_percentile(uint32_t *values, uint64_t count, uint32_t permille);

#endif
