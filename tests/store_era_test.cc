#include <gtest/gtest.h>

#include <dragonflywharf/store_era.h>

namespace
{

struct answer {
	const char *failure; /* what goes wrong otherwise */
	uint64_t newest; /* known when the answer arrives */
	dw_era_field field;
	uint64_t value;
	uint64_t when_sent;
	bool is_taken;
	uint64_t newest_after;
	uint64_t late;
	uint64_t bad;
};

const answer answers[] = {
	{ "a store without eras is refused", 0, DW_ERA_MISSING, 0, 0, true, 0, 0, 0 },
	{ "a store without eras that says 0 is refused", 0, DW_ERA_GIVEN, 0, 0, true, 0, 0, 0 },
	{ "the first era isn't noted", 0, DW_ERA_GIVEN, 3, 0, true, 3, 0, 0 },
	{ "the same era counts as a restore", 3, DW_ERA_GIVEN, 3, 3, true, 3, 0, 0 },
	{ "a restore isn't noted", 3, DW_ERA_GIVEN, 4, 3, true, 4, 0, 0 },
	{ "two restores between two answers aren't noted", 3, DW_ERA_GIVEN, 5, 3, true, 5, 0, 0 },
	{ "an answer of before the restore is taken for one of after it", 4, DW_ERA_GIVEN, 3, 3,
	  false, 4, 1, 0 },
	{ "the same over two restores", 5, DW_ERA_GIVEN, 3, 3, false, 5, 1, 0 },
	{ "a call over the restore that the store executed after it is dropped", 4, DW_ERA_GIVEN, 4,
	  3, true, 4, 0, 0 },
	{ "an era that falls takes the instance back", 4, DW_ERA_GIVEN, 2, 4, true, 4, 0, 1 },
	{ "an era of 0 takes the instance back", 4, DW_ERA_GIVEN, 0, 4, true, 4, 0, 1 },
	{ "a missing era takes the instance back", 4, DW_ERA_MISSING, 0, 4, true, 4, 0, 1 },
	{ "an unreadable era takes the instance back", 4, DW_ERA_UNREADABLE, 0, 4, true, 4, 0, 1 },
	{ "an unreadable era of a store that never gave one isn't counted", 0, DW_ERA_UNREADABLE, 0,
	  0, true, 0, 0, 1 },
	{ "an answer without an era that may be of before the restore is taken", 4, DW_ERA_MISSING,
	  0, 3, false, 4, 1, 1 },
	{ "an answer with an unreadable era that may be of before the restore is taken", 4,
	  DW_ERA_UNREADABLE, 0, 3, false, 4, 1, 1 },
};

/* Guards against the failure that each row names. */
TEST(StoreEra, AnswersAreOrderedByTheirEra)
{
	for (const answer &row : answers) {
		dw_store_era era{};
		era.newest = row.newest;
		EXPECT_EQ(dw_store_era_answered(&era, row.field, row.value, row.when_sent),
			  row.is_taken)
			<< row.failure;
		EXPECT_EQ(era.newest, row.newest_after) << row.failure;
		EXPECT_EQ(era.late_answers, row.late) << row.failure;
		EXPECT_EQ(era.bad_answers, row.bad) << row.failure;
	}
}

/* Guards against an era that only other instances have seen, and that is taken back by what they tell. */
TEST(StoreEra, OthersMayKnowALaterOne)
{
	dw_store_era era{};
	dw_store_era_told(&era, 3);
	EXPECT_EQ(era.newest, 3U);
	dw_store_era_told(&era, 2);
	dw_store_era_told(&era, 0);
	EXPECT_EQ(era.newest, 3U);
	EXPECT_FALSE(dw_store_era_answered(&era, DW_ERA_GIVEN, 2, 2)) << "sent before that";
}

/* Guards against an era that ever falls, whatever arrives in whatever order. */
TEST(StoreEra, ItNeverFalls)
{
	dw_store_era era{};
	uint64_t random = 7;
	for (int i = 0; i < 10000; i++) {
		uint64_t before = era.newest;
		random = random * UINT64_C(6364136223846793005) + 1442695040888963407U;
		auto field = (dw_era_field)((random >> 33) % DW_ERA_FIELD_COUNT);
		uint64_t value = (random >> 40) % 6;
		uint64_t sent = (random >> 50) % (before + 1);
		bool is_taken = dw_store_era_answered(&era, field, value, sent);
		ASSERT_GE(era.newest, before);
		if (field == DW_ERA_GIVEN && value >= before) {
			ASSERT_TRUE(is_taken);
		}
		if (sent < before && (field != DW_ERA_GIVEN || value < before)) {
			ASSERT_FALSE(is_taken);
		}
	}
}

} // namespace
