/**
 * @file fuzz_rollout_codec.c
 * Decodes the input as roll-out evidence from a peer and merges every message that is accepted.
 */
#include <stdlib.h>

#include "core/msgpack_check.h"
#include "net/rollout_codec.h"

#define VERSION_ID 1

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct dw_rollout_policy policy = dw_rollout_policy_default();
	struct dw_rollout *rollout = dw_rollout_new(&policy, (struct dw_member_key){ 1, 1 });
	struct dw_rollout_message message;
	msgpack_unpacked value;
	uint64_t held_versions[4];
	size_t used = 0;

	/* msgpack-c allocates memory for whatever element count an array header claims, so the input
	 * must be checked first. */
	if (dw_msgpack_check(data, size) != DW_OK) {
		dw_rollout_free(rollout);
		return 0;
	}
	if (!rollout)
		abort();
	dw_rollout_set_version(rollout, VERSION_ID, 1, 0);
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, (const char *)data, size, &used) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    !dw_rollout_decode(&value.data, &message))
		dw_rollout_merge(rollout, &message, held_versions, 4);
	msgpack_unpacked_destroy(&value);
	dw_rollout_free(rollout);
	return 0;
}
