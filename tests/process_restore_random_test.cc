// Guards against orders of events that no other test has: the store comes back from an older copy, among histories that
// are dropped, cuts, suspensions, kills and restarts, while keys, routes, engines and orders change. Each play is drawn
// from a seed. More plays: RESTORE_SEEDS (count), RESTORE_FIRST_SEED, RESTORE_GATEWAYS (up to 10).
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/restore_fleet.h"

using support::IN_FORCE_MS;
using support::now_ms;
using support::relay_mode;
using support::sleep_ms;
using support::wait_until;

namespace
{

constexpr size_t MAX_GATEWAYS = 10;
constexpr int REVOKE_MS = 5000;
constexpr int EVENTS_MS = 7000;
constexpr int REWRITE_MS = 1000; /* within which the operator and the engines write again */
/* Until all instances that hear of a change have heard of it, before the store goes away. */
constexpr int HEARD_MS = 500;
constexpr int CALL_TIMEOUT_MS = 2500;
constexpr int POLL_MS = 100;
/* The loop of an earlier version made a dozen a second. */
constexpr int64_t REREADS_MAX = 40;

int from_environment(const char *name, int otherwise)
{
	const char *text = getenv(name);

	return text ? atoi(text) : otherwise;
}

/* When a change was acknowledged, and whether a restore took it back. */
struct change {
	int64_t first_ms = 0;
	int64_t last_ms = 0; /* written again */

	void write()
	{
		last_ms = now_ms();
		first_ms = first_ms ? first_ms : last_ms;
	}
	/* From when on it must be in force: a change that nobody may have heard of before it was lost counts from its
	 * second writing. */
	int64_t counts_from(const std::vector<int64_t> &away_ms) const
	{
		for (int64_t away : away_ms) {
			if (first_ms <= away && away < first_ms + HEARD_MS)
				return last_ms;
		}
		return first_ms;
	}
};

struct route_state {
	std::string service;
	change added;
	change moved; /* first_ms 0: not yet */
};

struct span {
	int64_t from_ms;
	int64_t to_ms;
};

struct sent {
	int64_t sent_ms;
	size_t instance;
	std::string key;
	std::string route;
	int status;
	std::string engine;
};

struct Play : support::restore_fleet {
	std::mt19937_64 random;
	std::string schedule;
	int64_t started_ms = 0;
	std::multimap<int64_t, std::function<void()>> actions; /* by the time since the start */
	std::array<std::atomic<uint16_t>, MAX_GATEWAYS> caller_ports{};
	std::array<std::atomic<uint16_t>, MAX_GATEWAYS> metrics_ports{};
	std::array<std::atomic<int>, MAX_GATEWAYS> lifetimes{};
	std::vector<bool> is_disturbed;
	std::vector<std::vector<span>> disturbed; /* not in touch */
	std::vector<int64_t> away_ms;
	int64_t copied_ms = 0;
	bool is_operator_due = false; /* the store is away or lacks what the operator wrote */

	std::mutex mutex; /* for what the callers read and write */
	std::map<std::string, change> removed_keys;
	std::vector<std::string> valid_keys;
	std::map<std::string, route_state> routes;
	std::vector<sent> requests;
	std::vector<std::string> faults;
	std::atomic<bool> is_over{ false };

	std::set<std::string> due_engines; /* haven't written again what the store lost */
	std::map<std::string, change> left_engines;
	std::map<std::string, change> evacuated; /* by zone */
	change rollout;
	int next_name = 0;

	Play(size_t count, uint64_t seed)
	    : restore_fleet(count), random(seed), is_disturbed(count), disturbed(count)
	{
		revocation_ms = REVOKE_MS;
		change_ms = IN_FORCE_MS;
	}
	int64_t draw(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from, to)(random);
	}
	int64_t elapsed_ms() const
	{
		return now_ms() - started_ms;
	}
	void note(const std::string &what)
	{
		schedule += "  " + std::to_string(elapsed_ms()) + " ms: " + what + "\n";
	}
	void at(int64_t ms, std::function<void()> action)
	{
		actions.emplace(ms, std::move(action));
	}
	void later(int64_t in_ms, std::function<void()> action)
	{
		at(elapsed_ms() + in_ms, std::move(action));
	}

