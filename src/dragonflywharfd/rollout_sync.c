#include "dragonflywharfd/rollout_sync.h"

#include <xxhash.h>

#include "dragonflywharfd/peer_bus.h"
#include "net/rollout_codec.h"

/** How many members tell a new one; the others leave it to them. */
#define TELLERS 4U

static void send_message(struct daemon *daemon, uint64_t instance_id,
			 const struct dw_rollout_message *message)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	dw_rollout_encode(message, &buffer.packer);
	peer_bus_send(daemon, instance_id, PEER_ROLLOUT, &buffer);
	peer_message_buffer_clear(&buffer);
}

static uint64_t rank_of(uint64_t instance_id, const struct dw_member *newcomer)
{
	return XXH64(&instance_id, sizeof(instance_id),
		     newcomer->key.instance_id ^ newcomer->key.incarnation);
}

/* All members with the same view agree on the few that tell the new one. */
static bool is_teller(struct daemon *daemon, const struct dw_member *newcomer)
{
	uint64_t own = rank_of(daemon->key.instance_id, newcomer);
	uint32_t higher = 0;

	for (size_t i = 0; i < dw_membership_count(daemon->membership); i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);

		if (member->state == DW_MEMBER_ALIVE &&
		    member->key.instance_id != newcomer->key.instance_id &&
		    rank_of(member->key.instance_id, newcomer) > own)
			higher++;
	}
	return higher < TELLERS;
}

void rollout_sync_member_new(struct daemon *daemon, const struct dw_member *member)
{
	static struct dw_rollout_message message;
	uint64_t cursor = 0;

	if (dw_member_key_equal(member->key, daemon->key) || !is_teller(daemon, member))
		return;
	while (dw_rollout_collect_all(daemon->rollout, &cursor, &message))
		send_message(daemon, member->key.instance_id, &message);
}
