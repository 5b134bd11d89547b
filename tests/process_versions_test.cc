// Permissions, withdrawn versions and sessions that keep their version, under traffic through three
// daemons and under kills. Guards against attempts at a version that isn't permitted any more and
// against sessions that move without need.
#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "support/scripted_traffic.h"

using namespace support;

namespace
{

using support::daemon;

/** Each instance applies a change within this time after the put's answer. */
constexpr int64_t propagation_bound_us = 3000000;

struct Versions : public ::testing::Test {
	cluster c;
	std::vector<standin *> engines;
	std::vector<daemon *> daemons;

	/** Two engines with @p limit slots each, three daemons, three models. */
	void start(int limit, int token_us)
	{
		const std::vector<std::string> domains = { "haarlem", "zaandam", "alkmaar" };
		const std::vector<std::string> served_versions = { "large/1", "large/2", "small/1",
								   "small/2", "best/1",	 "best/2" };
		std::vector<std::string> entities;

		for (int i = 0; i < 2; i++)
			engines.push_back(&c.add_engine(
				"engine-" + std::to_string(i + 1), domains[i], served_versions,
				{ "--token-us=" + std::to_string(token_us), "--first-token-us=1000",
				  "--slots=" + std::to_string(limit) }));
		for (const std::string &domain : domains) {
			daemons.push_back(
				&c.add_daemon("entry-" + std::to_string(daemons.size() + 1),
					      { .failure_domain = domain }));
			entities.push_back("{\"failure_domain\":{\"name\":\"" + domain + "\"}}");
		}
		for (size_t i = 0; i < engines.size(); i++)
			entities.push_back(cluster::engine_entity(
				*engines[i], domains[i], served_versions, limit, limit, 50));
		entities.push_back("{\"model\":{\"name\":\"small\"}}");
		entities.push_back("{\"model\":{\"name\":\"large\"}}");
		entities.push_back("{\"model\":{\"name\":\"best\",\"cascade\":[\"small\"],"
				   "\"quality_target_permille\":800}}");
		for (const char *name : { "1", "2" }) {
			for (const char *model : { "large", "small", "best" })
				entities.push_back(std::string("{\"version\":{\"model\":\"") +
						   model + "\",\"name\":\"" + name +
						   "\",\"rollout_weight\":1}}");
		}
		entities.push_back(cluster::organisation_entity("waterland", { "*" }));
		entities.push_back(
			cluster::organisation_entity("edam", { "large/1", "large/2", "small" }));
		entities.push_back(cluster::organisation_entity("marken", { "large/1" }));
		entities.push_back(cluster::organisation_entity("volendam", {}));
		c.apply(entities);
		for (daemon *d : daemons) {
			for (standin *engine : engines)
				c.wait_event(*d, "upstream.warm", [&](const event &e) {
					return e.field("upstream") == engine->name;
				});
		}
	}

	int64_t sum_engine_stat(const std::string &path)
	{
		int64_t sum = 0;

		for (const standin *engine : engines)
			sum += std::max<int64_t>(0, engine->stat(path));
		return sum;
	}