	void run();
	void check();

      private:
	void start_all();
	void start_one(size_t i);
	void draw_schedule();
	void draw_restores();
	void restore_at(int64_t ms);
	void come_back_and_rewrite();
	void write_again();
	void operate(const std::function<void()> &write);
	void change_config();
	void change_engines();
	void take_out(const std::string &id, bool is_draining);
	void order();
	void disturb();
	void disturb_one(size_t i);
	void undisturb(size_t i);
	void start_when_ended(size_t i);
	void put_config();
	void write_change(const std::function<void()> &mutate);
	std::vector<std::thread> start_callers();
	void send_all(size_t i);
	void send_one(size_t i, const std::string &key, const std::string &route);
	void poll(size_t i);
	void note_poll(size_t i, bool is_same_lifetime, int64_t highest, int64_t shown,
		       int64_t rereads);
	bool is_in_touch(size_t i, int64_t ms) const;
	void check_request(const sent &request);
	void fail(const sent &request, const std::string &what);
};

void Play::put_config()
{
	std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
	std::string names;
	bool is_first = true;
	for (const auto &[name, state] : routes) {
		std::string row = route(name, "safe", 2);
		size_t where = row.find("\"Service\":\"app\"");
		row.replace(where, 15, "\"Service\":\"" + state.service + "\"");
		text += (is_first ? "" : ",") + row;
		is_first = false;
	}
	for (const std::string &key : valid_keys)
		names += (names.empty() ? "\"" : ",\"") + key + "\"";
	put("op/config", text +
				 "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\"},"
				 "{\"Name\":\"alt\",\"HealthPath\":\"/health\"}],"
				 "\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":100000,"
				 "\"HeaderTimeoutMs\":2000,\"IdleTimeoutMs\":5000},"
				 "\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[" +
				 names + "]}]}");
}

/* The next version of the configuration. */
void Play::write_change(const std::function<void()> &mutate)
{
	std::lock_guard<std::mutex> lock(mutex);

	mutate();
	version += (int)draw(1, 4);
	put_config();
}

void Play::start_one(size_t i)
{
	launch(i);
	caller_ports[i] = instances[i].caller_port;
	metrics_ports[i] = instances[i].metrics_port;
	lifetimes[i]++;
}

void Play::start_all()
{
	for (size_t i = 0; i < instances.size(); i++)
		store_links.push_back(std::make_unique<support::relay>(store_port));
	valid_keys = { "base", "k0", "k1" };
	routes["look"] = { "app", {}, {} };
	routes["r0"] = { "app", {}, {} };
	for (const char *id : { "e1", "e2", "e3" })
		add_engine(id, { .zone = id[1] == '2' ? "b" : "a" });
	add_engine("a1", { .service = "alt" });
	next_name = 4;
	write_change([] {});
	for (size_t i = 0; i < instances.size(); i++)
		start_one(i);
	if (!wait_for_all())
		faults.push_back("the instances aren't ready at first");
	back_up();
}

/* The operator writes only while the store has all that it wrote before. */
void Play::operate(const std::function<void()> &write)
{
	if (is_operator_due)
		later(100, [this, write] { operate(write); });
	else
		write();
}

