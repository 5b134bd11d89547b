#include <gtest/gtest.h>

#include <cstdio>

#include <dragonflywharf/engine.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;

dw_engine_entry entry(const char *id, uint64_t started_at_ms = 1)
{
	dw_engine_entry new_entry{};
	snprintf(new_entry.id, sizeof(new_entry.id), "%s", id);
	snprintf(new_entry.service, sizeof(new_entry.service), "llm");
	new_entry.slots = 4;
	new_entry.started_at_ms = started_at_ms;
	return new_entry;
}

struct Engines : testing::Test {
	dw_engine_set *set = dw_engine_set_new();

	~Engines() override
	{
		dw_engine_set_free(set);
	}
	dw_engine *add(const char *id)
	{
		dw_engine_entry new_entry = entry(id);
		dw_engine_set_put(set, &new_entry, 0);
		return dw_engine_set_find(set, id);
	}
};

TEST_F(Engines, PutReportsTheChange)
{
	dw_engine_entry new_entry = entry("a");
	EXPECT_EQ(dw_engine_set_put(set, &new_entry, 0), DW_ENGINE_ADDED);
	EXPECT_EQ(dw_engine_set_put(set, &new_entry, 0), DW_ENGINE_UNCHANGED);
	new_entry.is_draining = true;
	EXPECT_EQ(dw_engine_set_put(set, &new_entry, 0), DW_ENGINE_STATE_CHANGED);
	EXPECT_FALSE(dw_engine_is_usable(dw_engine_set_find(set, "a"), 0));
}

/* An engine restarts under the same id: the failures of the old process must not count. */
TEST_F(Engines, RestartResetsMeasurements)
{
	dw_engine *engine = add("a");
	dw_engine_sent(engine, 0);
	dw_engine_ended(engine, DW_ENGINE_UNREACHABLE, false, 0);
	EXPECT_GT(engine->ejected_until_us, 0U);
	dw_engine_entry new_entry = entry("a", 2);
	EXPECT_EQ(dw_engine_set_put(set, &new_entry, 0), DW_ENGINE_RESTARTED);
	EXPECT_EQ(engine->ejected_until_us, 0U);
	EXPECT_EQ(engine->consecutive_failures, 0U);
}

/* Guards against an engine that one absurd Retry-After keeps out for an hour. */
TEST_F(Engines, APauseOfAnyLengthEndsSoon)
{
	dw_engine *engine = add("a");
	dw_engine_pause_requested(engine, 3601 * SECOND, SECOND);
	EXPECT_TRUE(dw_engine_is_paused(engine, 31 * SECOND - 1));
	EXPECT_FALSE(dw_engine_is_paused(engine, 31 * SECOND));
	dw_engine_pause_requested(engine, UINT64_MAX, 2 * SECOND);
	EXPECT_FALSE(dw_engine_is_paused(engine, 32 * SECOND));
	dw_engine_pause_requested(engine, 34 * SECOND, 33 * SECOND);
	EXPECT_TRUE(dw_engine_is_paused(engine, 34 * SECOND - 1)) << "a short one as asked";
	EXPECT_FALSE(dw_engine_is_paused(engine, 34 * SECOND));
}

/* After a pause an engine in trouble gets what it bore before, so that its end brings no burst. */
TEST_F(Engines, APauseShowsWhatTheEngineBears)
{
	dw_engine *engine = add("a");
	EXPECT_TRUE(dw_engine_has_room(engine, SECOND));
	for (int i = 0; i < 4; i++)
		dw_engine_sent(engine, SECOND);
	dw_engine_pause_requested(engine, 2 * SECOND, SECOND);
	dw_engine_ended(engine, DW_ENGINE_REJECTED, false, SECOND);
	EXPECT_FALSE(dw_engine_has_room(engine, 2 * SECOND)) << "three are still in flight";
	dw_engine_ended(engine, DW_ENGINE_ANSWERED, false, 2 * SECOND);
	EXPECT_TRUE(dw_engine_has_room(engine, 2 * SECOND));
	dw_engine_sent(engine, 2 * SECOND);
	EXPECT_FALSE(dw_engine_has_room(engine, 2 * SECOND));
	EXPECT_TRUE(dw_engine_has_room(engine, 6 * SECOND))
		<< "it is tried with more after a while";
	for (int i = 0; i < 40; i++)
		dw_engine_sent(engine, 6 * SECOND);
	EXPECT_FALSE(dw_engine_has_room(engine, 20 * SECOND));
	EXPECT_TRUE(dw_engine_has_room(engine, 21 * SECOND)) << "the limit is forgotten";
}

/* What an engine has said of itself holds for its lifetime, whatever discovery says of it. */
TEST_F(Engines, ItsWordHoldsForItsLifetime)
{
	dw_engine *engine = add("a");
	dw_engine_pause_requested(engine, 5 * SECOND, 0);
	engine->says_it_leaves = true;
	dw_engine_entry same = entry("a");
	dw_engine_set_put(set, &same, 0);
	EXPECT_FALSE(dw_engine_is_usable(engine, SECOND));
	EXPECT_TRUE(dw_engine_is_paused(engine, SECOND));
	dw_engine_set_remove(set, "a", 2 * SECOND, SECOND);
	EXPECT_FALSE(dw_engine_is_usable(engine, SECOND)) << "nor in an outage of the store";
	dw_engine_entry next = entry("a", 2);
	dw_engine_set_put(set, &next, SECOND);
	EXPECT_TRUE(dw_engine_is_usable(engine, SECOND));
	EXPECT_FALSE(dw_engine_is_paused(engine, SECOND));
}

