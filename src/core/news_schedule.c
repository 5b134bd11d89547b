#include <dragonflywharf/news_schedule.h>

static const enum dw_spread_scope directions[DW_NEWS_DIRECTIONS] = { DW_SPREAD_IN_DOMAIN,
								     DW_SPREAD_TO_DOMAINS };

void dw_news_schedule_start(struct dw_news_schedule *schedule, const struct dw_news_pace *pace,
			    enum dw_spread_scope scope)
{
	for (int i = 0; i < DW_NEWS_DIRECTIONS; i++) {
		schedule->sends_left[i] = scope & directions[i] ? pace->sends : 0;
		schedule->next_round[i] = 0;
	}
}

static bool take(struct dw_news_schedule *schedule, const struct dw_news_pace *pace, int direction,
		 uint32_t round)
{
	if (schedule->sends_left[direction] == 0 || round < schedule->next_round[direction])
		return false;
	schedule->next_round[direction] =
		round + pace->pauses[pace->sends - schedule->sends_left[direction]];
	schedule->sends_left[direction]--;
	return true;
}

bool dw_news_schedule_take(struct dw_news_schedule *schedule, const struct dw_news_pace *pace,
			   enum dw_spread_scope scope, uint32_t round)
{
	bool is_due = false;

	for (int i = 0; i < DW_NEWS_DIRECTIONS; i++) {
		if (scope & directions[i])
			is_due |= take(schedule, pace, i, round);
	}
	return is_due;
}

bool dw_news_schedule_repeat(struct dw_news_schedule *schedule, enum dw_spread_scope scope,
			     uint32_t round, uint32_t every_rounds)
{
	bool is_due = false;

	for (int i = 0; i < DW_NEWS_DIRECTIONS; i++) {
		if (!(scope & directions[i]) || schedule->sends_left[i] > 0 ||
		    round < schedule->next_round[i])
			continue;
		schedule->next_round[i] = round + every_rounds;
		is_due = true;
	}
	return is_due;
}
