#include "net/leaving_codec.h"

#include "net/integer_message.h"

enum { ID, INCARNATION, ROW_INTEGERS };

static const struct integer_message_kind kind = { "leaving upstreams", ROW_INTEGERS,
						  LEAVING_MESSAGE_ENTRIES };

_Static_assert(LEAVING_MESSAGE_ENTRIES *ROW_INTEGERS <= INTEGER_MESSAGE_MAX, "a message fits");

enum dw_status leaving_message_encode(const struct dw_crash_upstream *upstreams, size_t count,
				      msgpack_sbuffer *buffer)
{
	uint64_t integers[LEAVING_MESSAGE_ENTRIES * ROW_INTEGERS];

	for (size_t i = 0; i < count && i < LEAVING_MESSAGE_ENTRIES; i++) {
		integers[i * ROW_INTEGERS + ID] = upstreams[i].id;
		integers[i * ROW_INTEGERS + INCARNATION] = upstreams[i].incarnation;
	}
	return integer_message_encode(&kind, integers, count, buffer);
}

enum dw_status leaving_message_decode(const uint8_t *bytes, size_t len,
				      struct dw_crash_upstream upstreams[LEAVING_MESSAGE_ENTRIES],
				      size_t *count)
{
	uint64_t integers[INTEGER_MESSAGE_MAX];
	enum dw_status status = integer_message_decode(&kind, bytes, len, integers, count);

	for (size_t i = 0; i < *count; i++)
		upstreams[i] =
			(struct dw_crash_upstream){ integers[i * ROW_INTEGERS + ID],
						    integers[i * ROW_INTEGERS + INCARNATION] };
	return status;
}
