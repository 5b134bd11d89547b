// A model of a fleet before engines at 1.3 times their capacity, which ask for a pause when they turn a request
// away: every instance runs the library's choice of engine. Compared with instances that ignore the pause.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <dragonflywharf/engine_choice.h>

#include "support/event_queue.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint32_t SLOTS = 8;
constexpr uint32_t QUEUE = 8;
constexpr uint64_t RUN_US = 50 * MS;
constexpr uint64_t GOAL_US = 500 * MS;
constexpr uint64_t PAUSE_US = 500 * MS;
constexpr uint64_t DAY_US = 8 * SECOND;
constexpr uint64_t POLL_US = 50 * MS; /* of the gateway, while all engines are full */
constexpr uint64_t LOAD_PERCENT = 130;
/* Arrivals are counted in windows of this length. */
constexpr uint64_t WINDOW_US = RUN_US / 5;

struct World : support::event_queue {
	struct engine {
		uint32_t running = 0;
		std::vector<uint64_t> queue; /* arrival times of the requests that wait */
		uint64_t window = 0;
		uint32_t arrivals = 0; /* in this window */
	};
	std::mt19937_64 random;
	bool heeds;
	std::vector<dw_engine_set *> instances;
	std::vector<engine> engines;
	int asked = 0;
	int in_time = 0;
	int turned_away = 0; /* arrivals that an engine rejected */
	uint32_t peak = 0; /* arrivals at an engine in one window */

	World(size_t instance_count, size_t engine_count, uint64_t seed, bool heeds_pauses)
	    : event_queue(100 * SECOND), random(seed), heeds(heeds_pauses),
	      instances(instance_count), engines(engine_count)
	{
		for (auto &set : instances) {
			set = dw_engine_set_new();
			for (size_t e = 0; e < engine_count; e++) {
				dw_engine_entry entry{};
				snprintf(entry.id, sizeof(entry.id), "e%zu", e);
				snprintf(entry.service, sizeof(entry.service), "app");
				entry.slots = SLOTS;
				entry.started_at_ms = 1;
				dw_engine_set_put(set, &entry, now_us);
			}
		}
	}
	~World()
	{
		for (auto *set : instances)
			dw_engine_set_free(set);
	}
	/* One attempt of a request that came at @arrived_us; it has been turned away @rejections times. */
	void attempt(size_t i, uint64_t arrived_us, uint32_t rejections)
	{
		dw_choice_request choice{};
		dw_choice_selection chosen{};
		choice.service = "app";
		choice.failure_domain = "";
		choice.random = random();
		choice.now_us = now_us;
		dw_choice_result result = dw_engine_choose(instances[i], &choice, &chosen);
		if (result == DW_CHOICE_PAUSED) {
			uint64_t end_us = dw_engine_pause_end_us(instances[i], &choice);
			if (end_us < arrived_us + GOAL_US)
				after(end_us - now_us, [=] { attempt(i, arrived_us, rejections); });
			return;
		}
		if (result == DW_CHOICE_FOUND)
			send(i, chosen.engine, arrived_us, rejections);
		else if (result == DW_CHOICE_FULL && now_us < arrived_us + GOAL_US / 2)
			after(POLL_US, [=] { attempt(i, arrived_us, rejections); });
	}
	void count_arrival(engine &each)
	{
		if (each.window != now_us / WINDOW_US) {
			each.window = now_us / WINDOW_US;
			each.arrivals = 0;
		}
		peak = std::max(peak, ++each.arrivals);
	}
	void send(size_t i, dw_engine *to, uint64_t arrived_us, uint32_t rejections)
	{
		engine &each = engines[(size_t)atoi(to->entry.id + 1)];
		count_arrival(each);
		dw_engine_sent(to, now_us);
		if (each.running < SLOTS) {
			start(i, to, each, arrived_us);
		} else if (each.queue.size() < QUEUE) {
			each.queue.push_back(arrived_us);
			after(0, [] {});
			waiting.push_back({ i, to });
		} else {
			turned_away++;
			if (heeds)
				dw_engine_pause_requested(
					to, now_us + PAUSE_US + random() % (PAUSE_US / 4), now_us);
			dw_engine_ended(to, DW_ENGINE_REJECTED, false, now_us);
			if (rejections + 1 < 3)
				after(0, [=] { attempt(i, arrived_us, rejections + 1); });
		}
	}
	struct origin {
		size_t instance;
		dw_engine *engine;
	};
	std::vector<origin> waiting; /* of the queued requests, in the order of all queues */

	void start(size_t i, dw_engine *to, engine &each, uint64_t arrived_us)
	{
		each.running++;
		after(RUN_US, [this, i, to, &each, arrived_us] {
			in_time += now_us <= arrived_us + GOAL_US;
			dw_engine_ended(to, DW_ENGINE_ANSWERED, false, now_us);
			each.running--;
			next(each, to->entry.id);
			(void)i;
		});
	}
	void next(engine &each, const char *id)
	{
		if (each.queue.empty())
			return;
		uint64_t arrived_us = each.queue.front();
		each.queue.erase(each.queue.begin());
		for (size_t w = 0; w < waiting.size(); w++) {
			if (std::string(waiting[w].engine->entry.id) != id)
				continue;
			origin from = waiting[w];
			waiting.erase(waiting.begin() + (long)w);
			start(from.instance, from.engine, each, arrived_us);
			return;
		}
	}
	void play()
	{
		uint64_t until_us = now_us + DAY_US;
		/* Integers only, for the same arrivals on all machines. */
		uint64_t gap_ns = RUN_US * 1000 * 100 / (LOAD_PERCENT * engines.size() * SLOTS);
		for (uint64_t t_ns = 0; t_ns < DAY_US * 1000; t_ns += random() % (2 * gap_ns)) {
			after(t_ns / 1000, [this] {
				asked++;
				attempt(random() % instances.size(), now_us, 0);
			});
		}
		while (run_next(until_us + SECOND)) {
		}
	}
};

struct Size {
	size_t instances;
	size_t engines;
};

struct PauseModel : testing::TestWithParam<Size> {
};

TEST_P(PauseModel, AsManyAreServedInTimeAndNoBurstFollows)
{
	const Size size = GetParam();
	int heeding = 0;
	int ignoring = 0;
	int away_heeding = 0;
	int away_ignoring = 0;
	uint32_t peak = 0;
	int asked = 0;
	for (uint64_t seed = 1; seed <= 5; seed++) {
		World with(size.instances, size.engines, seed, true);
		World without(size.instances, size.engines, seed, false);
		with.play();
		without.play();
		heeding += with.in_time;
		ignoring += without.in_time;
		away_heeding += with.turned_away;
		away_ignoring += without.turned_away;
		asked += with.asked;
		peak = std::max(peak, with.peak);
	}
	printf("%zu instances, %zu engines: of %d asked %d in time, %d without heeding pauses; "
	       "turned "
	       "away %d and %d times; %u arrivals in %llu ms at most\n",
	       size.instances, size.engines, asked, heeding, ignoring, away_heeding, away_ignoring,
	       peak, (unsigned long long)(WINDOW_US / MS));
	EXPECT_GE(heeding, ignoring);
	EXPECT_LE(peak, SLOTS + QUEUE);
}

INSTANTIATE_TEST_SUITE_P(Sizes, PauseModel,
			 testing::Values(Size{ 8, 6 }, Size{ 90, 12 }, Size{ 295, 24 }));

} // namespace
