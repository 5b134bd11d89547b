/**
 * @file traffic.h
 * Callers that send one request after the other through chosen daemons until the test ends.
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
	/** Chat requests of an organisation; "%" in @p body becomes a number of its own. */
	traffic(const std::string &organisation, const std::string &body,
		const http_headers &headers = {});
	~traffic();
	traffic(const traffic &) = delete;
	traffic &operator=(const traffic &) = delete;

	/** @p callers more through a daemon, at its present port: call it again after a restart,
	 * which ends the callers of the run before. */
	void press(const daemon &through, int callers);

	/** Ends a daemon's callers, each after its present request. */
	void leave(const daemon &through);

	/** Answers with status 200, and whole. */
	uint64_t answered(const daemon &through);
	/** All ends, good and bad. */
	uint64_t ended(const daemon &through);
	/** Answers of one status over all daemons; 0: no answer. */
	uint64_t count(int status);

	/** Waits for more answers through a daemon. */
	bool wait_answered(const daemon &through, uint64_t more);

      private:
	struct lane {
		std::atomic<uint16_t> port{ 0 };
		std::atomic<uint64_t> answered{ 0 };
		std::atomic<uint64_t> ended{ 0 };
	};

	lane &lane_of(const daemon &through);
	void call(lane &mine, uint16_t port);

	static constexpr int statuses = 600;
	std::string organisation_;
	std::string body_;
	http_headers headers_;
	std::atomic<bool> stopping_{ false };
	std::atomic<uint64_t> sent_{ 0 };
	std::atomic<uint64_t> counts_[statuses] = {};
	std::map<std::string, std::unique_ptr<lane>> lanes_;
	std::vector<std::thread> threads_;
};

} // namespace support

#endif