TEST_F(Engines, StaysUsableForAWhileIfItsEntryExpiresInAStoreOutage)
{
	dw_engine *engine = add("a");
	dw_engine_set_remove(set, "a", 2 * SECOND, SECOND);
	EXPECT_TRUE(dw_engine_is_usable(engine, SECOND));
	EXPECT_FALSE(dw_engine_is_usable(engine, 2 * SECOND));
	dw_engine_entry new_entry = entry("a");
	dw_engine_set_put(set, &new_entry, SECOND);
	EXPECT_TRUE(dw_engine_is_usable(engine, 2 * SECOND)) << "registered again";
	dw_engine_set_remove(set, "a", 0, 3 * SECOND);
	EXPECT_FALSE(dw_engine_is_usable(engine, 3 * SECOND)) << "removed while the store was up";
}

TEST_F(Engines, IsNotFreedWhileARequestIsInFlight)
{
	dw_engine *engine = add("a");
	dw_engine_sent(engine, 0);
	dw_engine_set_remove(set, "a", 0, 0);
	dw_engine_set_sweep(set, 100 * SECOND);
	EXPECT_EQ(dw_engine_set_find(set, "a"), engine);
	dw_engine_ended(engine, DW_ENGINE_ANSWERED, false, 100 * SECOND);
	dw_engine_set_sweep(set, 200 * SECOND);
	EXPECT_EQ(dw_engine_set_find(set, "a"), nullptr);
}

/* Grey failure: the engine fails its requests while its discovery entry looks healthy. */
TEST_F(Engines, ConsecutiveFailuresEjectItForIncreasingTimes)
{
	dw_engine *engine = add("a");
	uint64_t now_us = SECOND;
	uint64_t last_us = 0;
	for (int i = 0; i < 6; i++) {
		dw_engine_sent(engine, now_us);
		dw_engine_ended(engine, DW_ENGINE_NO_RESPONSE, false, now_us);
		if (i == 0) {
			EXPECT_EQ(engine->ejected_until_us, 0U)
				<< "a single failure is not enough evidence";
			continue;
		}
		EXPECT_GE(engine->ejected_until_us - now_us, last_us);
		last_us = engine->ejected_until_us - now_us;
	}
	EXPECT_LE(last_us, 5 * SECOND);
	dw_engine_sent(engine, now_us);
	dw_engine_ended(engine, DW_ENGINE_ANSWERED, true, now_us);
	EXPECT_EQ(engine->consecutive_failures, 0U);
}

/* Callers that leave an engine which doesn't answer: each wait is a lower bound of its time. */
TEST_F(Engines, WaitsThatWereGivenUpCountIfTheyWereLong)
{
	dw_engine *engine = add("a");
	dw_engine_waited(engine, SECOND, 50 * MS, SECOND + 20 * MS);
	EXPECT_EQ(engine->latency_ratio_permille, 1000U) << "a short wait says nothing";
	for (int i = 0; i < 3; i++)
		dw_engine_waited(engine, SECOND, 50 * MS, SECOND + 300 * MS);
	EXPECT_GT(engine->latency_ratio_permille, 2000U);
	uint32_t slow = engine->latency_ratio_permille;
	dw_engine_waited(engine, SECOND, 50 * MS, SECOND + 60 * MS);
	EXPECT_EQ(engine->latency_ratio_permille, slow) << "a bound below what is known";
	dw_engine_sent(engine, SECOND);
	dw_engine_started(engine, SECOND, 50 * MS, SECOND + 50 * MS);
	EXPECT_LT(engine->latency_ratio_permille, slow) << "its answers count as before";
}

TEST_F(Engines, CountsSendsOfTheLastSecond)
{
	dw_engine *engine = add("a");
	for (uint64_t at = 0; at < 10; at++)
		dw_engine_sent(engine, 5 * SECOND + at * 200 * MS);
	EXPECT_EQ(dw_engine_sends_last_second(engine, 5 * SECOND + 1800 * MS), 5U);
	EXPECT_EQ(dw_engine_sends_last_second(engine, 8 * SECOND), 0U);
}

/* The requests that were lost with the process end after its end is known: the engine mustn't count as
 * in use again before its entry goes, or the last other one would pass for one of two. */
TEST_F(Engines, AnEndedProcessStaysEjectedWhateverItsRequestsReport)
{
	dw_engine *engine = add("a");
	dw_engine_sent(engine, SECOND);
	dw_engine_process_ended(engine, SECOND);
	uint64_t until_us = engine->ejected_until_us;
	EXPECT_GE(until_us, 4 * SECOND);
	dw_engine_ended(engine, DW_ENGINE_NO_RESPONSE, false, SECOND + 20 * MS);
	EXPECT_EQ(engine->ejected_until_us, until_us);
	dw_engine_ended(engine, DW_ENGINE_UNREACHABLE, false, SECOND + 40 * MS);
	EXPECT_GE(engine->ejected_until_us, until_us);
}

} // namespace
