#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include <dragonflywharf/store_revision.h>
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
	era_guard era{};
	shifts all{};
	uint64_t now_us = dw_clock_now_us();

	ShiftRecords()
	{
		dw_log_init(&log, sink, "front-1", DW_LEVEL_ERROR);
		shifts_init(&all, &log, "front-1", &era);
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

/*
 * One instance in the first era of a store, the first reader. The rollout was ordered with revision 45 and recorded
 * as running with 46; the era's key has revision 10.
 */
struct RestoredShifts : ShiftRecords {
	dw_view_place place{};

	RestoredShifts()
	{
		place.members = 20;
		place.readers = 3;
		now_us = dw_clock_now_us();
		enter_era(1, 10);
		all.started_at_us = now_us - 60 * 1000 * MS;
		order("v2", at(1, 45));
		status(DW_SHIFT_RUNNING, "v2", at(1, 46));
	}
	static uint64_t at(uint64_t era, uint64_t number)
	{
		return dw_revision_make(era, number);
	}
	void enter_era(uint64_t number, uint64_t guard_revision)
	{
		era.era = number;
		era.record_era = guard_revision > 0 ? number : number - 1;
		era.revision = at(number, guard_revision);
		era.begin_revision = era.revision;
	}
	/* The records of the era's first state were applied. */
	void restored(uint64_t number, uint64_t guard_revision)
	{
		enter_era(number, guard_revision);
		shifts_store_restored(&all, &place, now_us);
	}
	service_shift &service()
	{
		return *all.services;
	}
	void order(const char *target, uint64_t revision)
	{
		dw_shift_order order{};
		strcpy(order.service, "llm");
		strcpy(order.target_version, target);
		order.duration_us = 100 * 1000 * MS;
		order.revision = revision;
		shifts_apply_order(&all, &order, now_us);
	}
	void status(dw_shift_state state, const char *target, uint64_t revision)
	{
		shifts_apply_status(&all, "llm", state, target, revision);
	}
	void record(const char *key, uint64_t revision, const char *value)
	{
		dw_store_event event{};
		event.deleted = !value;
		event.entry.key = key;
		event.entry.value = (const uint8_t *)value;
		event.entry.value_len = value ? strlen(value) : 0;
		event.entry.mod_revision = revision;
		shifts_apply_record(&all, &event, now_us);
	}
	/* The writes of records with this in their keys, in this time. */
	std::vector<FakeStore::write> writes(const char *kind, uint64_t ms)
	{
		for (uint64_t i = 0; i < ms / SHIFT_CHECK_PERIOD_MS; i++) {
			now_us += SHIFT_CHECK_PERIOD_MS * MS;
			shift_records_write(&service(), now_us);
		}
		std::vector<FakeStore::write> found;
		for (const auto &write : store.writes) {
			if (write.key.find(kind) != std::string::npos)
				found.push_back(write);
		}
		store.writes.clear();
		return found;
	}
};

/* Guards against a rollout that begins anew as the operator writes its order again, with another revision. */
TEST_F(RestoredShifts, AnOrderThatIsWrittenAgainGoesOn)
{
	now_us += 50 * 1000 * MS;
	uint64_t begun_us = service().shift.started_at_us;
	shift_request request{};
	request.version = "v2";
	request.route = "chat";
	request.sent_at_us = now_us;
	request.number = shifts_count_sent(&all, "llm", &request);
	order("v2", at(2, 30));
	restored(2, 28);
	EXPECT_EQ(service().shift.order.revision, at(2, 30));
	EXPECT_EQ(service().shift.started_at_us, begun_us);
	EXPECT_EQ(service().shift.open[DW_SHIFT_NEW].count, 1U);
	shifts_count_end(&all, "llm", &request, true, 0, now_us);
	EXPECT_EQ(service().shift.open[DW_SHIFT_NEW].count, 0U)
		<< "a request that was under way then counts for ever";
}

/* Guards against the same once the era's first state was taken in, also if the view gives up a kept order and passes
 * the one that the store shows on with a revision of its own. */
TEST_F(RestoredShifts, AnOrderThatIsWrittenAgainLaterGoesOn)
{
	now_us += 50 * 1000 * MS;
	uint64_t begun_us = service().shift.started_at_us;
	restored(2, 28);
	now_us += 3 * 1000 * MS;
	order("v2", at(2, 35));
	now_us += 4 * 1000 * MS;
	order("v2", at(2, 60));
	EXPECT_EQ(service().shift.order.revision, at(2, 60));
	EXPECT_EQ(service().shift.started_at_us, begun_us);
}

/* Guards against a new order that is taken for the known one. */
TEST_F(RestoredShifts, AnotherOrderStartsAnew)
{
	restored(2, 28);
	order("v3", at(2, 35));
	EXPECT_STREQ(service().shift.order.target_version, "v3");
	EXPECT_EQ(service().shift.started_at_us, now_us);
	now_us += 60 * 1000 * MS;
	order("v3", at(2, 90));
	EXPECT_EQ(service().shift.started_at_us, now_us) << "long after the restore";
}

/* Guards against an instance without the order in force: it started with an older one, read in the later era, and
 * another instance passes on the kept one. */
TEST_F(RestoredShifts, AKeptOrderOfAnEarlierEraReplacesAnOlderState)
{
	enter_era(2, 28);
	order("v1", at(2, 20));
	order("v3", at(1, 90));
	EXPECT_STREQ(service().shift.order.target_version, "v3");
	EXPECT_EQ(service().shift.order.revision, at(1, 90));
}

/* Guards against a rollout that ends by the outcome of an earlier one to the same target, which the copy has. */
TEST_F(RestoredShifts, AnOlderOutcomeDoesNotEndTheRollout)
{
	status(DW_SHIFT_ROLLED_BACK, "v2", at(2, 20));
	restored(2, 28);
	EXPECT_EQ(service().shift.state, DW_SHIFT_RUNNING);
	auto found = writes("status", 600);
	ASSERT_EQ(found.size(), 1U);
	EXPECT_EQ(found[0].expected, at(2, 20));
	EXPECT_NE(found[0].value.find("running"), std::string::npos) << found[0].value;
}

/* Guards against an outcome that was recorded in the new era before this instance has learned of that. */
TEST_F(RestoredShifts, AnOutcomeOfTheNewEraEndsTheRollout)
{
	status(DW_SHIFT_ROLLED_BACK, "v2", at(2, 30));
	restored(2, 28);
	EXPECT_EQ(service().shift.state, DW_SHIFT_ROLLED_BACK);
	EXPECT_TRUE(writes("status", 5000).empty());
}

/* Guards against a recorded outcome that is forgotten, as the copy has an earlier state or none. */
TEST_F(RestoredShifts, ALostOutcomeIsWrittenAgain)
{
	const dw_shift_state outcomes[] = { DW_SHIFT_COMPLETED, DW_SHIFT_ROLLED_BACK };
	uint64_t number = 1;
	for (dw_shift_state outcome : outcomes) {
		for (bool is_missing : { false, true }) {
			order(is_missing ? "v3" : "v2", at(number, 50));
			const char *target = service().shift.order.target_version;
			status(outcome, target, at(number, 60));
			ASSERT_EQ(service().shift.state, outcome);
			number++;
			if (is_missing)
				shifts_apply_status_deleted(&all, "llm");
			else
				status(DW_SHIFT_RUNNING, target, at(number, 51));
			restored(number, 55);
			EXPECT_EQ(service().shift.state, outcome);
			auto found = writes("status", 600);
			ASSERT_EQ(found.size(), 1U) << is_missing;
			EXPECT_EQ(found[0].expected, is_missing ? 0 : at(number, 51));
			EXPECT_NE(found[0].value.find(dw_shift_state_name(outcome)),
				  std::string::npos)
				<< found[0].value;
			store.answer(found[0], DW_STORE_DONE, at(number, 57));
			now_us += 60 * 1000 * MS;
		}
	}
	EXPECT_EQ(era.rewritten[ERA_REWRITE_STATUS], 4U);
}

/* Guards against a burst: only the readers write at once, and nobody what another one has written by then. */
TEST_F(RestoredShifts, OthersWaitForTheReaders)
{
	status(DW_SHIFT_COMPLETED, "v2", at(1, 60));
	place.rank = 12;
	status(DW_SHIFT_RUNNING, "v2", at(2, 46));
	restored(2, 55);
	EXPECT_TRUE(writes("status", 1500).empty());
	status(DW_SHIFT_COMPLETED, "v2", at(2, 57));
	EXPECT_TRUE(writes("status", 10000).empty());
}

/* Guards against instances that started later and don't know that the order that was written again is done. */
TEST_F(RestoredShifts, TheOutcomeIsWrittenAgainAfterItsOrder)
{
	status(DW_SHIFT_COMPLETED, "v2", at(1, 60));
	restored(2, 70);
	EXPECT_TRUE(writes("status", 1000).empty()) << "the copy has it";
	order("v2", at(2, 75));
	EXPECT_EQ(service().shift.state, DW_SHIFT_COMPLETED);
	auto found = writes("status", 600);
	ASSERT_EQ(found.size(), 1U);
	EXPECT_NE(found[0].value.find("completed"), std::string::npos) << found[0].value;
}

/* The same, at the instance that started: it sends no requests to the old version, whose engines have stopped. */
TEST_F(RestoredShifts, ANewcomerKnowsThatTheOrderWasDone)
{
	status(DW_SHIFT_NONE, "", 0);
	service().shift.state = DW_SHIFT_NONE;
	enter_era(0, 0);
	all.started_at_us = now_us;
	order("v2", at(2, 75));
	status(DW_SHIFT_COMPLETED, "v2", at(2, 60));
	enter_era(2, 70);
	shifts_entered_era(&all, now_us);
	EXPECT_EQ(service().shift.state, DW_SHIFT_COMPLETED);
}

/* Guards against an instance that never writes again: a conflict in the era before showed a record that is lost. */
TEST_F(RestoredShifts, AnUnreadRecordOfTheEraBeforeIsNotWaitedFor)
{
	service().status.unread_revision = at(1, 80);
	service().shift.state = DW_SHIFT_ROLLED_BACK;
	service().is_recorded = true;
	restored(2, 60);
	EXPECT_EQ(writes("status", 600).size(), 1U);
}

/* Guards against the same by a record of the copy that was read in the era before, with the same number. */
TEST_F(RestoredShifts, AConflictWithARecordOfTheCopyIsNotWaitedFor)
{
	restored(2, 60);
	service().shift.state = DW_SHIFT_ROLLED_BACK;
	service().is_recorded = true;
	service().status.revision = at(1, 50);
	auto found = writes("status", 4000);
	ASSERT_EQ(found.size(), 1U);
	store.answer(found[0], DW_STORE_CONFLICT, at(2, 46));
	found = writes("status", 4000);
	ASSERT_EQ(found.size(), 1U);
	EXPECT_EQ(found[0].expected, at(2, 46));
}

/* Guards against a write that isn't bound to the era, or comes before its key; then against a burst of what is due. */
TEST_F(RestoredShifts, WritesWaitForTheKeyOfTheEra)
{
	shifts_apply_status_deleted(&all, "llm");
	restored(2, 0);
	EXPECT_TRUE(writes("status", 3000).empty());
	enter_era(2, 60);
	EXPECT_EQ(writes("status", 600).size(), 1U);
}

/* Guards against an outcome over another one that the store has lost: those who know that write first. */
TEST_F(RestoredShifts, AnOutcomeThatIsNewLeavesTimeForALostOne)
{
	restored(2, 60);
	service().shift.state = DW_SHIFT_ROLLED_BACK;
	now_us += 100 * 1000 * MS;
	all.restored_at_us = now_us;
	EXPECT_TRUE(writes("status", 900).empty());
	EXPECT_EQ(writes("status", 6000).size(), 1U);
}

constexpr const char *PEER = "wharf/evidence/llm/front-2";

/* Guards against evidence that instances don't pool, as they have learned of the order in different eras. */
TEST_F(RestoredShifts, EvidenceNamesTheOrderByItsNumberAndTarget)
{
	restored(2, 60);
	record(PEER, at(2, 61),
	       "{\"order\":45,\"target\":\"v3\",\"run\":1,\"new\":[9,8,0,0,1,10]}");
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].answers, 0U) << "of another target";
	record(PEER, at(2, 62), "{\"order\":45,\"target\":null,\"run\":1,\"new\":[9,8,0,0,1,10]}");
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].answers, 0U);
	record(PEER, at(2, 63),
	       "{\"order\":45,\"target\":\"v2\",\"run\":1,\"new\":[9,2,0,0,7,10]}");
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].answers, 9U);
	record("wharf/evidence/llm/front-3", at(2, 64),
	       "{\"order\":45,\"run\":1,\"new\":[5,1,0,0,4,10]}");
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].answers, 14U)
		<< "an earlier release's";
}

