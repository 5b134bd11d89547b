#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include <dragonflywharf/session_pins.h>
#include <dragonflywharf/rendezvous.h>
#include <dragonflywharf/version_shift.h>

TEST(SessionPins, RemembersTheLastVersionUntilItExpires)
{
	dw_session_pins *pins = dw_session_pins_new();
	dw_session_pins_record(pins, "llm", "s", "v1", 100);
	EXPECT_STREQ(dw_session_pins_find(pins, "llm", "s", 50), "v1");
	EXPECT_EQ(dw_session_pins_find(pins, "llm", "s", 101), nullptr);
	EXPECT_EQ(dw_session_pins_find(pins, "other", "s", 0), nullptr);
	dw_session_pins_record(pins, "llm", "s", "v2", 200);
	EXPECT_STREQ(dw_session_pins_find(pins, "llm", "s", 150), "v2");
	EXPECT_EQ(dw_session_pins_count(pins), 1U);
	dw_session_pins_expire(pins, 201);
	EXPECT_EQ(dw_session_pins_count(pins), 0U);
	dw_session_pins_free(pins);
}

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t START = 100 * SECOND;

/* Two instances that follow the same rollout and serve requests of the same sessions. */
struct SharedPins : testing::Test {
	dw_session_pins *pins[2] = { dw_session_pins_new(), dw_session_pins_new() };
	dw_shift shift{};
	bool may_lack_pins[2] = { false, false };

	SharedPins()
	{
		dw_shift_order order{};
		strcpy(order.service, "llm");
		strcpy(order.target_version, "v2");
		order.duration_us = 20 * SECOND;
		order.revision = 5;
		dw_shift_set_order(&shift, &order, START);
	}
	~SharedPins() override
	{
		dw_session_pins_free(pins[0]);
		dw_session_pins_free(pins[1]);
	}
	static uint64_t hash_of(const std::string &session)
	{
		return dw_rendezvous_key(session.data(), session.size());
	}
	/* What shifts_pin_session() does for a request that instance @p at has sent. */
	void use(int at, const std::string &session, const char *version, uint64_t now_us)
	{
		dw_session_pins_record(pins[at], "llm", session.c_str(), version, now_us);
		if (dw_shift_pin_is_news(&shift, hash_of(session), version, now_us))
			dw_session_pins_tell(pins[at], "llm", session.c_str());
	}
	std::string choose(int at, const std::string &session, uint64_t now_us)
	{
		dw_shift_request request{};
		request.pinned_version =
			dw_session_pins_find(pins[at], "llm", session.c_str(), now_us - 6 * SECOND);
		request.hash = hash_of(session);
		request.target_engines = 18;
		request.may_lack_pin = may_lack_pins[at] && !request.pinned_version;
		return dw_shift_constrain(&shift, &request, now_us).required_version ? "v2" : "v1";
	}
	void exchange(int from, int to, uint64_t now_us)
	{
		uint8_t bytes[DW_SESSION_PINS_DIGEST_BYTES];
		size_t len;
		while ((len = dw_session_pins_write(pins[from], DW_SPREAD_EVERYWHERE, now_us, bytes,
						    sizeof(bytes))) > 0)
			EXPECT_EQ(dw_session_pins_read(pins[to], DW_SPREAD_NOWHERE, bytes, len,
						       now_us),
				  DW_OK);
	}
};

/* PINNED on the small twin of the large site: the requests of a session reached several instances, of
 * which only one knew its version. */
TEST_F(SharedPins, ASessionThatMovesToAnotherInstanceKeepsItsVersion)
{
	uint64_t before = START - SECOND;
	uint64_t tested = START + 11 * SECOND;
	for (int i = 0; i < 400; i++)
		dw_session_pins_record(pins[0], "llm", ("old-" + std::to_string(i)).c_str(), "v1",
				       before);
	auto is_news = [](uint64_t hash, const char *version, const void *data) {
		return dw_shift_pin_is_news((const dw_shift *)data, hash, version, START);
	};
	dw_session_pins_tell_all(pins[0], "llm", is_news, &shift);
	exchange(0, 1, START + 100 * MS);
	for (int i = 0; i < 400; i++)
		EXPECT_EQ(choose(1, "old-" + std::to_string(i), START + 2 * SECOND), "v1");
	/* The load test sends sessions to the new version that the share wouldn't. */
	for (int i = 0; i < 400; i++)
		use(0, "tested-" + std::to_string(i), "v2", tested);
	exchange(0, 1, tested + 100 * MS);
	for (int i = 0; i < 400; i++)
		EXPECT_EQ(choose(1, "tested-" + std::to_string(i), tested + SECOND), "v2");
}