void Play::change_config()
{
	int64_t kind = draw(0, 3);

	operate([this, kind] {
		if (kind == 0 && valid_keys.size() > 1) {
			std::string key = valid_keys.back();
			note("key " + key + " is taken away");
			write_change([&] { valid_keys.pop_back(); });
			std::lock_guard<std::mutex> lock(mutex);
			removed_keys[key].write();
		} else if (kind == 1) {
			std::string key = "k" + std::to_string(next_name++);
			note("key " + key + " is added");
			write_change([&] { valid_keys.push_back(key); });
		} else if (kind == 2) {
			std::string name = "r" + std::to_string(next_name++);
			note("route " + name + " is added");
			write_change([&] { routes[name] = { "app", {}, {} }; });
			std::lock_guard<std::mutex> lock(mutex);
			routes[name].added.write();
		} else {
			auto found =
				std::find_if(routes.begin(), routes.end(), [](const auto &each) {
					return each.first != "look" && each.second.service == "app";
				});
			if (found == routes.end())
				return;
			note("route " + found->first + " moves");
			write_change([&] { found->second.service = "alt"; });
			std::lock_guard<std::mutex> lock(mutex);
			found->second.moved.write();
		}
	});
}

void Play::change_engines()
{
	std::vector<std::string> may_leave;

	for (const auto &[id, entry] : entries) {
		if (entry.service == "app" && entry.state == "ready" && id != "e1" &&
		    entry.version == "v1")
			may_leave.push_back(id);
	}
	if (may_leave.empty() || draw(0, 2) == 0) {
		std::string id = "e" + std::to_string(next_name++);
		operate([this, id] {
			note("engine " + id + " registers");
			add_engine(id);
		});
		return;
	}
	std::string id = may_leave[(size_t)draw(0, (int64_t)may_leave.size() - 1)];
	bool is_draining = draw(0, 1) == 0;
	operate([this, id, is_draining] { take_out(id, is_draining); });
}

/* The store can't acknowledge that an engine leaves which it doesn't show. */
void Play::take_out(const std::string &id, bool is_draining)
{
	if (!entries.count(id))
		return;
	if (due_engines.count(id)) {
		later(100, [this, id, is_draining] {
			operate([this, id, is_draining] { take_out(id, is_draining); });
		});
		return;
	}
	note("engine " + id + (is_draining ? " drains" : " leaves"));
	if (is_draining) {
		entries[id].state = "draining";
		report(id);
	} else {
		leave(id);
	}
	left_engines[id].write();
}

void Play::order()
{
	bool is_evacuation = evacuated.empty() && (rollout.first_ms > 0 || draw(0, 1) == 0);

	operate([this, is_evacuation] {
		if (is_evacuation) {
			note("b is evacuated");
			put("op/evacuate/b", "{}");
			evacuated["b"].write();
		} else if (rollout.first_ms == 0) {
			note("rollout of v2");
			add_engine("v2", { .version = "v2" });
			put("op/rollout/app",
			    "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":6}");
			rollout.write();
		}
	});
}

void Play::undisturb(size_t i)
{
	is_disturbed[i] = false;
	disturbed[i].back().to_ms = now_ms();
}

void Play::start_when_ended(size_t i)
{
	if (!instances[i].gateway->wait(0).ended) {
		later(50, [this, i] { start_when_ended(i); });
		return;
	}
	note("instance " + std::to_string(i) + " starts");
	start_one(i);
	undisturb(i);
}

void Play::disturb_one(size_t i)
{
	int64_t for_ms = draw(200, 2500);
	std::string name = "instance " + std::to_string(i);

	is_disturbed[i] = true;
	disturbed[i].push_back({ now_ms(), INT64_MAX });
	switch (draw(0, 4)) {
	case 0:
		note(name + " is suspended");
		instances[i].gateway->signal(SIGSTOP);
		later(for_ms, [this, i] {
			note("instance " + std::to_string(i) + " goes on");
			instances[i].gateway->signal(SIGCONT);
			undisturb(i);
		});
		break;
	case 1:
		note(name + " is killed");
		instances[i].gateway->kill();
		later(draw(100, 1200), [this, i] { start_when_ended(i); });
		break;
	case 2:
		note(name + " is stopped");
		instances[i].gateway->signal(SIGTERM);
		later(100, [this, i] { start_when_ended(i); });
		break;
	default:
		note(name + " is cut off");
		store_links[i]->set_mode(draw(0, 1) ? relay_mode::refuse : relay_mode::hold);
		later(for_ms, [this, i] {
			note("instance " + std::to_string(i) + " is in touch");
			store_links[i]->set_mode(relay_mode::pass);
			undisturb(i);
		});
		break;
	}
}

