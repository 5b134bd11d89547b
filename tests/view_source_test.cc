#include <gtest/gtest.h>

#include <dragonflywharf/view_source.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t CHANGE_US = 4000 * MS;
constexpr uint64_t START_US = 1000000 * MS;

struct ViewSource : testing::Test {
	dw_view_source source{};
	dw_view_place place{};
	dw_view_timing timing = dw_view_timing_from(CHANGE_US);
	uint64_t now_us = START_US + 10000 * MS;

	ViewSource()
	{
		dw_view_source_init(&source, CHANGE_US, START_US);
		place.members = 295;
		place.readers = 3;
		place.rank = 100;
		place.source_count = 3;
		place.sources[0] = 11;
		place.sources[1] = 12;
		place.sources[2] = 13;
		dw_view_source_place(&source, &place);
	}
	void set_rank(uint32_t rank)
	{
		place.rank = rank;
		dw_view_source_place(&source, &place);
	}
	void confirm(dw_view_origin origin, uint64_t age_us)
	{
		dw_view_source_confirmed(&source, origin, now_us - age_us, now_us);
	}
};

TEST_F(ViewSource, AnInstanceServedByAnotherLeavesTheStoreAlone)
{
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
	confirm(DW_VIEW_FROM_PEER, 300 * MS);
	EXPECT_FALSE(dw_view_source_reads_store(&source, now_us));
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
}

/* A reader that falls silent or lags is left for the next source, and asked again later. */
TEST_F(ViewSource, ASilentOrLaggingSourceIsLeft)
{
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
	dw_view_source_failed(&source, now_us);
	EXPECT_EQ(dw_view_source_next(&source, now_us), 12U);
	confirm(DW_VIEW_FROM_PEER, timing.stale_us + 1);
	EXPECT_EQ(dw_view_source_next(&source, now_us), 13U);
	confirm(DW_VIEW_FROM_PEER, 0);
	now_us += 1000 * MS;
	EXPECT_EQ(dw_view_source_next(&source, now_us), 13U);
	now_us += 1000 * MS;
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
	dw_view_source_failed(&source, now_us);
	now_us += 2000 * MS;
	EXPECT_NE(dw_view_source_next(&source, now_us), 11U) << "the second pause is longer";
}

TEST_F(ViewSource, IfAllSourcesFailTheFirstToBeAskedAgainIsAsked)
{
	for (int i = 0; i < 3; i++) {
		dw_view_source_next(&source, now_us);
		dw_view_source_failed(&source, now_us);
		now_us += 10 * MS;
	}
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
}

/* Without a fresh proof, instances read the store one after the other, and the last of 2,100 early
 * enough to keep the limit. */
TEST_F(ViewSource, InstancesTakeOverOneAfterTheOther)
{
	uint64_t last_us = 0;
	place.members = 2100;
	for (uint32_t rank : { 3U, 4U, 10U, 100U, 500U, 2099U }) {
		dw_view_source_init(&source, CHANGE_US, START_US);
		set_rank(rank);
		confirm(DW_VIEW_FROM_PEER, 0);
		uint64_t age_us = 0;
		while (!dw_view_source_reads_store(&source, now_us + age_us))
			age_us += MS;
		EXPECT_GT(age_us, last_us) << rank;
		EXPECT_GT(age_us, timing.stale_us + 200 * MS) << "another source comes first";
		last_us = age_us;
	}
	EXPECT_LT(last_us, CHANGE_US * 8 / 10);
}

/* One read is enough for an instance that isn't a reader. */
TEST_F(ViewSource, AnInstanceStopsReadingOnceItHasAProof)
{
	confirm(DW_VIEW_FROM_PEER, 0);
	now_us += 3000 * MS;
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us));
	now_us += 100 * MS;
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us));
	confirm(DW_VIEW_FROM_STORE, 5 * MS);
	EXPECT_FALSE(dw_view_source_reads_store(&source, now_us));
}

/* A reader that the store turns away is served by the others. */
TEST_F(ViewSource, AReaderAsksOthersOnlyWithoutTheStore)
{
	set_rank(1);
	confirm(DW_VIEW_FROM_STORE, 0);
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us));
	EXPECT_EQ(dw_view_source_next(&source, now_us), 0U);
	now_us += timing.stale_us + MS;
	EXPECT_EQ(dw_view_source_next(&source, now_us), 11U);
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us)) << "and still tries the store";
}

/* On a site of 3,000 engines all records are 750 KB: after a start of all, 300 instances that lacked a
 * few changes fetched them from three seeds, which took 30 s. */
TEST_F(ViewSource, MissingChangesComeFromTheStoreFirst)
{
	confirm(DW_VIEW_FROM_PEER, 0);
	EXPECT_FALSE(dw_view_source_reads_store(&source, now_us));
	dw_view_source_next(&source, now_us);
	dw_view_source_behind(&source, now_us);
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us));
	EXPECT_FALSE(dw_view_source_wants_all(&source, now_us));
	EXPECT_TRUE(dw_view_source_waits_for_store(&source, now_us));
	now_us += 1000 * MS;
	EXPECT_TRUE(dw_view_source_wants_all(&source, now_us)) << "the store doesn't answer";
	confirm(DW_VIEW_FROM_PEER, 0);
	EXPECT_FALSE(dw_view_source_wants_all(&source, now_us));
	EXPECT_FALSE(dw_view_source_reads_store(&source, now_us));
}

/* An instance that starts is given a moment to get a proof from another one; one that others ask
 * first, or that can't have others, isn't. */
TEST_F(ViewSource, AStartWaitsForOthersBriefly)
{
	dw_view_source_init(&source, CHANGE_US, START_US);
	source.has_seeds = true;
	EXPECT_FALSE(dw_view_source_reads_store(&source, START_US + 50 * MS));
	EXPECT_TRUE(dw_view_source_reads_store(&source, START_US + 200 * MS));
	dw_view_source_init(&source, CHANGE_US, START_US);
	source.is_seed = true;
	EXPECT_TRUE(dw_view_source_reads_store(&source, START_US));
	dw_view_source_init(&source, CHANGE_US, 0);
	EXPECT_TRUE(dw_view_source_reads_store(&source, START_US));
	EXPECT_TRUE(dw_view_source_is_reader(&source));
}

/* Settings that are read again take effect. */
TEST_F(ViewSource, AShorterLimitTakesEffect)
{
	confirm(DW_VIEW_FROM_PEER, 0);
	now_us += 1200 * MS;
	EXPECT_FALSE(dw_view_source_reads_store(&source, now_us));
	dw_view_source_set_limit(&source, CHANGE_US / 2);
	EXPECT_TRUE(dw_view_source_reads_store(&source, now_us));
}

/* A proof is dated from before the request was sent, whatever happened on the way. */
TEST_F(ViewSource, ARelayedProofIsNeverYoungerThanItIs)
{
	uint64_t sent_us = now_us;
	uint64_t received_us = sent_us + 900 * MS;
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, 500 * MS, 100 * MS, received_us),
		  sent_us + 400 * MS);
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, 0, 100 * MS, received_us), sent_us - 100 * MS);
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, 901 * MS, 0, received_us), 0U)
		<< "held for longer than it took";
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, 0, sent_us, received_us), 0U);
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, UINT64_MAX, 0, received_us), 0U);
	EXPECT_EQ(dw_view_relayed_proof_us(sent_us, 0, UINT64_MAX, received_us), 0U);
}

} // namespace
