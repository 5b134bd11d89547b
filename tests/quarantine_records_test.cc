// Quarantines in a store that comes back from an older copy: what it has lost is written again by one of those that
// hold it, and what they hold isn't lowered by what it shows.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "wharf-gateway/crash_guard.h"
}

#include "support/fake_store.h"

namespace
{

constexpr uint64_t MS = 1000;
const dw_fingerprint POISON = { 13, 14 };
const char *const TWO_CRASHES = "{\"crashes\":[[1,100],[2,100]],\"engines\":[]}";
const char *const ONE_CRASH = "{\"crashes\":[[1,100]],\"engines\":[]}";
const char *const LIFTED = "{\"lifted\":true}";
const char *const PART_CRASHES = "{\"crashes\":[[1,100,51,7,9000,0],[2,100,52,7,6000,0],[3,100,53,"
				 "7,3000,0]],\"engines\":[]}";

/* One instance, the first reader, in the first era of a store. */
struct QuarantineRecords : testing::Test {
	FILE *sink = fopen("/dev/null", "w");
	dw_log log{};
	uv_loop_t loop{};
	support::fake_store store;
	era_guard era{};
	dw_engine_set *engines = dw_engine_set_new();
	crash_guard guard{};
	dw_view_place place{};

	QuarantineRecords()
	{
		place.members = 20;
		place.readers = 3;
		dw_log_init(&log, sink, "front-1", DW_LEVEL_ERROR);
		uv_loop_init(&loop);
		era_guard_init(&era, &log);
		enter_era(1, 10);
		crash_guard_init(&guard, &log, engines, &era);
		crash_guard_start(&guard, &loop, &store.base, 7);
	}
	~QuarantineRecords() override
	{
		uv_close((uv_handle_t *)&guard.records.timer, nullptr);
		uv_close((uv_handle_t *)&guard.parts.records.timer, nullptr);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		crash_guard_close(&guard);
		dw_engine_set_free(engines);
		fclose(sink);
	}
	/* The view has taken in the first state of an era, in which the guard's key has this revision. */
	void enter_era(uint64_t number, uint64_t guard_revision)
	{
		era.era = number;
		era.record_era = guard_revision > 0 ? number : number - 1;
		era.revision = dw_revision_make(number, guard_revision);
	}
	void restored(uint64_t number, uint64_t guard_revision)
	{
		enter_era(number, guard_revision);
		crash_guard_store_restored(&guard, &place, dw_clock_now_us());
	}
	void apply(const std::string &prefix, dw_fingerprint of, uint64_t revision,
		   const char *value)
	{
		char text[DW_FINGERPRINT_TEXT_BYTES];
		dw_fingerprint_text(of, text);
		std::string key = prefix + text;
		dw_store_event event{};
		event.deleted = !value;
		event.entry.key = key.c_str();
		event.entry.value = (const uint8_t *)value;
		event.entry.value_len = value ? strlen(value) : 0;
		event.entry.mod_revision = revision;
		crash_guard_apply_record(&guard, &event);
	}
	void apply(uint64_t revision, const char *value)
	{
		apply("wharf/quarantine/", POISON, revision, value);
	}
	bool is_quarantined() const
	{
		return dw_quarantine_check(guard.quarantine, POISON, dw_clock_now_us()) != DW_OK;
	}
	/* Writes that the store has got after this time. */
	size_t writes_after(uint64_t ms)
	{
		uint64_t end_us = dw_clock_now_us() + ms * MS;
		while (dw_clock_now_us() < end_us)
			uv_run(&loop, UV_RUN_ONCE);
		return store.writes.size();
	}
};

/* Guards against a quarantine that instances which start after a restore don't know. */
TEST_F(QuarantineRecords, ALostOneIsWrittenAgain)
{
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	ASSERT_TRUE(is_quarantined());
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	EXPECT_TRUE(is_quarantined());
	ASSERT_EQ(writes_after(800), 1U);
	EXPECT_EQ(store.writes[0].expected, 0U);
	EXPECT_EQ(store.writes[0].guard_revision, dw_revision_make(2, 41));
	EXPECT_NE(store.writes[0].value.find("[[1,100],[2,100]]"), std::string::npos)
		<< store.writes[0].value;
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 45));
	EXPECT_EQ(writes_after(1500), 1U) << "it is written";
	EXPECT_EQ(era.rewritten[ERA_REWRITE_QUARANTINE], 1U);
}

