/** Cold and warm upstreams: each doubt makes cold, only full evidence makes warm. */
#include <gtest/gtest.h>

#include "dragonflywharf/warmup.h"

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t COLD = 60 * S;
constexpr uint64_t REPORT = 3 * S;

/** Warm since second 160, with reports each second up to 170. */
dw_warmup warm_upstream()
{
	dw_warmup warmth;

	dw_warmup_init(&warmth);
	EXPECT_TRUE(dw_warmup_is_cold(&warmth, 0));
	for (uint64_t t = 100; t <= 170; t++) {
		EXPECT_EQ(dw_warmup_report_seen(&warmth, 5, COLD, REPORT, t * S), t == 100);
		EXPECT_EQ(dw_warmup_is_cold(&warmth, t * S), t < 160) << t;
	}
	return warmth;
}

TEST(Warmth, ARestartMakesColdForItsWholePeriod)
{
	dw_warmup warmth = warm_upstream();

	EXPECT_TRUE(dw_warmup_report_seen(&warmth, 6, COLD, REPORT, 171 * S));
	EXPECT_TRUE(dw_warmup_is_cold(&warmth, 171 * S));
	EXPECT_FALSE(dw_warmup_report_seen(&warmth, 5, COLD, REPORT, 172 * S));
	EXPECT_EQ(warmth.incarnation, 6U);
	EXPECT_EQ(warmth.report_due_us, 174 * S);
	dw_warmup_report_seen(&warmth, 6, COLD, REPORT, 230 * S);
	EXPECT_TRUE(dw_warmup_is_cold(&warmth, 230 * S));
	EXPECT_EQ(dw_warmup_deadline_us(&warmth, 230 * S), 231 * S);
	EXPECT_FALSE(dw_warmup_is_cold(&warmth, 231 * S));
}

TEST(Warmth, ALostReportOrConnectionMakesColdUntilTheIncarnationIsSeenAgain)
{
	dw_warmup warmth = warm_upstream();

	EXPECT_EQ(dw_warmup_deadline_us(&warmth, 170 * S), 173 * S);
	EXPECT_TRUE(dw_warmup_is_cold(&warmth, 173 * S));
	dw_warmup_report_seen(&warmth, 5, COLD, REPORT, 180 * S);
	EXPECT_FALSE(dw_warmup_is_cold(&warmth, 180 * S));
	dw_warmup_invalidate(&warmth);
	EXPECT_TRUE(dw_warmup_is_cold(&warmth, 180 * S));
	EXPECT_EQ(dw_warmup_deadline_us(&warmth, 180 * S), UINT64_MAX);
	dw_warmup_report_seen(&warmth, 5, COLD, REPORT, 181 * S);
	EXPECT_FALSE(dw_warmup_is_cold(&warmth, 181 * S));
}

TEST(Warmth, EvidenceSpreadsColdAndSharesAgesButEndsNoDoubt)
{
	dw_warmup here = warm_upstream();
	dw_warmup peer = warm_upstream();
	dw_warmup fresh;
	dw_warmup_evidence evidence;

	dw_warmup_init(&fresh);
	EXPECT_FALSE(dw_warmup_export(&fresh, 9, COLD, 170 * S, &evidence));
	dw_warmup_restart(&peer, COLD, 170 * S);
	ASSERT_TRUE(dw_warmup_export(&peer, 9, COLD, 175 * S, &evidence));
	EXPECT_EQ(evidence.age_us, 5 * S);
	EXPECT_TRUE(dw_warmup_merge(&here, &evidence, COLD, 171 * S));
	EXPECT_FALSE(dw_warmup_merge(&here, &evidence, COLD, 171 * S));
	EXPECT_TRUE(dw_warmup_is_cold(&here, 171 * S));
	EXPECT_EQ(here.warm_at_us, 226 * S);
	evidence = { 9, 5, 0, COLD };
	EXPECT_FALSE(dw_warmup_merge(&here, &evidence, COLD, 172 * S));
	EXPECT_EQ(here.warm_at_us, 226 * S);
	dw_warmup_restart(&here, COLD, 200 * S);
	EXPECT_EQ(here.warm_at_us, 226 * S);

	evidence = { 9, 5, 1, COLD };
	EXPECT_FALSE(dw_warmup_merge(&here, &evidence, COLD, 180 * S));
	EXPECT_TRUE(dw_warmup_is_cold(&here, 181 * S));
	dw_warmup_report_seen(&here, 5, COLD, REPORT, 181 * S);
	EXPECT_FALSE(dw_warmup_is_cold(&here, 181 * S));

	evidence = { 9, 6, 0, COLD };
	EXPECT_TRUE(dw_warmup_merge(&here, &evidence, COLD, 182 * S));
	EXPECT_TRUE(dw_warmup_is_cold(&here, 182 * S));
	dw_warmup_report_seen(&here, 6, COLD, REPORT, 183 * S);
	EXPECT_FALSE(dw_warmup_is_cold(&here, 183 * S));
}

} // namespace
