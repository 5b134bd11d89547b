/**
 * @file rater.h
 * Interface to the rater, the platform's service that scores the quality of a model's answer. An
 * adapter implements struct dw_rater_ops (see rater_http.h).
 */
#ifndef WHARF_PORT_RATER_H
#define WHARF_PORT_RATER_H

#include <stdint.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RATER_MAX_SCORE_PERMILLE 1000

struct dw_rater;

/** The answer to rate and its context. The strings need to be valid during the call only. */
struct dw_rater_request {
	const char *organisation;
	const char *model;
	const char *version;
	const char *prompt;
	const char *answer;
	uint64_t deadline_us;
};

struct dw_rater_result {
	enum dw_status status; /**< DW_OK, DW_UNAVAILABLE, DW_TIMEOUT or DW_UPSTREAM_FAILED */
	uint32_t score_permille;
};

typedef void (*dw_rater_done)(const struct dw_rater_result *result, void *data);

/** Operations that an adapter implements. */
struct dw_rater_ops {
	void (*rate)(struct dw_rater *rater, const struct dw_rater_request *request,
		     dw_rater_done done, void *data);
};

/** Base structure; each adapter embeds it as the first member of its own. */
struct dw_rater {
	const struct dw_rater_ops *ops;
	uint64_t calls; /**< number of ratings requested */
};

/** Requests a rating. @p done is called exactly once, from a later event loop iteration. */
static inline void dw_rater_rate(struct dw_rater *rater, const struct dw_rater_request *request,
				 dw_rater_done done, void *data)
{
	rater->calls++;
	rater->ops->rate(rater, request, done, data);
}

#ifdef __cplusplus
}
#endif

#endif
