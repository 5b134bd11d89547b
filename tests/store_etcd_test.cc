// Tests the etcd adapter of the key-value interface against standin_kv.
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "port/store_etcd.h"
#include "support/http.h"
#include "support/process.h"

using support::http_call;
using support::process;

static constexpr uint64_t CALL_US = 5 * DW_US_PER_S;

struct recorded_event {
	std::string key, value;
	uint64_t revision;
	bool deleted;
};

// Records a watch's events and restarts the watch from next_revision when it ends, as callers do.
struct watcher {
	dw_store *store = nullptr;
	struct dw_store_watch *watch = nullptr;
	std::string prefix;
	uint64_t deadline_us = 0;
	std::vector<recorded_event> events;
	std::vector<dw_status> end_statuses;
	std::vector<uint64_t> confirmed_times;
	bool restarts = true;

	void start(uint64_t from)
	{
		dw_store_watch_options options = {};

		options.prefix = prefix.c_str();
		options.from_revision = from;
		options.deadline_us = deadline_us;
		options.on_events = on_events;
		options.on_up_to_date = [](struct dw_store_watch *, uint64_t,
					   uint64_t confirmed_at_us, void *data) {
			static_cast<watcher *>(data)->confirmed_times.push_back(confirmed_at_us);
		};
		options.on_ended = on_ended;
		options.data = this;
		watch = dw_store_watch(store, &options);
	}

	static void on_events(struct dw_store_watch *, const dw_store_event *events, size_t count,
			      void *data)
	{
		for (size_t i = 0; i < count; i++) {
			const dw_store_entry &entry = events[i].entry;

			static_cast<watcher *>(data)->events.push_back(
				{ entry.key,
				  std::string(reinterpret_cast<const char *>(entry.value),
					      entry.value_len),
				  entry.mod_revision, events[i].deleted });
		}
	}

	static void on_ended(struct dw_store_watch *, dw_status status, uint64_t next, void *data)
	{
		auto self = static_cast<watcher *>(data);

		self->end_statuses.push_back(status);
		self->watch = nullptr;
		if (self->restarts && status != DW_STALE)
			self->start(next);
	}
};

