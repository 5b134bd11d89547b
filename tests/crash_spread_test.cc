// A model of a fleet that gets a request that crashes its engines: every instance runs the library's
// decisions (dw_quarantine, dw_spread, dw_engine_choose()) in a simulated network, and callers repeat the
// request at any instance.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <dragonflywharf/engine_choice.h>
#include <dragonflywharf/quarantine.h>
#include <dragonflywharf/spread.h>

#include "support/event_queue.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr dw_fingerprint POISON = { 13, 13 };
/* The users' limit after which a machine counts as in touch. */
constexpr uint64_t CONTACT_US = 3 * SECOND;
/* Run time of the request until its engine ends, and until the engine is back. */
constexpr uint64_t RUN_US = 80 * MS;
constexpr uint64_t BACK_US = 3 * SECOND;
/* Of the gateway: pause before the next run, and time in which the end of an engine is found out. */
constexpr uint64_t SETTLE_US = 30 * MS;
constexpr uint64_t CHECK_US = 10 * MS;
constexpr size_t BYTES_PER_PIECE = 45;

struct Fleet : support::event_queue {
	struct engine {
		uint64_t incarnation = 1;
		bool runs = true;
		uint64_t ended_at_us = 0;
	};
	struct node {
		dw_quarantine *quarantine = nullptr;
		dw_spread *spread = nullptr;
		dw_engine_set *engines = nullptr;
		uint64_t knows_at_us = 0; /* of the quarantine */
		uint64_t messages = 0;
	};
	std::mt19937_64 random;
	std::vector<node> nodes;
	std::vector<engine> engines;
	std::vector<dw_view_member> members;
	uint64_t loss_permille;
	bool callers_leave = false; /* before the engine ends: abandoned runs, and no retry */
	int crashes = 0;
	uint64_t second_crash_us = 0; /* when its end was found out */
	int sent_after_us = 0; /* sends later than CONTACT_US after the second crash */
	uint64_t bytes = 0;
	int last_engine_lost = 0; /* crashes that left the service without an engine */

