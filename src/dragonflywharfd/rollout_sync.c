#include "dragonflywharfd/rollout_sync.h"

#include <xxhash.h>

#include "dragonflywharfd/peer_bus.h"
#include "net/rollout_codec.h"

/** Members that send the evidence to a new one. */
#define SENDERS_PER_NEW_MEMBER 4U

static void send_message(struct daemon *daemon, uint64_t instance_id,
			 const struct dw_rollout_message *message)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	dw_rollout_encode(message, &buffer.packer);
	peer_bus_send(daemon, instance_id, PEER_ROLLOUT, &buffer);
	peer_message_buffer_clear(&buffer);
}

static uint64_t sender_rank(uint64_t instance_id, const struct dw_member *new_member)
{
	return XXH64(&instance_id, sizeof(instance_id),
		     new_member->key.instance_id ^ new_member->key.incarnation);
}

/* Rendezvous hashing: all members with the same member list choose the same senders. */
static bool is_sender(struct daemon *daemon, const struct dw_member *new_member)
{
	uint64_t own = sender_rank(daemon->key.instance_id, new_member);
	uint32_t higher = 0;

	for (size_t i = 0; i < dw_membership_count(daemon->membership); i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);

		if (member->state == DW_MEMBER_ALIVE &&
		    member->key.instance_id != new_member->key.instance_id &&
		    sender_rank(member->key.instance_id, new_member) > own)
			higher++;
	}
	return higher < SENDERS_PER_NEW_MEMBER;
}

void rollout_sync_send_to_new_member(struct daemon *daemon, const struct dw_member *member)
{
	static struct dw_rollout_message message;
	uint64_t cursor = 0;

	if (dw_member_key_equal(member->key, daemon->key) || !is_sender(daemon, member))
		return;
	while (dw_rollout_collect_all(daemon->rollout, &cursor, &message))
		send_message(daemon, member->key.instance_id, &message);
}
