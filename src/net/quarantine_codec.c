#include "net/quarantine_codec.h"

#include "core/msgpack_check.h"

#define ENTRY_INTEGERS 5
#define INTEGER_MAX_BYTES 9
#define MESSAGE_MAX_BYTES                                                                          \
	(DW_QUARANTINE_MESSAGE_ENTRIES * ENTRY_INTEGERS * INTEGER_MAX_BYTES + INTEGER_MAX_BYTES)

enum dw_status dw_quarantine_message_encode(const struct dw_quarantine_evidence *evidence,
					    size_t count, msgpack_sbuffer *buffer)
{
	msgpack_packer packer;
	int failed;

	if (count > DW_QUARANTINE_MESSAGE_ENTRIES)
		return dw_fail(DW_TOO_LARGE, "crash evidence: %zu entries exceed the limit", count);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, count * ENTRY_INTEGERS);
	for (size_t i = 0; i < count; i++) {
		failed |= msgpack_pack_uint64(&packer, evidence[i].fingerprint.low);
		failed |= msgpack_pack_uint64(&packer, evidence[i].fingerprint.high);
		failed |= msgpack_pack_uint64(&packer, evidence[i].upstream_id);
		failed |= msgpack_pack_uint64(&packer, evidence[i].upstream_incarnation);
		failed |= msgpack_pack_uint64(&packer, evidence[i].remaining_us);
	}
	if (failed)
		return dw_fail(DW_NO_MEMORY, "crash evidence: out of memory");
	return DW_OK;
}

static enum dw_status read_evidence(const msgpack_object *value,
				    struct dw_quarantine_evidence *evidence, size_t *count)
{
	const msgpack_object *integers = value->via.array.ptr;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size % ENTRY_INTEGERS != 0 ||
	    value->via.array.size > DW_QUARANTINE_MESSAGE_ENTRIES * ENTRY_INTEGERS)
		return dw_fail(DW_INVALID_ARGUMENT, "crash evidence: wrong type or array size");
	for (uint32_t i = 0; i < value->via.array.size; i++) {
		if (integers[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return dw_fail(
				DW_INVALID_ARGUMENT,
				"crash evidence: an array element is not an unsigned integer");
	}
	*count = value->via.array.size / ENTRY_INTEGERS;
	for (size_t i = 0; i < *count; i++, integers += ENTRY_INTEGERS) {
		evidence[i].fingerprint.low = integers[0].via.u64;
		evidence[i].fingerprint.high = integers[1].via.u64;
		evidence[i].upstream_id = integers[2].via.u64;
		evidence[i].upstream_incarnation = integers[3].via.u64;
		evidence[i].remaining_us = integers[4].via.u64;
		evidence[i].is_abandoned = false;
	}
	return DW_OK;
}

enum dw_status
dw_quarantine_message_decode(const uint8_t *bytes, size_t len,
			     struct dw_quarantine_evidence evidence[DW_QUARANTINE_MESSAGE_ENTRIES],
			     size_t *count)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	*count = 0;
	status = dw_msgpack_unpack(bytes, len, MESSAGE_MAX_BYTES, "crash evidence", &unpacked);
	if (status != DW_OK)
		return status;
	status = read_evidence(&unpacked.data, evidence, count);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