/* Guards against evidence that is forgotten, as the copy has an earlier state of it or none. */
TEST_F(RestoredShifts, EvidenceOfOthersIsNotLowered)
{
	record(PEER, at(1, 50), "{\"order\":45,\"run\":1,\"new\":[9,6,0,0,3,10]}");
	record(PEER, at(2, 48), "{\"order\":45,\"run\":1,\"new\":[4,1,0,0,3,10]}");
	restored(2, 60);
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].bad, 6U);
	record(PEER, at(3, 48), nullptr);
	restored(3, 60);
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].bad, 6U);
	record(PEER, at(3, 70), "{\"order\":45,\"run\":1,\"new\":[12,8,0,0,4,10]}");
	EXPECT_EQ(service().shift.peers.counts[DW_SHIFT_NEW].bad, 8U);
}

/* Guards against evidence and progress that those who start later can't read: they were lost, or name the order
 * by its number in the era before. */
TEST_F(RestoredShifts, EvidenceAndProgressAreWrittenAgain)
{
	now_us += 40 * 1000 * MS;
	service().shift.own.counts[DW_SHIFT_NEW] = { 40, 2, 0, 0, 38, 100 };
	service().shift.own.counts[DW_SHIFT_OLD] = { 40, 2, 0, 0, 38, 100 };
	service().shift.state = DW_SHIFT_RUNNING;
	auto found = writes("", 4000);
	ASSERT_EQ(found.size(), 2U);
	for (const auto &write : found) {
		EXPECT_NE(write.value.find("\"order\":45,\"target\":\"v2\""), std::string::npos)
			<< write.value;
		store.answer(write, DW_STORE_DONE, at(1, 70));
	}
	record("wharf/progress/llm", at(1, 70),
	       "{\"order\":45,\"target\":\"v2\",\"permille\":400}");
	EXPECT_TRUE(writes("", 4000).empty());

	/* The evidence was acknowledged, and lost before it was read; the progress is an older one. */
	record("wharf/progress/llm", at(2, 47),
	       "{\"order\":45,\"target\":\"v2\",\"permille\":125}");
	restored(2, 60);
	EXPECT_GE(dw_shift_progress(&service().shift, now_us), 400U);
	now_us += 1000 * MS; /* within the spread of 20 instances */
	shift_records_write(&service(), now_us);
	ASSERT_FALSE(store.writes.empty());
	std::string values;
	for (const auto &write : std::vector<FakeStore::write>(store.writes)) {
		values += write.key + write.value;
		store.answer(write, DW_STORE_DONE, at(2, 62));
	}
	store.writes.clear();
	EXPECT_NE(values.find("evidence"), std::string::npos) << values;
	EXPECT_NE(values.find("progress"), std::string::npos) << values;
	EXPECT_EQ(era.rewritten[ERA_REWRITE_EVIDENCE], 1U);
	EXPECT_EQ(era.rewritten[ERA_REWRITE_PROGRESS], 1U);

	/* The operator writes the order again. */
	order("v2", at(2, 65));
	found = writes("evidence", 3000);
	ASSERT_EQ(found.size(), 1U);
	EXPECT_NE(found[0].value.find("\"order\":65,\"target\":\"v2\""), std::string::npos)
		<< found[0].value;
}

} // namespace