/* Guards against a quarantine that is lowered to the suspicion that the copy holds. */
TEST_F(QuarantineRecords, AnOlderOneIsReplaced)
{
	apply(dw_revision_make(1, 30), ONE_CRASH);
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	apply(dw_revision_make(2, 30), ONE_CRASH);
	restored(2, 41);
	EXPECT_TRUE(is_quarantined());
	ASSERT_EQ(writes_after(800), 1U);
	EXPECT_EQ(store.writes[0].expected, dw_revision_make(2, 30));
	EXPECT_NE(store.writes[0].value.find("[2,100]"), std::string::npos);
}

/* Guards against each instance writing what another one has written by then, or what the copy still has. */
TEST_F(QuarantineRecords, OneThatTheStoreHasIsNotWritten)
{
	const dw_fingerprint other = { 15, 16 };
	apply("wharf/quarantine/", other, dw_revision_make(1, 20), TWO_CRASHES);
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	apply(dw_revision_make(2, 42), TWO_CRASHES);
	EXPECT_EQ(writes_after(800), 0U);
}

/* Guards against a burst: an instance that reads the store only in the readers' place leaves the write to them. */
TEST_F(QuarantineRecords, OthersThanTheReadersWait)
{
	place.rank = 12;
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	EXPECT_EQ(writes_after(1500), 0U);
}

/* Guards against a burst of all records of an instance. */
TEST_F(QuarantineRecords, ManyAreWrittenOneAfterTheOther)
{
	constexpr uint64_t RECORDS = 60;
	for (uint64_t i = 0; i < RECORDS; i++)
		apply("wharf/quarantine/", { i * 7919, i }, dw_revision_make(1, 50 + i),
		      TWO_CRASHES);
	for (uint64_t i = 0; i < RECORDS; i++)
		apply("wharf/quarantine/", { i * 7919, i }, dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	EXPECT_LE(writes_after(1000), RECORDS / 2);
	EXPECT_EQ(writes_after(3000), RECORDS);
}

/* Guards against a write, and a lease, before the era's key is written; then against a burst of what was due. */
TEST_F(QuarantineRecords, ItWaitsForTheKeyOfTheEra)
{
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 0);
	EXPECT_EQ(writes_after(1000), 0U);
	EXPECT_EQ(store.leases, 0U);
	enter_era(2, 41);
	EXPECT_EQ(writes_after(700), 1U);
}

/* Guards against a lifted quarantine that is in force again, as the copy has its crashes, or has nothing. */
TEST_F(QuarantineRecords, ALiftedOneIsWrittenAgainAsLifted)
{
	const char *const shown[] = { TWO_CRASHES, nullptr };
	uint64_t number = 1;
	for (const char *value : shown) {
		apply(dw_revision_make(number, 30), TWO_CRASHES);
		apply(dw_revision_make(number, 50), LIFTED);
		ASSERT_FALSE(is_quarantined());
		size_t before = store.writes.size();
		number++;
		apply(dw_revision_make(number, 30), value);
		restored(number, 41);
		EXPECT_FALSE(is_quarantined());
		ASSERT_EQ(writes_after(800), before + 1) << (value ? value : "missing");
		EXPECT_NE(store.writes[before].value.find("\"lifted\":true"), std::string::npos);
		EXPECT_EQ(store.writes[before].expected, value ? dw_revision_make(number, 30) : 0);
		store.answer(before, DW_STORE_DONE, dw_revision_make(number, 45));
	}
}