	size_t count(const std::vector<event> &attempts, const std::string &organisation,
		     const std::string &model, const std::string &version)
	{
		size_t matches = 0;

		for (const event &e : attempts)
			matches +=
				(organisation.empty() || e.field("organisation") == organisation) &&
				e.field("serves") == model + "/" + version;
		return matches;
	}
};

// Upstream errors cause retries before and after the withdrawal; no retry may use the withdrawn
// version.
TEST_F(Versions, AWithdrawnVersionGetsNoNewAttemptUnderTraffic)
{
	start(4, 2000);
	scripted_traffic load(c, daemons, 12, [](uint64_t n) {
		return traffic_call{ "waterland", chat_body(n % 3 ? "large" : "small",
							    "turn " + std::to_string(n)) };
	});
	engines[0]->fault("{\"kind\":\"error\",\"n\":502,\"count\":20,\"path\":\"/v1\"}");
	load.wait_answers(200);
	EXPECT_GT(count(attempts_between(daemons, 0), "", "large", "2"), 20U);
	ASSERT_EQ(c.ctl({ "withdraw", "large/2" }).exit_code, 0);
	int64_t bound_us = changed_us(daemons, "version/large/2") + propagation_bound_us;
	cluster::wait_until("the propagation bound has passed",
			    [&] { return now_us() > bound_us; });
	engines[1]->fault("{\"kind\":\"error\",\"n\":502,\"count\":20,\"path\":\"/v1\"}");
	int64_t before = sum_engine_stat("requests_by_version.large/2");
	wait_attempts_after(daemons, bound_us, 200);
	EXPECT_EQ(count(attempts_between(daemons, bound_us), "", "large", "2"), 0U);
	EXPECT_EQ(sum_engine_stat("requests_by_version.large/2"), before);
	for (const traffic_result &r : load.stop())
		EXPECT_TRUE(r.answer.status == 200 || r.answer.status == 500 ||
			    r.answer.status == 502)
			<< r.answer.status << r.answer.body;
}

// Working off the queue takes longer than propagation_bound_us, so its last requests are dispatched
// after the bound. Each request first gets a bad answer from the cheap model, then uses its
// session's version, which is withdrawn meanwhile.
TEST_F(Versions, QueuedRequestsAndCascadeStepsAvoidAWithdrawnVersion)
{
	constexpr size_t caller_count = 30;
	std::string token;
	std::mutex mutex;
	std::vector<http_answer> answers;
	std::vector<std::thread> callers;

	start(1, 25000);
	token = c.chat(*daemons[0], "waterland", chat_body("best/2", "opening", 1))
			.headers["x-session-token"];
	ASSERT_NE(token, "");
	for (standin *engine : engines) {
		for (const char *version : { "small/1", "small/2" })
			engine->fault("{\"kind\":\"quality\",\"n\":0,\"word\":\"" +
				      std::string(version) + "\"}");
	}
	int64_t started_us = now_us();
	for (size_t i = 0; i < caller_count; i++)
		callers.emplace_back([&, i] {
			http_answer answer =
				c.chat(*daemons[i % 3], "waterland",
				       chat_body("best", "queued " + std::to_string(i), 14),
				       { { "x-session-token", token } });
			std::lock_guard<std::mutex> lock(mutex);
			answers.push_back(answer);
		});
	cluster::wait_until("all requests are received; some run, the others wait", [&] {
		size_t received = 0;

		for (daemon *d : daemons) {
			for (const event &e : d->events("request.received"))
				received += time_of(e) > started_us;
		}
		return received == caller_count;
	});
	EXPECT_EQ(c.ctl({ "withdraw", "best/2" }).exit_code, 0);
	int64_t withdrawn_us = changed_us(daemons, "version/best/2");
	for (std::thread &caller : callers)
		caller.join();
	std::vector<event> after = attempts_between(daemons, withdrawn_us + propagation_bound_us);
	size_t steps = count(after, "", "best", "1");
	EXPECT_GT(steps, 4U) << "too few requests were dispatched after the bound";
	EXPECT_EQ(count(after, "", "best", "2"), 0U);
	size_t moved = 0;
	for (http_answer &answer : answers) {
		EXPECT_EQ(answer.status, 200) << answer.body;
		if (answer.headers["x-served-version"] != "best/1")
			continue;
		moved++;
		EXPECT_EQ(answer.headers["x-session-moved"], "1");
	}
	EXPECT_GE(moved, steps);
	/* A request that names the withdrawn version is refused with "not_run". */
	http_answer named = c.chat(*daemons[1], "waterland", chat_body("best/2", "by name"));
	EXPECT_EQ(named.status, 410) << named.body;
	EXPECT_NE(named.body.find("\"not_run\":true"), std::string::npos) << named.body;
}

TEST_F(Versions, AForbiddenOrganisationNeverReachesAnEngineAndAPermissionCanBeRevoked)
{
	start(4, 2000);
	scripted_traffic load(c, daemons, 12, [](uint64_t n) {
		static const char *const organisations[] = { "edam", "marken", "volendam",
							     "nobody" };
		return traffic_call{ organisations[n % 4], chat_body(n % 8 < 4 ? "large" : "small",
								     "turn " + std::to_string(n)) };
	});
	load.wait_answers(200);
	ASSERT_EQ(c.ctl({ "forbid", "edam", "large/2" }).exit_code, 0);
	int64_t bound_us = changed_us(daemons, "organisation/edam") + propagation_bound_us;
	cluster::wait_until("the propagation bound has passed",
			    [&] { return now_us() > bound_us; });
	int64_t before = sum_engine_stat("requests_by_pair.edam large/2");
	EXPECT_GT(before, 10);
	wait_attempts_after(daemons, bound_us, 150);
	EXPECT_EQ(count(attempts_between(daemons, bound_us), "edam", "large", "2"), 0U);
	EXPECT_EQ(sum_engine_stat("requests_by_pair.edam large/2"), before);
	std::vector<traffic_result> results = load.stop();
	EXPECT_EQ(sum_engine_stat("requests_by_organisation.volendam"), 0);
	EXPECT_EQ(sum_engine_stat("requests_by_organisation.nobody"), 0);
	EXPECT_EQ(sum_engine_stat("requests_by_pair.marken large/2"), 0);
	EXPECT_EQ(sum_engine_stat("requests_by_pair.marken small/1"), 0);
	EXPECT_EQ(sum_engine_stat("requests_by_pair.marken small/2"), 0);
	EXPECT_GT(sum_engine_stat("requests_by_pair.marken large/1"), 10);
	for (const traffic_result &r : results) {
		bool known = r.call.organisation != "nobody";

		if (r.call.organisation == "edam") {
			EXPECT_EQ(r.answer.status, 200) << r.answer.body;
		} else if (r.call.organisation != "marken") {
			EXPECT_EQ(r.answer.status, known ? 403 : 401) << r.answer.body;
			EXPECT_NE(r.answer.body.find("\"not_run\":true"), std::string::npos);
		}
	}
}

TEST_F(Versions, SessionsKeepTheirVersionsOverInstancesAKillAndWeightChanges)
{
	constexpr int session_count = 16;
	std::vector<std::string> tokens;
	std::vector<std::string> versions;
	std::set<std::string> seen;

	start(8, 1000);
	for (int i = 0; i < session_count; i++) {
		http_answer one = c.chat(*daemons[i % 3], "waterland",
					 chat_body("large", "opening " + std::to_string(i)));
		ASSERT_EQ(one.status, 200) << one.body;
		tokens.push_back(one.headers["x-session-token"]);
		versions.push_back(one.headers["x-served-version"]);
		seen.insert(versions.back());
	}
	EXPECT_EQ(seen.size(), 2U);
	auto expect_all_keep_version = [&](const char *when) {
		for (int i = 0; i < session_count; i++) {
			for (daemon *d : daemons) {
				http_answer next =
					c.chat(*d, "waterland",
					       chat_body("large", "turn " + std::to_string(i)),
					       { { "x-session-token", tokens[i] } });

				EXPECT_EQ(next.headers["x-served-version"], versions[i])
					<< when << " " << d->name << next.body;
				EXPECT_EQ(next.headers.count("x-session-moved"), 0U) << when;
				tokens[i] = next.headers["x-session-token"];
			}
		}
	};
	expect_all_keep_version("at first");
	ASSERT_EQ(c.ctl({ "weight", "large/1", "0" }).exit_code, 0);
	ASSERT_EQ(c.ctl({ "weight", "large/2", "9" }, daemons[1]).exit_code, 0);
	expect_all_keep_version("while the weights change");
	daemons[2]->running->kill();
	c.restart(*daemons[2]);
	cluster::wait_until("the restarted instance serves", [&] {
		return c.chat(*daemons[2], "waterland", chat_body("large", "new")).status == 200;
	});
	expect_all_keep_version("after a kill");
	ASSERT_EQ(c.ctl({ "withdraw", versions[0] }).exit_code, 0);
	c.wait_in_force();
	for (int i = 0; i < session_count; i++) {
		http_answer next = c.chat(*daemons[i % 3], "waterland", chat_body("large", "on"),
					  { { "x-session-token", tokens[i] } });
		bool moved = versions[i] == versions[0];

		EXPECT_EQ(next.status, 200) << next.body;
		EXPECT_EQ(next.headers["x-served-version"] != versions[i], moved);
		EXPECT_EQ(next.headers["x-session-moved"], moved ? "1" : "");
	}
}

} // namespace
