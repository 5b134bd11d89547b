// The store is away for a moment and comes back from an older copy: revisions go back and are given out again, and
// the operator and the engines write again what they had written. What was taken away stays so, before the restore and
// after it, and what is under way goes on.
#include <gtest/gtest.h>

#include <string>

#include "support/restore_fleet.h"

using support::IN_FORCE_MS;
using support::now_ms;
using support::sent_request;
using support::sleep_ms;
using support::steady_caller;
using support::wait_until;

namespace
{

struct Restore : testing::Test, support::restore_fleet {
	Restore() : restore_fleet(2)
	{
	}
	void SetUp() override
	{
		start();
		back_up();
	}
	/* Calls of all instances to the store in a while in which nothing happens. */
	int64_t calls_in(int ms) const
	{
		int64_t before = sum_metric("store_calls");
		sleep_ms(ms);
		return sum_metric("store_calls") - before;
	}
	/* From now on no instance runs a request with the key, for @p for_ms. */
	void expect_refused(const std::string &key, int for_ms, const std::string &what)
	{
		int64_t end_ms = now_ms() + for_ms;
		while (now_ms() < end_ms) {
			for (size_t i = 0; i < instances.size(); i++)
				ASSERT_NE(call(i, "GET", "/look/1", key).status, 200) << what;
			sleep_ms(50);
		}
	}
	/* Requests through all instances for @p for_ms run, none of them at this engine. */
	void expect_unused(const std::string &engine, int for_ms, const std::string &what)
	{
		int64_t before = find(engine).read_stat("runs");
		int64_t started_ms = now_ms();
		steady_caller caller(*this, { 0, 1 }, "/look/", "k2");
		sleep_ms(for_ms);
		size_t served = 0;
		for (const sent_request &each : caller.stop()) {
			EXPECT_NE(each.engine, engine)
				<< what << ", instance " << each.instance << " after "
				<< each.sent_ms - started_ms << " ms";
			served += each.status == 200;
		}
		EXPECT_GT(served, 10U) << what;
		EXPECT_EQ(find(engine).read_stat("runs"), before) << what;
	}
	/* All instances serve, and use this engine too. */
	void expect_used(const std::string &engine, const std::string &what)
	{
		int64_t before = find(engine).read_stat("runs");
		steady_caller caller(*this, { 0, 1 }, "/look/", "k2");
		EXPECT_TRUE(wait_until([&] { return find(engine).read_stat("runs") > before + 10; },
				       2000))
			<< what;
		for (const sent_request &each : caller.stop())
			EXPECT_EQ(each.status, 200) << what << ", at instance " << each.instance;
	}
	/* What the operator and the engines that are there wrote is in the store again. */
	void write_all_again()
	{
		write_config_again();
		for (const auto &[id, entry] : entries)
			report(id);
	}
};

/* Guards against requests with a key that was taken away after the restore: the new configuration has a lower
 * revision than the one before the restore. */
TEST_F(Restore, AKeyTakenAwayAfterItIsRefusedInTime)
{
	change_much();
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	restore(1000);
	write_config_again();
	write_config("\"k2\"");
	sleep_ms(revocation_ms);
	expect_refused("k1", 2000, "taken away after the restore");
}

/* Guards against a key that was taken away before the restore, and is back with the older copy. */
TEST_F(Restore, AKeyTakenAwayBeforeItStaysRefused)
{
	change_much();
	write_config("\"k2\"");
	ASSERT_TRUE(wait_in_force());
	restore(1000);
	expect_refused("k1", 2000, "until the operator has written it again");
	write_config_again();
	expect_refused("k1", 2000, "after that");
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_TRUE(
			wait_until([&] { return call(i, "GET", "/look/1", "k2").status == 200; }));
}

/* Guards against configurations that aren't in force, or late, since their revisions are lower than one before the
 * restore: each write after it counts. */
TEST_F(Restore, EachConfigurationAfterItIsInForceInThreeSeconds)
{
	change_much();
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	restore();
	write_config_again();
	for (int n = 0; n < 4; n++) {
		write_config("\"k" + std::to_string(n) + "\",\"k2\"");
		EXPECT_TRUE(wait_in_force()) << n;
		sleep_ms(200);
	}
}

/* Guards against a loop of watch, 410 and reread for as long as the store's revision is below the one that was known
 * before the restore. */
TEST_F(Restore, TheStoreIsNotReadAgainAndAgainAfterIt)
{
	change_much();
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	int64_t calls_before = calls_in(4000);
	int64_t rereads = sum_metric("view_rereads");
	restore(1000);
	write_config_again();
	EXPECT_LE(calls_in(4000), 2 * calls_before);
	EXPECT_LE(sum_metric("view_rereads") - rereads, 2 * (int64_t)instances.size());
	EXPECT_EQ(sum_metric("view_answer_behind"), 0);
}

/* Guards against requests to an engine that was taken out after the restore. */
TEST_F(Restore, AnEngineTakenOutAfterItGetsNoRequests)
{
	change_much();
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	restore(1000);
	write_all_again();
	entries["e2"].state = "draining";
	report("e2");
	sleep_ms(change_ms);
	expect_unused("e2", 1000, "it has said that it leaves");
}

/* Guards against requests to an engine that had left before the restore, whose entry is back with the copy. */
TEST_F(Restore, AnEngineGoneBeforeItGetsNoRequests)
{
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	leave("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 1));
	change_much();
	restore();
	expect_unused("e2", 900, "before others write again");
	write_all_again();
	change_much();
	expect_unused("e2", 6500, "after that");
	remove("servers/e2"); /* its lease has ended */
	expect_unused("e2", 500, "the entry is gone");
}

/* The same for an engine that had said that it leaves; it says so again a second after the return. */
TEST_F(Restore, AnEngineThatWasDrainingBeforeItGetsNoRequests)
{
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	entries["e2"].state = "draining";
	report("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 1));
	change_much();
	restore();
	instances[1].gateway->kill();
	launch(1);
	ASSERT_TRUE(wait_until([&] { return instances[1].is_ready(); }));
	expect_unused("e2", 900, "before it says so again");
	write_all_again();
	expect_unused("e2", 6500, "after that");
}

/* Guards against refusals since engines that have registered after the copy was made aren't in it. */
TEST_F(Restore, EnginesOfAfterTheCopyStayInUseUntilTheyWriteAgain)
{
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	leave("e1");
	ASSERT_TRUE(wait_metric("engines_usable", 1));
	change_much();
	steady_caller caller(*this, { 0, 1 }, "/look/", "k2");
	restore();
	sleep_ms(1500);
	write_all_again();
	sleep_ms(4000);
	for (const sent_request &each : caller.stop()) {
		EXPECT_EQ(each.status, 200) << "at instance " << each.instance;
		EXPECT_EQ(each.engine, "e2");
	}
}

/* Guards against requests to a failure domain whose evacuation is lost with the copy. */
TEST_F(Restore, AnEvacuationSetBeforeItStays)
{
	add_engine("e2", { .zone = "b" });
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	change_much();
	put("op/evacuate/b", "{}");
	ASSERT_TRUE(wait_metric("domains_evacuated", 1));
	restore();
	instances[1].gateway->kill();
	launch(1);
	ASSERT_TRUE(wait_until([&] { return instances[1].is_ready(); }));
	expect_unused("e2", 900, "before the operator writes it again");
	put("op/evacuate/b", "{}");
	write_all_again();
	expect_unused("e2", 6500, "after that");
	remove("op/evacuate/b");
	EXPECT_TRUE(wait_metric("domains_evacuated", 0, IN_FORCE_MS));
	expect_used("e2", "the evacuation has ended");
}

/* Guards against a failure domain that is taken out again, as its evacuation had ended after the copy was made. */
TEST_F(Restore, AnEvacuationThatHadEndedDoesNotComeBack)
{
	add_engine("e2", { .zone = "b" });
	put("op/evacuate/b", "{}");
	ASSERT_TRUE(wait_metric("domains_evacuated", 1));
	back_up();
	change_much();
	remove("op/evacuate/b");
	ASSERT_TRUE(wait_metric("domains_evacuated", 0));
	restore();
	expect_used("e2", "before the operator removes it again");
	remove("op/evacuate/b");
	write_all_again();
	change_much();
	sleep_ms(IN_FORCE_MS);
	expect_used("e2", "after that");
	EXPECT_TRUE(wait_metric("domains_evacuated", 0, 0));
}

/* Tells a dropped history from a restore: one reread, and nothing in it is older than the copy. */
TEST_F(Restore, ADroppedHistoryIsReadOnce)
{
	for (int times = 0; times < 3; times++) {
		change_much();
		support::http_call(store_port, "POST", "/admin/compact", "{}");
		sleep_ms(500);
	}
	write_config("\"k1\"");
	ASSERT_TRUE(wait_in_force());
	EXPECT_EQ(sum_metric("view_answers_behind"), 0);
	EXPECT_EQ(sum_metric("view_records_ignored"), 0);
}

} // namespace
