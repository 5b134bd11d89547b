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

/* Guards against an order that is back for good at an instance that had given its removal up: the removal is written
 * again, and the log that had kept it passes no change on. */
TEST_F(ViewLog, AKeptDeletionThatTheStoreShowsTooIsAChange)
{
	remove(log, "order", dw_revision_make(1, 97));
	dw_view_log_complete(log, dw_revision_make(1, 97));
	dw_view_log_begin_snapshot(log, dw_revision_make(2, 95));
	dw_view_log_keep(log, dw_view_log_find(log, "order"), dw_revision_make(2, 80));
	dw_view_log_complete(log, dw_revision_make(2, 95));
	dw_view_log_begin_snapshot(log, dw_revision_make(2, 99));
	EXPECT_EQ(dw_view_log_next_missing(log, dw_revision_make(2, 99), 1), nullptr)
		<< "nothing new";
	EXPECT_EQ(dw_view_log_find(log, "order")->revision, dw_revision_make(2, 99));
	EXPECT_EQ(dw_view_log_kept_count(log), 0U);
}

TEST_F(ViewLog, WithoutACopyEverythingIsNeeded)
{
	EXPECT_FALSE(dw_view_log_covers(log, 0));
	EXPECT_EQ(dw_view_log_revision(log), 0U);
	dw_view_log_complete(log, 7);
	dw_view_log_complete(log, 6);
	EXPECT_EQ(dw_view_log_revision(log), 7U);
}

/* A store that is restored now and then, and logs that read it and each other. Two values for few keys, so that the
 * same numbers and values come again. */
struct Spread {
	using state = std::map<std::string, std::pair<uint64_t, std::string>>; /* revision, value */
	struct change {
		std::string key;
		uint64_t revision;
		bool deleted;
		std::string value;
	};
	std::mt19937_64 random;
	state now;
	state copy;
	uint64_t era = 1;
	uint64_t number = 10;
	uint64_t copy_number = 10;
	std::vector<change> history; /* of this era, without what was discarded */
	uint64_t history_from = dw_revision_make(1, 10);
	std::map<uint64_t, std::map<std::string, std::string>> truth; /* by revision */
	std::vector<dw_view_log *> logs;
	uint64_t now_us = 1;
	uint64_t answers = 0;

