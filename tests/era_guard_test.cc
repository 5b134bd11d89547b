#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "wharf-gateway/era_guard.h"
}

#include "support/fake_store.h"

namespace
{

constexpr uint64_t SECOND = 1000000;

/* The first reader of three, in a store whose first era had the key at revision 20. */
struct EraGuard : testing::Test {
	char *text = nullptr;
	size_t text_len = 0;
	FILE *sink = open_memstream(&text, &text_len);
	dw_log log{};
	uv_loop_t loop{};
	support::fake_store store;
	era_guard guard{};
	dw_view_place place{};

	EraGuard()
	{
		place.members = 20;
		place.readers = 3;
		dw_log_init(&log, sink, "front-1", DW_LEVEL_INFO);
		uv_loop_init(&loop);
		era_guard_init(&guard, &log);
		era_guard_start(&guard, &loop, &store.base, 7);
		store.base.era.newest = 1;
		apply(1, 20, "{\"era\":1,\"config\":100}");
		enter(1, false);
		while (guard.write_due_us > 0)
			uv_run(&loop, UV_RUN_ONCE);
	}
	~EraGuard() override
	{
		uv_close((uv_handle_t *)&guard.timer, nullptr);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		fclose(sink);
		free(text);
	}
	void apply(uint64_t era, uint64_t number, const char *value)
	{
		dw_store_event event{};
		event.deleted = !value;
		event.entry.key = "wharf/era";
		event.entry.value = (const uint8_t *)value;
		event.entry.value_len = value ? strlen(value) : 0;
		event.entry.mod_revision = dw_revision_make(era, number);
		era_guard_apply(&guard, &event);
	}
	void enter(uint64_t era, bool has_memory)
	{
		store.base.era.newest = era;
		era_guard_entered(&guard, era, has_memory, &place, dw_clock_now_us());
	}
	/* Runs the timer until the store has got this many writes, for at most two seconds. */
	bool runs_until_writes(size_t count)
	{
		uint64_t end_us = dw_clock_now_us() + 2 * SECOND;
		while (store.writes.size() < count && dw_clock_now_us() < end_us)
			uv_run(&loop, UV_RUN_ONCE);
		return store.writes.size() >= count;
	}
	std::string logged()
	{
		fflush(sink);
		return std::string(text, text_len);
	}
};

/* Guards against a write that is applied in another era than the one that it was prepared in. */
TEST_F(EraGuard, WritesWaitForTheKeyOfTheEraAndDependOnIt)
{
	struct dw_store_put put {
	};
	ASSERT_TRUE(era_guard_allows_writes(&guard));
	enter(2, true);
	EXPECT_FALSE(era_guard_allows_writes(&guard)) << "the copy has the key of era 1";
	ASSERT_TRUE(runs_until_writes(1));
	EXPECT_EQ(store.writes[0].expected, dw_revision_make(1, 20));
	EXPECT_EQ(store.writes[0].era, 2U);
	EXPECT_EQ(store.writes[0].value, "{\"era\":2,\"config\":100}");
	EXPECT_FALSE(era_guard_allows_writes(&guard)) << "it isn't answered";
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 31));
	ASSERT_TRUE(era_guard_allows_writes(&guard));
	era_guard_condition(&guard, &put);
	EXPECT_STREQ(put.guard_key, "wharf/era");
	EXPECT_EQ(put.guard_revision, dw_revision_make(2, 31));
	EXPECT_EQ(put.era, 2U);
}

/* Guards against a store without eras that gets a key, or conditions on it. */
TEST_F(EraGuard, AStoreWithoutErasHasNoSuchKey)
{
	era_guard none{};
	struct dw_store_put put {
	};
	era_guard_init(&none, &log);
	EXPECT_TRUE(era_guard_allows_writes(&none));
	era_guard_condition(&none, &put);
	EXPECT_EQ(put.guard_key, nullptr);
	EXPECT_EQ(put.era, 0U);
}

