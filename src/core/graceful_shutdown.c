#include <dragonflywharf/graceful_shutdown.h>

/* How long all requests are accepted after the start of the shutdown. */
#define ACCEPT_ALL_US UINT64_C(2600000)
/* Most repeatable requests take far less than this, whatever their timeout is. */
#define REPEATABLE_MAX_US UINT64_C(1500000)

bool dw_graceful_shutdown_accepts(const struct dw_graceful_shutdown *state, enum dw_route_kind kind,
				  uint64_t deadline_us, uint64_t now_us)
{
	if (state->started_at_us == 0 || now_us < state->started_at_us + ACCEPT_ALL_US)
		return true;
	if (deadline_us <= state->end_at_us)
		return true;
	return kind == DW_ROUTE_SAFE && now_us + REPEATABLE_MAX_US < state->end_at_us;
}

uint64_t dw_graceful_shutdown_deadline_us(const struct dw_graceful_shutdown *state,
					  uint64_t deadline_us)
{
	if (state->started_at_us == 0 || deadline_us <= state->end_at_us)
		return deadline_us;
	return state->end_at_us;
}
