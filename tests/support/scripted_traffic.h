/**
 * @file scripted_traffic.h
 * Sends chat requests from several threads through several daemons until it is stopped.
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

/** Monotonic time in microseconds, of the same clock as "mono_us" in events. */
int64_t now_us();

/** Time of an event ("mono_us"); 0 if it has none. */
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
	/** Starts @p threads threads. Calls go to the @p daemons in turn; @p next returns the n-th
	 * call. */
	scripted_traffic(cluster &c, const std::vector<daemon *> &daemons, int threads,
			 std::function<traffic_call(uint64_t n)> next);
	~scripted_traffic();
	scripted_traffic(const scripted_traffic &) = delete;
	scripted_traffic &operator=(const scripted_traffic &) = delete;

	/** Waits until @p count calls that were sent after this one began have ended. */
	bool wait_answers(size_t count);

	/** Waits for the calls in progress, ends the threads and returns all results. */
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

/** Start events of the attempts that @p daemons started in [from_us, until_us). */
std::vector<event> attempts_between(const std::vector<daemon *> &daemons, int64_t from_us,
				    int64_t until_us = INT64_MAX);

/** Waits until @p count attempts have started after @p from_us; fails the test if they don't. */
bool wait_attempts_after(const std::vector<daemon *> &daemons, int64_t from_us, size_t count);

/** Time of the latest accepted change of the configuration key @p key in the logs; 0 if there is none. */
int64_t changed_us(const std::vector<daemon *> &daemons, const std::string &key);

} // namespace support

#endif