/* Guards against a write by what is known of the era before, while the view hasn't taken in the new one. */
TEST_F(EraGuard, WritesWaitOnceTheStoreHasAnsweredInALaterEra)
{
	store.base.era.newest = 2;
	EXPECT_FALSE(era_guard_allows_writes(&guard));
	era_guard started{};
	era_guard_init(&started, &log);
	started.store = &store.base;
	EXPECT_FALSE(era_guard_allows_writes(&started)) << "it knows no era yet";
}

/* Guards against a write of the earlier era that meets the key's old revision, given out again to the key itself. */
TEST_F(EraGuard, AKeyThatGotItsOldRevisionIsWrittenOnceMore)
{
	apply(2, 18, nullptr);
	enter(2, true);
	ASSERT_TRUE(runs_until_writes(1));
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 20));
	EXPECT_FALSE(era_guard_allows_writes(&guard));
	ASSERT_TRUE(runs_until_writes(2));
	EXPECT_EQ(store.writes[1].expected, dw_revision_make(2, 20));
	store.answer(1, DW_STORE_DONE, dw_revision_make(2, 21));
	EXPECT_TRUE(era_guard_allows_writes(&guard));
}

/* Guards against a system that never writes again, as another writer has removed the key or made it unreadable. */
TEST_F(EraGuard, AKeyThatAnotherWriterSpoiledIsWrittenAgain)
{
	const char *const spoiled[] = { nullptr, "{\"era\":\"two\"}", "[", "{\"era\":9}" };
	uint64_t number = 30;
	for (const char *value : spoiled) {
		size_t before = store.writes.size();
		apply(1, ++number, value);
		EXPECT_FALSE(era_guard_allows_writes(&guard));
		ASSERT_TRUE(runs_until_writes(before + 1)) << (value ? value : "removed");
		EXPECT_EQ(store.writes.back().expected, value ? dw_revision_make(1, number) : 0);
		store.answer(before, DW_STORE_DONE, dw_revision_make(1, ++number));
		EXPECT_TRUE(era_guard_allows_writes(&guard));
	}
}

/* Guards against a key whose newer state, which came with the view, is forgotten as the answer to a write is late. */
TEST_F(EraGuard, ALateAnswerDoesNotReplaceANewerState)
{
	enter(2, true);
	ASSERT_TRUE(runs_until_writes(1));
	apply(2, 33, "{\"era\":2,\"config\":120}");
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 31));
	struct dw_store_put put {
	};
	era_guard_condition(&guard, &put);
	EXPECT_EQ(put.guard_revision, dw_revision_make(2, 33));
}

/* Guards against an instance that serves an older configuration, as it has started after the restore. */
TEST_F(EraGuard, ANewcomerNeedsTheConfigurationThatWasInForce)
{
	EXPECT_TRUE(era_guard_allows_config(&guard, 100));
	EXPECT_FALSE(era_guard_allows_config(&guard, 99));
	enter(2, false);
	EXPECT_FALSE(era_guard_allows_config(&guard, 100)) << "nobody has said what was in force";
	apply(2, 40, "{\"era\":2,\"config\":130}");
	EXPECT_FALSE(era_guard_allows_config(&guard, 129));
	EXPECT_TRUE(era_guard_allows_config(&guard, 130));
}

/* Guards against a fleet that never serves again: all instances have started, and the key asks for a configuration that
 * nobody remembers. */
TEST_F(EraGuard, NewcomersServeWhatTheStoreShowsIfNobodyRemembers)
{
	era_guard_set_config(&guard, 90);
	enter(2, false);
	for (int i = 0; i < 4 && store.writes.empty(); i++)
		runs_until_writes(1);
	ASSERT_FALSE(store.writes.empty());
	store.answer(0, DW_STORE_DONE, dw_revision_make(2, 30));
	EXPECT_TRUE(era_guard_allows_writes(&guard));
	EXPECT_TRUE(era_guard_allows_config(&guard, 90));
}

