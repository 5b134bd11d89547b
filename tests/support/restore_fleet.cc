#include "support/restore_fleet.h"

#include <chrono>
#include <stdexcept>

namespace support
{

/* Changes after the copy was made. */
static constexpr int LOST_CHANGES = 30;

void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

restore_fleet::restore_fleet(size_t count) : fleet(count)
{
	backend_arguments = { "--work-ms=5" };
}

void restore_fleet::start()
{
	if (backends.empty())
		add_engine("e1");
	configure(keys);
	for (size_t i = 0; i < instances.size(); i++)
		launch(i);
	if (!wait_for_all())
		throw std::runtime_error("the instances aren't ready");
}

backend &restore_fleet::find(const std::string &id) const
{
	for (const auto &each : backends) {
		if (each->id == id)
			return *each;
	}
	throw std::runtime_error("no engine " + id);
}

backend &restore_fleet::add_engine(const std::string &id, const engine_entry &entry)
{
	auto added = std::make_unique<backend>();
	std::vector<std::string> arguments{ "--port=0", "--id=" + id, event_ms };

	arguments.insert(arguments.end(), backend_arguments.begin(), backend_arguments.end());
	added->id = id;
	added->server = std::make_unique<process>("standin_backend", arguments);
	added->port = added->server->wait_listening();
	backends.push_back(std::move(added));
	entries[id] = entry;
	report(id);
	return *backends.back();
}

void restore_fleet::report(const std::string &id)
{
	engine_entry &entry = entries.at(id);

	put("servers/" + id, "{\"Service\":\"" + entry.service +
				     "\",\"Address\":\"127.0.0.1:" + std::to_string(find(id).port) +
				     "\",\"Zone\":\"" + entry.zone + "\",\"Version\":\"" +
				     entry.version + "\",\"Slots\":64,\"State\":\"" + entry.state +
				     "\",\"ColdRemainingMs\":0,\"Sequence\":" +
				     std::to_string(++entry.sequence) + ",\"born\":5}");
}

void restore_fleet::leave(const std::string &id)
{
	entries.erase(id);
	remove("servers/" + id);
}

void restore_fleet::write_config(const std::string &keys_of_it)
{
	keys = keys_of_it;
	configure(keys);
}

void restore_fleet::write_config_again()
{
	version -= 3;
	configure(keys);
}

void restore_fleet::back_up() const
{
	http_call(store_port, "POST", "/admin/backup", "{}");
}

void restore_fleet::change_much() const
{
	for (int i = 0; i < LOST_CHANGES; i++)
		put("elsewhere/" + std::to_string(i), "{}");
}

void restore_fleet::go_away() const
{
	inject_store_fault("{\"kind\":\"outage\"}");
}

void restore_fleet::come_back() const
{
	http_call(store_port, "POST", "/admin/restore", "{}");
	inject_store_fault("{\"kind\":\"none\"}");
}

void restore_fleet::restore(int away_ms) const
{
	go_away();
	sleep_ms(away_ms);
	come_back();
}

bool restore_fleet::wait_in_force(int within_ms) const
{
	return wait_metric("config_version", version, within_ms);
}

bool restore_fleet::wait_metric(const std::string &name, int64_t value, int within_ms) const
{
	int64_t until_ms = now_ms() + within_ms;

	for (const instance &each : instances) {
		if (!wait_until([&] { return each.metric(name) == value; },
				(int)(until_ms - now_ms())))
			return false;
	}
	return true;
}

int64_t restore_fleet::sum_metric(const std::string &name) const
{
	int64_t sum = 0;

	for (const instance &each : instances)
		sum += each.metric(name);
	return sum;
}

size_t restore_fleet::count_lines(size_t i, const std::vector<std::string> &parts) const
{
	size_t count = 0;

	for (const std::string &line : instances[i].gateway->lines()) {
		bool has_all = true;
		for (const std::string &part : parts)
			has_all = has_all && line.find(part) != std::string::npos;
		count += has_all;
	}
	return count;
}

sent_request send_request(const fleet &fleet, size_t i, const std::string &path,
			  const std::string &key)
{
	static std::atomic<uint64_t> next_id{ 0 };
	sent_request sent = { now_ms(), i, 0, "" };
	http_answer answer = http_call(fleet.instances[i].caller_port, "GET", path, "",
				       { { "Attempt-Id", "r" + std::to_string(next_id++) },
					 { "Deadline-Ms", "1500" },
					 { "Credential", key } });

	sent.status = answer.status;
	sent.engine = answer.headers["response-seal"];
	return sent;
}

steady_caller::steady_caller(const fleet &fleet, std::vector<size_t> through,
			     const std::string &path, const std::string &key, int pause_ms)
    : thread_([this, &fleet, through = std::move(through), path, key, pause_ms] {
	      run(fleet, through, path, key, pause_ms);
      })
{
}

steady_caller::~steady_caller()
{
	stop();
}

void steady_caller::run(const fleet &fleet, const std::vector<size_t> &through,
			const std::string &path, const std::string &key, int pause_ms)
{
	for (size_t n = 0; !is_over_; n++) {
		sent_.push_back(send_request(fleet, through[n % through.size()],
					     path + std::to_string(n), key));
		sleep_ms(pause_ms);
	}
}

std::vector<sent_request> steady_caller::stop()
{
	is_over_ = true;
	if (thread_.joinable())
		thread_.join();
	return std::move(sent_);
}

} // namespace support
