/**
 * @file rater.h
 * Port to the platform's service that rates answers. An adapter fills a struct dw_rater_ops (see
 * rater_http.h).
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

/** What is to be rated; the texts are read within the call. */
struct dw_rater_answer {
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

/** What an adapter supplies. */
struct dw_rater_ops {
	void (*rate)(struct dw_rater *rater, const struct dw_rater_answer *answer,
		     dw_rater_done done, void *data);
};

/** Head of each adapter's own structure. */
struct dw_rater {
	const struct dw_rater_ops *ops;
	uint64_t calls; /**< ratings asked for */
};

/** Asks for a rating; exactly one @p done follows, later from the loop. */
static inline void dw_rater_rate(struct dw_rater *rater, const struct dw_rater_answer *answer,
				 dw_rater_done done, void *data)
{
	rater->calls++;
	rater->ops->rate(rater, answer, done, data);
}

#ifdef __cplusplus
}
#endif

#endif
