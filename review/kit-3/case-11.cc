/*
 * A configuration takes a key away and, in the same version, adds the ninth model of a service. Without the ninth
 * model (TROUBLE=0) the same version takes the key away at once.
 */
#include <cstdio>

#include "stand.h"

using namespace stand;

namespace
{

const int64_t REVOKE_MS = 5000;
const int64_t SLACK_MS = 300;
const int64_t WATCHED_MS = 10000;
const char *const LEAVING_KEY = "key-leaving";
const char *const STAYING_KEY = "key-staying";

std::string model_name(int i)
{
	return "model-" + std::to_string(i);
}

std::string configuration(int version, int models, const std::string &keys)
{
	std::string sizes;
	std::string costs;
	for (int i = 1; i <= models; i++) {
		sizes += (i > 1 ? ",\"" : "\"") + model_name(i) + "\"";
		costs += std::string(i > 1 ? "," : "") + "{\"Name\":\"" + model_name(i) +
			 "\",\"Cost\":" + std::to_string(0.02 * i) + "}";
	}
	return "{\"Version\":" + std::to_string(version) +
	       ",\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"shop.example\",\"PathPrefix\":\"/"
	       "order/\","
	       "\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,"
	       "\"Service\":\"app\",\"MaxAttempts\":1,\"Public\":false},"
	       "{\"Name\":\"r-chat\",\"Host\":\"shop.example\",\"PathPrefix\":\"/chat/\","
	       "\"Kind\":\"stream\",\"TimeoutMs\":20000,\"TargetLatencyMs\":2000,\"Priority\":1,"
	       "\"Sizes\":[" +
	       sizes +
	       "],\"Service\":\"llm\",\"MaxAttempts\":3,\"Public\":false,\"Sticky\":true,"
	       "\"Resumable\":true,\"TargetGapMs\":1500}],"
	       "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
	       "\"ColdStartS\":0,\"ColdPerS\":0},{\"Name\":\"llm\",\"HealthPath\":\"/health\","
	       "\"MaxConnections\":370,\"ColdStartS\":3.0,\"ColdPerS\":11.0,\"Engine\":{\"Slots\":"
	       "64,"
	       "\"KvCapacity\":322038,\"Stride\":6,\"Models\":[" +
	       costs +
	       "]}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
	       "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	       "\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[" +
	       keys + "],\"Priority\":1}]}";
}

message order(const gateway &to, const char *key, std::string &id)
{
	attempt request;
	request.id = id = new_attempt_id();
	request.path = "/order/1";
	request.key = key;
	return send(to, request);
}

std::string quoted(const char *text)
{
	return std::string("\"") + text + "\"";
}

} // namespace

int main(int argc, char **argv)
{
	if (!setup(argc, argv))
		return 2;
	std::mutex lock;
	std::map<std::string, int64_t> runs;
	auto run = [&](engine &self, connection &peer, const message &request) {
		{
			std::lock_guard<std::mutex> guard(lock);
			runs[request.get("Attempt-Id")] = now_ms();
		}
		record("  engine " + self.id + " runs " + request.get("Attempt-Id") +
		       " for tenant " + request.get("Tenant"));
		sleep_ms(20);
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
	platform.put("op/config",
		     configuration(3, 8, quoted(LEAVING_KEY) + "," + quoted(STAYING_KEY)));
	for (int i = 1; i <= 3; i++) {
		gateways.push_back(std::make_unique<gateway>(
			"front-" + std::to_string(i), "127.0.46." + std::to_string(i),
			"zone-" + std::string(1, (char)('a' + i - 1))));
		gateways.back()->start(platform.port());
	}
	std::string id;
	if (!wait_ready(gateways))
		return 2;
	sleep_ms(1000);
	for (const auto &each : gateways) {
		if (order(*each, LEAVING_KEY, id).status() != 200)
			return 2;
	}
	record("both keys are in use; all gateways serve");

	int models = with_trouble() ? 9 : 8;
	platform.put("op/config", configuration(8, models, quoted(STAYING_KEY)));
	int64_t acknowledged_ms = now_ms();
	record("the store acknowledges version 8: " + std::to_string(models) + " models, " +
	       LEAVING_KEY + " taken away");

	int sent = 0;
	int late_runs = 0;
	int refused = 0;
	sleep_ms(REVOKE_MS + SLACK_MS);
	while (now_ms() < acknowledged_ms + REVOKE_MS + WATCHED_MS) {
		for (const auto &each : gateways) {
			int64_t sent_ms = now_ms();
			message response = order(*each, LEAVING_KEY, id);
			std::lock_guard<std::mutex> guard(lock);
			bool has_run = runs.count(id) > 0;
			sent++;
			late_runs += has_run;
			refused += response.status() == 401;
			record("request " + id + " with " + LEAVING_KEY + " sent to " + each->name +
			       " " + std::to_string(sent_ms - acknowledged_ms) +
			       " ms after the acknowledgement: answered " +
			       std::to_string(response.status()) +
			       (has_run ? ", HAS RUN" : ", not run"));
		}
		sleep_ms(500);
	}
	for (const auto &each : gateways) {
		message response = order(*each, STAYING_KEY, id);
		record("request with " + std::string(STAYING_KEY) + " at " + each->name + ": " +
		       std::to_string(response.status()));
		if (!each->runs())
			return 2;
	}
	record("sent with the withdrawn key, later than RevokeMs: " + std::to_string(sent) +
	       "; run: " + std::to_string(late_runs) +
	       "; refused with 401: " + std::to_string(refused));
	record(late_runs > 0 ? "CONFIG is broken" : "CONFIG holds");
	return late_runs > 0 ? 1 : 0;
}
