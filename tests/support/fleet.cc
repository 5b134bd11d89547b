#include "support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>

namespace support
{

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

int64_t instance::metric(const std::string &name_of_metric) const
{
	std::string text = http_call(metrics_port, "GET", "/metrics").body;
	std::string line = "\ndragonflywharf_" + name_of_metric + " ";
	size_t at = text.find(line);
	return at == std::string::npos ? -1 : atoll(text.c_str() + at + line.size());
}

bool instance::is_listening() const
{
	return http_call(ready_port, "GET", "/dragonflywharf/ready").status != 0;
}

bool instance::is_ready() const
{
	return http_call(ready_port, "GET", "/dragonflywharf/ready").status == 200;
}

void fleet::launch(size_t i)
{
	for (int tries = 0; tries < 5; tries++) {
		start_process(i);
		if (wait_until([&] {
			    return instances[i].is_listening() ||
				   instances[i].gateway->wait(0).ended;
		    }) &&
		    !instances[i].gateway->wait(0).ended)
			return;
	}
	ADD_FAILURE() << "instance " << i << " didn't listen in 5 starts";
}

void fleet::start_process(size_t i)
{
	instance &each = instances[i];
	auto at = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
	each.name = "front-" + std::to_string(i);
	/* An instance takes seeds with its own address for itself. */
	each.peer_ip = hears_peers ? "127.0.7." + std::to_string(i + 1) : "127.0.7.1";
	each.caller_port = free_port();
	each.ready_port = free_port();
	each.metrics_port = free_port();
	std::string path =
		testing::TempDir() + "fleet-" + std::to_string(peer_port) + "-" + std::to_string(i);
	std::ofstream(path) << "{\"instance\":\"" << each.name << "\",\"failure_domain\":\"d"
			    << i % 3 << "\",\"caller_address\":" << at(each.caller_port)
			    << ",\"readiness_address\":" << at(each.ready_port)
			    << ",\"metrics_address\":" << at(each.metrics_port) << ",\"store\":"
			    << at(store_links.empty() ? store_port : store_links[i]->port())
			    << ",\"peer_address\":\"" << each.peer_ip << ":"
			    << (hears_peers ? peer_port : free_port())
			    << "\",\"seeds\":[\"127.0.7.1:1\",\"127.0.7.2:1\"]"
			    << ",\"keys_fail_closed\":true,\"revocation_ms\":" << revocation_ms
			    << ",\"change_applied_ms\":" << change_ms << more_settings
			    << ",\"retry_ratio\":0.9,\"retry_slack\":160,\"stop_timeout_s\":8}";
	each.gateway = std::make_unique<process>("wharf-gateway",
						 std::vector<std::string>{ "--settings", path });
}

bool fleet::wait_for_all() const
{
	int64_t members = hears_peers ? (int64_t)instances.size() : 1;

	for (const instance &each : instances) {
		if (!wait_until(
			    [&] { return each.is_ready() && each.metric("members") == members; }))
			return false;
	}
	return true;
}

http_answer fleet::call(size_t i, const std::string &method, const std::string &path,
			const std::string &key, const std::string &body)
{
	return http_call(instances[i].caller_port, method, path, body,
			 { { "Attempt-Id", "a" + std::to_string(next_attempt++) },
			   { "Deadline-Ms", "1500" },
			   { "Credential", key } });
}

} // namespace support