	Fleet(size_t count, uint32_t domains, size_t engine_count, uint64_t seed, uint64_t loss)
	    : event_queue(1000 * SECOND), random(seed), nodes(count), engines(engine_count),
	      loss_permille(loss)
	{
		dw_quarantine_options options = dw_quarantine_default_options();
		for (uint64_t i = 0; i < count; i++)
			members.push_back({ i + 1, i % domains + 100 });
		for (size_t i = 0; i < count; i++) {
			EXPECT_EQ(dw_quarantine_new(&nodes[i].quarantine, &options), DW_OK);
			nodes[i].spread = dw_spread_new();
			dw_spread_place(nodes[i].spread, members.data(), (uint32_t)count, i + 1);
			nodes[i].engines = dw_engine_set_new();
			for (size_t e = 0; e < engine_count; e++)
				put_engine(i, e);
			after(random() % (100 * MS), [this, i] { tick(i); });
		}
	}
	~Fleet()
	{
		for (node &n : nodes) {
			dw_quarantine_free(n.quarantine);
			dw_spread_free(n.spread);
			dw_engine_set_free(n.engines);
		}
	}
	void put_engine(size_t i, size_t e)
	{
		dw_engine_entry entry{};
		snprintf(entry.id, sizeof(entry.id), "e%zu", e);
		snprintf(entry.service, sizeof(entry.service), "app");
		snprintf(entry.failure_domain, sizeof(entry.failure_domain), "d%zu", e % 3);
		entry.started_at_ms = engines[e].incarnation;
		dw_engine_set_put(nodes[i].engines, &entry, now_us);
	}
	void tick(size_t i)
	{
		send_news(i);
		after(DW_QUARANTINE_ROUND_US, [this, i] { tick(i); });
	}
	void send_news(size_t i)
	{
		if (!dw_spread_is_relay(nodes[i].spread)) {
			send_scope(i, DW_SPREAD_EVERYWHERE);
			return;
		}
		send_scope(i, DW_SPREAD_IN_DOMAIN);
		send_scope(i, DW_SPREAD_TO_DOMAINS);
	}
	void send_scope(size_t i, dw_spread_scope scope)
	{
		std::vector<dw_quarantine_evidence> news(26);
		news.resize(dw_quarantine_take_news(nodes[i].quarantine, callers_leave, scope,
						    (uint32_t)(now_us / DW_QUARANTINE_ROUND_US),
						    now_us, news.data(), news.size()));
		if (news.empty())
			return;
		std::vector<size_t> to;
		dw_spread_targets(
			nodes[i].spread, scope, now_us,
			[](uint64_t id, void *data) {
				((std::vector<size_t> *)data)->push_back(id - 1);
			},
			&to);
		for (size_t target : to)
			send(i, target, news);
	}
	void send(size_t from, size_t to, const std::vector<dw_quarantine_evidence> &news)
	{
		nodes[to].messages++;
		bytes += news.size() * BYTES_PER_PIECE;
		if (random() % 1000 < loss_permille)
			return;
		after(MS / 2 + random() % (9 * MS), [this, from, to, news] {
			dw_spread_scope scope =
				dw_spread_received(nodes[to].spread, from + 1, now_us);
			for (const auto &piece : news) {
				if (dw_quarantine_merge_scoped(nodes[to].quarantine, &piece, scope,
							       now_us))
					note(to, piece);
			}
			send_news(to);
		});
	}
	void note(size_t i, const dw_quarantine_evidence &piece)
	{
		dw_engine *found = dw_engine_set_find_run(nodes[i].engines, piece.upstream_id,
							  piece.upstream_incarnation);
		if (found)
			dw_engine_process_ended(found, now_us);
		if (nodes[i].knows_at_us == 0 && is_quarantined(i))
			nodes[i].knows_at_us = now_us;
	}
	bool is_quarantined(size_t i)
	{
		return dw_quarantine_check(nodes[i].quarantine, POISON, now_us) != DW_OK;
	}
	/* A caller's attempt: a run, and one retry after a crash. */
	void attempt(size_t i, std::vector<std::string> tried = {})
	{
		dw_choice_request choice{};
		dw_choice_selection chosen{};
		if (is_quarantined(i))
			return;
		choice.service = "app";
		choice.failure_domain = "d0";
		choice.random = random();
		choice.now_us = now_us;
		if (dw_quarantine_is_suspect(nodes[i].quarantine, POISON, now_us))
			choice.suspect_key = POISON.low;
		for (const auto &id : tried)
			choice.tried[choice.tried_count++] = id.c_str();
		if (dw_engine_choose(nodes[i].engines, &choice, &chosen) != DW_CHOICE_FOUND)
			return;
		size_t e = (size_t)atoi(chosen.engine->entry.id + 1);
		if (!engines[e].runs) {
			/* Refused at once. */
			dw_engine_process_ended(chosen.engine, now_us);
			return;
		}
		if (second_crash_us > 0 && now_us > second_crash_us + CONTACT_US)
			sent_after_us++;
		tried.push_back(chosen.engine->entry.id);
		uint64_t incarnation = engines[e].incarnation;
		uint64_t id_hash = chosen.engine->id_hash;
		after(RUN_US, [this, i, e, incarnation, id_hash, tried] {
			end_engine(e, incarnation);
			after(CHECK_US, [this, i, incarnation, id_hash, tried] {
				find_crash(i, id_hash, incarnation);
				if (tried.size() < 2 && !callers_leave)
					after(SETTLE_US, [this, i, tried] { attempt(i, tried); });
			});
		});
	}
	void end_engine(size_t e, uint64_t incarnation)
	{
		if (!engines[e].runs || engines[e].incarnation != incarnation)
			return;
		engines[e].runs = false;
		crashes++;
		last_engine_lost += std::none_of(engines.begin(), engines.end(),
						 [](const engine &each) { return each.runs; });
		after(BACK_US, [this, e] {
			engines[e].runs = true;
			engines[e].incarnation++;
			for (size_t i = 0; i < nodes.size(); i++)
				put_engine(i, e);
		});
	}
	void find_crash(size_t i, uint64_t id_hash, uint64_t incarnation)
	{
		dw_quarantine_evidence piece = { POISON, id_hash, incarnation, 900 * SECOND,
						 callers_leave };
		if (dw_quarantine_merge(nodes[i].quarantine, &piece, now_us))
			note(i, piece);
		if (second_crash_us == 0 && is_quarantined(i))
			second_crash_us = now_us;
		send_news(i);
	}
	void run_for(uint64_t for_us, uint64_t repeat_us)
	{
		uint64_t until_us = now_us + for_us;
		for (uint64_t after_us = 0; after_us < for_us; after_us += repeat_us)
			after(after_us, [this] { attempt(random() % nodes.size()); });
		while (run_next(until_us)) {
		}
	}
	/* Time from the second crash until the last instance knew of it; UINT64_MAX: one never did. */
	uint64_t known_after_us() const
	{
		uint64_t last_us = 0;
		for (const node &n : nodes) {
			if (n.knows_at_us == 0)
				return UINT64_MAX;
			last_us = std::max(last_us, n.knows_at_us);
		}
		return last_us - second_crash_us;
	}
};

