// Which signs count as an outage of the store. The wrong ones kept engines in use that had left.
#include <gtest/gtest.h>

#include <dragonflywharf/store_outage.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t STALE = 840 * MS;
constexpr uint64_t START = 100000 * MS;

struct StoreOutage : testing::Test {
	dw_store_outage outage{};

	void fail(uint64_t from_us, uint64_t to_us)
	{
		for (uint64_t at = from_us; at < to_us; at += 200 * MS)
			dw_store_outage_call_failed(&outage, 0, at);
	}
};

TEST_F(StoreOutage, CallsThatFailForAWhileAndNoProofFromAnyoneAreAnOutage)
{
	fail(START, START + 4000 * MS);
	dw_store_outage_call_answered(&outage, START - 100 * MS, STALE, START + 4000 * MS);
	EXPECT_EQ(outage.ended_at_us, START + 4000 * MS);
}

/* Guards against the incident DRAIN: a copy that was late, as its change was large, its process
 * suspended or its source gone, was taken for an outage. */
TEST_F(StoreOutage, ALateCopyWithoutFailedCallsIsNone)
{
	dw_store_outage_call_answered(&outage, START - 5000 * MS, STALE, START);
	EXPECT_EQ(outage.ended_at_us, 0U);
	dw_store_outage_call_answered(&outage, 0, STALE, START);
	EXPECT_EQ(outage.ended_at_us, 0U) << "a process that has just started";
}

TEST_F(StoreOutage, ACallThatFailsAsTheProcessWakesUpIsNone)
{
	dw_store_outage_call_failed(&outage, 0, START);
	dw_store_outage_call_answered(&outage, START - 5000 * MS, STALE, START + 60 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
	/* A later failure doesn't count from the earlier one. */
	dw_store_outage_call_failed(&outage, 0, START + 9000 * MS);
	dw_store_outage_call_answered(&outage, START, STALE, START + 9060 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
}

/* A store that refuses some instances and serves the others. */
TEST_F(StoreOutage, FailedCallsBesideProofsFromOthersAreNone)
{
	fail(START, START + 4000 * MS);
	dw_store_outage_call_answered(&outage, START + 3700 * MS, STALE, START + 4000 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
}

TEST_F(StoreOutage, AnotherInstanceIsBelievedOnlyWithoutAProofFromThatTime)
{
	dw_store_outage_told(&outage, START, START - 300 * MS, STALE);
	EXPECT_EQ(outage.ended_at_us, 0U) << "this one had proofs all the while";
	dw_store_outage_told(&outage, START, START + 300 * MS, STALE);
	EXPECT_EQ(outage.ended_at_us, 0U);
	dw_store_outage_told(&outage, START, START - 2000 * MS, STALE);
	EXPECT_EQ(outage.ended_at_us, START);
	dw_store_outage_told(&outage, START - 10 * MS, 0, STALE);
	EXPECT_EQ(outage.ended_at_us, START) << "an earlier one changes nothing";
}

/* Guards against an outage that wasn't: over a slow link a large answer begins, and its end doesn't come
 * in time, call after call. A store that sends bytes isn't away. */
TEST_F(StoreOutage, ACallThatBreaksOffAfterSomeBytesIsNoFailure)
{
	fail(START, START + 1000 * MS);
	dw_store_outage_call_broke_off(&outage);
	dw_store_outage_call_answered(&outage, START - 100 * MS, STALE, START + 4000 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
	fail(START + 5000 * MS, START + 9000 * MS);
	dw_store_outage_call_answered(&outage, START - 100 * MS, STALE, START + 9000 * MS);
	EXPECT_EQ(outage.ended_at_us, START + 9000 * MS) << "calls without a byte still are";
}

/* Guards against an outage that wasn't: an own call fails, others then prove the copy for a while, and a later copy is
 * late. The call that failed before their proof says nothing of the time after it. */
TEST_F(StoreOutage, ACallThatFailedBeforeAProofSaysNothingOfTheTimeAfterIt)
{
	fail(START, START + 400 * MS);
	dw_store_outage_call_answered(&outage, START + 4000 * MS, STALE, START + 6500 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
	/* Nor one of the time before the first call that fails after the proof. */
	dw_store_outage_call_failed(&outage, 0, START + 10000 * MS);
	dw_store_outage_call_failed(&outage, START + 12000 * MS, START + 14000 * MS);
	dw_store_outage_call_answered(&outage, START + 12000 * MS, STALE, START + 14060 * MS);
	EXPECT_EQ(outage.ended_at_us, 0U);
}

/* Without a proof since the first failure it is an outage, also if there was one before. */
TEST_F(StoreOutage, CallsThatFailAfterAProofAreAnOutage)
{
	dw_store_outage_call_failed(&outage, 0, START);
	for (uint64_t at = START + 2000 * MS; at < START + 4000 * MS; at += 200 * MS)
		dw_store_outage_call_failed(&outage, START + 1900 * MS, at);
	dw_store_outage_call_answered(&outage, START + 1900 * MS, STALE, START + 4000 * MS);
	EXPECT_EQ(outage.ended_at_us, START + 4000 * MS);
}

} // namespace
