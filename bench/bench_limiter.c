/**
 * @file bench_limiter.c
 * Costs of load shares: one JSON object a line.
 *
 * Argument: members, upstreams, slots an upstream (default 80 12000 32).
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "dragonflywharf/limiter.h"
#include "net/limiter_codec.h"

#define ROUNDS 2000000

static struct dw_roster roster;

static void fill_roster(uint32_t first, uint32_t count)
{
	roster.epoch++;
	roster.member_count = count;
	for (uint32_t i = 0; i < count; i++) {
		struct dw_roster_member *member = &roster.members[i];

		member->key = (struct dw_member_key){ first + i, 1 };
		snprintf(member->name, sizeof(member->name), "instance-%u", first + i);
	}
}

static void print(const char *name, double value, const char *unit)
{
	printf("{\"bench\":\"share\",\"figure\":\"%s\",\"value\":%.3f,\"unit\":\"%s\"}\n", name,
	       value, unit);
}

/** Adopts the present roster and throws the announcements away, after weighing them. */
static void adopt(struct dw_limiter *share, const char *name)
{
	uint64_t start_us = dw_clock_now_us();
	struct dw_limiter_message message;
	struct dw_member_key to;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t messages = 0;
	char text[64];

	if (dw_limiter_set_roster(share, &roster, start_us) != DW_OK)
		exit(EXIT_FAILURE);
	snprintf(text, sizeof(text), "%s_adopt", name);
	print(text, (double)(dw_clock_now_us() - start_us) / 1000, "ms");
	start_us = dw_clock_now_us();
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	while (dw_limiter_next_message(share, &to, &message)) {
		dw_limiter_message_pack(&packer, &message);
		dw_limiter_message_clear(&message);
		messages++;
	}
	snprintf(text, sizeof(text), "%s_announce", name);
	print(text, (double)(dw_clock_now_us() - start_us) / 1000, "ms");
	snprintf(text, sizeof(text), "%s_announce_messages", name);
	print(text, messages, "messages");
	snprintf(text, sizeof(text), "%s_announce_bytes", name);
	print(text, (double)buffer.size, "bytes");
	msgpack_sbuffer_destroy(&buffer);
}

static void declare(struct dw_limiter *share, uint32_t first, uint32_t count)
{
	struct dw_limiter_message message = { .kind = DW_LIMITER_DECLARE,
					      .epoch = roster.epoch,
					      .digest = dw_roster_digest(&roster) };

	message.declare.complete = true;
	for (uint32_t i = 1; i < count; i++) {
		message.declare.seq = roster.epoch;
		(void)dw_limiter_receive(share, (struct dw_member_key){ first + i, 1 }, &message,
					 0);
	}
}

static void bench_permits(struct dw_limiter *share, uint32_t upstreams)
{
	uint64_t start_us = dw_clock_now_us();
	struct dw_permit permit;
	uint64_t given = 0;

	for (uint64_t i = 0; i < ROUNDS; i++) {
		if (dw_limiter_acquire(share, 1 + i * 7919 % upstreams, start_us, &permit) != DW_OK)
			continue;
		given++;
		(void)dw_limiter_release(share, &permit, start_us);
	}
	print("acquire_release", (double)(dw_clock_now_us() - start_us) * 1000 / ROUNDS, "ns");
	print("acquire_given", (double)given * 1000 / ROUNDS, "permille");
}

/** The three messages of a loan, with numbers of a year of use. */
static void weigh_loan(void)
{
	struct dw_limiter_message message = {
		.epoch = 55000,
		.digest = UINT64_MAX,
		.loan = { .upstream_id = UINT64_MAX, .hold_seq = UINT64_C(1) << 31, .slot = 31 }
	};
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	message.kind = DW_LIMITER_BORROW;
	dw_limiter_message_pack(&packer, &message);
	message.kind = DW_LIMITER_GRANT;
	dw_limiter_message_pack(&packer, &message);
	message.kind = DW_LIMITER_RETURN;
	dw_limiter_message_pack(&packer, &message);
	print("loan", (double)buffer.size, "bytes");
	msgpack_sbuffer_destroy(&buffer);
}

int main(int argc, char **argv)
{
	uint32_t members = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 80;
	uint32_t upstreams = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 12000;
	uint32_t slots = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 32;
	struct dw_limiter *share = dw_limiter_new((struct dw_member_key){ 1, 1 });
	uint64_t start_us;

	if (!share || upstreams == 0 || members < 2 || members + 1 > DW_ROSTER_MEMBERS_MAX)
		return EXIT_FAILURE;
	print("members", members, "members");
	print("upstreams", upstreams, "upstreams");
	print("slots", slots, "slots");
	for (uint64_t id = 1; id <= upstreams; id++) {
		(void)dw_limiter_set_upstream(share, id, slots, slots);
		(void)dw_limiter_set_cold(share, id, false);
	}
	fill_roster(1, members);
	adopt(share, "first");
	start_us = dw_clock_now_us();
	declare(share, 1, members);
	print("settle", (double)(dw_clock_now_us() - start_us) / 1000, "ms");
	fill_roster(1, members + 1);
	adopt(share, "join");
	declare(share, 1, members + 1);
	fill_roster(1, members);
	adopt(share, "leave");
	declare(share, 1, members);
	bench_permits(share, upstreams);
	weigh_loan();
	print("state", (double)dw_limiter_state_bytes(share), "bytes");
	print("state_an_upstream", (double)dw_limiter_state_bytes(share) / upstreams, "bytes");
	dw_limiter_free(share);
	return EXIT_SUCCESS;
}
