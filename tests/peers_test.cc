// Which other instances an instance that has started asks what they know of the past.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>

extern "C" {
#include "base/clock.h"
#include "wharf-gateway/peers.h"
}

namespace
{

dw_member member(uint64_t id, uint64_t incarnation)
{
	dw_member made = {};
	made.key = { id, incarnation };
	snprintf(made.name, sizeof(made.name), "member-%llu", (unsigned long long)id);
	snprintf(made.failure_domain, sizeof(made.failure_domain), "a");
	snprintf(made.ip, sizeof(made.ip), "127.0.7.%llu", (unsigned long long)id);
	made.port = 4000;
	return made;
}

struct Peers : testing::Test {
	gateway_settings settings{};
	peers own{};

	Peers()
	{
		dw_membership_options options = {};
		snprintf(settings.instance, sizeof(settings.instance), "own");
		peers_init(&own, &settings, nullptr, nullptr);
		options.self = member(9, 50);
		own.instance_id = 9;
		own.membership = dw_membership_new(&options, 1000000);
	}
	~Peers() override
	{
		peers_close(&own);
	}
	void hear(uint64_t id, uint64_t incarnation, bool is_leaving = false)
	{
		dw_member_message message = {};
		message.kind = DW_MEMBER_PING;
		message.sequence = 1;
		message.sender = member(id, incarnation);
		if (is_leaving) {
			message.sender.state = DW_MEMBER_LEAVING;
			message.sender.leaving = true;
		}
		ASSERT_EQ(dw_membership_receive(own.membership, &message, 1000000), DW_OK);
	}
};

/* Guards against a question to one that has just started, as the first one asked isn't the oldest. */
TEST_F(Peers, TheOldestAreAskedInTurn)
{
	EXPECT_EQ(peers_oldest(&own, 0), 0U);
	hear(1, 30);
	hear(2, 10);
	hear(3, 20);
	hear(4, 5, true);
	EXPECT_EQ(peers_oldest(&own, 0), 2U);
	EXPECT_EQ(peers_oldest(&own, 1), 3U);
	EXPECT_EQ(peers_oldest(&own, 2), 1U);
	EXPECT_EQ(peers_oldest(&own, 3), 2U) << "from the oldest one again";
}

/* Guards against a loop that stands still: each question that failed made the search for the next one longer. */
TEST_F(Peers, TheSearchDoesNotGrowWithTheQuestions)
{
	uint64_t started_us = dw_clock_now_us();
	hear(1, 30);
	hear(2, 10);
	hear(3, 20);
	for (uint32_t asked = 30000000; asked < 30000006; asked++)
		EXPECT_EQ(peers_oldest(&own, asked), peers_oldest(&own, asked % 3));
	EXPECT_LT(dw_clock_now_us() - started_us, DW_US_PER_S / 10);
}

} // namespace
