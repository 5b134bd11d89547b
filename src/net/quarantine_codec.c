#include "net/quarantine_codec.h"

#include "net/integer_message.h"

enum { LOW, HIGH, UPSTREAM, INCARNATION, REMAINING_US, ROW_INTEGERS };

static const struct integer_message_kind kind = { "crash evidence", ROW_INTEGERS,
						  DW_QUARANTINE_MESSAGE_ENTRIES };

_Static_assert(DW_QUARANTINE_MESSAGE_ENTRIES *ROW_INTEGERS <= INTEGER_MESSAGE_MAX,
	       "a message fits");

enum dw_status dw_quarantine_message_encode(const struct dw_quarantine_evidence *evidence,
					    size_t count, msgpack_sbuffer *buffer)
{
	uint64_t integers[DW_QUARANTINE_MESSAGE_ENTRIES * ROW_INTEGERS];

	for (size_t i = 0; i < count && i < DW_QUARANTINE_MESSAGE_ENTRIES; i++) {
		uint64_t *row = &integers[i * ROW_INTEGERS];

		row[LOW] = evidence[i].fingerprint.low;
		row[HIGH] = evidence[i].fingerprint.high;
		row[UPSTREAM] = evidence[i].upstream_id;
		row[INCARNATION] = evidence[i].upstream_incarnation;
		row[REMAINING_US] = evidence[i].remaining_us;
	}
	return integer_message_encode(&kind, integers, count, buffer);
}

enum dw_status
dw_quarantine_message_decode(const uint8_t *bytes, size_t len,
			     struct dw_quarantine_evidence evidence[DW_QUARANTINE_MESSAGE_ENTRIES],
			     size_t *count)
{
	uint64_t integers[INTEGER_MESSAGE_MAX];
	enum dw_status status = integer_message_decode(&kind, bytes, len, integers, count);

	for (size_t i = 0; i < *count; i++) {
		const uint64_t *row = &integers[i * ROW_INTEGERS];

		evidence[i] = (struct dw_quarantine_evidence){
			.fingerprint = { row[LOW], row[HIGH] },
			.upstream_id = row[UPSTREAM],
			.upstream_incarnation = row[INCARNATION],
			.remaining_us = row[REMAINING_US],
		};
	}
	return status;
}
