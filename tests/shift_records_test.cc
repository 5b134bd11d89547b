#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include <dragonflywharf/version_shift.h>

extern "C" {
#include "base/clock.h"
#include "wharf-gateway/shifts_state.h"
}

namespace
{

constexpr uint64_t MS = 1000;

/* A store that keeps the writes that were sent to it, to be answered by the test. */
struct FakeStore {
	dw_store base{};
	dw_store_ops ops{};
	struct write {
		std::string key;
		std::string value;
		uint64_t expected;
		dw_store_put_done done;
		void *data;
	};
	std::vector<write> writes;

	FakeStore()
	{
		ops.put = [](dw_store *store, const struct dw_store_put *put,
			     dw_store_put_done done, void *data) {
			std::string value((const char *)put->value, put->value_len);
			((FakeStore *)store)
				->writes.push_back(
					{ put->key, value, put->expected_revision, done, data });
		};
		base.ops = &ops;
	}
	void answer(const write &sent, dw_store_outcome outcome, uint64_t revision)
	{
		dw_store_put_result result{ outcome, revision };
		sent.done(&result, sent.data);
	}
};

/* One instance, whose rollout's time has passed without a proof, so that it wants to record a rollback. */
struct ShiftRecords : testing::Test {
	FILE *sink = fopen("/dev/null", "w");
	dw_log log{};
	FakeStore store;
	shifts all{};
	uint64_t now_us = dw_clock_now_us();

	ShiftRecords()
	{
		dw_log_init(&log, sink, "front-1", DW_LEVEL_ERROR);
		shifts_init(&all, &log, "front-1");
		all.store = &store.base;
		all.random = 7;
		dw_shift_order order{};
		strcpy(order.service, "llm");
		strcpy(order.target_version, "v2");
		order.duration_us = 10 * 1000 * MS;
		order.revision = 5;
		shifts_apply_order(&all, &order, now_us);
		shifts_apply_status(&all, "llm", DW_SHIFT_RUNNING, "v2", 6);
		now_us += order.duration_us;
	}
	~ShiftRecords() override
	{
		dw_session_pins_free(all.pins);
		std::vector<service_shift *> services;
		for (service_shift *at = all.services; at; at = (service_shift *)at->hh.next)
			services.push_back(at);
		HASH_CLEAR(hh, all.services);
		for (service_shift *each : services)
			free(each);
		fclose(sink);
	}
	/* The status write that is sent within the next five seconds, if any. */
	std::vector<FakeStore::write> status_writes()
	{
		for (int i = 0; i < 25; i++) {
			now_us += 200 * MS;
			shift_records_write(all.services, now_us);
		}
		std::vector<FakeStore::write> found;
		for (const auto &write : store.writes) {
			if (write.key.find("status") != std::string::npos)
				found.push_back(write);
		}
		store.writes.clear();
		return found;
	}
};

/* Guards against an outcome over one that wasn't read: after a conflict the instance took over the revision of
 * the other's record, and its next write replaced it. */
TEST_F(ShiftRecords, AStatusThatWasNotReadIsNotReplaced)
{
	auto writes = status_writes();
	ASSERT_EQ(writes.size(), 1U);
	EXPECT_EQ(writes[0].expected, 6U);
	store.answer(writes[0], DW_STORE_CONFLICT, 9);
	EXPECT_TRUE(status_writes().empty()) << "revision 9 wasn't read";
	shifts_apply_status(&all, "llm", DW_SHIFT_RUNNING, "v2", 8);
	EXPECT_TRUE(status_writes().empty()) << "an older one was read";
	shifts_apply_status(&all, "llm", DW_SHIFT_COMPLETED, "v2", 9);
	EXPECT_TRUE(status_writes().empty()) << "the rollout is over";
}

/* Guards against an instance that never writes again: once it has read the record, it writes over that. */
TEST_F(ShiftRecords, AStatusThatWasReadIsReplaced)
{
	auto writes = status_writes();
	ASSERT_EQ(writes.size(), 1U);
	store.answer(writes[0], DW_STORE_CONFLICT, 9);
	shifts_apply_status(&all, "llm", DW_SHIFT_RUNNING, "v2", 9);
	writes = status_writes();
	ASSERT_EQ(writes.size(), 1U);
	EXPECT_EQ(writes[0].expected, 9U);
	EXPECT_NE(writes[0].value.find("rolled_back"), std::string::npos) << writes[0].value;
}

/* Guards against a rollout that is never recorded: the status of the service's last rollout was read before the
 * order, when the instance knew no rollout of the service. */
TEST_F(ShiftRecords, AStatusThatWasReadBeforeTheOrderIsReplaced)
{
	dw_shift_order order{};
	strcpy(order.service, "other");
	strcpy(order.target_version, "v2");
	order.duration_us = 1000 * MS;
	order.revision = 20;
	shifts_apply_status(&all, "other", DW_SHIFT_COMPLETED, "v1", 3);
	shifts_apply_order(&all, &order, now_us);
	for (int i = 0; i < 25; i++) {
		now_us += 200 * MS;
		shift_records_write((service_shift *)all.services->hh.next, now_us);
	}
	ASSERT_FALSE(store.writes.empty());
	EXPECT_EQ(store.writes[0].expected, 3U) << store.writes[0].key;
}

/* A record that is gone holds no outcome; its deletion isn't passed to the rollout. */
TEST_F(ShiftRecords, AStatusThatWasDeletedIsWrittenAnew)
{
	auto writes = status_writes();
	ASSERT_EQ(writes.size(), 1U);
	store.answer(writes[0], DW_STORE_CONFLICT, 0);
	writes = status_writes();
	ASSERT_EQ(writes.size(), 1U);
	EXPECT_EQ(writes[0].expected, 0U);
}

} // namespace
