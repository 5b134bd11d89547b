#include "core/msgpack_check.h"

#define MAX_DEPTH 8

/* How the bytes after a type byte are counted, by the msgpack specification. */
enum shape { SHAPE_INVALID, SHAPE_FIXED, SHAPE_BYTES, SHAPE_ARRAY, SHAPE_MAP };

struct type_row {
	uint8_t shape;
	uint8_t size; /* FIXED: bytes that follow; else: bytes of the big-endian count */
	uint8_t extra; /* BYTES: bytes beside the counted ones */
};

#define FIRST_ROW 0xc0

static const struct type_row TYPES[] = {
	[0xc0 - FIRST_ROW] = { SHAPE_FIXED, 0, 0 }, /* nil */
	[0xc1 - FIRST_ROW] = { SHAPE_INVALID, 0, 0 },
	[0xc2 - FIRST_ROW] = { SHAPE_FIXED, 0, 0 }, /* false */
	[0xc3 - FIRST_ROW] = { SHAPE_FIXED, 0, 0 }, /* true */
	[0xc4 - FIRST_ROW] = { SHAPE_BYTES, 1, 0 }, /* bin */
	[0xc5 - FIRST_ROW] = { SHAPE_BYTES, 2, 0 },
	[0xc6 - FIRST_ROW] = { SHAPE_BYTES, 4, 0 },
	[0xc7 - FIRST_ROW] = { SHAPE_BYTES, 1, 1 }, /* ext */
	[0xc8 - FIRST_ROW] = { SHAPE_BYTES, 2, 1 },
	[0xc9 - FIRST_ROW] = { SHAPE_BYTES, 4, 1 },
	[0xca - FIRST_ROW] = { SHAPE_FIXED, 4, 0 }, /* float */
	[0xcb - FIRST_ROW] = { SHAPE_FIXED, 8, 0 },
	[0xcc - FIRST_ROW] = { SHAPE_FIXED, 1, 0 }, /* unsigned */
	[0xcd - FIRST_ROW] = { SHAPE_FIXED, 2, 0 },
	[0xce - FIRST_ROW] = { SHAPE_FIXED, 4, 0 },
	[0xcf - FIRST_ROW] = { SHAPE_FIXED, 8, 0 },
	[0xd0 - FIRST_ROW] = { SHAPE_FIXED, 1, 0 }, /* signed */
	[0xd1 - FIRST_ROW] = { SHAPE_FIXED, 2, 0 },
	[0xd2 - FIRST_ROW] = { SHAPE_FIXED, 4, 0 },
	[0xd3 - FIRST_ROW] = { SHAPE_FIXED, 8, 0 },
	[0xd4 - FIRST_ROW] = { SHAPE_FIXED, 2, 0 }, /* fixext */
	[0xd5 - FIRST_ROW] = { SHAPE_FIXED, 3, 0 },
	[0xd6 - FIRST_ROW] = { SHAPE_FIXED, 5, 0 },
	[0xd7 - FIRST_ROW] = { SHAPE_FIXED, 9, 0 },
	[0xd8 - FIRST_ROW] = { SHAPE_FIXED, 17, 0 },
	[0xd9 - FIRST_ROW] = { SHAPE_BYTES, 1, 0 }, /* str */
	[0xda - FIRST_ROW] = { SHAPE_BYTES, 2, 0 },
	[0xdb - FIRST_ROW] = { SHAPE_BYTES, 4, 0 },
	[0xdc - FIRST_ROW] = { SHAPE_ARRAY, 2, 0 },
	[0xdd - FIRST_ROW] = { SHAPE_ARRAY, 4, 0 },
	[0xde - FIRST_ROW] = { SHAPE_MAP, 2, 0 },
	[0xdf - FIRST_ROW] = { SHAPE_MAP, 4, 0 },
};

struct reader {
	const uint8_t *bytes;
	size_t left;
};

static bool reader_skip(struct reader *reader, uint64_t len)
{
	if (len > reader->left)
		return false;
	reader->bytes += len;
	reader->left -= (size_t)len;
	return true;
}

static bool reader_count(struct reader *reader, uint8_t size, uint64_t *count)
{
	*count = 0;
	if (size > reader->left)
		return false;
	for (uint8_t i = 0; i < size; i++)
		*count = *count << 8 | reader->bytes[i];
	return reader_skip(reader, size);
}

/* Reads one type byte; sets how many elements must follow. */
static bool reader_header(struct reader *reader, uint64_t *elements)
{
	const struct type_row *row;
	uint64_t count;
	uint8_t type;

	*elements = 0;
	if (reader->left == 0)
		return false;
	type = reader->bytes[0];
	reader_skip(reader, 1);
	if (type <= 0x7f || type >= 0xe0)
		return true;
	if (type <= 0x8f) {
		*elements = (uint64_t)(type & 0x0f) * 2;
		return true;
	}
	if (type <= 0x9f) {
		*elements = type & 0x0f;
		return true;
	}
	if (type <= 0xbf)
		return reader_skip(reader, type & 0x1f);
	row = &TYPES[type - FIRST_ROW];
	switch ((enum shape)row->shape) {
	case SHAPE_INVALID:
		return false;
	case SHAPE_FIXED:
		return reader_skip(reader, row->size);
	case SHAPE_BYTES:
		return reader_count(reader, row->size, &count) &&
		       reader_skip(reader, count + row->extra);
	case SHAPE_ARRAY:
		return reader_count(reader, row->size, elements);
	case SHAPE_MAP:
		if (!reader_count(reader, row->size, &count))
			return false;
		*elements = count * 2;
		return true;
	}
	return false;
}

enum dw_status dw_msgpack_check(const uint8_t *bytes, size_t len)
{
	struct reader reader = { bytes, len };
	uint64_t left[MAX_DEPTH + 1] = { 1 };
	int depth = 0;

	while (depth >= 0) {
		uint64_t elements;

		if (left[depth] == 0) {
			depth--;
			continue;
		}
		left[depth]--;
		if (!reader_header(&reader, &elements))
			return dw_fail(DW_INVALID_ARGUMENT, "msgpack: cut short or malformed");
		if (elements == 0)
			continue;
		if (elements > reader.left || depth == MAX_DEPTH)
			return dw_fail(DW_INVALID_ARGUMENT, "msgpack: too many elements or levels");
		left[++depth] = elements;
	}
	if (reader.left != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "msgpack: %zu bytes too many", reader.left);
	return DW_OK;
}

enum dw_status dw_msgpack_unpack(const uint8_t *bytes, size_t len, size_t max_bytes,
				 const char *what, msgpack_unpacked *out)
{
	if (len > max_bytes)
		return dw_fail(DW_TOO_LARGE, "%s: %zu bytes", what, len);
	if (dw_msgpack_check(bytes, len) != DW_OK)
		return dw_fail(DW_INVALID_ARGUMENT, "%s: malformed", what);
	msgpack_unpacked_init(out);
	if (msgpack_unpack_next(out, (const char *)bytes, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		return DW_OK;
	msgpack_unpacked_destroy(out);
	return dw_fail(DW_INVALID_ARGUMENT, "%s: malformed", what);
}
