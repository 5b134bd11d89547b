/**
 * @file fuzz_limiter_message.c
 * A peer's bytes as a share message or a roster, and what is taken in by a share.
 */
#include <stdlib.h>

#include "core/msgpack_check.h"
#include "net/limiter_codec.h"

#define NOW_US UINT64_C(1000000)
#define UPSTREAM_ID 1
#define LIMIT 8

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void receive(struct dw_limiter *share, const msgpack_object *object)
{
	static struct dw_roster roster;
	struct dw_limiter_message message;
	struct dw_member_key peer = { .instance_id = 2, .incarnation = 1 };
	struct dw_member_key to;

	if (dw_roster_unpack(object, &roster) == DW_OK)
		dw_limiter_set_roster(share, &roster, NOW_US);
	if (dw_limiter_message_unpack(object, &message) == DW_OK) {
		dw_limiter_receive(share, peer, &message, NOW_US);
		dw_limiter_message_clear(&message);
	}
	dw_limiter_tick(share, NOW_US);
	while (dw_limiter_next_message(share, &to, &message))
		dw_limiter_message_clear(&message);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct dw_member_key self = { .instance_id = 1, .incarnation = 1 };
	struct dw_limiter *share;
	msgpack_unpacked value;
	size_t used = 0;

	if (dw_msgpack_check(data, size) != DW_OK)
		return 0;
	share = dw_limiter_new(self);
	if (!share)
		abort();
	dw_limiter_set_upstream(share, UPSTREAM_ID, LIMIT, 1);
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, (const char *)data, size, &used) == MSGPACK_UNPACK_SUCCESS)
		receive(share, &value.data);
	msgpack_unpacked_destroy(&value);
	dw_limiter_free(share);
	return 0;
}
