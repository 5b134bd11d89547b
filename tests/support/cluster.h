/**
 * @file cluster.h
 * A small installation of real processes for the process tests: stand-ins of the platform and the
 * upstreams, daemons, and the operators' command line.
 *
 * Everything is awaited by events, never by a fixed sleep; all processes end with the cluster.
 */
#ifndef TESTS_SUPPORT_CLUSTER_H
#define TESTS_SUPPORT_CLUSTER_H

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

/** A stand-in or upstream. */
struct standin {
	std::string name;
	std::string program;
	std::vector<std::string> arguments;
	std::unique_ptr<process> running;
	uint16_t port = 0;

	/** Asks for a fault, for instance {"kind":"outage"}; {"kind":"none"} ends all. */
	void fault(const std::string &body) const;
	/** POST to an admin path. */
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
	std::unique_ptr<relay> peer_relay; /**< stands before the peer port, if asked for */
	std::unique_ptr<relay> store_relay; /**< stands before the store, if asked for */
	uint16_t caller_port = 0;
	uint16_t operator_port = 0;
	uint16_t peer_port = 0;

	std::vector<event> events() const;
	/** Events of one name. */
	std::vector<event> events(const std::string &name) const;
};

struct command_result {
	int exit_code = -1;
	std::string output;
};

struct daemon_options {
	std::string failure_domain;
	bool peer_relay = false;
	bool store_relay = false;
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

	/** Starts standin_engine on a free port and puts it on the instance list. */
	standin &add_engine(const std::string &name, const std::string &failure_domain,
			    const std::vector<std::string> &serves,
			    const std::vector<std::string> &arguments = {});
	/** Starts standin_service. */
	standin &add_service(const std::string &name, const std::string &failure_domain,
			     const std::vector<std::string> &arguments = {});
	/** Starts an upstream again on its old port, after its process ended. */
	void restart(standin &upstream);

	/** Starts a daemon and waits until it listens. */
	daemon &add_daemon(const std::string &name, const daemon_options &options);
	/** Starts a daemon again with the same settings, as another run of the instance. */
	void restart(daemon &which);
	/** A daemon by its name. */
	daemon &get(const std::string &name);

	/** Takes a name off the platform's instance list, or changes its state. */
	void unlist(const std::string &name);
	void set_listed_state(const std::string &name, const std::string &state);

	/** Entity JSON of the usual kinds. */
	static std::string engine_entity(const standin &engine, const std::string &failure_domain,
					 const std::vector<std::string> &serves, int limit,
					 int cold_limit, int cold_period_ms);
	static std::string service_entity(const standin &service, const std::string &failure_domain,
					  int limit);
	/** An organisation whose bearer key is its name. */
	static std::string organisation_entity(const std::string &name,
					       const std::vector<std::string> &allowed,
					       const std::vector<std::string> &services = {});

	/** Writes entities by wharfctl and waits until they are in force on all live daemons. */
	void apply(const std::vector<std::string> &entities);

	/** Runs wharfctl against the first running daemon, or @p which. */
	command_result ctl(const std::vector<std::string> &arguments, daemon *which = nullptr);

	/** Waits until the given daemons have the highest revision that any of them has. */
	void wait_in_force();

	/** A chat call of an organisation. */
	http_answer chat(const daemon &which, const std::string &organisation,
			 const std::string &body, http_headers headers = {});
	http_answer service(const daemon &which, const std::string &organisation,
			    const std::string &path, const std::string &body,
			    http_headers headers = {});

	/** Waits until @p condition holds; fails the test with @p what if it doesn't in time. */
	static bool wait_until(const std::string &what, const std::function<bool()> &condition,
			       int timeout_ms = 15000);

	/** Waits for an event of a daemon, counted from the log's beginning. */
	bool wait_event(const daemon &which, const std::string &name,
			const std::function<bool(const event &)> &matches = nullptr,
			int timeout_ms = 15000);

	/** The event logs, for wharf-timeline. */
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
	void start_daemon(daemon &which);
	void keep_peer_port(const daemon &which);
	std::string settings_text(const daemon &which, const daemon_options &options);

	std::string directory_;
	std::vector<std::unique_ptr<standin>> upstreams_;
	std::vector<std::unique_ptr<daemon>> daemons_;
	std::map<std::string, listed> listed_;
};

/** Text of a chat body. */
std::string chat_body(const std::string &model, const std::string &words, int max_tokens = 8,
		      bool stream = false);

} // namespace support

#endif
