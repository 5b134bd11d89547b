#include <dragonflywharf/graceful_shutdown.h>

/* For so long after the signal all requests are taken. */
#define NOTICE_US UINT64_C(2600000)
/* Plain answers take far less than this, whatever their time limit. */
#define PLAIN_ANSWER_US UINT64_C(1500000)

bool dw_graceful_shutdown_accepts(const struct dw_graceful_shutdown *stop, enum dw_route_kind kind,
				  uint64_t deadline_us, uint64_t now_us)
{
	if (stop->started_at_us == 0 || now_us < stop->started_at_us + NOTICE_US)
		return true;
	if (deadline_us <= stop->end_at_us)
		return true;
	return kind != DW_ROUTE_STREAM && now_us + PLAIN_ANSWER_US < stop->end_at_us;
}
