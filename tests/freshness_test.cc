#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include <dragonflywharf/freshness.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t REVOCATION = 5000 * MS;
constexpr uint64_t MIN_CALL_INTERVAL = 1240 * MS;
constexpr uint64_t MIN_WAIT = 50 * MS;
constexpr uint64_t START = 100000 * MS;

/* Simulates a watch: each call waits at the store for an event or until its time is over. The store
 * becomes unreachable at @p outage_at. */
struct watch {
	uint64_t confirmed_at = START;

	void run(const std::vector<uint64_t> &events, uint64_t outage_at)
	{
		uint64_t longest = dw_freshness_max_wait_us(REVOCATION);
		uint64_t asked_at = START;

		while (true) {
			uint64_t wait =
				std::max(MIN_WAIT, dw_freshness_next_wait_us(confirmed_at, asked_at,
									     longest));
			auto event = std::lower_bound(events.begin(), events.end(), asked_at);
			bool is_early = event != events.end() && *event < asked_at + wait;
			uint64_t answered_at = is_early ? *event : asked_at + wait;

			if (answered_at >= outage_at)
				return;
			confirmed_at = is_early ? asked_at : answered_at;
			asked_at = std::max(answered_at + 1, asked_at + MIN_CALL_INTERVAL);
		}
	}
};

/* Guards against refusing callers too early: when the store becomes unreachable at any moment,
 * after any series of changes, they must be served for another half of the revocation time, less
 * two short calls. */
TEST(Freshness, HalfOfTheRevocationTimeIsLeftAfterAnOutage)
{
	std::mt19937_64 random(7);

	for (int round = 0; round < 2000; round++) {
		std::vector<uint64_t> events;
		for (uint64_t n = random() % 40; n > 0; n--)
			events.push_back(START + random() % (20000 * MS));
		std::sort(events.begin(), events.end());
		uint64_t outage_at = START + 3000 * MS + random() % (15000 * MS);
		watch watch;

		watch.run(events, outage_at);
		EXPECT_TRUE(dw_freshness_allows(
			watch.confirmed_at, outage_at + REVOCATION / 2 - 2 * MIN_WAIT, REVOCATION))
			<< "round " << round << ", confirmed "
			<< (outage_at - watch.confirmed_at) / MS << " ms before the outage";
	}
}

/* Guards against serving a revoked key: when the store is unreachable for long, no request is
 * served that arrives after the revocation time. */
TEST(Freshness, NothingIsServedAfterTheRevocationTime)
{
	EXPECT_TRUE(dw_freshness_allows(START, START + REVOCATION * 8 / 10, REVOCATION));
	EXPECT_FALSE(dw_freshness_allows(START, START + REVOCATION, REVOCATION));
	EXPECT_FALSE(dw_freshness_allows(START, START + 60 * REVOCATION, REVOCATION));
	EXPECT_FALSE(dw_freshness_allows(0, 1, REVOCATION));
}

/* Guards against proofs that may lack changes: one from the time before a watch was cut holds for its begin only. */
TEST(Freshness, AProofFromAGapHoldsForItsBegin)
{
	dw_freshness_gap gap{};
	dw_freshness_gap found{ START, START + 1000 * MS };

	EXPECT_EQ(dw_freshness_proven_us(&gap, START), START);
	EXPECT_EQ(dw_freshness_proven_us(&gap, 0), 0U);
	dw_freshness_gap_found(&gap, &found, START + 900 * MS);
	EXPECT_EQ(dw_freshness_proven_us(&gap, 0), 0U);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START - 1), START - 1);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START + 900 * MS), START);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START + 1000 * MS), START);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START + 1000 * MS + 1), START + 1000 * MS + 1);
}

/* Guards against a second cut that makes a proof from before the first one good again, and against many cuts, with
 * proofs between them, that add up to one long gap. */
TEST(Freshness, TheLastOfSeveralGapsCountsAndThoseWithoutAProofBetween)
{
	dw_freshness_gap gap{};
	dw_freshness_gap first{ START, START + 1000 * MS };
	dw_freshness_gap second{ START + 500 * MS, START + 1500 * MS };
	uint64_t proof = START + 900 * MS;

	dw_freshness_gap_found(&gap, &first, proof);
	dw_freshness_gap_found(&gap, &second, proof);
	EXPECT_EQ(dw_freshness_proven_us(&gap, proof), START);
	dw_freshness_gap_found(&gap, &first, proof);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START + 1400 * MS), START)
		<< "an older one is known";

	gap = first;
	dw_freshness_gap_found(&gap, &second, START + 1200 * MS);
	EXPECT_EQ(dw_freshness_proven_us(&gap, START + 1200 * MS), START + 500 * MS);
}

/* Guards against needless load on the store: without events, a call lasts for the longest wait. */
TEST(Freshness, WithoutEventsTheWatchWaitsTheWholeTime)
{
	uint64_t longest = dw_freshness_max_wait_us(REVOCATION);

	EXPECT_EQ(longest, 2000 * MS);
	EXPECT_EQ(dw_freshness_next_wait_us(START, START, longest), longest);
	EXPECT_EQ(dw_freshness_next_wait_us(START, START + longest, longest), 0u);
	EXPECT_LE(dw_freshness_max_wait_us(60000 * MS), 2000 * MS);
}

} // namespace
