// What else may happen while the store comes back from an older copy: instances start in the gap or are cut off, the
// store is restored again, watches aren't cut or end without an answer, eras are wrong, a rollout or a quarantine is
// under way.
#include <gtest/gtest.h>

#include <string>

#include "support/crash_fleet.h"
#include "support/restore_fleet.h"

using support::IN_FORCE_MS;
using support::now_ms;
using support::relay_mode;
using support::send_request;
using support::sent_request;
using support::sleep_ms;
using support::steady_caller;
using support::wait_until;

namespace
{

struct RestoreFaults : testing::Test, support::restore_fleet {
	RestoreFaults() : restore_fleet(3)
	{
	}
	/* A copy that has k1, which is taken away after it. */
	void take_key_away_after_copy()
	{
		back_up();
		change_much();
		write_config("\"k2\"");
		ASSERT_TRUE(wait_in_force());
	}
	/* No instance of these runs requests with k1 meanwhile, as far as they listen. */
	static void expect_none_run(steady_caller &caller, const std::string &what)
	{
		for (const sent_request &each : caller.stop())
			EXPECT_NE(each.status, 200) << what << ", instance " << each.instance;
	}
	void expect_served(const std::string &key, int within_ms, const std::string &what)
	{
		for (size_t i = 0; i < instances.size(); i++)
			EXPECT_TRUE(wait_until(
				[&] {
					return send_request(*this, i, "/look/1", key).status == 200;
				},
				within_ms))
				<< what << ", instance " << i;
	}
	/* All instances end, and one starts in the gap of a restore. */
	void expect_the_only_one_waits_for_the_operator()
	{
		for (auto &each : instances)
			each.gateway->kill();
		restore();
		launch(0);
		steady_caller caller(*this, { 0 }, "/look/", "k1");
		sleep_ms(1000);
		write_config_again();
		EXPECT_TRUE(wait_until(
			[&] { return send_request(*this, 0, "/look/1", "k2").status == 200; },
			IN_FORCE_MS));
		sleep_ms(2000);
		expect_none_run(caller, "no other instance runs");
	}
	/* Whether all instances follow the store and believe the same. */
	void expect_healthy(const std::string &what)
	{
		write_config("\"k2\",\"k3\"");
		EXPECT_TRUE(wait_in_force()) << what;
		expect_served("k3", 500, what);
		EXPECT_TRUE(wait_metric("view_answer_behind", 0)) << what;
		int64_t rereads = sum_metric("view_rereads");
		sleep_ms(1500);
		EXPECT_LE(sum_metric("view_rereads") - rereads, (int64_t)instances.size()) << what;
	}
};

/* Guards against an instance that starts in the gap and serves what the copy shows: a key that was taken away. */
TEST_F(RestoreFaults, AnInstanceThatStartsInTheGapServesSoonWithTheRightKeys)
{
	start();
	take_key_away_after_copy();
	instances[2].gateway->kill();
	restore();
	launch(2);
	steady_caller caller(*this, { 2 }, "/look/", "k1");
	EXPECT_TRUE(wait_until(
		[&] { return send_request(*this, 2, "/look/1", "k2").status == 200; }, 3000));
	sleep_ms(1000);
	write_config_again();
	sleep_ms(1000);
	expect_none_run(caller, "started in the gap");
	expect_healthy("after the start");
}

/* Guards against requests of an instance that starts after the restore to an engine that had left before it, whose
 * entry is back with the copy. */
TEST_F(RestoreFaults, AnInstanceThatStartsInTheGapIsToldOfEnginesThatLeft)
{
	start();
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	leave("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 1));
	restore();
	sleep_ms(1000);
	write_config_again();
	report("e1");
	instances[2].gateway->kill();
	launch(2);
	steady_caller caller(*this, { 2 }, "/look/", "k2");
	sleep_ms(6000);
	for (const sent_request &each : caller.stop())
		EXPECT_NE(each.engine, "e2");
	EXPECT_EQ(find("e2").read_stat("runs"), 0);
}

/* Guards against keys that come back when no instance is left that could tell: the key of the era is behind, and the operator
 * writes again a second later. */
TEST_F(RestoreFaults, AnInstanceThatStartsAloneInTheGapWaitsForTheOperator)
{
	start();
	take_key_away_after_copy();
	expect_the_only_one_waits_for_the_operator();
}

/* Guards against a store that counts its restores from 0 and passes for one without eras: an instance that starts in the gap
 * of the first restore isn't held back, and no write is conditional on the era before it. */
TEST_F(RestoreFaults, TheFirstRestoreOfAStoreThatCountsFromZero)
{
	support::http_call(store_port, "POST", "/admin/era", "{\"era\":0}");
	start();
	EXPECT_TRUE(wait_until([&] {
		return read_range("wharf/era").find("Key") != std::string::npos;
	})) << "the key of the era is written before any restore";
	take_key_away_after_copy();
	expect_the_only_one_waits_for_the_operator();
	EXPECT_EQ(instances[0].metric("store_era"), 1);
}

/* Guards against an instance that never ceases to ask others that aren't there what they remember, and to log that they fail:
 * the last one of its fleet has started again. */
TEST_F(RestoreFaults, AnInstanceThatIsLeftAloneCeasesToAskForMemory)
{
	start();
	for (auto &each : instances)
		each.gateway->kill();
	launch(0);
	EXPECT_TRUE(wait_until([&] { return instances[0].metric("config_version") == version; }));
	sleep_ms(5000);
	int64_t before = instances[0].metric("view_requests");
	sleep_ms(3000);
	EXPECT_EQ(instances[0].metric("view_requests") - before, 0);
}

/* Guards against an instance that is cut off from the store while the others change era: it must follow them, and must
 * not bring back the era before once it reaches the store again. */
TEST_F(RestoreFaults, AnInstanceThatIsCutOffMeanwhileFollowsTheOthers)
{
	for (size_t i = 0; i < instances.size(); i++)
		store_links.push_back(std::make_unique<support::relay>(store_port));
	start();
	back_up();
	change_much();
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	for (relay_mode mode : { relay_mode::refuse, relay_mode::hold }) {
		store_links[2]->set_mode(mode);
		restore();
		write_config_again();
		write_config("\"k2\"");
		EXPECT_TRUE(wait_in_force()) << "also at the one that is cut off";
		steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k1");
		sleep_ms(1500);
		store_links[2]->set_mode(relay_mode::pass);
		sleep_ms(2500);
		expect_none_run(caller, "cut off");
		expect_healthy("in touch again");
		write_config("\"k1\",\"k2\"");
		EXPECT_TRUE(wait_in_force());
	}
}

/* Guards against states of the first restore that decide in the second one. */
TEST_F(RestoreFaults, TwoRestoresWithinTenSeconds)
{
	start();
	take_key_away_after_copy();
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k1");
	restore();
	sleep_ms(1000);
	write_config_again();
	sleep_ms(2500);
	change_much();
	restore();
	sleep_ms(1000);
	write_config_again();
	sleep_ms(IN_FORCE_MS);
	expect_none_run(caller, "restored twice");
	expect_healthy("restored twice");
	EXPECT_TRUE(wait_metric("store_era", 3));
}

/* Guards against a watch that waits while the store is restored and goes on in the new era at its old revision: what was
 * written below it is missing in its events. */
TEST_F(RestoreFaults, AWatchThatIsNotCutMissesNothing)
{
	start();
	back_up();
	change_much();
	write_config("\"k1\",\"k2\"");
	ASSERT_TRUE(wait_in_force());
	inject_store_fault("{\"kind\":\"watches_kept\"}");
	support::http_call(store_port, "POST", "/admin/restore", "{}");
	write_config_again();
	write_config("\"k2\"");
	change_much();
	change_much();
	EXPECT_TRUE(wait_in_force());
	sleep_ms(revocation_ms - IN_FORCE_MS);
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k1");
	sleep_ms(1000);
	expect_none_run(caller, "a watch that isn't cut");
	inject_store_fault("{\"kind\":\"none\"}");
	expect_healthy("a watch that isn't cut");
}

/* Guards against an instance that waits for the 410 of its watch, which is lost. */
TEST_F(RestoreFaults, AWatchWhose410IsLostMissesNothing)
{
	start();
	take_key_away_after_copy();
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k1");
	inject_store_fault("{\"kind\":\"gone_lost\",\"for_ms\":1500}");
	restore();
	inject_store_fault("{\"kind\":\"gone_lost\",\"for_ms\":1500}");
	write_config_again();
	write_config("\"k2\",\"k4\"");
	EXPECT_TRUE(wait_in_force());
	sleep_ms(1000);
	expect_none_run(caller, "a 410 is lost");
	expect_healthy("a 410 is lost");
}

/* Guards against an era that is wrong in some answers and changes what is in force, or stops an instance. */
TEST_F(RestoreFaults, WrongErasChangeNothing)
{
	start();
	back_up();
	restore(); /* so that there is a lower one */
	write_config_again();
	ASSERT_TRUE(wait_metric("store_era", 2));
	ASSERT_TRUE(wait_in_force());
	sleep_ms(7000); /* what was kept is settled */
	int64_t rereads = sum_metric("view_rereads");
	for (const char *kind : { "era_missing", "era_unreadable", "era_lower" }) {
		int64_t bad = sum_metric("store_bad_eras");
		steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k2");
		inject_store_fault(std::string("{\"kind\":\"") + kind + "\",\"count\":3}");
		write_config("\"k2\",\"x-" + std::string(kind) + "\"");
		EXPECT_TRUE(wait_in_force()) << kind;
		inject_store_fault(std::string("{\"kind\":\"") + kind + "\",\"for_ms\":2000}");
		write_config("\"k2\",\"y-" + std::string(kind) + "\"");
		EXPECT_TRUE(wait_in_force()) << kind;
		sleep_ms(2500);
		EXPECT_GT(sum_metric("store_bad_eras"), bad) << kind;
		for (const sent_request &each : caller.stop())
			EXPECT_EQ(each.status, 200) << kind << ", instance " << each.instance;
	}
	EXPECT_EQ(sum_metric("view_rereads"), rereads);
	EXPECT_TRUE(wait_metric("store_era", 2));
	EXPECT_TRUE(wait_metric("store_restores", 1));
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_LE(count_lines(i, { "input.refused", "store era" }), 1U);
}

/* Guards against old answers that arrive after those of the new era. */
TEST_F(RestoreFaults, AnswersInTransitMeanwhileAreDropped)
{
	start();
	take_key_away_after_copy();
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k1");
	inject_store_fault("{\"kind\":\"late\",\"n\":700,\"for_ms\":300}");
	inject_store_fault("{\"kind\":\"watches_kept\"}");
	put("elsewhere/x", "{}"); /* all watches have an answer that is in transit */
	support::http_call(store_port, "POST", "/admin/restore", "{}");
	sleep_ms(1000);
	write_config_again();
	sleep_ms(2000);
	inject_store_fault("{\"kind\":\"none\"}");
	expect_none_run(caller, "answers in transit");
	expect_healthy("answers in transit");
}

/* Guards against a bad version that gets requests again, as the copy shows its rollout under way. */
TEST_F(RestoreFaults, ARolledBackVersionStaysSo)
{
	start();
	add_engine("e2", { .version = "v2" });
	put("op/rollout/app", "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":20}");
	back_up();
	find("e2").inject_fault("{\"kind\":\"fail\"}");
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k2", 2);
	ASSERT_TRUE(wait_until([&] {
		return read_range("status/rollout/").find("status/rollout/") != std::string::npos;
	}));
	ASSERT_TRUE(wait_until(
		[&] {
			return count_lines(0, { "rolled_back" }) > 0 &&
			       count_lines(1, { "rolled_back" }) > 0 &&
			       count_lines(2, { "rolled_back" }) > 0;
		},
		20000));
	std::string status = read_range("status/rollout/");
	sleep_ms(1000);
	int64_t before = find("e2").read_stat("runs");
	restore();
	sleep_ms(1000);
	write_config_again();
	report("e1");
	report("e2");
	sleep_ms(5000);
	EXPECT_EQ(find("e2").read_stat("runs"), before) << "rolled back before the restore";
	EXPECT_NE(read_range("status/rollout/").find("status/rollout/"), std::string::npos)
		<< "the status is written again";
	caller.stop();
}

/* Guards against a rollout that ends or starts anew, as its order is lost until the operator writes it again. */
TEST_F(RestoreFaults, ARolloutUnderWayIsCompleted)
{
	constexpr int DURATION_MS = 10000;
	start();
	add_engine("e2", { .version = "v2" });
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	change_much();
	std::string order = "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":" +
			    std::to_string(DURATION_MS / 1000) + "}";
	int64_t ordered_ms = now_ms();
	put("op/rollout/app", order);
	steady_caller caller(*this, { 0, 1, 2 }, "/look/", "k2", 2);
	sleep_ms(DURATION_MS / 2);
	restore();
	sleep_ms(1000);
	put("op/rollout/app", order);
	write_config_again();
	report("e1");
	report("e2");
	for (size_t i = 0; i < instances.size(); i++)
		EXPECT_TRUE(
			wait_until([&] { return count_lines(i, { "completed" }) > 0; },
				   (int)(ordered_ms + 2 * DURATION_MS + IN_FORCE_MS - now_ms())))
			<< i;
	int64_t completed_ms = now_ms();
	leave("e1"); /* its version's engines end */
	find("e1").server->kill();
	for (const sent_request &each : caller.stop()) {
		if (each.sent_ms < completed_ms - 100) {
			EXPECT_EQ(each.status, 200) << each.sent_ms - ordered_ms;
		}
	}
	EXPECT_NE(read_range("status/rollout/").find("status/rollout/app"), std::string::npos);
}

/* Guards against a quarantine that ends, as its record is lost with the copy: it stays in force, is written again, and
 * holds at an instance that starts later. */
struct RestoredQuarantine : support::crash_fleet {
	bool is_recorded()
	{
		return read_range("wharf/quarantine/").find("wharf/quarantine/") !=
		       std::string::npos;
	}
};

TEST_F(RestoredQuarantine, ItStaysAndIsWrittenAgain)
{
	support::http_call(store_port, "POST", "/admin/backup", "{}");
	call(0, "GET", "/look/poison");
	tend_for(2 * support::RESTART_MS);
	ASSERT_EQ(crashes, support::MAX_CRASHES);
	ASSERT_TRUE(wait_until([&] { return is_recorded(); }));
	inject_store_fault("{\"kind\":\"outage\"}");
	tend_for(600);
	support::http_call(store_port, "POST", "/admin/restore", "{}");
	inject_store_fault("{\"kind\":\"none\"}");
	ASSERT_FALSE(is_recorded());
	for (size_t n = 0; n < 2 * INSTANCES; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(100);
	}
	version -= 3;
	configure();
	for (size_t i = 0; i < ENGINES; i++)
		register_backend(*backends[i], backends[i]->id);
	EXPECT_TRUE(wait_until([&] { return is_recorded(); }, 10000));
	instances[1].gateway->kill();
	launch(1);
	ASSERT_TRUE(wait_until([&] { return instances[1].is_ready(); }));
	for (size_t n = 0; n < 2 * INSTANCES; n++) {
		EXPECT_NE(call(n % INSTANCES, "GET", "/look/poison").status, 200);
		tend_for(100);
	}
	EXPECT_EQ(crashes, support::MAX_CRASHES);
}

/* Guards against requests of an instance that started before the restore, but after an engine had left, to this engine: it has
 * never known the entry that is back with the copy. */
TEST_F(RestoreFaults, AnInstanceThatStartedAfterAnEngineHadLeftIsToldOfIt)
{
	start();
	add_engine("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 2));
	back_up();
	leave("e2");
	ASSERT_TRUE(wait_metric("engines_usable", 1));
	for (size_t i : { 0, 1 }) { /* one of them reads the store */
		instances[i].gateway->kill();
		launch(i);
		ASSERT_TRUE(wait_until([&] { return instances[i].is_ready(); }));
	}
	sleep_ms(IN_FORCE_MS);
	steady_caller caller(*this, { 0, 1 }, "/look/", "k2");
	restore();
	sleep_ms(1000);
	write_config_again();
	report("e1");
	sleep_ms(1500);
	for (const sent_request &each : caller.stop())
		EXPECT_NE(each.engine, "e2");
	EXPECT_EQ(find("e2").read_stat("runs"), 0);
}

} // namespace