/* One instance, or two of them one after the other as in a rolling restart; some instance is always sound. */
void Play::disturb()
{
	size_t i = (size_t)draw(0, (int64_t)instances.size() - 1);
	size_t sound = (size_t)std::count(is_disturbed.begin(), is_disturbed.end(), false);

	if (is_disturbed[i] || sound <= 2)
		return;
	disturb_one(i);
}

/* What was written since the copy is lost; the operator and each engine write it again. */
void Play::come_back_and_rewrite()
{
	come_back();
	note("the store is back");
	later(draw(20, REWRITE_MS), [this] { write_again(); });
	for (const auto &[id, entry] : entries) {
		std::string name = id;
		due_engines.insert(id);
		later(draw(20, REWRITE_MS), [this, name] {
			if (entries.count(name))
				report(name);
			due_engines.erase(name);
		});
	}
	/* Entries of engines that have left end with their leases. */
	for (const auto &[id, left] : left_engines) {
		std::string name = id;
		later(draw(REWRITE_MS, 3000), [this, name] {
			if (!entries.count(name))
				remove("servers/" + name);
		});
	}
}

void Play::write_again()
{
	auto rewrite = [this](change &each) {
		if (each.first_ms > 0 && each.last_ms >= copied_ms)
			each.last_ms = now_ms();
	};
	std::lock_guard<std::mutex> lock(mutex);

	note("the operator writes again");
	put_config();
	for (auto &[name, state] : routes) {
		rewrite(state.added);
		rewrite(state.moved);
	}
	for (auto &[zone, each] : evacuated) {
		put("op/evacuate/" + zone, "{}");
		rewrite(each);
	}
	for (auto &[id, each] : left_engines)
		rewrite(each);
	if (rollout.first_ms > 0)
		put("op/rollout/app", "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":6}");
	is_operator_due = false;
}

void Play::restore_at(int64_t ms)
{
	int64_t copy_ms = std::max<int64_t>(50, ms - draw(1000, 8000));
	int64_t for_ms = draw(200, 2000);

	at(copy_ms, [this] {
		if (is_operator_due)
			return;
		note("a copy is made");
		copied_ms = now_ms();
		back_up();
	});
	at(ms, [this, for_ms] {
		if (is_operator_due)
			return;
		note("the store goes away");
		is_operator_due = true;
		away_ms.push_back(now_ms());
		go_away();
		later(for_ms, [this] { come_back_and_rewrite(); });
	});
}

void Play::draw_restores()
{
	int64_t count = draw(1, 3);
	int64_t ms = draw(1200, 3000);

	for (int64_t i = 0; i < count && ms < EVENTS_MS; i++) {
		restore_at(ms);
		ms += draw(1500, 5000);
	}
}

void Play::draw_schedule()
{
	using kind = void (Play::*)();
	static const kind kinds[] = { &Play::change_config,  &Play::change_config,
				      &Play::change_config,  &Play::change_engines,
				      &Play::change_engines, &Play::order,
				      &Play::disturb,	     &Play::disturb,
				      &Play::disturb };
	int64_t count = draw(14, 24);

	draw_restores();
	for (int64_t i = 0; i < count; i++) {
		kind chosen = kinds[(size_t)draw(0, (int64_t)std::size(kinds) - 1)];
		at(draw(100, EVENTS_MS), [this, chosen] { (this->*chosen)(); });
	}
	for (int64_t i = draw(0, 2); i > 0; i--)
		at(draw(100, EVENTS_MS), [this] {
			note("the history is dropped");
			support::http_call(store_port, "POST", "/admin/compact", "{}");
		});
}

