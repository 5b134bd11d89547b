#include "core/msgpack_check.h"

#define MAX_DEPTH 8

/* What follows a type byte, according to the msgpack specification. */
enum data_kind { KIND_INVALID, KIND_FIXED, KIND_BYTES, KIND_ARRAY, KIND_MAP };

struct type_format {
	uint8_t kind;
	/* KIND_FIXED: number of bytes that follow; else: size of the big-endian count */
	uint8_t size;
	uint8_t extra; /* KIND_BYTES: additional bytes that the count doesn't include */
};

#define FIRST_TYPE 0xc0

static const struct type_format FORMATS[] = {
	[0xc0 - FIRST_TYPE] = { KIND_FIXED, 0, 0 }, /* nil */
	[0xc1 - FIRST_TYPE] = { KIND_INVALID, 0, 0 },
	[0xc2 - FIRST_TYPE] = { KIND_FIXED, 0, 0 }, /* false */
	[0xc3 - FIRST_TYPE] = { KIND_FIXED, 0, 0 }, /* true */
	[0xc4 - FIRST_TYPE] = { KIND_BYTES, 1, 0 }, /* bin */
	[0xc5 - FIRST_TYPE] = { KIND_BYTES, 2, 0 },
	[0xc6 - FIRST_TYPE] = { KIND_BYTES, 4, 0 },
	[0xc7 - FIRST_TYPE] = { KIND_BYTES, 1, 1 }, /* ext */
	[0xc8 - FIRST_TYPE] = { KIND_BYTES, 2, 1 },
	[0xc9 - FIRST_TYPE] = { KIND_BYTES, 4, 1 },
	[0xca - FIRST_TYPE] = { KIND_FIXED, 4, 0 }, /* float */
	[0xcb - FIRST_TYPE] = { KIND_FIXED, 8, 0 },
	[0xcc - FIRST_TYPE] = { KIND_FIXED, 1, 0 }, /* unsigned */
	[0xcd - FIRST_TYPE] = { KIND_FIXED, 2, 0 },
	[0xce - FIRST_TYPE] = { KIND_FIXED, 4, 0 },
	[0xcf - FIRST_TYPE] = { KIND_FIXED, 8, 0 },
	[0xd0 - FIRST_TYPE] = { KIND_FIXED, 1, 0 }, /* signed */
	[0xd1 - FIRST_TYPE] = { KIND_FIXED, 2, 0 },
	[0xd2 - FIRST_TYPE] = { KIND_FIXED, 4, 0 },
	[0xd3 - FIRST_TYPE] = { KIND_FIXED, 8, 0 },
	[0xd4 - FIRST_TYPE] = { KIND_FIXED, 2, 0 }, /* fixext */
	[0xd5 - FIRST_TYPE] = { KIND_FIXED, 3, 0 },
	[0xd6 - FIRST_TYPE] = { KIND_FIXED, 5, 0 },
	[0xd7 - FIRST_TYPE] = { KIND_FIXED, 9, 0 },
	[0xd8 - FIRST_TYPE] = { KIND_FIXED, 17, 0 },
	[0xd9 - FIRST_TYPE] = { KIND_BYTES, 1, 0 }, /* str */
	[0xda - FIRST_TYPE] = { KIND_BYTES, 2, 0 },
	[0xdb - FIRST_TYPE] = { KIND_BYTES, 4, 0 },
	[0xdc - FIRST_TYPE] = { KIND_ARRAY, 2, 0 },
	[0xdd - FIRST_TYPE] = { KIND_ARRAY, 4, 0 },
	[0xde - FIRST_TYPE] = { KIND_MAP, 2, 0 },
	[0xdf - FIRST_TYPE] = { KIND_MAP, 4, 0 },
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

/* Reads an object's type byte and its data; sets the number of nested objects that follow. */
static bool reader_header(struct reader *reader, uint64_t *elements)
{
	const struct type_format *format;
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
	format = &FORMATS[type - FIRST_TYPE];
	switch ((enum data_kind)format->kind) {
	case KIND_INVALID:
		return false;
	case KIND_FIXED:
		return reader_skip(reader, format->size);
	case KIND_BYTES:
		return reader_count(reader, format->size, &count) &&
		       reader_skip(reader, count + format->extra);
	case KIND_ARRAY:
		return reader_count(reader, format->size, elements);
	case KIND_MAP:
		if (!reader_count(reader, format->size, &count))
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
			return dw_fail(DW_INVALID_ARGUMENT,
				       "msgpack: truncated or malformed at byte %zu of %zu",
				       len - reader.left, len);
		if (elements == 0)
			continue;
		if (elements > reader.left || depth == MAX_DEPTH)
			return dw_fail(
				DW_INVALID_ARGUMENT,
				"msgpack: %llu elements, %zu bytes left, at level %d of at most %d",
				(unsigned long long)elements, reader.left, depth, MAX_DEPTH);
		left[++depth] = elements;
	}
	if (reader.left != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "msgpack: %zu trailing bytes", reader.left);
	return DW_OK;
}

enum dw_status dw_msgpack_unpack(const uint8_t *bytes, size_t len, size_t max_bytes,
				 const char *what, msgpack_unpacked *out)
{
	if (len > max_bytes)
		return dw_fail(DW_TOO_LARGE, "%s: %zu bytes exceed the maximum of %zu", what, len,
			       max_bytes);
	if (dw_msgpack_check(bytes, len) != DW_OK)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "%s: malformed, not one complete msgpack object", what);
	msgpack_unpacked_init(out);
	if (msgpack_unpack_next(out, (const char *)bytes, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		return DW_OK;
	msgpack_unpacked_destroy(out);
	return dw_fail(DW_INVALID_ARGUMENT, "%s: malformed, not one complete msgpack object", what);
}
