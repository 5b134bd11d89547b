#include "net/leaving_codec.h"

#include "core/msgpack_check.h"

#define ENTRY_INTEGERS 2
#define INTEGER_MAX_BYTES 9
#define MESSAGE_MAX_BYTES                                                                          \
	(LEAVING_MESSAGE_ENTRIES * ENTRY_INTEGERS * INTEGER_MAX_BYTES + INTEGER_MAX_BYTES)

enum dw_status leaving_message_encode(const struct dw_crash_upstream *upstreams, size_t count,
				      msgpack_sbuffer *buffer)
{
	msgpack_packer packer;
	int failed;

	if (count > LEAVING_MESSAGE_ENTRIES)
		return dw_fail(DW_TOO_LARGE, "leaving upstreams: %zu entries exceed the limit",
			       count);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, count * ENTRY_INTEGERS);
	for (size_t i = 0; i < count; i++) {
		failed |= msgpack_pack_uint64(&packer, upstreams[i].id);
		failed |= msgpack_pack_uint64(&packer, upstreams[i].incarnation);
	}
	if (failed)
		return dw_fail(DW_NO_MEMORY, "leaving upstreams: out of memory");
	return DW_OK;
}

static enum dw_status read_upstreams(const msgpack_object *value,
				     struct dw_crash_upstream *upstreams, size_t *count)
{
	const msgpack_object *integers = value->via.array.ptr;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size % ENTRY_INTEGERS != 0 ||
	    value->via.array.size > LEAVING_MESSAGE_ENTRIES * ENTRY_INTEGERS)
		return dw_fail(DW_INVALID_ARGUMENT, "leaving upstreams: wrong type or array size");
	for (uint32_t i = 0; i < value->via.array.size; i++) {
		if (integers[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "leaving upstreams: element %u is not an unsigned integer",
				       i);
	}
	*count = value->via.array.size / ENTRY_INTEGERS;
	for (size_t i = 0; i < *count; i++, integers += ENTRY_INTEGERS)
		upstreams[i] =
			(struct dw_crash_upstream){ integers[0].via.u64, integers[1].via.u64 };
	return DW_OK;
}

enum dw_status leaving_message_decode(const uint8_t *bytes, size_t len,
				      struct dw_crash_upstream upstreams[LEAVING_MESSAGE_ENTRIES],
				      size_t *count)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	*count = 0;
	status = dw_msgpack_unpack(bytes, len, MESSAGE_MAX_BYTES, "leaving upstreams", &unpacked);
	if (status != DW_OK)
		return status;
	status = read_upstreams(&unpacked.data, upstreams, count);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