/* Guards against a lifted quarantine that comes back with an instance that hadn't read that it was lifted. */
TEST_F(QuarantineRecords, ALiftedOneThatAnotherInstanceWroteAgainIsLifted)
{
	apply(dw_revision_make(1, 30), TWO_CRASHES);
	apply(dw_revision_make(1, 50), LIFTED);
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	ASSERT_EQ(writes_after(500), 1U);
	store.answer(0, DW_STORE_CONFLICT, dw_revision_make(2, 43));
	apply(dw_revision_make(2, 43), TWO_CRASHES);
	EXPECT_FALSE(is_quarantined());
	ASSERT_EQ(writes_after(1500), 2U);
	EXPECT_NE(store.writes[1].value.find("\"lifted\":true"), std::string::npos);
	EXPECT_EQ(store.writes[1].expected, dw_revision_make(2, 43));
}

/* Guards against new evidence that all instances drop, as the lift of the earlier one is written again over it. */
TEST_F(QuarantineRecords, ALiftThatWasFollowedByACrashIsNotWritten)
{
	apply(dw_revision_make(1, 30), TWO_CRASHES);
	apply(dw_revision_make(1, 50), LIFTED);
	dw_quarantine_evidence crash = { POISON, 3, 100, 600000 * MS, false };
	crash_guard_merge(&guard, &crash, 1, DW_SPREAD_NOWHERE, "front-2");
	apply(dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	EXPECT_EQ(writes_after(800), 0U);
	EXPECT_TRUE(dw_quarantine_is_suspect(guard.quarantine, POISON, dw_clock_now_us()));
}

/* Guards against a record that this instance has written, was acknowledged, and nobody has read. */
TEST_F(QuarantineRecords, OneThatWasLostBeforeItWasReadIsWrittenAgain)
{
	dw_quarantine_evidence crashes[2]{};
	for (uint64_t i = 0; i < 2; i++)
		crashes[i] = { POISON, i + 1, 100, 600000 * MS, false };
	crash_guard_merge(&guard, crashes, 2, DW_SPREAD_NOWHERE, "own");
	ASSERT_EQ(writes_after(300), 1U);
	store.answer(0, DW_STORE_DONE, dw_revision_make(1, 60));
	restored(2, 41);
	ASSERT_EQ(writes_after(800), 2U);
	EXPECT_EQ(store.writes[1].expected, 0U);
}

/* Guards against suspicions that are written as if the store had had them: most are innocent. */
TEST_F(QuarantineRecords, ASuspicionThatWasNeverStoredIsNotWritten)
{
	dw_quarantine_evidence crash = { POISON, 1, 100, 600000 * MS, false };
	crash_guard_merge(&guard, &crash, 1, DW_SPREAD_NOWHERE, "own");
	restored(2, 41);
	EXPECT_EQ(writes_after(800), 0U);
}

/* The same rule holds for parts of prompts. */
TEST_F(QuarantineRecords, APartThatWasLostIsWrittenAgain)
{
	apply("wharf/quarantined-parts/", POISON, dw_revision_make(1, 50), PART_CRASHES);
	apply("wharf/quarantined-parts/", POISON, dw_revision_make(2, 40), nullptr);
	restored(2, 41);
	EXPECT_TRUE(dw_part_quarantine_is_quarantined(guard.parts.quarantine, POISON,
						      dw_clock_now_us()));
	ASSERT_EQ(writes_after(800), 1U);
	EXPECT_EQ(store.writes[0].key.find("wharf/quarantined-parts/"), 0U);
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 45));
	EXPECT_EQ(era.rewritten[ERA_REWRITE_PART], 1U);
}

/* Guards against a record that stays away, as it was removed at the end of its lease and then restored. */
TEST_F(QuarantineRecords, OneThatEndedWithItsLeaseIsNotWritten)
{
	apply(dw_revision_make(1, 50), TWO_CRASHES);
	apply(dw_revision_make(1, 60), nullptr);
	restored(2, 41);
	EXPECT_EQ(writes_after(800), 0U);
}

} // namespace
