#include "net/quarantine_codec.h"

#include "core/msgpack_check.h"

#define PIECE_INTEGERS 5
#define INTEGER_MAX_BYTES 9
#define MESSAGE_MAX_BYTES                                                                          \
	(DW_QUARANTINE_MESSAGE_PIECES * PIECE_INTEGERS * INTEGER_MAX_BYTES + INTEGER_MAX_BYTES)

enum dw_status dw_quarantine_message_encode(const struct dw_quarantine_evidence *pieces,
					    size_t count, msgpack_sbuffer *buffer)
{
	msgpack_packer packer;
	int failed;

	if (count > DW_QUARANTINE_MESSAGE_PIECES)
		return dw_fail(DW_TOO_LARGE, "crash evidence: %zu pieces", count);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, count * PIECE_INTEGERS);
	for (size_t i = 0; i < count; i++) {
		failed |= msgpack_pack_uint64(&packer, pieces[i].fingerprint.low);
		failed |= msgpack_pack_uint64(&packer, pieces[i].fingerprint.high);
		failed |= msgpack_pack_uint64(&packer, pieces[i].upstream_id);
		failed |= msgpack_pack_uint64(&packer, pieces[i].upstream_incarnation);
		failed |= msgpack_pack_uint64(&packer, pieces[i].remaining_us);
	}
	if (failed)
		return dw_fail(DW_NO_MEMORY, "crash evidence: no memory");
	return DW_OK;
}

static enum dw_status read_pieces(const msgpack_object *value,
				  struct dw_quarantine_evidence *pieces, size_t *count)
{
	const msgpack_object *integers = value->via.array.ptr;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size % PIECE_INTEGERS != 0 ||
	    value->via.array.size > DW_QUARANTINE_MESSAGE_PIECES * PIECE_INTEGERS)
		return dw_fail(DW_INVALID_ARGUMENT, "crash evidence: malformed");
	for (uint32_t i = 0; i < value->via.array.size; i++) {
		if (integers[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return dw_fail(DW_INVALID_ARGUMENT, "crash evidence: malformed");
	}
	*count = value->via.array.size / PIECE_INTEGERS;
	for (size_t i = 0; i < *count; i++, integers += PIECE_INTEGERS) {
		pieces[i].fingerprint.low = integers[0].via.u64;
		pieces[i].fingerprint.high = integers[1].via.u64;
		pieces[i].upstream_id = integers[2].via.u64;
		pieces[i].upstream_incarnation = integers[3].via.u64;
		pieces[i].remaining_us = integers[4].via.u64;
	}
	return DW_OK;
}

enum dw_status
dw_quarantine_message_decode(const uint8_t *bytes, size_t len,
			     struct dw_quarantine_evidence pieces[DW_QUARANTINE_MESSAGE_PIECES],
			     size_t *count)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	*count = 0;
	status = dw_msgpack_unpack(bytes, len, MESSAGE_MAX_BYTES, "crash evidence", &unpacked);
	if (status != DW_OK)
		return status;
	status = read_pieces(&unpacked.data, pieces, count);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