	explicit Spread(uint64_t seed, size_t count) : random(seed), logs(count)
	{
		for (auto &log : logs)
			log = dw_view_log_new();
		note();
	}
	~Spread()
	{
		for (auto *log : logs)
			dw_view_log_free(log);
	}
	uint64_t revision() const
	{
		return dw_revision_make(era, number);
	}
	void note()
	{
		auto &contents = truth[revision()];
		contents.clear();
		for (const auto &[key, entry] : now)
			contents[key] = entry.second;
	}
	void write(bool may_delete = true)
	{
		std::string key = "key" + std::to_string(random() % 6);
		bool is_deletion = may_delete && now.count(key) > 0 && random() % 3 == 0;
		std::string value = random() % 2 ? "one" : "two";
		number++;
		if (is_deletion)
			now.erase(key);
		else
			now[key] = { revision(), value };
		history.push_back({ key, revision(), is_deletion, value });
		note();
	}
	void backup()
	{
		copy = now;
		copy_number = number;
	}
	void restore()
	{
		era++;
		now.clear();
		for (const auto &[key, entry] : copy)
			now[key] = { dw_revision_make(era, dw_revision_number(entry.first)),
				     entry.second };
		number = copy_number;
		history.clear();
		history_from = revision();
		note();
	}
	void discard_history()
	{
		history.clear();
		history_from = revision();
	}
	bool put(dw_view_log *log, const std::string &key, const std::string &value,
		 uint64_t revision, bool deleted) const
	{
		dw_view_record record{};
		record.key = key.c_str();
		record.value = deleted ? nullptr : (const uint8_t *)value.c_str();
		record.value_len = deleted ? 0 : value.size();
		record.revision = revision;
		record.deleted = deleted;
		return dw_view_log_put(log, &record, now_us);
	}
	void read_store(dw_view_log *log)
	{
		uint64_t after = dw_view_log_revision(log);
		if (after > 0 && dw_revision_era(after) == era && after >= history_from) {
			for (const change &each : history) {
				if (each.revision > after)
					put(log, each.key, each.value, each.revision, each.deleted);
			}
			dw_view_log_complete(log, revision());
			return;
		}
		uint64_t first_page = revision();
		state listed = now;
		dw_view_log_begin_snapshot(log, first_page);
		if (random() % 5 == 0)
			return; /* its first record can't be unpacked */
		/* Pages are no snapshot: the second one has a write that the first one lacks. */
		if (random() % 2)
			write(false);
		for (const auto &[key, entry] : now) {
			if (key < "key3" && listed.count(key) > 0)
				put(log, key, listed[key].second, listed[key].first, false);
			else if (key >= "key3")
				put(log, key, entry.second, entry.first, false);
		}
		while (dw_view_log_next_missing(log, first_page, now_us))
			;
		dw_view_log_complete(log, first_page);
	}
	/* As an instance does that knows all changes up to its revision and asks another one. */
	void ask(dw_view_log *log, const dw_view_log *source)
	{
		uint64_t after = dw_view_log_revision(log);
		uint64_t answered = dw_view_log_revision(source);
		const dw_view_record *record = nullptr;
		if (answered == 0 || dw_revision_era(answered) < dw_revision_era(after))
			return;
		if (after > 0 && !dw_view_log_covers(source, after)) {
			read_store(log);
			return;
		}
		/* Within an era not even a gateway does so: not covered is a key that was read ahead of the
		 * revision, and deleted in a gap of the source's history. */
		if (after > 0 && dw_view_log_is_ahead(log)) {
			read_store(log);
			return;
		}
		answers++;
		if (after > 0 && dw_view_log_has_gap_after(source, after))
			dw_view_log_note_gap(log, answered);
		if (after == 0)
			dw_view_log_begin_snapshot(log, answered);
		while ((record = dw_view_log_next(source, record))) {
			if (after == 0 ? !record->deleted : record->revision > after)
				dw_view_log_put(log, record, now_us);
		}
		while (after == 0 && dw_view_log_next_missing(log, answered, now_us))
			;
		dw_view_log_complete(log, answered);
	}
	/* What a log says of its revision is so, but for keys that it knows newer. */
	void check(const dw_view_log *log, const std::string &what) const
	{
		uint64_t known = dw_view_log_revision(log);
		if (known == 0)
			return;
		auto expected = truth.at(known);
		const dw_view_record *record = nullptr;
		while ((record = dw_view_log_next(log, record))) {
			auto found = expected.find(record->key);
			bool is_newer = record->revision > known;
			if (is_newer) {
				expected.erase(record->key);
				continue;
			}
			bool is_right =
				record->deleted
					? found == expected.end()
					: found != expected.end() &&
						  found->second == (const char *)record->value;
			ASSERT_TRUE(is_right)
				<< what << ": " << record->key << " of "
				<< dw_revision_era(record->revision) << "/"
				<< dw_revision_number(record->revision) << " at "
				<< dw_revision_era(known) << "/" << dw_revision_number(known);
			expected.erase(record->key);
		}
		ASSERT_TRUE(expected.empty()) << what << ": lacks " << expected.begin()->first;
	}
	void step()
	{
		size_t i = random() % logs.size();
		size_t source = random() % logs.size();
		now_us++;
		switch (random() % 16) {
		case 0:
			backup();
			break;
		case 1:
			if (random() % 3 == 0)
				restore();
			break;
		case 2:
			discard_history();
			break;
		case 3:
			dw_view_log_free(logs[i]);
			logs[i] = dw_view_log_new();
			break;
		case 4:
			dw_view_log_forget(logs[i], now_us > 40 ? now_us - 40 : 0);
			break;
		case 5:
		case 6:
		case 7:
			write();
			break;
		case 8:
		case 9:
			read_store(logs[i]);
			break;
		default:
			if (i != source)
				ask(logs[i], logs[source]);
			break;
		}
		for (size_t k = 0; k < logs.size(); k++) {
			check(logs[k], "log " + std::to_string(k));
			if (testing::Test::HasFatalFailure())
				return;
		}
	}
};

/* Guards against a log that says that it knows all changes up to a revision and lacks one, or has one that was undone:
 * restores, numbers given out again, history that is discarded or forgotten, readings that break off, other logs, and
 * logs that start. */
TEST(ViewLogSpread, EachLogHoldsWhatItsRevisionSays)
{
	uint64_t answers = 0;
	for (uint64_t seed = 1; seed <= 400; seed++) {
		Spread spread(seed, 4);
		for (int step = 0; step < 600; step++) {
			SCOPED_TRACE("seed " + std::to_string(seed) + ", step " +
				     std::to_string(step));
			spread.step();
			if (HasFatalFailure())
				return;
		}
		answers += spread.answers;
	}
	EXPECT_GT(answers, 20000U) << "answers between logs are played";
}

} // namespace
