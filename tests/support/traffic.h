/**
 * @file traffic.h
 * Callers in threads, each of which sends one request after the other through a daemon.
 */
#ifndef TESTS_SUPPORT_TRAFFIC_H
#define TESTS_SUPPORT_TRAFFIC_H

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/cluster.h"

namespace support
{

class traffic
{
      public:
	/** Requests are chat requests of an organisation; the first "%" in @p body is replaced by the
	 * request's number. */
	traffic(const std::string &organisation, const std::string &body,
		const http_headers &headers = {});
	~traffic();
	traffic(const traffic &) = delete;
	traffic &operator=(const traffic &) = delete;

	/** Adds @p callers callers that use the daemon's current port. Call it again after a restart: if the
	 * port has changed, this ends the callers of the old port. */
	void press(const daemon &through, int callers);

	/** Ends a daemon's callers, each after its request in progress. */
	void leave(const daemon &through);

	/** Number of complete answers with status 200. */
	uint64_t answered(const daemon &through);
	/** Number of requests that have ended, with or without an answer. */
	uint64_t ended(const daemon &through);
	/** Number of answers with that status from all daemons; status 0: no answer. */
	uint64_t count(int status);

	/** Waits for @p more further complete answers with status 200 through a daemon. */
	bool wait_answered(const daemon &through, uint64_t more);

      private:
	struct daemon_state {
		std::atomic<uint16_t> port{ 0 };
		std::atomic<uint64_t> answered{ 0 };
		std::atomic<uint64_t> ended{ 0 };
	};

	daemon_state &state_of(const daemon &through);
	void call(daemon_state &state, uint16_t port);

	static constexpr int status_count = 600;
	std::string organisation_;
	std::string body_;
	http_headers headers_;
	std::atomic<bool> stopping_{ false };
	std::atomic<uint64_t> sent_{ 0 };
	std::atomic<uint64_t> counts_[status_count] = {};
	std::map<std::string, std::unique_ptr<daemon_state>> daemon_states_;
	std::vector<std::thread> threads_;
};

} // namespace support

#endif
