#include "support/cluster.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <sodium.h>

namespace support
{

namespace
{

constexpr int poll_ms = 5;
const char cluster_key[] = "00000000000000000000000000000000000000000000000000000000000000aa";
const char operator_key[] = "operator";

std::string sha256_hex(const std::string &text)
{
	unsigned char hash[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(hash) + 1];

	crypto_hash_sha256(hash, (const unsigned char *)text.data(), text.size());
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	return hex;
}

std::string joined(const std::vector<std::string> &items, bool quoted)
{
	std::string out;

	for (const std::string &item : items) {
		out += out.empty() ? "" : ",";
		out += quoted ? "\"" + item + "\"" : item;
	}
	return out;
}

std::string quoted(const std::string &text)
{
	return "\"" + text + "\"";
}

} // namespace

std::string chat_body(const std::string &model, const std::string &words, int max_tokens,
		      bool stream)
{
	return "{\"model\":" + quoted(model) + ",\"stream\":" + (stream ? "true" : "false") +
	       ",\"max_tokens\":" + std::to_string(max_tokens) +
	       ",\"messages\":[{\"role\":\"user\",\"content\":" + quoted(words) + "}]}";
}

void standin::admin(const std::string &path, const std::string &body) const
{
	http_call(port, "POST", path, body);
}

void standin::fault(const std::string &body) const
{
	admin("/admin/fault", body);
}

std::string standin::stats() const
{
	return http_call(port, "GET", "/admin/stats").body;
}

int64_t standin::stat(const std::string &path) const
{
	struct json_object *root = json_tokener_parse(stats().c_str());
	struct json_object *at = root;
	std::stringstream parts(path);
	std::string part;
	int64_t value = -1;

	while (at && std::getline(parts, part, '.')) {
		struct json_object *next = nullptr;

		json_object_object_get_ex(at, part.c_str(), &next);
		at = next;
	}
	if (at)
		value = json_object_get_int64(at);
	json_object_put(root);
	return value;
}

std::vector<event> daemon::events() const
{
	std::ifstream file(log_path);
	std::vector<event> out;
	std::string line;

	while (std::getline(file, line)) {
		struct json_object *root = json_tokener_parse(line.c_str());
		event parsed;

		if (!root)
			continue;
		json_object_object_foreach(root, key, value)
		{
			parsed.fields[key] = json_object_get_string(value);
		}
		json_object_put(root);
		parsed.name = parsed.fields["name"];
		out.push_back(parsed);
	}
	return out;
}

std::vector<event> daemon::events(const std::string &name) const
{
	std::vector<event> out;

	for (event &e : events()) {
		if (e.name == name)
			out.push_back(e);
	}
	return out;
}

cluster::cluster()
{
	char pattern[] = "/tmp/wharf-test-XXXXXX";

	if (sodium_init() < 0 || !mkdtemp(pattern))
		throw std::runtime_error("cannot initialise libsodium or create a directory from "
					 "/tmp/wharf-test-XXXXXX");
	directory_ = pattern;
	kv.name = "kv";
	kv.program = "standin_kv";
	list.name = "list";
	list.program = "standin_list";
	rater.name = "rater";
	rater.program = "standin_rater";
	start(kv);
	start(list);
	start(rater);
}

cluster::~cluster()
{
	daemons_.clear();
	upstreams_.clear();
	rater.running.reset();
	list.running.reset();
	kv.running.reset();
	if (!getenv("WHARF_KEEP_LOGS"))
		std::filesystem::remove_all(directory_);
}

void cluster::start(standin &which)
{
	std::vector<std::string> arguments = which.arguments;

	arguments.push_back("--port=" + std::to_string(which.port));
	which.running = std::make_unique<process>(which.program, arguments,
						  directory_ + "/" + which.name + ".err");
	which.port = which.running->wait_listening();
	ASSERT_NE(which.port, 0) << which.name << " didn't start";
}

void cluster::push_list()
{
	std::vector<std::string> items;

	for (const auto &[name, row] : listed_)
		items.push_back("{\"name\":" + quoted(name) +
				",\"ip\":\"127.0.0.1\",\"port\":" + std::to_string(row.port) +
				",\"failure_domain\":" + quoted(row.failure_domain) + ",\"role\":" +
				quoted(row.role) + ",\"state\":" + quoted(row.state) + "}");
	list.admin("/admin/set", "{\"instances\":[" + joined(items, false) + "]}");
}

standin &cluster::add_engine(const std::string &name, const std::string &failure_domain,
			     const std::vector<std::string> &serves,
			     const std::vector<std::string> &arguments)
{
	auto engine = std::make_unique<standin>();

	engine->name = name;
	engine->program = "standin_engine";
	engine->arguments = arguments;
	engine->arguments.push_back("--name=" + name);
	for (const std::string &version : serves)
		engine->arguments.push_back("--serves=" + version);
	start(*engine);
	listed_[name] = { failure_domain, "engine", "live", engine->port };
	push_list();
	upstreams_.push_back(std::move(engine));
	return *upstreams_.back();
}

standin &cluster::add_service(const std::string &name, const std::string &failure_domain,
			      const std::vector<std::string> &arguments)
{
	auto service = std::make_unique<standin>();

	service->name = name;
	service->program = "standin_service";
	service->arguments = arguments;
	service->arguments.push_back("--name=" + name);
	start(*service);
	listed_[name] = { failure_domain, "service", "live", service->port };
	push_list();
	upstreams_.push_back(std::move(service));
	return *upstreams_.back();
}

void cluster::restart(standin &upstream)
{
	upstream.running.reset();
	start(upstream);
}

std::string cluster::settings_text(const daemon &which, const daemon_options &options)
{
	uint16_t store_port = which.store_relay ? which.store_relay->port() : kv.port;
	std::vector<std::string> seeds;
	std::string text;

	for (const auto &other : daemons_) {
		uint16_t port = other->peer_relay ? other->peer_relay->port() : other->peer_port;

		if (port != 0)
			seeds.push_back("127.0.0.1:" + std::to_string(port));
	}
	text = "{ \"instance\": " + quoted(which.name) +
	       ", \"failure_domain\": " + quoted(which.failure_domain) +
	       ", \"ip\": \"127.0.0.1\", \"caller_port\": 0, \"operator_port\": 0, "
	       "\"peer_port\": " +
	       std::to_string(which.peer_port) + ", \"seeds\": [" + joined(seeds, true) +
	       "], \"store\": [\"127.0.0.1:" + std::to_string(store_port) +
	       "\"], \"instance_list\": \"127.0.0.1:" + std::to_string(list.port) +
	       "\", \"rater\": \"127.0.0.1:" + std::to_string(rater.port) +
	       "\", \"cluster_key\": " + quoted(cluster_key) +
	       ", \"operator_key_hash\": " + quoted(sha256_hex(operator_key)) +
	       ", \"log_file\": " + quoted(which.log_path) + ", \"log_level\": \"debug\"" +
	       ", \"report_period_ms\": 100, \"list_period_ms\": 100";
	if (which.peer_relay)
		text += ", \"advertised_peer\": \"127.0.0.1:" +
			std::to_string(which.peer_relay->port()) + "\"";
	if (!options.settings.empty())
		text += ", " + options.settings;
	return text + " }\n";
}

void cluster::start_daemon(daemon &which)
{
	std::string line;

	which.running = std::make_unique<process>(
		"dragonflywharfd", std::vector<std::string>{ "--settings=" + which.settings_path },
		directory_ + "/" + which.name + ".err");
	line = which.running->wait_line("listening ");
	unsigned int caller = 0;
	unsigned int operators = 0;
	unsigned int peers = 0;
	ASSERT_EQ(sscanf(line.c_str(), "127.0.0.1:%u operators %u peers %u", &caller, &operators,
			 &peers),
		  3)
		<< which.name << " didn't start: " << line;
	which.caller_port = (uint16_t)caller;
	which.operator_port = (uint16_t)operators;
	which.peer_port = (uint16_t)peers;
	if (which.peer_relay)
		which.peer_relay->set_target(which.peer_port);
	listed_[which.name] = { which.failure_domain, "entry", "live", which.caller_port };
	push_list();
}

daemon &cluster::add_daemon(const std::string &name, const daemon_options &options)
{
	auto added = std::make_unique<daemon>();

	added->name = name;
	added->failure_domain = options.failure_domain;
	added->settings_path = directory_ + "/" + name + ".json";
	added->log_path = directory_ + "/" + name + ".jsonl";
	if (options.peer_relay)
		added->peer_relay = std::make_unique<relay>(0);
	if (options.store_relay)
		added->store_relay = std::make_unique<relay>(kv.port);
	std::ofstream(added->settings_path) << settings_text(*added, options);
	start_daemon(*added);
	daemons_.push_back(std::move(added));
	return *daemons_.back();
}

void cluster::restart(daemon &which)
{
	which.running.reset();
	keep_peer_port(which);
	start_daemon(which);
}

/* Writes the assigned peer port into the settings file: other instances know an instance by its
 * address, so it must be the same after a restart. */
void cluster::keep_peer_port(const daemon &which)
{
	const std::string any = "\"peer_port\": 0";
	std::stringstream text;
	text << std::ifstream(which.settings_path).rdbuf();
	std::string settings = text.str();
	size_t at = settings.find(any);

	if (at == std::string::npos)
		return;
	settings.replace(at + any.size() - 1, 1, std::to_string(which.peer_port));
	std::ofstream(which.settings_path) << settings;
}

daemon &cluster::get(const std::string &name)
{
	for (auto &d : daemons_) {
		if (d->name == name)
			return *d;
	}
	throw std::runtime_error("no daemon has the name " + name);
}

void cluster::unlist(const std::string &name)
{
	listed_.erase(name);
	push_list();
}

void cluster::set_listed_state(const std::string &name, const std::string &state)
{
	listed_.at(name).state = state;
	push_list();
}

std::string cluster::engine_entity(const standin &engine, const std::string &failure_domain,
				   const std::vector<std::string> &serves, int limit,
				   int cold_limit, int cold_period_ms)
{
	return "{\"upstream\":{\"name\":" + quoted(engine.name) +
	       ",\"ip\":\"127.0.0.1\",\"port\":" + std::to_string(engine.port) +
	       ",\"failure_domain\":" + quoted(failure_domain) + ",\"serves\":[" +
	       joined(serves, true) + "],\"limit\":" + std::to_string(limit) +
	       ",\"cold_limit\":" + std::to_string(cold_limit) +
	       ",\"cold_period_ms\":" + std::to_string(cold_period_ms) + "}}";
}

std::string cluster::service_entity(const standin &service, const std::string &failure_domain,
				    int limit)
{
	return "{\"upstream\":{\"name\":" + quoted(service.name) +
	       ",\"kind\":\"UPSTREAM_SERVICE\",\"ip\":\"127.0.0.1\",\"port\":" +
	       std::to_string(service.port) + ",\"failure_domain\":" + quoted(failure_domain) +
	       ",\"service\":" + quoted(service.name) + ",\"limit\":" + std::to_string(limit) +
	       ",\"cold_limit\":" + std::to_string(limit) + "}}";
}

std::string cluster::organisation_entity(const std::string &name,
					 const std::vector<std::string> &allowed,
					 const std::vector<std::string> &services)
{
	return "{\"organisation\":{\"name\":" + quoted(name) + ",\"key_hashes\":[" +
	       quoted(sha256_hex(name)) + "],\"allowed\":[" + joined(allowed, true) +
	       "],\"allowed_services\":[" + joined(services, true) + "]}}";
}

command_result cluster::ctl(const std::vector<std::string> &arguments, daemon *which)
{
	std::vector<std::string> all{ std::string("--key=") + operator_key };
	command_result result;

	for (const auto &d : daemons_) {
		if ((!which || which == d.get()) && d->running)
			all.push_back("--server=127.0.0.1:" + std::to_string(d->operator_port));
	}
	all.insert(all.end(), arguments.begin(), arguments.end());
	process command("wharfctl", all, directory_ + "/wharfctl.err");
	result.exit_code = command.wait(40000).exit_code;
	for (const std::string &line : command.lines())
		result.output += line + "\n";
	if (result.exit_code == 0)
		note_revision(result.output);
	return result;
}

void cluster::apply(const std::vector<std::string> &entities)
{
	std::string path = directory_ + "/apply.json";

	std::ofstream(path) << "{\"entities\":[" << joined(entities, false) << "]}";
	/* wharfctl refuses to lower a limit without --allow-lower; tests lower limits on purpose. */
	command_result result = ctl({ "--allow-lower", "apply", path });
	ASSERT_EQ(result.exit_code, 0) << result.output;
	wait_in_force();
}

/* Records the newest revision that wharfctl printed: "KEY: done at revision N", or with --json
 * "outcome":"done","revision":N. */
void cluster::note_revision(const std::string &output)
{
	for (const std::string mark :
	     { "done at revision ", "\"outcome\":\"done\",\"revision\":" }) {
		for (size_t at = output.find(mark); at != output.npos;
		     at = output.find(mark, at + 1)) {
			uint64_t revision =
				strtoull(output.c_str() + at + mark.size(), nullptr, 10);

			if (revision > written_revision_)
				written_revision_ = revision;
		}
	}
}

void cluster::wait_in_force()
{
	command_result waited = ctl({ "wait", std::to_string(written_revision_) });

	ASSERT_EQ(waited.exit_code, 0) << waited.output;
}

http_answer cluster::chat(const daemon &which, const std::string &organisation,
			  const std::string &body, http_headers headers)
{
	headers["authorization"] = "Bearer " + organisation;
	headers["content-type"] = "application/json";
	return http_call(which.caller_port, "POST", "/v1/chat/completions", body, headers, 30000);
}

http_answer cluster::service(const daemon &which, const std::string &organisation,
			     const std::string &path, const std::string &body, http_headers headers)
{
	headers["authorization"] = "Bearer " + organisation;
	headers["content-type"] = "application/json";
	return http_call(which.caller_port, "POST", "/services/" + path, body, headers, 30000);
}

bool cluster::wait_until(const std::string &what, const std::function<bool()> &condition,
			 int timeout_ms)
{
	auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);

	while (!condition()) {
		if (std::chrono::steady_clock::now() > deadline) {
			ADD_FAILURE() << "not seen in " << timeout_ms << " ms: " << what;
			return false;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(poll_ms));
	}
	return true;
}

bool cluster::wait_event(const daemon &which, const std::string &name,
			 const std::function<bool(const event &)> &matches, int timeout_ms)
{
	return wait_until(
		which.name + " logs " + name,
		[&] {
			for (const event &e : which.events(name)) {
				if (!matches || matches(e))
					return true;
			}
			return false;
		},
		timeout_ms);
}

std::vector<std::string> cluster::log_paths() const
{
	std::vector<std::string> out;

	for (const auto &d : daemons_)
		out.push_back(d->log_path);
	return out;
}

} // namespace support
