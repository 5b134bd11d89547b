// The client of the platform's metadata store against a scripted server: answers of several eras, and late ones.
#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "platform/metadata_store.h"
#include "support/raw_server.h"

namespace
{

constexpr uint64_t SECOND = 1000000;

/* What a store calls its era, which counts from 0. What is no era stays as it is. */
std::string era_name(const std::string &era)
{
	bool is_small = era.size() == 1 && era[0] >= '1' && era[0] <= '9';
	return is_small ? std::to_string(std::stoi(era) - 1) : era;
}

/* An answer with its era, from 1; "" for none. */
std::string answer(int status, const std::string &era, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
	       (era.empty() ? "" : "Store-Era: " + era_name(era) + "\r\n") +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string item(const std::string &key, int revision)
{
	return R"({"Key":")" + key + R"(","Value":"eA==","Revision":)" + std::to_string(revision) +
	       R"(,"CreateRevision":)" + std::to_string(revision) + R"(,"Lease":0})";
}

std::string page(const std::vector<std::string> &items, int revision, bool has_more = false)
{
	std::string body = R"({"Items":[)";
	for (const std::string &each : items)
		body += (body.back() == '[' ? "" : ",") + each;
	return body + R"(],"StoreRevision":)" + std::to_string(revision) + R"(,"HasMore":)" +
	       (has_more ? "true}" : "false}");
}

std::string events(const std::vector<std::string> &items, int revision)
{
	std::string body = page(items, revision);
	return body.replace(body.find("Items"), 5, "events");
}

struct MetadataStore : testing::Test {
	using script = std::function<std::string(const std::string &request)>;

	uv_loop_t loop{};
	dw_store *store = nullptr;
	std::mutex mutex;
	script respond;
	std::vector<std::string> requests;
	std::atomic<bool> is_held{ false }; /* requests whose script says so wait meanwhile */
	support::raw_server server{ [this](support::raw_connection &connection,
					   const std::string &request) {
		script current;
		{
			std::lock_guard lock(mutex);
			requests.push_back(request);
			current = respond;
		}
		connection.send(current(request));
	} };

	MetadataStore()
	{
		uv_loop_init(&loop);
		metadata_store_options options{};
		options.loop = &loop;
		snprintf(options.address.ip, sizeof(options.address.ip), "127.0.0.1");
		options.address.port = server.port();
		options.max_poll_wait_us = 100000;
		store = metadata_store_new(&options);
	}
	~MetadataStore() override
	{
		is_held = false;
		metadata_store_free(store);
		run_until([] { return false; }, SECOND / 50);
		uv_walk(
			&loop,
			[](uv_handle_t *handle, void *) {
				if (!uv_is_closing(handle))
					uv_close(handle, nullptr);
			},
			nullptr);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}
	void set(script next)
	{
		std::lock_guard lock(mutex);
		respond = std::move(next);
	}
	void set(const std::string &text)
	{
		set([text](const std::string &) { return text; });
	}
	size_t request_count()
	{
		std::lock_guard lock(mutex);
		return requests.size();
	}
	std::string last_request()
	{
		std::lock_guard lock(mutex);
		return requests.empty() ? "" : requests.back();
	}
	/* Waits until a request of the script may be answered. */
	void wait_while_held() const
	{
		for (int i = 0; i < 3000 && is_held; i++)
			usleep(1000);
	}
	bool run_until(const std::function<bool()> &is_done, uint64_t for_us = 3 * SECOND)
	{
		uint64_t end_us = dw_clock_now_us() + for_us;
		while (!is_done() && dw_clock_now_us() < end_us) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
		return is_done();
	}
	struct read_result {
		bool is_done = false;
		dw_status status = DW_OK;
		uint64_t revision = 0;
		std::vector<uint64_t> revisions;
	};
	void start_read(read_result *out, bool is_range = true)
	{
		auto done = [](const dw_store_range_result *result, void *data) {
			auto *to = (read_result *)data;
			to->is_done = true;
			to->status = result->status;
			to->revision = result->revision;
			for (size_t i = 0; i < result->count; i++)
				to->revisions.push_back(result->entries[i].mod_revision);
		};
		uint64_t deadline_us = dw_clock_now_us() + 2 * SECOND;
		if (is_range)
			dw_store_range(store, "", 0, deadline_us, done, out);
		else
			dw_store_get(store, "a", deadline_us, done, out);
	}
	read_result read()
	{
		read_result out;
		start_read(&out);
		EXPECT_TRUE(run_until([&] { return out.is_done; }));
		return out;
	}
	/* Makes the client know an era. */
	void learn(int era)
	{
		set(answer(200, std::to_string(era), page({ item("a", 5) }, 9)));
		read();
		ASSERT_EQ(store->era.newest, (uint64_t)era);
	}
	struct put_result {
		bool is_done = false;
		dw_store_put_result result{};
	};
	void start_put(put_result *out, uint64_t era, const char *guard = nullptr)
	{
		struct dw_store_put put {
		};
		put.key = "a";
		put.value = (const uint8_t *)"x";
		put.value_len = 1;
		put.expected_revision = dw_revision_make(era, 5);
		put.guard_key = guard;
		put.guard_revision = guard ? dw_revision_make(era, 7) : 0;
		put.era = era;
		put.deadline_us = dw_clock_now_us() + 2 * SECOND;
		dw_store_put(
			store, &put,
			[](const dw_store_put_result *result, void *data) {
				((put_result *)data)->is_done = true;
				((put_result *)data)->result = *result;
			},
			out);
	}
	dw_store_put_result put(uint64_t era, const char *guard = nullptr)
	{
		put_result out;
		start_put(&out, era, guard);
		EXPECT_TRUE(run_until([&] { return out.is_done; }));
		return out.result;
	}
	struct lease_result {
		bool is_done = false;
		dw_store_lease_result result{};
	};
	void start_lease(lease_result *out, uint64_t id)
	{
		auto done = [](const dw_store_lease_result *result, void *data) {
			((lease_result *)data)->is_done = true;
			((lease_result *)data)->result = *result;
		};
		uint64_t deadline_us = dw_clock_now_us() + 2 * SECOND;
		if (id > 0)
			dw_store_lease_keep_alive(store, id, deadline_us, done, out);
		else
			dw_store_lease_grant(store, 10, deadline_us, done, out);
	}
	dw_store_lease_result lease(uint64_t id)
	{
		lease_result out;
		start_lease(&out, id);
		EXPECT_TRUE(run_until([&] { return out.is_done; }));
		return out.result;
	}
	struct watch_result {
		bool has_ended = false;
		dw_status status = DW_OK;
		uint64_t event_count = 0;
		uint64_t proofs = 0;
		uint64_t revision = 0;
		uint64_t event_revision = 0;
	};
	struct dw_store_watch *start_watch(watch_result *out, uint64_t after)
	{
		dw_store_watch_options options{};
		options.prefix = "";
		options.from_revision = after + 1;
		options.deadline_us = UINT64_MAX;
		options.min_poll_interval_us = 10000;
		options.data = out;
		options.on_events = [](struct dw_store_watch *, const dw_store_event *events,
				       size_t count, void *data) {
			((watch_result *)data)->event_count += count;
			((watch_result *)data)->event_revision =
				events[count - 1].entry.mod_revision;
		};
		options.on_up_to_date = [](struct dw_store_watch *, uint64_t revision, uint64_t,
					   void *data) {
			((watch_result *)data)->proofs++;
			((watch_result *)data)->revision = revision;
		};
		options.on_ended = [](struct dw_store_watch *, dw_status status, uint64_t,
				      void *data) {
			((watch_result *)data)->has_ended = true;
			((watch_result *)data)->status = status;
		};
		return dw_store_watch(store, &options);
	}
	/* Ends of a watch that starts after a revision and is answered like this. */
	watch_result watch(uint64_t after, const std::string &text)
	{
		watch_result out;
		set(text);
		start_watch(&out, after);
		EXPECT_TRUE(run_until([&] { return out.has_ended; }));
		return out;
	}
};

/* Guards against revisions without their era, and a store without eras that has other numbers than before. */
TEST_F(MetadataStore, RevisionsHoldTheEraOfTheAnswer)
{
	set(answer(200, "", page({ item("a", 5), item("b", 8) }, 9)));
	read_result plain = read();
	EXPECT_EQ(plain.revision, 9U);
	EXPECT_EQ(plain.revisions, (std::vector<uint64_t>{ 5, 8 }));
	EXPECT_EQ(store->era.bad_answers, 0U);
	set(answer(200, "3", page({ item("a", 5) }, 9)));
	read_result third = read();
	EXPECT_EQ(third.revision, dw_revision_make(3, 9));
	EXPECT_EQ(third.revisions, (std::vector<uint64_t>{ dw_revision_make(3, 5) }));
}

/* Guards against an answer of before the restore that arrives after one of after it and is taken for newer. */
TEST_F(MetadataStore, ALateAnswerOfAnEarlierEraIsDropped)
{
	learn(1);
	for (const std::string &era : { std::string("1"), std::string(), std::string("x") }) {
		read_result late;
		uint64_t before = store->era.late_answers;
		uint64_t newest = store->era.newest + 1;
		is_held = true;
		set([this, era](const std::string &) {
			wait_while_held();
			return answer(200, era, page({ item("a", 6) }, 99));
		});
		size_t count = request_count();
		start_read(&late);
		ASSERT_TRUE(run_until([&] { return request_count() > count; }));
		learn((int)newest);
		is_held = false;
		ASSERT_TRUE(run_until([&] { return late.is_done; }));
		EXPECT_EQ(late.status, DW_UNAVAILABLE) << era;
		EXPECT_TRUE(late.revisions.empty());
		EXPECT_EQ(store->era.late_answers, before + 1);
		EXPECT_EQ(store->era.newest, newest);
	}
}

/* Guards against one bad header that takes a copy away or proves nothing any more: the era is the newest known one. */
TEST_F(MetadataStore, ABadEraChangesNothing)
{
	learn(4);
	uint64_t bad = 0;
	for (const char *era : { "", "x", "-1", "+5", " ", "0x5", "4.0", "5 6", "3", "0",
				 "99999999999999999999", "8388607" }) {
		set(answer(200, era, page({ item("a", 6) }, 10)));
		read_result got = read();
		EXPECT_EQ(got.status, DW_OK) << era;
		EXPECT_EQ(got.revision, dw_revision_make(4, 10)) << era;
		EXPECT_EQ(store->era.newest, 4U) << era;
		EXPECT_EQ(store->era.bad_answers, ++bad) << era;
	}
	EXPECT_EQ(store->era.late_answers, 0U);
}

/* Guards against a state that the store never had: pages of before and after the restore. */
TEST_F(MetadataStore, PagesOfTwoErasAreNoReading)
{
	learn(1);
	set([](const std::string &request) {
		return request.find("After=") == std::string::npos
			       ? answer(200, "1", page({ item("a", 5) }, 9, true))
			       : answer(200, "2", page({ item("b", 3) }, 8));
	});
	read_result got = read();
	EXPECT_EQ(got.status, DW_UNAVAILABLE);
	EXPECT_TRUE(got.revisions.empty());
	EXPECT_EQ(store->era.newest, 2U);
	set([](const std::string &request) {
		return request.find("After=") == std::string::npos
			       ? answer(200, "2", page({ item("a", 5) }, 9, true))
			       : answer(200, "2", page({ item("b", 3) }, 8));
	});
	got = read();
	EXPECT_EQ(got.status, DW_OK);
	EXPECT_EQ(got.revision, dw_revision_make(2, 8)) << "the lowest one";
}

/* Guards against a write that was prepared before the restore and fits again, as its number was given out again. */
TEST_F(MetadataStore, AWritePreparedInAnEarlierEraIsNotSent)
{
	learn(2);
	size_t before = request_count();
	EXPECT_EQ(put(1).outcome, DW_STORE_UNAVAILABLE);
	EXPECT_EQ(request_count(), before);
}

/* Guards against an instance that never writes again: it has learned of the era from another one, and sends no other
 * calls that would tell its client of it. */
TEST_F(MetadataStore, AWritePreparedInALaterEraIsSent)
{
	learn(1);
	set(answer(200, "2", R"({"Revision":12})"));
	dw_store_put_result result = put(2);
	EXPECT_EQ(result.outcome, DW_STORE_DONE);
	EXPECT_EQ(result.revision, dw_revision_make(2, 12));
	EXPECT_EQ(store->era.newest, 2U);
	EXPECT_NE(last_request().find(R"("Revision":5)"), std::string::npos)
		<< "the store's own number";
	set(answer(200, "1", page({ item("a", 5) }, 9)));
	EXPECT_EQ(read().revision, dw_revision_make(2, 9)) << "an era that falls";
}

/* Guards against a write that counts as done though it was executed in another era than it was prepared in. */
TEST_F(MetadataStore, AWriteExecutedInAnotherEraIsUnknown)
{
	learn(2);
	set(answer(200, "3", R"({"Revision":12})"));
	EXPECT_EQ(put(2).outcome, DW_STORE_UNKNOWN);
	EXPECT_EQ(store->era.newest, 3U);
}

/* Guards against a late answer to a write that is taken for one of the new era. */
TEST_F(MetadataStore, LateAnswersToWritesSayLittle)
{
	const std::pair<int, dw_store_outcome> rows[] = { { 200, DW_STORE_UNKNOWN },
							  { 412, DW_STORE_UNAVAILABLE },
							  { 503, DW_STORE_UNAVAILABLE } };
	int era = 1;
	for (const auto &[status, outcome] : rows) {
		put_result late;
		learn(era);
		is_held = true;
		std::string text =
			answer(status, std::to_string(era),
			       status == 200 ? R"({"Revision":12})" : page({ item("a", 6) }, 9));
		set([this, text](const std::string &) {
			wait_while_held();
			return text;
		});
		size_t count = request_count();
		start_put(&late, (uint64_t)era);
		ASSERT_TRUE(run_until([&] { return request_count() > count; }));
		learn(++era);
		is_held = false;
		ASSERT_TRUE(run_until([&] { return late.is_done; }));
		EXPECT_EQ(late.result.outcome, outcome) << status;
		EXPECT_EQ(late.result.revision, 0U);
		EXPECT_EQ(store->era.newest, (uint64_t)era);
	}
}

/* Guards against a conflict of the guard that is taken for one of the key: the writer would take over a revision that
 * says nothing. */
TEST_F(MetadataStore, AConflictOfTheGuardIsNoConflictOfTheKey)
{
	struct row {
		std::vector<std::string> items;
		dw_store_outcome outcome;
		uint64_t revision;
	};
	const row rows[] = {
		{ { item("a", 6), item("guard", 7) }, DW_STORE_CONFLICT, dw_revision_make(2, 6) },
		{ { item("guard", 7) }, DW_STORE_CONFLICT, 0 },
		{ { item("a", 5), item("guard", 8) }, DW_STORE_UNAVAILABLE, 0 },
		{ { item("a", 6), item("guard", 8) }, DW_STORE_UNAVAILABLE, 0 },
		{ { item("a", 5) }, DW_STORE_UNAVAILABLE, 0 },
	};
	learn(2);
	for (const row &row : rows) {
		set(answer(412, "2", page(row.items, 9)));
		dw_store_put_result result = put(2, "guard");
		EXPECT_EQ(result.outcome, row.outcome);
		if (row.outcome == DW_STORE_CONFLICT) {
			EXPECT_EQ(result.revision, row.revision);
		}
	}
	EXPECT_NE(last_request().find(R"({"Key":"guard","Revision":7})"), std::string::npos);
}

/* Guards against a lease that is held by two: its id was given out again by the restored store. */
TEST_F(MetadataStore, ALeaseOfAnEarlierEraHasEnded)
{
	learn(1);
	set(answer(200, "2", R"({"TtlMs":10000})"));
	EXPECT_EQ(lease(4).status, DW_NOT_FOUND);
	EXPECT_EQ(lease(4).status, DW_OK) << "asked for in the new era";
	set(answer(200, "3", R"({"Lease":4,"TtlMs":10000})"));
	dw_store_lease_result granted = lease(0);
	EXPECT_EQ(granted.status, DW_OK) << "granted by the restored store";
	EXPECT_EQ(granted.lease_id, 4U);
	for (uint64_t id : { 0, 4 }) {
		lease_result late;
		auto era = store->era.newest;
		is_held = true;
		set([this, era](const std::string &) {
			wait_while_held();
			return answer(200, std::to_string(era), R"({"Lease":5,"TtlMs":10000})");
		});
		size_t count = request_count();
		start_lease(&late, id);
		ASSERT_TRUE(run_until([&] { return request_count() > count; }));
		learn((int)era + 1);
		is_held = false;
		ASSERT_TRUE(run_until([&] { return late.is_done; }));
		EXPECT_NE(late.result.status, DW_OK) << "of before the restore, " << id;
	}
}

/* Guards against changes of a restored store that are taken for the next ones, and prove that the copy is current. */
TEST_F(MetadataStore, AWatchDoesNotContinueInAnotherEra)
{
	learn(1);
	for (int revision : { 5, 9, 50 }) {
		uint64_t era = store->era.newest;
		watch_result got = watch(dw_revision_make(era, 9),
					 answer(200, std::to_string(era + 1),
						events({ item("a", revision) }, revision)));
		EXPECT_EQ(got.status, DW_STALE) << revision;
		EXPECT_EQ(got.event_count, 0U);
		EXPECT_EQ(got.proofs, 0U);
		EXPECT_EQ(store->era.newest, era + 1);
	}
	uint64_t era = store->era.newest;
	watch_result lost =
		watch(dw_revision_make(era, 9), answer(410, std::to_string(era + 1), "{}"));
	EXPECT_EQ(lost.status, DW_STALE);
	EXPECT_EQ(store->era.newest, era + 1) << "as an answer to any call tells it";
	watch_result back = watch(dw_revision_make(era + 1, 9),
				  answer(200, std::to_string(era + 1), events({}, 8)));
	EXPECT_EQ(back.status, DW_STALE) << "a store that falls within an era";
	EXPECT_EQ(back.proofs, 0U);
}

/* Guards against changes that are never seen, as the watch goes on from a revision beyond the events that it got. */
TEST_F(MetadataStore, AnAnswerWithSomeOfTheChangesIsNoProof)
{
	std::string odd = R"({"Key":"b","Value":"?","Revision":14,"CreateRevision":14})";
	for (const std::string &some :
	     { events({ item("a", 13) }, 14), events({ item("b", 13), item("a", 12) }, 14),
	       events({ item("a", 13), odd }, 15) }) {
		watch_result got = watch(12, answer(200, "", some));
		EXPECT_EQ(got.status, DW_STALE) << some;
		EXPECT_EQ(got.proofs, 0U) << some;
	}
	/* All changes are told, in any order; one can't be read. */
	watch_result out;
	std::atomic<int> polls{ 0 };
	set([&](const std::string &) {
		return answer(200, "",
			      polls++ == 0 ? events({ item("c", 13), odd, item("a", 12) }, 14)
					   : events({}, 14));
	});
	struct dw_store_watch *sound = start_watch(&out, 11);
	EXPECT_TRUE(run_until([&] { return out.proofs >= 2 || out.has_ended; }));
	EXPECT_FALSE(out.has_ended);
	EXPECT_EQ(out.event_count, 2U);
	dw_store_watch_cancel(store, sound);
}

/* Guards against a watch in an era that its client hasn't heard of: the copy has it from another instance. */
TEST_F(MetadataStore, AWatchInALaterEraThanItsClientKnows)
{
	learn(1);
	watch_result out;
	set(answer(200, "2", events({ item("a", 12) }, 12)));
	struct dw_store_watch *watch = start_watch(&out, dw_revision_make(2, 9));
	ASSERT_TRUE(run_until([&] { return out.proofs > 0; }));
	EXPECT_NE(last_request().find("After=9&"), std::string::npos) << last_request();
	EXPECT_EQ(out.revision, dw_revision_make(2, 12));
	EXPECT_EQ(out.event_revision, dw_revision_make(2, 12));
	dw_store_watch_cancel(store, watch);
	/* A late answer of the era before proves nothing. */
	watch_result late = this->watch(dw_revision_make(3, 9), answer(200, "2", events({}, 20)));
	EXPECT_EQ(late.status, DW_STALE);
	EXPECT_EQ(late.proofs, 0U);
}

/* Guards against a header that is missing from some answers and ends a watch that is sound. */
TEST_F(MetadataStore, AWatchGoesOnOverBadEras)
{
	learn(3);
	watch_result out;
	std::atomic<int> polls{ 0 };
	set([&](const std::string &) {
		static const char *const eras[] = { "3", "", "x", "2", "3" };
		int poll = polls++;
		return answer(200, eras[poll % 5], events({ item("a", 10 + poll) }, 10 + poll));
	});
	struct dw_store_watch *watch = start_watch(&out, dw_revision_make(3, 9));
	ASSERT_TRUE(run_until([&] { return out.proofs >= 5 || out.has_ended; }));
	EXPECT_FALSE(out.has_ended);
	EXPECT_GE(out.event_count, 5U);
	EXPECT_EQ(store->era.bad_answers, 3U);
	EXPECT_EQ(store->era.newest, 3U);
	dw_store_watch_cancel(store, watch);
}

/* Guards against a revision that runs into the era: it would count as one of a later era, and nothing after it. */
TEST_F(MetadataStore, ARevisionBeyondTheOrderIsRefused)
{
	learn(1);
	std::string text = page({ item("a", 6) }, 9);
	std::string large = text;
	large.replace(large.find("StoreRevision\":9") + 15, 1, "1099511627776");
	set(answer(200, "1", large));
	EXPECT_EQ(read().status, DW_UPSTREAM_FAILED);
	large = text;
	large.replace(large.find("StoreRevision\":9") + 15, 1, "1099511627775");
	set(answer(200, "1", large));
	read_result last = read();
	EXPECT_EQ(last.status, DW_OK);
	EXPECT_EQ(last.revision, dw_revision_make(2, 1) - 2) << "the last one of its era";
	EXPECT_EQ(store->era.newest, 1U);
}

} // namespace