void Play::send_one(size_t i, const std::string &key, const std::string &name)
{
	static std::atomic<uint64_t> next_id{ 0 };
	sent request = { now_ms(), i, key, name, 0, "" };
	support::http_answer answer =
		support::http_call(caller_ports[i], "GET", "/" + name + "/x", "",
				   { { "Attempt-Id", "p" + std::to_string(next_id++) },
				     { "Deadline-Ms", "1500" },
				     { "Credential", key } },
				   CALL_TIMEOUT_MS);
	std::lock_guard<std::mutex> lock(mutex);

	request.status = answer.status;
	request.engine = answer.headers["response-seal"];
	requests.push_back(request);
}

/* Each key that was taken away, each route, and many requests that engines may run. */
void Play::send_all(size_t i)
{
	while (!is_over) {
		std::vector<std::string> keys;
		std::vector<std::string> names;
		{
			std::lock_guard<std::mutex> lock(mutex);
			for (const auto &[key, each] : removed_keys)
				keys.push_back(key);
			for (const auto &[name, state] : routes)
				names.push_back(name);
		}
		for (const std::string &key : keys)
			send_one(i, key, "look");
		for (const std::string &name : names)
			send_one(i, "base", name);
		sleep_ms(5);
	}
}

void Play::note_poll(size_t i, bool is_same_lifetime, int64_t highest, int64_t shown,
		     int64_t rereads)
{
	std::lock_guard<std::mutex> lock(mutex);

	if (shown > 0 && shown < highest && is_same_lifetime)
		faults.push_back("instance " + std::to_string(i) + " goes back from " +
				 std::to_string(highest) + " to " + std::to_string(shown) + " at " +
				 std::to_string(elapsed_ms()) + " ms");
	if (rereads > REREADS_MAX)
		faults.push_back("instance " + std::to_string(i) + " reads all keys " +
				 std::to_string(rereads) + " times");
}

/* Configurations never go back at an instance, and the store isn't read again and again. */
void Play::poll(size_t i)
{
	int lifetime = 0;
	int64_t highest = 0;

	while (!is_over) {
		int asked = lifetimes[i];
		std::string text = support::http_call(metrics_ports[i], "GET", "/metrics", "", {},
						      CALL_TIMEOUT_MS)
					   .body;
		auto read = [&](const char *name) {
			std::string line = std::string("\ndragonflywharf_") + name + " ";
			size_t where = text.find(line);
			return where == text.npos ? -1 : atoll(text.c_str() + where + line.size());
		};
		int64_t shown = read("config_version");
		if (asked != lifetime)
			highest = 0;
		lifetime = asked;
		note_poll(i, asked == lifetimes[i], highest, shown, read("view_rereads"));
		highest = std::max(highest, shown);
		if (read("view_rereads") > REREADS_MAX)
			return;
		sleep_ms(POLL_MS);
	}
}

std::vector<std::thread> Play::start_callers()
{
	std::vector<std::thread> threads;

	for (size_t i = 0; i < instances.size(); i++) {
		threads.emplace_back([this, i] { send_all(i); });
		threads.emplace_back([this, i] { poll(i); });
	}
	return threads;
}

void Play::run()
{
	start_all();
	started_ms = now_ms();
	copied_ms = started_ms;
	draw_schedule();
	std::vector<std::thread> threads = start_callers();
	while (!actions.empty()) {
		auto next = actions.begin();
		if (next->first > elapsed_ms()) {
			sleep_ms(std::min<int64_t>(20, next->first - elapsed_ms()));
			continue;
		}
		std::function<void()> action = std::move(next->second);
		actions.erase(next);
		action();
	}
	note("the last configuration is written");
	write_change([] {});
	int64_t written_ms = now_ms();
	for (size_t i = 0; i < instances.size(); i++) {
		if (!wait_until(
			    [&] {
				    return instances[i].metric("config_version") == version &&
					   instances[i].is_ready();
			    },
			    (int)(written_ms + IN_FORCE_MS - now_ms())))
			faults.push_back("instance " + std::to_string(i) + " is at " +
					 std::to_string(instances[i].metric("config_version")) +
					 " in the end, ready " +
					 std::to_string(instances[i].is_ready()));
	}
	sleep_ms(written_ms + REVOKE_MS + 500 - now_ms());
	is_over = true;
	for (std::thread &each : threads)
		each.join();
	check();
}

