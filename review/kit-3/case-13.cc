/*
 * The store forgets its history: for a second watches hear nothing of the changes that are made, among them a
 * configuration that takes a key away. Then the watches are cut, and the store falls silent. Without the disruption
 * (TROUBLE=0) the key is taken away, and nothing else happens.
 */
#include <cstdio>

#include "stand.h"

using namespace stand;

namespace
{

const int64_t REVOKE_MS = 5000;
const int64_t DEAF_MS = 1000;
const int64_t WATCHED_MS = 2000;
const char *const LEAVING_KEY = "key-leaving";

std::string configuration(int version, const std::string &keys)
{
	return "{\"Version\":" + std::to_string(version) +
	       ",\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"shop.example\",\"PathPrefix\":\"/"
	       "order/\","
	       "\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,"
	       "\"Service\":\"app\",\"MaxAttempts\":1,\"Public\":false}],"
	       "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
	       "\"ColdStartS\":0,\"ColdPerS\":0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
	       "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	       "\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[" +
	       keys + "],\"Priority\":1}]}";
}

} // namespace

int main(int argc, char **argv)
{
	if (!setup(argc, argv))
		return 2;
	std::mutex lock;
	std::map<std::string, bool> runs;
	auto run = [&](engine &self, connection &peer, const message &request) {
		{
			std::lock_guard<std::mutex> guard(lock);
			runs[request.get("Attempt-Id")] = true;
		}
		self.answer(peer, request, 200, "done", "Response-Seal: " + self.id + "\r\n");
	};
	store platform;
	std::vector<std::unique_ptr<engine>> engines;
	std::vector<std::unique_ptr<gateway>> gateways;
	for (int i = 0; i < 3; i++) {
		engines.push_back(
			std::make_unique<engine>("i-app-" + std::to_string(i), "app", run));
		platform.put("servers/" + engines.back()->id, engines.back()->entry());
	}
	platform.put("op/config", configuration(3, "\"key-leaving\",\"key-staying\""));
	for (int i = 1; i <= 3; i++) {
		gateways.push_back(std::make_unique<gateway>(
			"front-" + std::to_string(i), "127.0.46." + std::to_string(i), "zone-a"));
		gateways.back()->start(platform.port());
	}
	if (!wait_ready(gateways))
		return 2;
	sleep_ms(2000);

	if (with_trouble()) {
		platform.begin_deafness();
		record("the store: watches hear nothing from now on");
	}
	platform.put("op/config", configuration(8, "\"key-staying\""));
	int64_t acknowledged_ms = now_ms();
	record("the store acknowledges version 8, which takes key-leaving away");
	sleep_ms(DEAF_MS - 50);
	if (with_trouble()) {
		platform.compact();
		platform.go_silent();
		record("the store drops its history, cuts the watches and falls silent");
	}
	sleep_ms(acknowledged_ms + REVOKE_MS + 1 - now_ms());
	int sent = 0;
	int late_runs = 0;
	while (now_ms() < acknowledged_ms + REVOKE_MS + WATCHED_MS) {
		for (const auto &each : gateways) {
			attempt request;
			request.id = new_attempt_id();
			request.path = "/order/1";
			request.key = LEAVING_KEY;
			int64_t sent_ms = now_ms();
			message response = send(*each, request);
			std::lock_guard<std::mutex> guard(lock);
			bool has_run = runs.count(request.id) > 0;
			sent++;
			late_runs += has_run;
			record("request " + request.id + " with key-leaving sent to " + each->name +
			       " " + std::to_string(sent_ms - acknowledged_ms) +
			       " ms after the acknowledgement: answered " +
			       std::to_string(response.status()) +
			       (has_run ? ", HAS RUN" : ", not run"));
		}
		sleep_ms(20);
	}
	for (const auto &each : gateways) {
		if (!each->runs())
			return 2;
	}
	record("sent with the withdrawn key, later than RevokeMs: " + std::to_string(sent) +
	       "; run: " + std::to_string(late_runs));
	record(late_runs > 0 ? "CONFIG is broken" : "CONFIG holds");
	return late_runs > 0 ? 1 : 0;
}
