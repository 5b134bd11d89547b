/**
 * @file scripted_traffic.h
 * Chat calls from many threads through several daemons, until told to stop.
 */
#ifndef TESTS_SUPPORT_SCRIPTED_TRAFFIC_H
#define TESTS_SUPPORT_SCRIPTED_TRAFFIC_H

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "support/cluster.h"

namespace support
{

/** Monotonic microseconds, on the clock of the events' "mono_us". */
int64_t now_us();

/** "mono_us" of an event. */
int64_t time_of(const event &e);

struct traffic_call {
	std::string organisation;
	std::string body;
};

struct traffic_result {
	int64_t sent_us;
	traffic_call call;
	http_answer answer;
};

class scripted_traffic
{
      public:
	/** Each of @p threads threads calls the @p daemons in turn; @p next makes the n-th call. */
	scripted_traffic(cluster &c, const std::vector<daemon *> &daemons, int threads,
			 std::function<traffic_call(uint64_t n)> next);
	~scripted_traffic();
	scripted_traffic(const scripted_traffic &) = delete;
	scripted_traffic &operator=(const scripted_traffic &) = delete;

	/** Waits until so many more calls, all sent from now on, have been answered. */
	bool wait_answers(size_t count);

	/** Ends the calls, each with its answer; all results. */
	std::vector<traffic_result> stop();

      private:
	void run(cluster &c, const std::vector<daemon *> &daemons);
	size_t count_sent_since(int64_t since_us);

	std::function<traffic_call(uint64_t)> next_;
	std::atomic<uint64_t> calls_{ 0 };
	std::atomic<bool> stopping_{ false };
	std::mutex mutex_;
	std::vector<traffic_result> results_;
	std::vector<std::thread> threads_;
};

/** Attempts of all @p daemons that started in [from_us, until_us). */
std::vector<event> attempts_between(const std::vector<daemon *> &daemons, int64_t from_us,
				    int64_t until_us = INT64_MAX);

/** Waits until @p count attempts have started after @p from_us; fails the test if they don't. */
bool wait_attempts_after(const std::vector<daemon *> &daemons, int64_t from_us, size_t count);

/** When the last accepted change of @p key was answered, by whichever daemon; 0 if none was. */
int64_t changed_us(const std::vector<daemon *> &daemons, const std::string &key);

} // namespace support

#endif
