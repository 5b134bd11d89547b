#include <dragonflywharf/event_order.h>

#include <string.h>

enum dw_event_verdict dw_event_order_check(struct dw_event_order *order, uint64_t id)
{
	if (order->has_last && id <= order->last_id)
		return DW_EVENT_REPEATED;
	order->has_last = true;
	order->last_id = id;
	return DW_EVENT_PASS;
}

static bool read_number(const char *pos, const char *end, uint64_t *id)
{
	uint64_t number = 0;

	while (pos < end && *pos == ' ')
		pos++;
	if (pos == end || *pos < '0' || *pos > '9')
		return false;
	for (; pos < end && *pos >= '0' && *pos <= '9'; pos++) {
		uint64_t digit = (uint64_t)(*pos - '0');

		/* A number that is too large is no id, rather than another one. */
		if (number > (UINT64_MAX - digit) / 10)
			return false;
		number = number * 10 + digit;
	}
	*id = number;
	return true;
}

bool dw_event_parse_id(const char *raw, size_t len, uint64_t *id)
{
	const char *end = raw + len;

	for (const char *line = raw; line < end;) {
		const char *line_end = memchr(line, '\n', (size_t)(end - line));

		if (!line_end)
			line_end = end;
		if (line_end - line > 3 && memcmp(line, "id:", 3) == 0)
			return read_number(line + 3, line_end, id);
		line = line_end + 1;
	}
	return false;
}