struct Size {
	size_t instances;
	uint32_t domains;
	size_t engines;
};

struct CrashSpread : testing::TestWithParam<Size> {
};

/* Repeats come a little faster than news travel, one in fifty messages is lost. */
TEST_P(CrashSpread, ARequestEndsTwoEnginesAndThoseThatRunIt)
{
	const Size size = GetParam();
	int seeds = size.instances > 1000 ? 3 : 20;
	uint64_t worst_us = 0;
	uint64_t most_messages = 0;
	uint64_t bytes = 0;
	int most_crashes = 0;

	for (int seed = 1; seed <= seeds; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet(size.instances, size.domains, size.engines, (uint64_t)seed, 20);
		fleet.run_for(12 * SECOND, 120 * MS);
		EXPECT_LE(fleet.crashes, 3);
		EXPECT_EQ(fleet.sent_after_us, 0);
		EXPECT_EQ(fleet.last_engine_lost, 0);
		EXPECT_LT(fleet.known_after_us(), CONTACT_US / 2);
		worst_us = std::max(worst_us, fleet.known_after_us());
		most_crashes = std::max(most_crashes, fleet.crashes);
		bytes = std::max(bytes, fleet.bytes);
		for (const auto &n : fleet.nodes)
			most_messages = std::max(most_messages, n.messages);
	}
	printf("%zu instances, %zu engines: %d ended at most, all instances know it after %.0f ms "
	       "at "
	       "most, %.1f kB sent in all, %llu messages received by one at most\n",
	       size.instances, size.engines, most_crashes, (double)worst_us / 1000,
	       (double)bytes / 1000, (unsigned long long)most_messages);
}

/* The same where the callers have left when the engine ends. */
TEST_P(CrashSpread, ARequestWhoseCallersLeaveEndsTwoEnginesAndThoseThatRunIt)
{
	const Size size = GetParam();
	int seeds = size.instances > 1000 ? 3 : 20;
	uint64_t worst_us = 0;
	uint64_t bytes = 0;
	int most_crashes = 0;

	for (int seed = 1; seed <= seeds; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fleet fleet(size.instances, size.domains, size.engines, (uint64_t)seed, 20);
		fleet.callers_leave = true;
		fleet.run_for(12 * SECOND, 120 * MS);
		EXPECT_LE(fleet.crashes, 3);
		EXPECT_EQ(fleet.sent_after_us, 0);
		EXPECT_EQ(fleet.last_engine_lost, 0);
		EXPECT_LT(fleet.known_after_us(), CONTACT_US / 2);
		worst_us = std::max(worst_us, fleet.known_after_us());
		most_crashes = std::max(most_crashes, fleet.crashes);
		bytes = std::max(bytes, fleet.bytes);
	}
	printf("%zu instances, callers that leave: %d ended at most, all know it after %.0f ms at "
	       "most, "
	       "%.1f kB sent in all\n",
	       size.instances, most_crashes, (double)worst_us / 1000, (double)bytes / 1000);
}

