#include "net/value_codec.h"

#include <stdbool.h>
#include <stdlib.h>

#include <zstd.h>

#define COMPRESSION_LEVEL 1
/* Bits of the distance that a value may refer back: from 1 KiB to 64 MiB. */
#define WINDOW_BITS_MIN 10
#define WINDOW_BITS_MAX 26

/* Makes room for @p len more bytes. */
static void reserve(struct bytes *out, size_t len)
{
	if (out->size >= out->len + len)
		return;
	out->size = out->len + len;
	out->data = realloc(out->data, out->size);
	if (!out->data)
		abort();
}

/* The window reaches from the end of the value to the start of its base. */
static int window_bits(size_t len)
{
	int bits = WINDOW_BITS_MIN;

	while (bits < WINDOW_BITS_MAX && (UINT64_C(1) << bits) < len)
		bits++;
	return bits;
}

static bool set_up(ZSTD_CCtx *context, struct value_bytes value, struct value_bytes base)
{
	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
	/* The checksum shows that the receiver's base is another one. */
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, window_bits(value.len + base.len));
	if (base.len == 0)
		return true;
	ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
	return !ZSTD_isError(ZSTD_CCtx_refPrefix(context, base.bytes, base.len));
}

enum dw_status value_pack(struct value_bytes value, struct value_bytes base, struct bytes *out)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	size_t bound = ZSTD_compressBound(value.len);
	size_t len;

	if (!context)
		return dw_fail(DW_NO_MEMORY, "no memory to compress %zu bytes", value.len);
	if (!set_up(context, value, base)) {
		ZSTD_freeCCtx(context);
		return dw_fail(DW_INTERNAL, "a base of %zu bytes was refused", base.len);
	}
	reserve(out, bound);
	len = ZSTD_compress2(context, out->data + out->len, bound, value.bytes, value.len);
	ZSTD_freeCCtx(context);
	if (ZSTD_isError(len))
		return dw_fail(DW_INTERNAL, "compressing %zu bytes: %s", value.len,
			       ZSTD_getErrorName(len));
	out->len += len;
	return DW_OK;
}

static enum dw_status decompress(ZSTD_DCtx *context, struct value_bytes packed, size_t len,
				 struct bytes *out)
{
	size_t written;

	reserve(out, len + 1);
	written = ZSTD_decompressDCtx(context, out->data + out->len, len, packed.bytes, packed.len);
	if (ZSTD_isError(written))
		return dw_fail(DW_INVALID_ARGUMENT, "packed value: %s", ZSTD_getErrorName(written));
	if (written != len)
		return dw_fail(DW_INVALID_ARGUMENT, "packed value: %zu bytes, %zu were announced",
			       written, len);
	out->len += len;
	out->data[out->len] = '\0';
	return DW_OK;
}

enum dw_status value_unpack(struct value_bytes packed, struct value_bytes base, size_t max_len,
			    struct bytes *out)
{
	unsigned long long len = ZSTD_getFrameContentSize(packed.bytes, packed.len);
	ZSTD_DCtx *context;
	enum dw_status status;

	if (len == ZSTD_CONTENTSIZE_UNKNOWN || len == ZSTD_CONTENTSIZE_ERROR)
		return dw_fail(DW_INVALID_ARGUMENT, "packed value: no valid header");
	if (len > max_len)
		return dw_fail(DW_TOO_LARGE, "packed value: %llu bytes, at most %zu", len, max_len);
	context = ZSTD_createDCtx();
	if (!context)
		return dw_fail(DW_NO_MEMORY, "no memory to decompress %llu bytes", len);
	ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_BITS_MAX);
	if (base.len > 0)
		ZSTD_DCtx_refPrefix(context, base.bytes, base.len);
	status = decompress(context, packed, (size_t)len, out);
	ZSTD_freeDCtx(context);
	return status;
}
