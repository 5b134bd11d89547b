/**
 * @file platform.h
 * A simulated platform for tests of wharf-gateway: the metadata store with its records, and back ends.
 */
#ifndef TESTS_SUPPORT_PLATFORM_H
#define TESTS_SUPPORT_PLATFORM_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support/process.h"

namespace support
{

/** A TCP port that is free at the moment of the call. */
uint16_t free_port();

/** A running back end. */
struct backend {
	std::string id;
	std::unique_ptr<process> server;
	uint16_t port = 0;

	void inject_fault(const std::string &body) const;
	/** A counter of its statistics; -1 if there is none of that name. */
	int64_t read_stat(const std::string &name) const;
};

/** The store and the back ends of one service, "app". */
struct platform {
	process store{ "standin_metadata", { "--port=0" } };
	uint16_t store_port = store.wait_listening();
	std::vector<std::unique_ptr<backend>> backends;
	std::string event_ms = "--event-ms=20"; /**< pause between the events of a stream */
	int idle_timeout_ms = 5000; /**< of callers' connections, in the configuration */
	int max_body_bytes = 100000; /**< of a request, in the configuration */
	/** More arguments of the back ends, for instance --crash-word. */
	std::vector<std::string> backend_arguments;
	int version = 0; /**< of the configuration */
	std::string more_routes; /**< of the configuration, each after a comma */

	/** Writes or deletes a record as the operator or a back end does. */
	void put(const std::string &key, const std::string &value) const;
	void remove(const std::string &key) const;
	/** The store's items with a prefix, as JSON. */
	std::string read_range(const std::string &prefix) const;
	void inject_store_fault(const std::string &body) const;

	/** Starts a back end and registers it. */
	backend &add_backend(const std::string &id);
	/** Starts a back end again at its address, with another id; its old entry stays. */
	void restart_backend(backend &b, const std::string &id);
	void register_backend(const backend &b, const std::string &id,
			      const std::string &state = "ready",
			      const std::string &version_name = "v1") const;

	/** Writes a new configuration with these keys, quoted and separated by commas. */
	void configure(const std::string &keys = "\"k1\"");
	std::string route(const std::string &name, const std::string &kind, int attempts,
			  const std::string &more = "") const;

	/** Sum of a counter over all back ends. */
	int64_t sum_stat(const std::string &name) const;
};

} // namespace support

#endif