bool Play::is_in_touch(size_t i, int64_t ms) const
{
	return std::none_of(disturbed[i].begin(), disturbed[i].end(), [&](const span &each) {
		return ms >= each.from_ms &&
		       (each.to_ms == INT64_MAX || ms <= each.to_ms + IN_FORCE_MS);
	});
}

void Play::fail(const sent &request, const std::string &what)
{
	faults.push_back(what + ": sent after " + std::to_string(request.sent_ms - started_ms) +
			 " ms to instance " + std::to_string(request.instance) + ", key " +
			 request.key + ", route " + request.route + ", status " +
			 std::to_string(request.status) + ", engine " + request.engine);
}

void Play::check_request(const sent &request)
{
	bool is_run = !request.engine.empty();
	auto removed = removed_keys.find(request.key);
	auto left = left_engines.find(request.engine);
	auto zone = evacuated.find("b");

	if (is_run && removed != removed_keys.end() &&
	    request.sent_ms > removed->second.first_ms + REVOKE_MS)
		fail(request, "a key that was taken away");
	if (!is_in_touch(request.instance, request.sent_ms))
		return;
	if (left != left_engines.end() &&
	    request.sent_ms > left->second.counts_from(away_ms) + IN_FORCE_MS)
		fail(request, "an engine that left");
	if (zone != evacuated.end() && request.engine == "e2" &&
	    request.sent_ms > zone->second.counts_from(away_ms) + IN_FORCE_MS)
		fail(request, "an evacuated domain");
	if (request.key != "base")
		return;
	const route_state &state = routes.at(request.route);
	if (request.sent_ms > state.added.last_ms + IN_FORCE_MS &&
	    (request.status == 401 || request.status == 403 || request.status == 404))
		fail(request, "a route that was added");
	if (is_run && state.moved.first_ms > 0 &&
	    request.sent_ms > state.moved.last_ms + IN_FORCE_MS && request.engine != "a1")
		fail(request, "a route that was moved");
}

void Play::check()
{
	size_t served = 0;

	for (const sent &request : requests) {
		check_request(request);
		served += request.status == 200;
	}
	if (served * 4 < requests.size())
		faults.push_back("only " + std::to_string(served) + " of " +
				 std::to_string(requests.size()) + " requests are served");
	std::cout << "requests " << requests.size() << ", served " << served << ", restores "
		  << away_ms.size() << "\n";
}

struct RestoreRandom : testing::TestWithParam<int> {
};

TEST_P(RestoreRandom, NoRuleIsBroken)
{
	size_t count = (size_t)from_environment("RESTORE_GATEWAYS", 4 + GetParam() % 2);
	ASSERT_LE(count, MAX_GATEWAYS);
	Play play(count, (uint64_t)GetParam());
	play.run();
	EXPECT_TRUE(play.faults.empty()) << "seed " << GetParam() << ", " << count << " gateways\n"
					 << play.schedule << "faults: " << play.faults.size();
	for (size_t i = 0; i < std::min<size_t>(20, play.faults.size()); i++)
		std::cout << "  " << play.faults[i] << "\n";
	if (play.faults.empty() || !getenv("RESTORE_LOGS"))
		return;
	for (const auto &each : play.instances) {
		for (const std::string &line : each.gateway->lines())
			std::cout << line << "\n";
	}
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoreRandom,
			 testing::Range(from_environment("RESTORE_FIRST_SEED", 1),
					from_environment("RESTORE_FIRST_SEED", 1) +
						from_environment("RESTORE_SEEDS", 3)),
			 testing::PrintToStringParamName());

} // namespace
