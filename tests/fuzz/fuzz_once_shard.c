#include <stdlib.h>

#include "core/once_shard.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* A value that decodes must encode and decode again to the same number of records. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_once_shard decoded = { 0 };
	struct dw_once_shard decoded_again = { 0 };
	msgpack_sbuffer buffer;

	if (dw_once_shard_decode(&decoded, bytes, len) != DW_OK)
		return 0;
	msgpack_sbuffer_init(&buffer);
	if (dw_once_shard_encode(&decoded, &buffer) != DW_OK)
		abort();
	if (buffer.size <= DW_ONCE_SHARD_MAX_BYTES &&
	    dw_once_shard_decode(&decoded_again, (const uint8_t *)buffer.data, buffer.size) !=
		    DW_OK)
		abort();
	if (buffer.size <= DW_ONCE_SHARD_MAX_BYTES && decoded.count != decoded_again.count)
		abort();
	msgpack_sbuffer_destroy(&buffer);
	dw_once_shard_clear(&decoded);
	dw_once_shard_clear(&decoded_again);
	return 0;
}
