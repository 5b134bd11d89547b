/**
 * @file fleet.h
 * Several wharf-gateway processes that know each other, between a simulated store and simulated back
 * ends.
 */
#ifndef TESTS_SUPPORT_FLEET_H
#define TESTS_SUPPORT_FLEET_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support/http.h"
#include "support/platform.h"
#include "support/process.h"
#include "support/relay.h"

namespace support
{

/** Milliseconds on the steady clock. */
int64_t now_ms();

/** One gateway process. */
struct instance {
	std::string name;
	std::string peer_ip;
	uint16_t caller_port = 0;
	uint16_t ready_port = 0;
	uint16_t metrics_port = 0;
	std::unique_ptr<process> gateway;

	/** A metric without labels; -1 if there is none of that name. */
	int64_t metric(const std::string &name_of_metric) const;
	bool is_listening() const;
	bool is_ready() const;
};

/** The gateways; instance i is in failure domain i % 3. */
struct fleet : platform {
	int change_ms = 2000; /**< limit for changes, in the settings */
	int revocation_ms = 3000;
	std::string more_settings; /**< each after a comma */
	std::vector<std::unique_ptr<relay>> store_links; /**< one an instance; none: direct */
	bool hears_peers = true; /**< false: no instance hears another, all reach the store */
	uint16_t peer_port = free_port();
	std::vector<instance> instances;
	int next_attempt = 0;

	explicit fleet(size_t count) : instances(count)
	{
	}
	/** Starts an instance; with other ports if another process took a free one before it. */
	void launch(size_t i);
	/** Waits until all instances are ready and know each other; false after 10 s. */
	bool wait_for_all() const;
	/** Sends a request with a key and a new attempt id. */
	http_answer call(size_t i, const std::string &method, const std::string &path,
			 const std::string &key = "k1", const std::string &body = "");

      private:
	void start_process(size_t i);
};

} // namespace support

#endif
