/**
 * @file restore_fleet.h
 * Several wharf-gateway processes beside a store that comes back from an older copy, with what its operator and the
 * engines write again, and callers that send all the time.
 */
#ifndef TESTS_SUPPORT_RESTORE_FLEET_H
#define TESTS_SUPPORT_RESTORE_FLEET_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet.h"

namespace support
{

/** Within this time after the store's acknowledgement, a change is in force at all instances in touch. */
constexpr int IN_FORCE_MS = 3000;

void sleep_ms(int64_t ms);

/** What an engine says of itself in the store. */
struct engine_entry {
	std::string service = "app";
	std::string zone = "a";
	std::string version = "v1";
	std::string state = "ready";
	int64_t sequence = 0;
};

struct restore_fleet : fleet {
	std::map<std::string, engine_entry> entries; /**< by id, of the engines that are there */
	std::string keys = "\"k1\",\"k2\""; /**< of the newest configuration */

	explicit restore_fleet(size_t count);
	/** Starts the instances, which know a configuration and e1, and waits for them. */
	void start();
	backend &find(const std::string &id) const;
	backend &add_engine(const std::string &id, const engine_entry &entry = {});
	/** An engine's report: its state, with the next sequence number. */
	void report(const std::string &id);
	void leave(const std::string &id);
	/** Writes a newer configuration with these keys. */
	void write_config(const std::string &keys_of_it);
	/** The operator writes the newest configuration again, as it was. */
	void write_config_again();

	void back_up() const;
	/** Other changes, so that revisions fall far. */
	void change_much() const;
	/** The store goes away and comes back from the copy. */
	void restore(int away_ms = 600) const;
	void go_away() const;
	void come_back() const;

	bool wait_in_force(int within_ms = IN_FORCE_MS) const;
	bool wait_metric(const std::string &name, int64_t value, int within_ms = 10000) const;
	int64_t sum_metric(const std::string &name) const;
	/** Log lines of an instance that have all these parts. */
	size_t count_lines(size_t i, const std::vector<std::string> &parts) const;
};

/** A request that has ended. */
struct sent_request {
	int64_t sent_ms;
	size_t instance;
	int status;
	std::string engine; /**< that ran it; empty: none */
};

/** One caller that sends to these instances in turn until it is stopped. */
class steady_caller
{
      public:
	steady_caller(const fleet &fleet, std::vector<size_t> through, const std::string &path,
		      const std::string &key, int pause_ms = 10);
	~steady_caller();
	steady_caller(const steady_caller &) = delete;
	steady_caller &operator=(const steady_caller &) = delete;

	/** Ends the caller and returns all its requests. */
	std::vector<sent_request> stop();

      private:
	void run(const fleet &fleet, const std::vector<size_t> &through, const std::string &path,
		 const std::string &key, int pause_ms);

	std::atomic<bool> is_over_{ false };
	std::vector<sent_request> sent_;
	std::thread thread_;
};

/** Sends one request, by any thread. */
sent_request send_request(const fleet &fleet, size_t i, const std::string &path,
			  const std::string &key);

} // namespace support

#endif
