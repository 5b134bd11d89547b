/**
 * @file fuzz_limiter_message.c
 * Decodes the input as a limiter message and as a roster and passes the results to a dw_limiter.
 */
#include <stdlib.h>

#include "core/msgpack_check.h"
#include "net/limiter_codec.h"

#define NOW_US UINT64_C(1000000)
#define UPSTREAM_ID 1
#define LIMIT 8

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void receive(struct dw_limiter *limiter, const msgpack_object *object)
{
	static struct dw_roster roster;
	struct dw_limiter_message message;
	struct dw_member_key peer = { .instance_id = 2, .incarnation = 1 };
	struct dw_member_key to;

	if (dw_roster_unpack(object, &roster) == DW_OK)
		dw_limiter_set_roster(limiter, &roster, NOW_US);
	if (dw_limiter_message_unpack(object, &message) == DW_OK) {
		dw_limiter_receive(limiter, peer, &message, NOW_US);
		dw_limiter_message_clear(&message);
	}
	dw_limiter_tick(limiter, NOW_US);
	while (dw_limiter_next_message(limiter, &to, &message))
		dw_limiter_message_clear(&message);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct dw_member_key self = { .instance_id = 1, .incarnation = 1 };
	struct dw_limiter *limiter;
	msgpack_unpacked value;
	size_t used = 0;

	if (dw_msgpack_check(data, size) != DW_OK)
		return 0;
	limiter = dw_limiter_new(self);
	if (!limiter)
		abort();
	dw_limiter_set_upstream(limiter, UPSTREAM_ID, LIMIT, 1);
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, (const char *)data, size, &used) == MSGPACK_UNPACK_SUCCESS)
		receive(limiter, &value.data);
	msgpack_unpacked_destroy(&value);
	dw_limiter_free(limiter);
	return 0;
}
