#include "support/scripted_traffic.h"

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace support
{

/** Pause between two calls of a thread, so that refused calls don't flood the daemons. */
constexpr std::chrono::milliseconds call_pause{ 5 };

int64_t now_us()
{
	return (int64_t)dw_clock_now_us();
}

int64_t time_of(const event &e)
{
	return std::stoll("0" + e.field("mono_us"));
}

scripted_traffic::scripted_traffic(cluster &c, const std::vector<daemon *> &daemons, int threads,
				   std::function<traffic_call(uint64_t n)> next)
    : next_(std::move(next))
{
	for (int i = 0; i < threads; i++)
		threads_.emplace_back([this, &c, daemons] { run(c, daemons); });
}

scripted_traffic::~scripted_traffic()
{
	stop();
}

void scripted_traffic::run(cluster &c, const std::vector<daemon *> &daemons)
{
	while (!stopping_) {
		uint64_t n = calls_++;
		traffic_result result = { now_us(), next_(n), {} };

		result.answer = c.chat(*daemons[n % daemons.size()], result.call.organisation,
				       result.call.body);
		{
			std::lock_guard<std::mutex> lock(mutex_);

			results_.push_back(std::move(result));
		}
		std::this_thread::sleep_for(call_pause);
	}
}

size_t scripted_traffic::count_sent_since(int64_t since_us)
{
	std::lock_guard<std::mutex> lock(mutex_);

	return (size_t)std::count_if(
		results_.begin(), results_.end(),
		[since_us](const traffic_result &r) { return r.sent_us >= since_us; });
}

bool scripted_traffic::wait_answers(size_t count)
{
	int64_t since_us = now_us();

	return cluster::wait_until(std::to_string(count) + " answers to further calls",
				   [&] { return count_sent_since(since_us) >= count; });
}

std::vector<traffic_result> scripted_traffic::stop()
{
	stopping_ = true;
	for (std::thread &thread : threads_)
		thread.join();
	threads_.clear();
	return results_;
}

std::vector<event> attempts_between(const std::vector<daemon *> &daemons, int64_t from_us,
				    int64_t until_us)
{
	std::vector<event> out;

	for (const daemon *d : daemons) {
		for (event &e : d->events("attempt.started")) {
			if (time_of(e) >= from_us && time_of(e) < until_us)
				out.push_back(std::move(e));
		}
	}
	return out;
}

bool wait_attempts_after(const std::vector<daemon *> &daemons, int64_t from_us, size_t count)
{
	return cluster::wait_until(std::to_string(count) + " attempts that started after mono_us " +
					   std::to_string(from_us),
				   [&] {
					   return now_us() > from_us &&
						  attempts_between(daemons, from_us).size() >=
							  count;
				   });
}

int64_t changed_us(const std::vector<daemon *> &daemons, const std::string &key)
{
	int64_t latest = 0;

	for (const daemon *d : daemons) {
		for (const event &e : d->events("config.changed")) {
			if (e.field("key") == "wharf/config/" + key && e.field("outcome") == "done")
				latest = std::max(latest, time_of(e));
		}
	}
	return latest;
}

} // namespace support