/* Guards against an instance that is restarted in the first half and sends sessions by their hash alone: 13 of
 * 150 that others had kept on the old version. Those on the new version are told when it asks. */
TEST_F(SharedPins, ARestartedInstanceKeepsTheVersionsOfSessions)
{
	for (int i = 0; i < 150; i++)
		use(0, "old-" + std::to_string(i), "v1", START + 3 * SECOND);
	for (int i = 0; i < 20; i++)
		use(0, "new-" + std::to_string(i), "v2", START + 3 * SECOND);
	uint8_t lost[DW_SESSION_PINS_DIGEST_BYTES];
	while (dw_session_pins_write(pins[0], DW_SPREAD_EVERYWHERE, START + 3 * SECOND, lost,
				     sizeof(lost)) > 0)
		;
	may_lack_pins[1] = true;
	int wrong = 0;
	for (int i = 0; i < 150; i++)
		wrong += choose(1, "old-" + std::to_string(i), START + 5 * SECOND) != "v1";
	EXPECT_EQ(wrong, 0) << "before it knows";
	EXPECT_FALSE(dw_session_pins_take_question(pins[0]));
	dw_session_pins_ask(pins[1], START + 5 * SECOND);
	exchange(1, 0, START + 5 * SECOND);
	ASSERT_TRUE(dw_session_pins_take_question(pins[0]));
	EXPECT_FALSE(dw_session_pins_take_question(pins[0])) << "answered once";
	auto is_news = [](uint64_t hash, const char *version, const void *data) {
		return dw_shift_pin_is_news((const dw_shift *)data, hash, version,
					    START + 5 * SECOND);
	};
	dw_session_pins_tell_all(pins[0], "llm", is_news, &shift);
	exchange(0, 1, START + 5 * SECOND);
	may_lack_pins[1] = false;
	for (int i = 0; i < 150; i++)
		EXPECT_EQ(choose(1, "old-" + std::to_string(i), START + 6 * SECOND), "v1");
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(choose(1, "new-" + std::to_string(i), START + 6 * SECOND), "v2");
}

/* Only what another instance would get wrong is sent. */
TEST_F(SharedPins, MostPinsAreNotSent)
{
	for (int i = 0; i < 1000; i++)
		use(0, "s-" + std::to_string(i), "v1", START + SECOND);
	exchange(0, 1, START + SECOND);
	EXPECT_GT(dw_session_pins_count(pins[1]), 0U);
	EXPECT_LT(dw_session_pins_count(pins[1]), 200U);
	shift.state = DW_SHIFT_COMPLETED;
	use(0, "later", "v2", START + 30 * SECOND);
	exchange(0, 1, START + 30 * SECOND);
	EXPECT_EQ(dw_session_pins_find(pins[1], "llm", "later", 0), nullptr);
}

TEST_F(SharedPins, TheLatestUseCounts)
{
	use(0, "s", "v2", START + 11 * SECOND);
	use(1, "s", "v1", START + 12 * SECOND);
	exchange(0, 1, START + 12 * SECOND);
	EXPECT_STREQ(dw_session_pins_find(pins[1], "llm", "s", 0), "v1");
}

TEST_F(SharedPins, MalformedDigestsAreRefused)
{
	uint8_t bytes[DW_SESSION_PINS_DIGEST_BYTES];
	use(0, "s", "v2", START + 11 * SECOND);
	size_t len = dw_session_pins_write(pins[0], DW_SPREAD_EVERYWHERE, START + 11 * SECOND,
					   bytes, sizeof(bytes));
	ASSERT_GT(len, 0U);
	for (size_t cut = 0; cut < len; cut++)
		EXPECT_NE(dw_session_pins_read(pins[1], DW_SPREAD_NOWHERE, bytes, cut,
					       START + 12 * SECOND),
			  DW_OK);
	for (size_t i = 0; i < len * 256; i++) {
		uint8_t changed[DW_SESSION_PINS_DIGEST_BYTES];
		memcpy(changed, bytes, len);
		changed[i / 256] = (uint8_t)i;
		dw_session_pins_read(pins[1], DW_SPREAD_NOWHERE, changed, len, START + 12 * SECOND);
	}
}

} // namespace
