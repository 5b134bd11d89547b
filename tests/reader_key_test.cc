#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "wharf-gateway/reader_key.h"
}

#include "support/fake_store.h"

namespace
{

constexpr uint64_t SECOND = 1000000;

/* A reader whose key is in the store, in its first era, with lease 1. */
struct ReaderKey : testing::Test {
	FILE *sink = fopen("/dev/null", "w");
	dw_log log{};
	uv_loop_t loop{};
	support::fake_store store;
	era_guard era{};
	dw_endpoint address{};
	reader_key key{};

	ReaderKey()
	{
		dw_log_init(&log, sink, "front-1", DW_LEVEL_ERROR);
		uv_loop_init(&loop);
		era_guard_init(&era, &log);
		enter_era(1, 10);
		strcpy(address.ip, "127.0.0.1");
		address.port = 9000;
		reader_key_init(&key, "front-1", &address, &era);
		reader_key_start(
			&key, &loop, &store.base, [](void *) { return true; }, nullptr);
		run_until_writes(1);
		store.answer(0, DW_STORE_DONE, dw_revision_make(1, 50));
	}
	~ReaderKey() override
	{
		uv_close((uv_handle_t *)&key.timer, nullptr);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		fclose(sink);
	}
	void enter_era(uint64_t number, uint64_t guard_revision)
	{
		era.era = number;
		era.record_era = guard_revision > 0 ? number : number - 1;
		era.revision = dw_revision_make(number, guard_revision);
	}
	bool run_until_writes(size_t count)
	{
		uint64_t end_us = dw_clock_now_us() + 5 * SECOND;
		while (store.writes.size() < count && dw_clock_now_us() < end_us)
			uv_run(&loop, UV_RUN_ONCE);
		return store.writes.size() >= count;
	}
};

/* Guards against a lease that two hold: its id was given out again after the restore, and the old holder renews it. */
TEST_F(ReaderKey, ALeaseOfTheEraBeforeIsNotUsedAgain)
{
	key.renew_at_us = 0;
	dw_store_event event{};
	event.deleted = true;
	event.entry.key = "wharf/readers/front-1";
	event.entry.mod_revision = dw_revision_make(2, 30);
	dw_endpoint other{};
	reader_key_apply(&key, &event, &other);
	enter_era(2, 41);
	reader_key_store_restored(&key);
	ASSERT_TRUE(run_until_writes(2));
	EXPECT_TRUE(store.renewed.empty());
	EXPECT_EQ(store.writes[1].lease, 2U);
	EXPECT_EQ(store.writes[1].expected, 0U);
	EXPECT_EQ(store.writes[1].guard_revision, dw_revision_make(2, 41));
	store.answer(1, DW_STORE_DONE, dw_revision_make(2, 44));
	EXPECT_EQ(era.rewritten[ERA_REWRITE_READER_KEY], 1U);
}

/* Guards against renewals, leases and writes by what was known before the restore, while the view learns of it. */
TEST_F(ReaderKey, NothingIsSentBeforeTheKeyOfTheEra)
{
	key.renew_at_us = 0;
	era.store = &store.base;
	store.base.era.newest = 2;
	uint64_t end_us = dw_clock_now_us() + 3 * SECOND;
	while (dw_clock_now_us() < end_us)
		uv_run(&loop, UV_RUN_ONCE);
	EXPECT_TRUE(store.renewed.empty());
	EXPECT_EQ(store.leases, 1U);
	enter_era(2, 0);
	reader_key_store_restored(&key);
	EXPECT_FALSE(run_until_writes(2)) << "the key of the era isn't written";
	EXPECT_EQ(store.leases, 1U);
}

} // namespace
