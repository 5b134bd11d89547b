#include <stdlib.h>

#include "core/once_shard.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* What decodes must encode and decode again to as many records. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_once_shard first = { 0 };
	struct dw_once_shard second = { 0 };
	msgpack_sbuffer buffer;

	if (dw_once_shard_decode(&first, bytes, len) != DW_OK)
		return 0;
	msgpack_sbuffer_init(&buffer);
	if (dw_once_shard_encode(&first, &buffer) != DW_OK)
		abort();
	if (buffer.size <= DW_ONCE_SHARD_MAX_BYTES &&
	    dw_once_shard_decode(&second, (const uint8_t *)buffer.data, buffer.size) != DW_OK)
		abort();
	if (buffer.size <= DW_ONCE_SHARD_MAX_BYTES && first.count != second.count)
		abort();
	msgpack_sbuffer_destroy(&buffer);
	dw_once_shard_clear(&first);
	dw_once_shard_clear(&second);
	return 0;
}
