#include "net/msgpack_read.h"

#include <string.h>

struct dw_msgpack_reader dw_msgpack_open(const msgpack_object *object, uint32_t max)
{
	struct dw_msgpack_reader reader = { .is_bad = true };

	if (!object || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > max)
		return reader;
	reader.elements = object->via.array.ptr;
	reader.count = object->via.array.size;
	reader.is_bad = false;
	return reader;
}

uint32_t dw_msgpack_rest(const struct dw_msgpack_reader *reader)
{
	return reader->count - reader->at;
}

const msgpack_object *dw_msgpack_next(struct dw_msgpack_reader *reader)
{
	if (reader->is_bad || reader->at >= reader->count) {
		reader->is_bad = true;
		return NULL;
	}
	return &reader->elements[reader->at++];
}

uint64_t dw_msgpack_uint(struct dw_msgpack_reader *reader, uint64_t max)
{
	const msgpack_object *object = dw_msgpack_next(reader);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= max)
		return object->via.u64;
	reader->is_bad = true;
	return 0;
}

bool dw_msgpack_bool(struct dw_msgpack_reader *reader)
{
	const msgpack_object *object = dw_msgpack_next(reader);

	if (object && object->type == MSGPACK_OBJECT_BOOLEAN)
		return object->via.boolean;
	reader->is_bad = true;
	return false;
}

void dw_msgpack_text(struct dw_msgpack_reader *reader, char *out, size_t out_bytes)
{
	const msgpack_object *object = dw_msgpack_next(reader);
	size_t len;

	memset(out, 0, out_bytes);
	if (!object || object->type != MSGPACK_OBJECT_STR || object->via.str.size >= out_bytes ||
	    memchr(object->via.str.ptr, '\0', object->via.str.size)) {
		reader->is_bad = true;
		return;
	}
	len = object->via.str.size;
	memcpy(out, object->via.str.ptr, len);
}

const uint8_t *dw_msgpack_bytes(struct dw_msgpack_reader *reader, size_t max, size_t *len)
{
	const msgpack_object *object = dw_msgpack_next(reader);

	*len = 0;
	if (!object || object->type != MSGPACK_OBJECT_BIN || object->via.bin.size > max) {
		reader->is_bad = true;
		return NULL;
	}
	*len = object->via.bin.size;
	return (const uint8_t *)object->via.bin.ptr;
}

bool dw_msgpack_finish(const struct dw_msgpack_reader *reader)
{
	return !reader->is_bad && reader->at == reader->count;
}

enum dw_status dw_msgpack_unpack(msgpack_unpacked *unpacked, const void *bytes, size_t len,
				 size_t max_bytes)
{
	size_t offset = 0;

	msgpack_unpacked_init(unpacked);
	if (len > max_bytes)
		return dw_fail(DW_TOO_LARGE, "message over %zu bytes", max_bytes);
	if (msgpack_unpack_next(unpacked, bytes, len, &offset) != MSGPACK_UNPACK_SUCCESS ||
	    offset != len)
		return dw_fail(DW_INVALID_ARGUMENT, "message is not one msgpack object");
	return DW_OK;
}

void dw_msgpack_put_text(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}
