#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include <dragonflywharf/store_revision.h>
#include <dragonflywharf/view_log.h>

namespace
{

struct ViewLog : testing::Test {
	dw_view_log *log = dw_view_log_new();

	~ViewLog() override
	{
		dw_view_log_free(log);
	}
	static bool put(dw_view_log *to, const std::string &key, const std::string &value,
			uint64_t revision, uint64_t now_us = 1)
	{
		dw_view_record record{};
		record.key = key.c_str();
		record.value = (const uint8_t *)value.c_str();
		record.value_len = value.size();
		record.revision = revision;
		return dw_view_log_put(to, &record, now_us);
	}
	static bool remove(dw_view_log *from, const std::string &key, uint64_t revision,
			   uint64_t now_us = 1)
	{
		dw_view_record record{};
		record.key = key.c_str();
		record.revision = revision;
		record.deleted = true;
		return dw_view_log_put(from, &record, now_us);
	}
	static std::map<std::string, std::string> contents(const dw_view_log *of)
	{
		std::map<std::string, std::string> all;
		const dw_view_record *record = nullptr;
		while ((record = dw_view_log_next(of, record))) {
			if (!record->deleted)
				all[record->key] = (const char *)record->value;
		}
		return all;
	}
	/* What an instance does that knows all changes up to @p after and asks this one. */
	void bring_up_to_date(dw_view_log *other, uint64_t after) const
	{
		const dw_view_record *record = nullptr;
		bool is_snapshot = !dw_view_log_covers(log, after);
		if (is_snapshot)
			dw_view_log_begin_snapshot(other, dw_view_log_revision(log));
		else if (dw_view_log_has_gap_after(log, after))
			dw_view_log_note_gap(other, dw_view_log_revision(log));
		while ((record = dw_view_log_next(log, record))) {
			if (is_snapshot ? !record->deleted : record->revision > after)
				dw_view_log_put(other, record, 1);
		}
		while (is_snapshot && dw_view_log_next_missing(other, dw_view_log_revision(log), 1))
			;
		dw_view_log_complete(other, dw_view_log_revision(log));
	}
};

TEST_F(ViewLog, ANewerRecordReplacesAnOlderOne)
{
	EXPECT_TRUE(put(log, "a", "two", 2));
	EXPECT_FALSE(put(log, "a", "one", 1));
	EXPECT_FALSE(put(log, "a", "again", 2));
	EXPECT_STREQ((const char *)dw_view_log_find(log, "a")->value, "two");
	EXPECT_TRUE(remove(log, "a", 3));
	EXPECT_FALSE(put(log, "a", "late", 2)) << "a late event doesn't bring a deleted key back";
	EXPECT_TRUE(contents(log).empty());
}

TEST_F(ViewLog, ASnapshotDeletesWhatItDoesNotList)
{
	put(log, "a", "1", 1);
	put(log, "b", "2", 2);
	put(log, "newer", "9", 9);
	dw_view_log_begin_snapshot(log, 5);
	put(log, "b", "2", 2);
	const dw_view_record *missing = dw_view_log_next_missing(log, 5, 1);
	ASSERT_NE(missing, nullptr);
	EXPECT_STREQ(missing->key, "a");
	EXPECT_EQ(dw_view_log_next_missing(log, 5, 1), nullptr) << "newer was written after it";
	EXPECT_EQ(contents(log).size(), 2U);
}

/* A server that left stays gone: an instance that remembers it is told, also by one that has started
 * after the deletion and never knew it. */
TEST_F(ViewLog, ADeletionBeforeTheFirstCopyIsTold)
{
	dw_view_log *old = dw_view_log_new();
	put(old, "servers/gone", "x", 3);
	put(old, "servers/there", "y", 4);
	dw_view_log_complete(old, 4);
	/* Deleted with revision 5; this instance's first copy is of revision 6. */
	dw_view_log_begin_snapshot(log, 6);
	put(log, "servers/there", "y", 4);
	put(log, "config", "z", 6);
	dw_view_log_complete(log, 6);
	bring_up_to_date(old, 4);
	EXPECT_EQ(contents(old), contents(log));
	EXPECT_EQ(contents(old).count("servers/gone"), 0U);
	dw_view_log_free(old);
}

/* A deletion that was forgotten is told as well. */
TEST_F(ViewLog, AForgottenDeletionIsTold)
{
	dw_view_log *old = dw_view_log_new();
	put(old, "gone", "x", 3);
	dw_view_log_complete(old, 3);
	put(log, "gone", "x", 3);
	put(log, "there", "y", 4);
	remove(log, "gone", 5, 10);
	dw_view_log_complete(log, 5);
	EXPECT_TRUE(dw_view_log_covers(log, 3));
	dw_view_log_forget(log, 11);
	EXPECT_EQ(dw_view_log_count(log), 1U);
	EXPECT_FALSE(dw_view_log_covers(log, 3));
	EXPECT_TRUE(dw_view_log_covers(log, 5));
	bring_up_to_date(old, 3);
	EXPECT_EQ(contents(old), contents(log));
	dw_view_log_free(old);
}

/* A configuration of 1,449 routes, passed on to eight instances each over links of 20 Mbit/s, was in
 * force after 4.3 s of 3. */
TEST_F(ViewLog, LargeChangesAreNotPassedOn)
{
	put(log, "config", std::string(300000, 'x'), 5);
	put(log, "servers/e1", std::string(250, 'x'), 6);
	dw_view_log_complete(log, 6);
	EXPECT_FALSE(dw_view_log_is_small(log, 4));
	EXPECT_TRUE(dw_view_log_is_small(log, 5));
	EXPECT_TRUE(dw_view_log_is_small(log, 6));
	for (uint64_t i = 0; i < 300; i++)
		put(log, "servers/f" + std::to_string(i), std::string(250, 'x'), 7 + i);
	EXPECT_FALSE(dw_view_log_is_small(log, 6)) << "many small ones";
	EXPECT_TRUE(dw_view_log_is_small(log, 206));
}

/* Guards against a lost record that is written again with the number and value that it had, and isn't passed on to
 * instances that never had it. */
TEST_F(ViewLog, AKeptRecordWrittenAgainWithItsNumberIsAChange)
{
	uint64_t known = dw_revision_make(1, 96);
	uint64_t entered = dw_revision_make(2, 95);
	put(log, "order", "v", known);
	dw_view_log_complete(log, known);
	dw_view_log_begin_snapshot(log, entered);
	dw_view_log_keep(log, dw_view_log_find(log, "order"), entered);
	dw_view_log_complete(log, entered);
	EXPECT_FALSE(put(log, "order", "older", dw_revision_make(2, 90))) << "what the store shows";
	EXPECT_EQ(dw_view_log_kept_count(log), 1U);
	EXPECT_TRUE(put(log, "order", "v", dw_revision_make(2, 96)));
	EXPECT_EQ(dw_view_log_kept_count(log), 0U);
	EXPECT_EQ(dw_view_log_find(log, "order")->revision, dw_revision_make(2, 96));
}

/* Guards against a removed engine that is back 120 s after the restore, as its removal was forgotten while the store
 * still showed the entry. */
TEST_F(ViewLog, AKeptDeletionIsNotForgotten)
{
	uint64_t over = dw_revision_make(2, 95);
	remove(log, "servers/gone", dw_revision_make(1, 97), 10);
	dw_view_log_keep(log, dw_view_log_find(log, "servers/gone"), over);
	dw_view_log_forget(log, 11);
	EXPECT_FALSE(put(log, "servers/gone", "older", dw_revision_make(2, 80)));
	EXPECT_TRUE(contents(log).empty());
	EXPECT_TRUE(put(log, "servers/gone", "later", dw_revision_make(2, 96)));
}

/* Guards against a log that entered an era through another's changes, and passes changes on as complete that lack what
 * both knew before: a record has the same number and value in both eras. */
TEST_F(ViewLog, NoRevisionBetweenTwoErasIsCoveredAfterChanges)
{
	uint64_t before = dw_revision_make(1, 97);
	uint64_t gap = dw_revision_make(2, 95);
	uint64_t now = dw_revision_make(2, 98);
	dw_view_log *second = dw_view_log_new();
	for (dw_view_log *each : { log, second }) {
		put(each, "a", "v", before);
		dw_view_log_complete(each, before);
	}
	/* The copy was of 95, and "a" was written again with the number 97. */
	dw_view_log_begin_snapshot(log, now);
	put(log, "a", "v", dw_revision_make(2, 97));
	dw_view_log_complete(log, now);
	bring_up_to_date(second, before);
	EXPECT_TRUE(dw_view_log_covers(second, before));
	EXPECT_FALSE(dw_view_log_covers(second, gap));
	EXPECT_TRUE(dw_view_log_covers(second, now));
	dw_view_log_free(second);
}

/* Guards against an instance that asks the store though its source knows the changes, as a reading of all keys had
 * been begun before and wasn't completed. */
TEST_F(ViewLog, ASnapshotThatIsBegunTwiceForgetsNothing)
{
	put(log, "a", "v", dw_revision_make(1, 97));
	dw_view_log_complete(log, dw_revision_make(1, 97));
	dw_view_log_begin_snapshot(log, dw_revision_make(2, 95));
	dw_view_log_begin_snapshot(log, dw_revision_make(2, 96));
	put(log, "a", "v", dw_revision_make(2, 90));
	dw_view_log_complete(log, dw_revision_make(2, 96));
	EXPECT_TRUE(dw_view_log_covers(log, dw_revision_make(1, 97)));
	EXPECT_FALSE(dw_view_log_covers(log, dw_revision_make(2, 95)));
	EXPECT_TRUE(dw_view_log_covers(log, dw_revision_make(2, 96)));
}

/* Guards against an engine that stays after it was removed: its entry was written and removed while the source's source
 * had lost the store's history, and the source passed changes on as all. */
TEST_F(ViewLog, ChangesOverAGapAreNotPassedOnAsAll)
{
	dw_view_log *second = dw_view_log_new();
	dw_view_log_complete(log, 11);
	dw_view_log_complete(second, 11);
	dw_view_log_begin_snapshot(log, 18);
	dw_view_log_complete(log, 18);
	EXPECT_TRUE(dw_view_log_has_gap_after(log, 11));
	EXPECT_FALSE(dw_view_log_has_gap_after(log, 18));
	bring_up_to_date(second, 11);
	EXPECT_FALSE(dw_view_log_covers(second, 17)) << "of an instance that read the store at 17";
	EXPECT_TRUE(dw_view_log_covers(second, 11));
	EXPECT_TRUE(dw_view_log_covers(second, 18));
	dw_view_log_free(second);
}

TEST_F(ViewLog, WithoutACopyEverythingIsNeeded)
{
	EXPECT_FALSE(dw_view_log_covers(log, 0));
	EXPECT_EQ(dw_view_log_revision(log), 0U);
	dw_view_log_complete(log, 7);
	dw_view_log_complete(log, 6);
	EXPECT_EQ(dw_view_log_revision(log), 7U);
}

} // namespace
