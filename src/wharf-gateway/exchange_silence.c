#include "wharf-gateway/exchange_silence.h"

#include <dragonflywharf/silence.h>

#include "base/clock.h"

/* How often an attempt that has passed its limit is checked. */
#define SILENCE_RECHECK_US (300 * DW_US_PER_MS)

void exchange_silence_restart(struct exchange *exchange)
{
	struct dw_silence_attempt attempt = {
		.route = exchange->route,
		.policy = &exchange->policy,
		.has_prompt = exchange->has_timed_prompt,
		.has_answer_started = exchange->answer_started_at_us > 0,
		.expected_us = exchange->expected_us,
	};
	uint64_t limit_us = dw_silence_limit_us(&attempt);

	exchange->last_progress_at_us = dw_clock_now_us();
	exchange->silence_deadline_us = limit_us > 0 ? exchange->last_progress_at_us + limit_us : 0;
}

/* The engine that would get the request now; NULL: none. The choice changes the state of the next attempt,
 * which isn't sent yet. */
static const struct dw_engine *find_other_engine(struct exchange *exchange, uint64_t now_us)
{
	const char *model = exchange->model;
	uint32_t model_index = exchange->model_index;
	bool is_load_test = exchange->is_load_test;
	struct dw_choice_request choice;
	struct dw_choice_selection chosen;
	enum dw_choice_result result;

	exchange_init_choice(exchange, &choice, now_us);
	result = exchange_choose_engine(exchange, &choice, &chosen);
	exchange->model = model;
	exchange->model_index = model_index;
	exchange->is_load_test = is_load_test;
	return result == DW_CHOICE_FOUND ? chosen.engine : NULL;
}

bool exchange_silence_should_wait(struct exchange *exchange, uint64_t now_us)
{
	struct dw_silence_state state = {
		.policy = &exchange->policy,
		.silent_since_us = exchange->last_progress_at_us,
		.has_answer_started = exchange->answer_started_at_us > 0,
	};

	if (!attempt_is_connected(exchange->attempt) || exchange->silence_deadline_us == 0 ||
	    now_us < exchange->silence_deadline_us)
		return false;
	state.retries_left = router_retries_left(exchange->router, exchange->service_name, now_us);
	state.is_reading_paused = attempt_is_paused(exchange->attempt);
	state.upstream_last_byte_at_us = attempt_engine(exchange->attempt)->last_byte_at_us;
	state.other = find_other_engine(exchange, now_us);
	if (!dw_silence_should_wait(&state, now_us))
		return false;
	exchange->silence_deadline_us = now_us + SILENCE_RECHECK_US;
	return true;
}