class StoreEtcd : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		uv_loop_init(&loop);
		client = dw_http_client_new(&loop);
		port = kv.wait_listening();
		ASSERT_NE(port, 0);
		open({ port });
	}

	void open(const std::vector<uint16_t> &ports)
	{
		std::vector<dw_store_etcd_endpoint> endpoints;

		for (uint16_t each : ports)
			endpoints.push_back({ "127.0.0.1", each });
		store.reset(dw_store_etcd_new(client, endpoints.data(), endpoints.size()));
	}

	template <typename Condition> bool run_until(Condition condition)
	{
		uint64_t end_us = dw_clock_now_us() + 2 * CALL_US;
		uv_timer_t wake;

		uv_timer_init(&loop, &wake);
		uv_timer_start(
			&wake, [](uv_timer_t *) {}, 10, 10);
		while (!condition() && dw_clock_now_us() < end_us)
			uv_run(&loop, UV_RUN_ONCE);
		uv_close(reinterpret_cast<uv_handle_t *>(&wake), nullptr);
		uv_run(&loop, UV_RUN_NOWAIT);
		return condition();
	}

	struct put_outcome {
		bool done = false;
		dw_store_put_result result = {};
	};

	dw_store_put_result put(const std::string &key, const std::string &value, uint64_t expected,
				uint64_t lease = 0, uint64_t time_us = CALL_US)
	{
		put_outcome outcome;
		struct dw_store_put request = {};

		request.key = key.c_str();
		request.value = reinterpret_cast<const uint8_t *>(value.data());
		request.value_len = value.size();
		request.expected_revision = expected;
		request.lease_id = lease;
		request.deadline_us = dw_clock_now_us() + time_us;
		dw_store_put(
			store.get(), &request,
			[](const dw_store_put_result *result, void *data) {
				*static_cast<put_outcome *>(data) = { true, *result };
			},
			&outcome);
		EXPECT_TRUE(run_until([&] { return outcome.done; }));
		return outcome.result;
	}

	struct range_outcome {
		bool done = false;
		dw_status status = DW_INTERNAL;
		uint64_t revision = 0;
		std::vector<recorded_event> entries;
	};

	static void on_range(const dw_store_range_result *result, void *data)
	{
		auto outcome = static_cast<range_outcome *>(data);

		outcome->done = true;
		outcome->status = result->status;
		outcome->revision = result->revision;
		for (size_t i = 0; i < result->count; i++) {
			const dw_store_entry &entry = result->entries[i];

			outcome->entries.push_back(
				{ entry.key,
				  { reinterpret_cast<const char *>(entry.value), entry.value_len },
				  entry.mod_revision,
				  false });
		}
	}

	range_outcome get(const std::string &key, uint64_t time_us = CALL_US)
	{
		range_outcome outcome;

		dw_store_get(store.get(), key.c_str(), dw_clock_now_us() + time_us, on_range,
			     &outcome);
		EXPECT_TRUE(run_until([&] { return outcome.done; }));
		return outcome;
	}

	range_outcome range(const std::string &prefix, uint64_t from)
	{
		range_outcome outcome;

		dw_store_range(store.get(), prefix.c_str(), from, dw_clock_now_us() + CALL_US,
			       on_range, &outcome);
		EXPECT_TRUE(run_until([&] { return outcome.done; }));
		return outcome;
	}

	struct lease_outcome {
		bool done = false;
		dw_store_lease_result result = {};
	};

	static void on_lease(const dw_store_lease_result *result, void *data)
	{
		*static_cast<lease_outcome *>(data) = { true, *result };
	}

	void admin(const std::string &call, const std::string &body = "{}")
	{
		ASSERT_EQ(http_call(port, "POST", "/admin/" + call, body).status, 200) << call;
	}

	process kv{ "standin_kv", {} };
	uint16_t port = 0;
	uv_loop_t loop;
	dw_http_client *client = nullptr;
	std::unique_ptr<dw_store, decltype(&dw_store_etcd_free)> store{ nullptr,
									dw_store_etcd_free };
};

TEST_F(StoreEtcd, ReadsWhatWasWritten)
{
	EXPECT_EQ(get("a/1").status, DW_NOT_FOUND);
	dw_store_put_result first = put("a/1", std::string("x\0y", 3), 0);
	ASSERT_EQ(first.outcome, DW_STORE_DONE);
	dw_store_put_result second = put("a/2", "z", 0);
	put("b/1", "other", 0);

	range_outcome got = get("a/1");
	ASSERT_EQ(got.status, DW_OK);
	EXPECT_EQ(got.entries[0].value, std::string("x\0y", 3));
	EXPECT_EQ(got.entries[0].revision, first.revision);
	EXPECT_EQ(range("a/", 0).entries.size(), 2u);
	EXPECT_EQ(range("", 0).entries.size(), 3u);
	range_outcome changed = range("a/", second.revision);
	ASSERT_EQ(changed.entries.size(), 1u);
	EXPECT_EQ(changed.entries[0].key, "a/2");
	EXPECT_EQ(dw_store_calls(store.get()), 8u);
}

TEST_F(StoreEtcd, StaleWriterGetsConflictWithTheCurrentRevision)
{
	uint64_t first = put("k", "one", 0).revision;
	uint64_t second = put("k", "two", first).revision;

	for (uint64_t stale : { first, UINT64_C(0), second + 9 }) {
		dw_store_put_result late = put("k", "late", stale);
		EXPECT_EQ(late.outcome, DW_STORE_CONFLICT) << stale;
		EXPECT_EQ(late.revision, second) << stale;
	}
	dw_store_put_result absent = put("none", "x", second);
	EXPECT_EQ(absent.outcome, DW_STORE_CONFLICT);
	EXPECT_EQ(absent.revision, 0u);
	EXPECT_EQ(get("k").entries[0].value, "two");
}