/* Innocent requests: engines end together for a reason of their own, and in the second before thousands of
 * callers have left them, each one several times, on engines at random. */
struct Innocents {
	static constexpr size_t ENGINES = 200;
	static constexpr size_t ENDING = 30;
	static constexpr size_t REQUESTS = 5000;
	static constexpr size_t RUNS = 4; /* of each request, 250 ms apart */
	size_t suspected = 0;
	size_t quarantined = 0;

	/* @is_marked: whether the evidence says that the runs had been given up */
	Innocents(uint64_t seed, bool is_marked)
	{
		std::mt19937_64 random(seed);
		dw_quarantine *quarantine = nullptr;
		dw_quarantine_options options = { 100000, 600 * SECOND };
		EXPECT_EQ(dw_quarantine_new(&quarantine, &options), DW_OK);
		std::vector<uint64_t> found_us(ENGINES);
		for (size_t e = 0; e < ENDING; e++)
			found_us[e] = SECOND + random() % (10 * MS);
		for (uint64_t r = 1; r <= REQUESTS; r++) {
			for (size_t n = 0; n < RUNS; n++) {
				size_t e = random() % ENGINES;
				dw_quarantine_evidence piece = {
					{ r, r }, e + 1, 1, 600 * SECOND, is_marked
				};
				if (e < ENDING)
					dw_quarantine_merge(quarantine, &piece,
							    found_us[e] + random() % (9 * MS));
			}
		}
		suspected = dw_quarantine_suspect_count(quarantine, 2 * SECOND);
		quarantined = dw_quarantine_count(quarantine, 2 * SECOND);
		dw_quarantine_free(quarantine);
	}
};

TEST(CrashSpreadInnocents, CallersThatLeftEnginesWhichEndTogetherAreNotRefused)
{
	size_t suspected = 0;
	size_t unmarked = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		Innocents marked(seed, true);
		EXPECT_EQ(marked.quarantined, 0U) << "seed " << seed;
		suspected = std::max(suspected, marked.suspected);
		unmarked = std::max(unmarked, Innocents(seed, false).quarantined);
	}
	printf("%zu of %zu engines end, %zu callers left %zu of them each: %zu suspected at most, "
	       "none "
	       "quarantined; without the mark %zu\n",
	       Innocents::ENDING, Innocents::ENGINES, Innocents::REQUESTS, Innocents::RUNS,
	       suspected, unmarked);
	EXPECT_GT(unmarked, 0U) << "the case is one that the mark is for";
}

/* All instances get it at once, before one of them knows: what runs it ends, and nothing later. */
TEST_P(CrashSpread, RepeatsAtTheSameMoment)
{
	const Size size = GetParam();
	Fleet fleet(size.instances, size.domains, size.engines, 1, 20);

	for (size_t i = 0; i < std::min<size_t>(size.instances, 8); i++)
		fleet.attempt(i * 7 % size.instances);
	fleet.run_for(RUN_US + CHECK_US + SETTLE_US, 60 * SECOND);
	int ended_at_first = fleet.crashes;
	fleet.run_for(12 * SECOND, 120 * MS);
	EXPECT_LE(fleet.crashes, ended_at_first + 2);
	EXPECT_EQ(fleet.sent_after_us, 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashSpread,
			 testing::Values(Size{ 8, 3, 3 }, Size{ 90, 4, 4 }, Size{ 295, 6, 6 },
					 Size{ 2100, 27, 12 }));

} // namespace
