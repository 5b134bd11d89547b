/** Rosters: which members are added, kept and removed; encoding and decoding. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "dragonflywharf/roster.h"
#include "net/limiter_codec.h"
#include "support/byte_mutations.h"

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t NOW = 1000 * S;

dw_roster_observation seen(uint64_t instance_id, uint64_t incarnation,
			   dw_roster_condition condition = DW_ROSTER_ALIVE)
{
	dw_roster_observation out = {};

	out.member.key = { instance_id, incarnation };
	snprintf(out.member.name, sizeof(out.member.name), "instance-%d", (int)instance_id);
	out.condition = condition;
	out.was_listed = true;
	out.unlisted_since_us = UINT64_MAX;
	return out;
}

class Roster : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(propose({ seen(3, 1), seen(1, 1), seen(2, 1) }), DW_OK);
		current = next;
		ASSERT_EQ(current.epoch, 1U);
		ASSERT_EQ(current.members[0].key.instance_id, 1U);
	}

	dw_status propose(std::vector<dw_roster_observation> all)
	{
		return dw_roster_propose(&current, all.data(), (uint32_t)all.size(), &list, NOW,
					 &next);
	}

	dw_roster current = {};
	dw_roster next = {};
	dw_roster_list_state list = { NOW, 3 };
};

TEST_F(Roster, APausedOrUnknownMemberStays)
{
	EXPECT_EQ(propose({}), DW_NOT_FOUND);
	EXPECT_EQ(propose({ seen(1, 1, DW_ROSTER_UNREACHABLE), seen(2, 1, DW_ROSTER_DEAD) }),
		  DW_NOT_FOUND);
}

/* Guards against a member of either history that loses its slots while it uses them, and an epoch with two contents. */
TEST_F(Roster, MergesRostersOfTwoHistories)
{
	dw_roster stored = current;
	dw_roster merged;

	/* Lost with the store: 4 joined, and 2 was restarted. Since its return 5 has joined, and 1 was restarted. */
	ASSERT_EQ(propose({ seen(4, 1), seen(2, 2) }), DW_OK);
	dw_roster known = next;
	current = stored;
	ASSERT_EQ(propose({ seen(5, 1), seen(1, 2) }), DW_OK);
	stored = next;
	ASSERT_EQ(known.epoch, stored.epoch);
	ASSERT_EQ(dw_roster_merge(&known, &stored, 0, &merged), DW_OK);
	EXPECT_EQ(merged.epoch, known.epoch);
	ASSERT_EQ(merged.member_count, 5U);
	const uint64_t incarnations[] = { 2, 2, 1, 1, 1 };
	for (uint32_t i = 0; i < 5; i++) {
		EXPECT_EQ(merged.members[i].key.instance_id, i + 1);
		EXPECT_EQ(merged.members[i].key.incarnation, incarnations[i]);
	}
	EXPECT_EQ(dw_roster_check(&merged), DW_OK);
	ASSERT_EQ(dw_roster_merge(&stored, &known, 9, &merged), DW_OK);
	EXPECT_EQ(merged.epoch, 9U) << "the highest epoch that a peer has named";
	EXPECT_EQ(merged.member_count, 5U);
}

TEST_F(Roster, RemovesADeadMemberOnlyIfAFreshListHasMissedItForLong)
{
	dw_roster_observation dead = seen(2, 1, DW_ROSTER_DEAD);

	dead.unlisted_since_us = NOW - DW_ROSTER_UNLISTED_US;
	EXPECT_EQ(propose({ dead }), DW_OK);
	EXPECT_EQ(next.member_count, 2U);
	EXPECT_EQ(next.epoch, 2U);

	list.listed_count = 0;
	EXPECT_EQ(propose({ dead }), DW_NOT_FOUND);
	list = { NOW - DW_ROSTER_LIST_MAX_AGE_US, 3 };
	EXPECT_EQ(propose({ dead }), DW_NOT_FOUND);
	list = { NOW, 3 };
	dead.unlisted_since_us++;
	EXPECT_EQ(propose({ dead }), DW_NOT_FOUND);
	dead.unlisted_since_us--;
	dead.was_listed = false;
	EXPECT_EQ(propose({ dead }), DW_NOT_FOUND);
	dead.was_listed = true;
	dead.condition = DW_ROSTER_UNREACHABLE;
	EXPECT_EQ(propose({ dead }), DW_NOT_FOUND);
}

TEST_F(Roster, ALaterRunReplacesAndAnEarlierOneDoesNotComeBack)
{
	EXPECT_EQ(propose({ seen(2, 1), seen(2, 7) }), DW_OK);
	EXPECT_EQ(next.members[1].key.incarnation, 7U);
	current = next;
	EXPECT_EQ(propose({ seen(2, 1), seen(2, 7) }), DW_NOT_FOUND);
	EXPECT_EQ(propose({ seen(2, 1) }), DW_NOT_FOUND);
	dw_roster_observation earlier = seen(2, 1, DW_ROSTER_DEAD);
	earlier.unlisted_since_us = 0;
	EXPECT_EQ(propose({ earlier }), DW_NOT_FOUND);
	EXPECT_EQ(propose({ seen(2, 9, DW_ROSTER_UNREACHABLE) }), DW_OK);
	EXPECT_EQ(next.member_count, 2U);
	EXPECT_EQ(propose({ seen(2, 1), seen(2, 7, DW_ROSTER_RELEASED) }), DW_OK);
	EXPECT_EQ(next.member_count, 2U);
	EXPECT_EQ(dw_roster_find_instance(&next, 2), -1);
}

TEST_F(Roster, DecodesItsEncodingAndRejectsTruncatedData)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	dw_roster_pack(&packer, &current);
	for_each_byte_mutation(buffer, [this](const msgpack_object &object, bool same) {
		bool decoded = dw_roster_unpack(&object, &next) == DW_OK;

		ASSERT_TRUE(decoded || !same);
		if (decoded) {
			EXPECT_EQ(dw_roster_check(&next), DW_OK);
		}
		if (same) {
			EXPECT_EQ(dw_roster_digest(&next), dw_roster_digest(&current));
			EXPECT_STREQ(next.members[2].name, "instance-3");
		}
	});
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
