#include "net/integer_message.h"

#include "core/msgpack_check.h"

enum dw_status integer_message_encode(const struct integer_message_kind *kind,
				      const uint64_t *integers, size_t rows,
				      msgpack_sbuffer *buffer)
{
	size_t count = rows * kind->row_integers;
	msgpack_packer packer;
	int failed;

	if (rows > kind->rows_max)
		return dw_fail(DW_TOO_LARGE, "%s: %zu entries exceed the limit", kind->name, rows);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		failed |= msgpack_pack_uint64(&packer, integers[i]);
	if (failed)
		return dw_fail(DW_NO_MEMORY, "%s: out of memory", kind->name);
	return DW_OK;
}

static enum dw_status read_integers(const struct integer_message_kind *kind,
				    const msgpack_object *value, uint64_t *integers, size_t *rows)
{
	const msgpack_object *elements = value->via.array.ptr;
	uint32_t count = value->via.array.size;

	if (value->type != MSGPACK_OBJECT_ARRAY || count % kind->row_integers != 0 ||
	    count / kind->row_integers > kind->rows_max)
		return dw_fail(DW_INVALID_ARGUMENT, "%s: wrong type or array size", kind->name);
	for (uint32_t i = 0; i < count; i++) {
		if (elements[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "%s: element %u is not an unsigned integer", kind->name, i);
		integers[i] = elements[i].via.u64;
	}
	*rows = count / kind->row_integers;
	return DW_OK;
}

enum dw_status integer_message_decode(const struct integer_message_kind *kind, const uint8_t *bytes,
				      size_t len, uint64_t integers[INTEGER_MESSAGE_MAX],
				      size_t *rows)
{
	size_t max_len =
		((size_t)kind->rows_max * kind->row_integers + 1) * INTEGER_MESSAGE_INTEGER_BYTES;
	msgpack_unpacked unpacked;
	enum dw_status status;

	*rows = 0;
	status = dw_msgpack_unpack(bytes, len, max_len, kind->name, &unpacked);
	if (status != DW_OK)
		return status;
	status = read_integers(kind, &unpacked.data, integers, rows);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
