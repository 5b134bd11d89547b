/**
 * @file news_schedule.h
 * When a piece of news is sent to other instances: at once, and some times again, since messages are
 * lost. Each of the two directions (spread.h) has its own sends.
 */
#ifndef DRAGONFLYWHARF_NEWS_SCHEDULE_H
#define DRAGONFLYWHARF_NEWS_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include <dragonflywharf/spread.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Within the failure domain, and to the other ones. */
#define DW_NEWS_DIRECTIONS 2

/** How often and when a kind of news is sent. */
struct dw_news_pace {
	uint8_t sends;
	const uint32_t *pauses; /**< rounds after each send */
};

/** Zero-initialised: nothing to send. */
struct dw_news_schedule {
	uint8_t sends_left[DW_NEWS_DIRECTIONS];
	uint32_t next_round[DW_NEWS_DIRECTIONS];
};

/** Starts the sends to @p scope; those of other directions end. */
void dw_news_schedule_start(struct dw_news_schedule *schedule, const struct dw_news_pace *pace,
			    enum dw_spread_scope scope);

/** Whether the news has to be sent to @p scope in this round; counts it as sent. */
bool dw_news_schedule_take(struct dw_news_schedule *schedule, const struct dw_news_pace *pace,
			   enum dw_spread_scope scope, uint32_t round);

/** Whether news whose sends are over have to be sent to @p scope once more, @p every_rounds after the
 * last time; counts them as sent. */
bool dw_news_schedule_repeat(struct dw_news_schedule *schedule, enum dw_spread_scope scope,
			     uint32_t round, uint32_t every_rounds);

#ifdef __cplusplus
}
#endif

#endif