/* Guards against writes that are refused for ever: the conflict's answer arrives after the view has brought the next
 * state of the key. */
TEST_F(EraGuard, ALateConflictDoesNotReplaceANewerState)
{
	enter(2, true);
	ASSERT_TRUE(runs_until_writes(1));
	apply(2, 31, "{\"era\":2,\"config\":100}");
	store.answer(0, DW_STORE_CONFLICT, dw_revision_make(2, 30));
	struct dw_store_put put {
	};
	era_guard_condition(&guard, &put);
	EXPECT_EQ(put.guard_revision, dw_revision_make(2, 31));
}

/* Guards against instances that can't write for a second, as their copy comes late: another one's key is read at once. */
TEST_F(EraGuard, TheKeyThatAnotherInstanceWroteIsRead)
{
	std::string value = "{\"era\":2,\"config\":100}";
	dw_store_entry entry{};
	dw_store_range_result result{};

	enter(2, true);
	ASSERT_TRUE(runs_until_writes(1));
	store.answer(0, DW_STORE_CONFLICT, dw_revision_make(2, 30));
	ASSERT_TRUE(store.read_done);
	EXPECT_FALSE(era_guard_allows_writes(&guard));
	entry.key = "wharf/era";
	entry.value = (const uint8_t *)value.c_str();
	entry.value_len = value.size();
	entry.mod_revision = dw_revision_make(2, 30);
	result.status = DW_OK;
	result.entries = &entry;
	result.count = 1;
	store.read_done(&result, store.read_data);
	EXPECT_TRUE(era_guard_allows_writes(&guard));
	EXPECT_EQ(guard.revision, dw_revision_make(2, 30));
}

/* Guards against a record that is taken for one of the new era, though the store came back with it. */
TEST_F(EraGuard, RecordsOfTheCopyAreOlderThanTheKey)
{
	enter(2, true);
	EXPECT_TRUE(era_guard_is_from_copy(&guard, dw_revision_make(2, 90))) << "nobody may write";
	apply(2, 50, "{\"era\":2,\"config\":100}");
	EXPECT_TRUE(era_guard_is_from_copy(&guard, dw_revision_make(2, 49)));
	EXPECT_FALSE(era_guard_is_from_copy(&guard, dw_revision_make(2, 51)));
	apply(2, 60, "[");
	apply(2, 61, "{\"era\":2,\"config\":100}");
	EXPECT_FALSE(era_guard_is_from_copy(&guard, dw_revision_make(2, 51)))
		<< "written before the key was spoiled";
	apply(3, 40, nullptr);
	enter(3, true);
	EXPECT_TRUE(era_guard_is_from_copy(&guard, dw_revision_make(3, 61)));
}

/* Guards against restores whose rewritten records nobody sees, and a line for each of them. */
TEST_F(EraGuard, WhatWasWrittenAgainIsLoggedOnce)
{
	enter(2, true);
	era_guard_count_rewrite(&guard, ERA_REWRITE_PART);
	era_guard_count_rewrite(&guard, ERA_REWRITE_PART);
	era_guard_count_rewrite(&guard, ERA_REWRITE_READER_KEY);
	EXPECT_EQ(logged().find("store.rewritten"), std::string::npos) << "more may follow";
	enter(3, true);
	enter(4, true);
	std::string lines = logged();
	size_t at = lines.find("\"name\":\"store.rewritten\"");
	ASSERT_NE(at, std::string::npos) << lines;
	EXPECT_EQ(lines.find("store.rewritten", at + 30), std::string::npos) << lines;
	EXPECT_NE(lines.find("\"parts\":2"), std::string::npos) << lines;
	EXPECT_NE(lines.find("\"reader_keys\":1"), std::string::npos) << lines;
	EXPECT_NE(lines.find("\"era\":1"), std::string::npos)
		<< "as the store calls era 2: " << lines;
}

} // namespace
