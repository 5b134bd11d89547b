/**
 * @file cluster.h
 * Starts a small installation of real processes for the process tests: stand-ins for the platform's
 * services and the upstreams, daemons, and the operators' command line.
 *
 * Tests wait for conditions, never for a fixed time; the destructor ends all processes.
 */
#ifndef TESTS_SUPPORT_CLUSTER_H
#define TESTS_SUPPORT_CLUSTER_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <json-c/json.h>

#include "support/http.h"
#include "support/process.h"
#include "support/relay.h"

namespace support
{

/** One JSON line of a daemon's event log. */
struct event {
	std::string name;
	std::map<std::string, std::string> fields; /**< all fields as text */

	std::string field(const std::string &key) const
	{
		auto found = fields.find(key);

		return found == fields.end() ? "" : found->second;
	}
};

/** A stand-in process: for a service of the platform or for an upstream. */
struct standin {
	std::string name;
	std::string program;
	std::vector<std::string> arguments;
	std::unique_ptr<process> running;
	uint16_t port = 0;

	/** Injects a fault, for instance {"kind":"outage"}; {"kind":"none"} ends all faults. */
	void fault(const std::string &body) const;
	/** Sends a POST request to an admin path. */
	void admin(const std::string &path, const std::string &body = "{}") const;
	/** GET /admin/stats as JSON text. */
	std::string stats() const;
	/** A number in the stats at a path like "a.b"; -1 if absent. */
	int64_t stat(const std::string &path) const;
};

struct daemon {
	std::string name;
	std::string failure_domain;
	std::string settings_path;
	std::string log_path;
	std::unique_ptr<process> running;
	std::unique_ptr<relay> peer_relay; /**< proxy for the peer port; NULL unless requested */
	std::unique_ptr<relay> store_relay; /**< proxy for the store; NULL unless requested */
	uint16_t caller_port = 0;
	uint16_t operator_port = 0;
	uint16_t peer_port = 0;

	std::vector<event> events() const;
	/** Events with that name. */
	std::vector<event> events(const std::string &name) const;
};

struct command_result {
	int exit_code = -1;
	std::string output;
};

struct daemon_options {
	std::string failure_domain;
	bool peer_relay = false; /**< peers connect through a relay */
	bool store_relay = false; /**< the daemon connects to the store through a relay */
	/** More fields of the settings file, for instance "\"stop_timeout_ms\": 5000". */
	std::string settings = "";
};

class cluster
{
      public:
	/** Starts the key-value service, the instance list and the rating service. */
	cluster();
	~cluster();
	cluster(const cluster &) = delete;
	cluster &operator=(const cluster &) = delete;

	standin kv;
	standin list;
	standin rater;

	/** Starts standin_engine on a free port and adds it to the instance list. */
	standin &add_engine(const std::string &name, const std::string &failure_domain,
			    const std::vector<std::string> &serves,
			    const std::vector<std::string> &arguments = {});
	/** Starts standin_service on a free port and adds it to the instance list. */
	standin &add_service(const std::string &name, const std::string &failure_domain,
			     const std::vector<std::string> &arguments = {});
	/** Starts an upstream again on its previous port; kills its process if it still runs. */
	void restart(standin &upstream);

	/** Starts a daemon and waits until it listens. */
	daemon &add_daemon(const std::string &name, const daemon_options &options);
	/** Starts a daemon again with the same settings and peer port; kills its process if it still
	 * runs. */
	void restart(daemon &which);
	/** A daemon by its name. */
	daemon &get(const std::string &name);

	/** Removes an instance from the platform's instance list. */
	void unlist(const std::string &name);
	/** Changes an instance's state in the platform's instance list. */
	void set_listed_state(const std::string &name, const std::string &state);

	/** JSON of an upstream entity for standin_engine. */
	static std::string engine_entity(const standin &engine, const std::string &failure_domain,
					 const std::vector<std::string> &serves, int limit,
					 int cold_limit, int cold_period_ms);
	/** JSON of an upstream entity for standin_service. */
	static std::string service_entity(const standin &service, const std::string &failure_domain,
					  int limit);
	/** JSON of an organisation entity whose API key is the organisation's name. */
	static std::string organisation_entity(const std::string &name,
					       const std::vector<std::string> &allowed,
					       const std::vector<std::string> &services = {});

	/** Writes entities with wharfctl and waits until they are in force on all live daemons. */
	void apply(const std::vector<std::string> &entities);

	/** Runs wharfctl with all running daemons as servers, or only @p which. */
	command_result ctl(const std::vector<std::string> &arguments, daemon *which = nullptr);

	/** Waits until the last change that ctl() wrote is in force on all live daemons. */
	void wait_in_force();

	/** Sends a chat request with the organisation's API key. */
	http_answer chat(const daemon &which, const std::string &organisation,
			 const std::string &body, http_headers headers = {});
	/** Sends a request to /services/PATH with the organisation's API key. */
	http_answer service(const daemon &which, const std::string &organisation,
			    const std::string &path, const std::string &body,
			    http_headers headers = {});

	/** Waits until @p condition holds; after @p timeout_ms, the test fails with a message that
	 * contains @p what. */
	static bool wait_until(const std::string &what, const std::function<bool()> &condition,
			       int timeout_ms = 15000);

	/** Waits until a daemon's log, read from its beginning, has an event that @p matches accepts. */
	bool wait_event(const daemon &which, const std::string &name,
			const std::function<bool(const event &)> &matches = nullptr,
			int timeout_ms = 15000);

	/** Paths of the event logs, the input of wharf-timeline. */
	std::vector<std::string> log_paths() const;

	std::string directory() const
	{
		return directory_;
	}

      private:
	struct listed {
		std::string failure_domain;
		std::string role;
		std::string state;
		uint16_t port;
	};

	void start(standin &which);
	void push_list();
	void note_revision(const std::string &output);
	void start_daemon(daemon &which);
	void keep_peer_port(const daemon &which);
	std::string settings_text(const daemon &which, const daemon_options &options);

	std::string directory_;
	std::vector<std::unique_ptr<standin>> upstreams_;
	std::vector<std::unique_ptr<daemon>> daemons_;
	std::map<std::string, listed> listed_;
	std::atomic<uint64_t> written_revision_{ 0 };
};

/** JSON body of a chat request. */
std::string chat_body(const std::string &model, const std::string &words, int max_tokens = 8,
		      bool stream = false);

} // namespace support

#endif
