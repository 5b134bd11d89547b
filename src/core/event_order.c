#include <dragonflywharf/event_order.h>

#include <string.h>

enum dw_event_verdict dw_event_order_check(struct dw_event_order *order, uint64_t id)
{
	if (order->has_last && id <= order->last_id)
		return DW_EVENT_REPEATED;
	if (order->has_last && id != order->last_id + 1)
		return DW_EVENT_GAP;
	order->has_last = true;
	order->last_id = id;
	return DW_EVENT_PASS;
}

static bool read_number(const char *at, const char *end, uint64_t *id)
{
	uint64_t number = 0;

	while (at < end && *at == ' ')
		at++;
	if (at == end || *at < '0' || *at > '9')
		return false;
	for (; at < end && *at >= '0' && *at <= '9'; at++)
		number = number * 10 + (uint64_t)(*at - '0');
	*id = number;
	return true;
}

bool dw_event_parse_id(const char *raw, size_t len, uint64_t *id)
{
	const char *end = raw + len;

	for (const char *line = raw; line < end;) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));

		if (!stop)
			stop = end;
		if (stop - line > 3 && memcmp(line, "id:", 3) == 0)
			return read_number(line + 3, stop, id);
		line = stop + 1;
	}
	return false;
}
