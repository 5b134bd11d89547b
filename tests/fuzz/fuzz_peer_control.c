#include "core/msgpack_check.h"
#include "net/member_codec.h"
#include "net/ruleset_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void receive_member_message(const msgpack_object *object)
{
	static struct dw_membership_options options = {
		.self = { .key = { 1, 1 },
			  .name = "a",
			  .ip = "10.0.0.1",
			  .port = 1,
			  .failure_domain = "d" },
	};
	static struct dw_member_message message;
	struct dw_membership *membership = dw_membership_new(&options, 1);

	if (dw_member_message_unpack(object, &message) == DW_OK)
		dw_membership_receive(membership, &message, 1);
	dw_membership_tick(membership, 2, 3);
	while (dw_membership_next_message(membership, &message))
		;
	dw_membership_free(membership);
}

static void apply_delta_and_snapshot(const msgpack_object *object)
{
	struct dw_ruleset *ruleset = dw_ruleset_new();
	struct dw_ruleset_result result;
	struct dw_ruleset_delta delta;

	if (dw_ruleset_delta_unpack(object, &delta) == DW_OK) {
		dw_ruleset_apply_delta(ruleset, delta.from_revision, delta.to_revision, delta.items,
				       delta.count, &result);
		dw_ruleset_apply_snapshot(ruleset, delta.to_revision, delta.items, delta.count,
					  &result);
		dw_ruleset_delta_clear(&delta);
	}
	dw_ruleset_free(ruleset);
}

/* Handles the input as a peer's membership message, as a ruleset delta and as a snapshot. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	msgpack_unpacked unpacked;

	if (dw_msgpack_check(bytes, len) != DW_OK)
		return 0;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)bytes, len, NULL) ==
	    MSGPACK_UNPACK_SUCCESS) {
		receive_member_message(&unpacked.data);
		apply_delta_and_snapshot(&unpacked.data);
	}
	msgpack_unpacked_destroy(&unpacked);
	return 0;
}
