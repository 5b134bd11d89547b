#include <gtest/gtest.h>

#include <dragonflywharf/store_revision.h>

namespace
{

/* Guards against a store that fell back and counts as newer because its revisions grew again. */
TEST(StoreRevision, TheEraComesFirst)
{
	EXPECT_LT(dw_revision_make(1, 133), dw_revision_make(2, 102));
	EXPECT_LT(dw_revision_make(1, DW_REVISION_NUMBER_MAX), dw_revision_make(2, 1));
	EXPECT_LT(dw_revision_make(0, DW_REVISION_NUMBER_MAX), dw_revision_make(1, 1));
	EXPECT_LT(dw_revision_make(2, 102), dw_revision_make(2, 103));
}

/* Guards against a store without eras whose conditional writes have other numbers than before. */
TEST(StoreRevision, EraZeroLeavesNumbersAsTheyAre)
{
	EXPECT_EQ(dw_revision_make(0, 102), 102U);
	EXPECT_EQ(dw_revision_number(102), 102U);
	EXPECT_EQ(dw_revision_era(102), 0U);
}

/* Guards against "no such key" that becomes the revision of a key in some era. */
TEST(StoreRevision, NoneStaysNoneInEachEra)
{
	EXPECT_EQ(dw_revision_make(7, 0), 0U);
	EXPECT_EQ(dw_revision_make(DW_REVISION_ERA_MAX, 0), 0U);
}

/* Guards against numbers that run into the era, and eras that run into the sign of a signed integer. */
TEST(StoreRevision, BothPartsComeBackAtTheirLimits)
{
	for (uint64_t era : { UINT64_C(0), UINT64_C(1), DW_REVISION_ERA_MAX - 1,
			      UINT64_C(0) + DW_REVISION_ERA_MAX }) {
		for (uint64_t number :
		     { UINT64_C(1), UINT64_C(2), UINT64_C(1) << 39, DW_REVISION_NUMBER_MAX - 1,
		       UINT64_C(0) + DW_REVISION_NUMBER_MAX }) {
			uint64_t revision = dw_revision_make(era, number);
			EXPECT_EQ(dw_revision_era(revision), era) << number;
			EXPECT_EQ(dw_revision_number(revision), number) << era;
			EXPECT_LE(revision, (uint64_t)INT64_MAX);
		}
	}
}

} // namespace