TEST_F(StoreEtcd, LostResponseIsUnknownAndIsNotRetried)
{
	open({ port, port });
	for (const char *kind : { "answer_lost", "timed_out" }) {
		admin("fault", std::string(R"({"kind":")") + kind + R"(","count":1})");
		EXPECT_EQ(put(kind, "kept", 0).outcome, DW_STORE_UNKNOWN) << kind;
		EXPECT_EQ(get(kind).entries[0].value, "kept") << kind;
	}
	EXPECT_EQ(store->calls[DW_STORE_PUT], 2u);
}

TEST_F(StoreEtcd, FrozenServiceGivesUnknownForWritesAndTimeoutForReads)
{
	admin("fault", R"({"kind":"freeze"})");
	EXPECT_EQ(put("k", "v", 0, 0, 500 * DW_US_PER_MS).outcome, DW_STORE_UNKNOWN);
	EXPECT_EQ(get("k", 500 * DW_US_PER_MS).status, DW_TIMEOUT);
	admin("fault", R"({"kind":"none"})");
	EXPECT_TRUE(run_until([&] { return get("k").status == DW_OK; }))
		<< "the write should be applied after its caller timed out";
}

TEST_F(StoreEtcd, OutageIsUnavailableAndNothingIsApplied)
{
	admin("fault", R"({"kind":"outage"})");
	EXPECT_EQ(put("k", "v", 0).outcome, DW_STORE_UNAVAILABLE);
	EXPECT_EQ(get("k").status, DW_UNAVAILABLE);
	admin("fault", R"({"kind":"none"})");
	EXPECT_EQ(get("k").status, DW_NOT_FOUND);
	kv.kill();
	EXPECT_EQ(put("k", "v", 0).outcome, DW_STORE_UNAVAILABLE);
}

/* Guards against a restore that isn't seen, one that is seen twice, and one seen in an answer that proves nothing. */
TEST_F(StoreEtcd, AFallOfTheRevisionIsARestoreAndIsToldOnce)
{
	struct history {
		int back = 0;
		std::vector<std::pair<uint64_t, uint64_t>> falls;
	} seen;
	range_outcome copy;
	range_outcome reads[2];

	store->history_data = &seen;
	store->on_back = [](void *data) { static_cast<history *>(data)->back++; };
	store->on_restored = [](uint64_t before, uint64_t revision, void *data) {
		static_cast<history *>(data)->falls.emplace_back(before, revision);
	};
	uint64_t kept = put("k", "v", 0).revision;
	admin("backup");
	put("lost", "v", 0);
	uint64_t last = put("lost-too", "v", 0).revision;
	get("k");
	EXPECT_TRUE(seen.falls.empty());
	admin("restore");
	dw_store_read_copy(store.get(), "k", dw_clock_now_us() + CALL_US, on_range, &copy);
	ASSERT_TRUE(run_until([&] { return copy.done; }));
	EXPECT_TRUE(seen.falls.empty()) << "a member that lags may have answered";
	for (range_outcome &read : reads)
		dw_store_get(store.get(), "k", dw_clock_now_us() + CALL_US, on_range, &read);
	ASSERT_TRUE(run_until([&] { return reads[0].done && reads[1].done; }));
	ASSERT_EQ(seen.falls.size(), 1U);
	EXPECT_EQ(seen.falls[0], std::make_pair(last, kept));
	EXPECT_EQ(store->revision, kept);
	put("later", "v", 0);
	EXPECT_EQ(seen.falls.size(), 1U);
	EXPECT_EQ(store->restores, 1U);
	EXPECT_EQ(seen.back, 0);
	admin("fault", R"({"kind":"outage"})");
	EXPECT_EQ(get("k").status, DW_UNAVAILABLE);
	admin("fault", R"({"kind":"none"})");
	get("k");
	get("k");
	EXPECT_EQ(seen.back, 1);
}

/* Guards against the answer after another instance's news of a restore that counts as a second one, or an answer to a call
 * of before as one of the new history. */
TEST_F(StoreEtcd, AfterNewsOfARestoreTheNextAnswerBeginsTheHistory)
{
	int falls = 0;
	range_outcome before;

	store->history_data = &falls;
	store->on_restored = [](uint64_t, uint64_t, void *data) { ++*static_cast<int *>(data); };
	uint64_t kept = put("k", "v", 0).revision;
	admin("backup");
	put("lost", "v", 0);
	dw_store_get(store.get(), "k", dw_clock_now_us() + CALL_US, on_range, &before);
	dw_store_forget_history(store.get());
	ASSERT_TRUE(run_until([&] { return before.done; }));
	EXPECT_EQ(store->revision, 0U) << "it was sent before the news";
	admin("restore");
	get("k");
	EXPECT_EQ(store->revision, kept);
	EXPECT_EQ(falls, 0);
	put("later", "v", 0);
	admin("restore");
	get("k");
	EXPECT_EQ(falls, 1) << "a restore after the news";
}

TEST_F(StoreEtcd, TriesTheNextEndpointAndStaysWithOneThatWorks)
{
	process dead("standin_kv", {});
	uint16_t dead_port = dead.wait_listening();

	dead.kill();
	open({ dead_port, port });
	EXPECT_EQ(put("k", "v", 0).outcome, DW_STORE_DONE);
	EXPECT_EQ(store->calls[DW_STORE_PUT], 2u);
	EXPECT_EQ(get("k").status, DW_OK);
	EXPECT_EQ(store->calls[DW_STORE_RANGE], 1u);
}

TEST_F(StoreEtcd, UnknownLeaseIsRefused)
{
	EXPECT_EQ(put("k", "v", 0, 12345).outcome, DW_STORE_REFUSED);
	EXPECT_EQ(get("k").status, DW_NOT_FOUND);
}

TEST_F(StoreEtcd, LeaseExpiryDeletesItsKeys)
{
	watcher watcher;
	lease_outcome granted, renewed, expired;

	watcher.store = store.get();
	watcher.prefix = "l/";
	watcher.start(1);
	dw_store_lease_grant(store.get(), 2, dw_clock_now_us() + CALL_US, on_lease, &granted);
	ASSERT_TRUE(run_until([&] { return granted.done; }));
	ASSERT_EQ(granted.result.status, DW_OK);
	EXPECT_LE(granted.result.expiry_us, dw_clock_now_us() + 2 * DW_US_PER_S);
	put("l/1", "held", 0, granted.result.lease_id);
	dw_store_lease_keep_alive(store.get(), granted.result.lease_id, dw_clock_now_us() + CALL_US,
				  on_lease, &renewed);
	ASSERT_TRUE(run_until([&] { return renewed.done; }));
	EXPECT_GT(renewed.result.expiry_us, granted.result.expiry_us);

	ASSERT_TRUE(run_until([&] { return watcher.events.size() == 2; }));
	EXPECT_TRUE(watcher.events[1].deleted);
	EXPECT_GE(dw_clock_now_us(), renewed.result.expiry_us);
	dw_store_lease_keep_alive(store.get(), granted.result.lease_id, dw_clock_now_us() + CALL_US,
				  on_lease, &expired);
	ASSERT_TRUE(run_until([&] { return expired.done; }));
	EXPECT_EQ(expired.result.status, DW_NOT_FOUND);
	dw_store_watch_cancel(store.get(), watcher.watch);
}

TEST_F(StoreEtcd, WatchReportsUpToDateAtOnceIfItMissesNothing)
{
	uint64_t begun_us = dw_clock_now_us();
	uint64_t last = put("k", "one", 0).revision;
	watcher ahead;
	watcher behind;

	ahead.store = behind.store = store.get();
	ahead.start(last + 1);
	ASSERT_TRUE(run_until([&] { return ahead.confirmed_times.size() == 1; }));
	EXPECT_GE(ahead.confirmed_times[0], begun_us);
	EXPECT_LE(ahead.confirmed_times[0], dw_clock_now_us());
	EXPECT_TRUE(ahead.events.empty());
	/* A watch that starts behind gets the missing event and isn't reported as up to date. */
	behind.start(last);
	ASSERT_TRUE(run_until([&] { return behind.events.size() == 1; }));
	EXPECT_TRUE(behind.confirmed_times.empty());
	dw_store_watch_cancel(store.get(), ahead.watch);
	dw_store_watch_cancel(store.get(), behind.watch);
}

TEST_F(StoreEtcd, WatchEndsAtItsDeadlineAndIfHistoryIsMissing)
{
	watcher watcher;

	watcher.store = store.get();
	watcher.restarts = false;
	watcher.deadline_us = dw_clock_now_us() + 100 * DW_US_PER_MS;
	watcher.start(0);
	ASSERT_TRUE(run_until([&] { return watcher.end_statuses.size() == 1; }));
	EXPECT_EQ(watcher.end_statuses[0], DW_TIMEOUT);

	uint64_t kept = put("k", "one", 0).revision;
	admin("backup");
	uint64_t lost = put("k", "two", kept).revision;
	admin("restore");
	watcher.deadline_us = 0;
	watcher.start(lost + 1);
	ASSERT_TRUE(run_until([&] { return watcher.end_statuses.size() == 2; }))
		<< "a watch beyond the restored store's revision should end, not wait for ever";
	EXPECT_EQ(watcher.end_statuses[1], DW_STALE);
	watcher.start(kept);
	ASSERT_TRUE(run_until([&] { return watcher.end_statuses.size() == 3; }));
	EXPECT_EQ(watcher.end_statuses[2], DW_STALE) << "the restored store should have no history";
}

// Random compare-and-swap writes with lost responses and outages, while the watch is disconnected
// at random. The watch must deliver each revision once and in order, including every write that
// succeeded or was found applied after an unknown outcome. No write that was reported as
// unavailable may have been applied.
TEST_F(StoreEtcd, WatchDeliversEachWriteOnceUnderFaults)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		std::mt19937 random(seed);
		std::string prefix = "s" + std::to_string(seed) + "/";
		std::vector<std::string> written;
		std::vector<uint64_t> revisions(3);
		watcher watcher;

		watcher.store = store.get();
		watcher.prefix = prefix;
		watcher.start(range(prefix, 0).revision + 1);
		for (int step = 0; step < 30; step++) {
			size_t key = random() % revisions.size();
			std::string name = prefix + std::to_string(key);
			std::string value = std::to_string(step);
			uint32_t fault = random() % 6;

			if (fault == 0)
				admin("fault",
				      R"({"kind":"answer_lost","count":1,"path":"/v3/kv/txn"})");
			else if (fault == 1)
				admin("fault",
				      R"({"kind":"outage","count":1,"path":"/v3/kv/txn"})");
			else if (fault == 2)
				admin("cut_watches");
			dw_store_put_result result = put(name, value, revisions[key]);
			if (result.outcome == DW_STORE_UNKNOWN) {
				range_outcome again = get(name);
				ASSERT_EQ(again.entries[0].value, value);
				result = { DW_STORE_DONE, again.entries[0].revision };
			}
			ASSERT_EQ(result.outcome,
				  fault == 1 ? DW_STORE_UNAVAILABLE : DW_STORE_DONE);
			if (result.outcome != DW_STORE_DONE)
				continue;
			revisions[key] = result.revision;
			written.push_back(name + "=" + value);
		}
		ASSERT_TRUE(run_until([&] { return watcher.events.size() >= written.size(); }));
		ASSERT_EQ(watcher.events.size(), written.size());
		for (size_t i = 0; i < written.size(); i++) {
			EXPECT_EQ(watcher.events[i].key + "=" + watcher.events[i].value,
				  written[i]);
			EXPECT_TRUE(i == 0 ||
				    watcher.events[i].revision > watcher.events[i - 1].revision);
		}
		dw_store_watch_cancel(store.get(), watcher.watch);
	}
}
