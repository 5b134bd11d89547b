/**
 * @file event_queue.h
 * Simulated time for models: events run in the order of their times, those of one time in the order in which they were
 * added.
 */
#ifndef TESTS_SUPPORT_EVENT_QUEUE_H
#define TESTS_SUPPORT_EVENT_QUEUE_H

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace support
{

struct event_queue {
	uint64_t now_us;

	explicit event_queue(uint64_t start_us) : now_us(start_us)
	{
	}
	void at(uint64_t at_us, std::function<void()> run)
	{
		events.push({ at_us, ++number, std::move(run) });
	}
	void after(uint64_t after_us, std::function<void()> run)
	{
		at(now_us + after_us, std::move(run));
	}
	/** Runs the next event that is due by then; false if there is none. */
	bool run_next(uint64_t until_us)
	{
		if (events.empty() || events.top().at_us > until_us)
			return false;
		event next = events.top();
		events.pop();
		now_us = next.at_us;
		next.run();
		return true;
	}
	void run_until(uint64_t until_us)
	{
		while (run_next(until_us)) {
		}
		now_us = until_us;
	}

      private:
	struct event {
		uint64_t at_us;
		uint64_t number;
		std::function<void()> run;
		bool operator<(const event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us : number > other.number;
		}
	};
	std::priority_queue<event> events;
	uint64_t number = 0;
};

} // namespace support

#endif
