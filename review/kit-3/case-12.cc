/*
 * One of seven engines fails part of its requests: it runs them and answers 503 of its own, without Not-Executed.
 * Without the disruption (TROUBLE=0) it answers 200.
 */
#include <cstdio>

#include "stand.h"

using namespace stand;

namespace
{

const int ENGINES = 7;
/* kinds, srv_grey: share .15 of the engines fail x .4 of their requests. One of seven is a share of .143. */
const int FAILING_OF_TEN = 4;
const int ORDERS = 300;
const int CONSUMERS = 6;

const char *const CONFIGURATION =
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"shop.example\","
	"\"PathPrefix\":\"/order/\",\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,"
	"\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":1,\"Public\":false}],"
	"\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
	"\"ColdStartS\":0,\"ColdPerS\":0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
	"\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	"\"Tenants\":[{\"Name\":\"workshop\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";

struct ledger {
	std::mutex lock;
	std::map<std::string, int> runs; /* by attempt id */
	std::map<std::string, int> bookings; /* by order */
	int grey_requests = 0;
};

} // namespace

int main(int argc, char **argv)
{
	if (!setup(argc, argv))
		return 2;
	ledger books;
	auto run = [&](engine &self, connection &peer, const message &request) {
		bool fails = false;
		{
			std::lock_guard<std::mutex> guard(books.lock);
			books.runs[request.get("Attempt-Id")]++;
			books.bookings[request.word(1)]++;
			if (with_trouble() && self.id == "i-app-0")
				fails = books.grey_requests++ % 10 < FAILING_OF_TEN;
		}
		record("  engine " + self.id + " runs " + request.get("Attempt-Id") + " (" +
		       request.word(1) + ")" +
		       (fails ? " and answers 503, without Not-Executed" : ""));
		sleep_ms(20);
		self.answer(peer, request, fails ? 503 : 200, fails ? "failed" : "booked",
			    "Response-Seal: " + self.id + "\r\n");
	};
	store platform;
	std::vector<std::unique_ptr<engine>> engines;
	std::vector<std::unique_ptr<gateway>> gateways;
	for (int i = 0; i < ENGINES; i++) {
		engines.push_back(
			std::make_unique<engine>("i-app-" + std::to_string(i), "app", run));
		platform.put("servers/" + engines.back()->id, engines.back()->entry());
	}
	platform.put("op/config", CONFIGURATION);
	for (int i = 1; i <= 2; i++) {
		gateways.push_back(std::make_unique<gateway>(
			"front-" + std::to_string(i), "127.0.46." + std::to_string(i), "zone-a"));
		gateways.back()->start(platform.port());
	}
	if (!wait_ready(gateways))
		return 2;
	sleep_ms(1000);

	std::atomic<int> next{ 0 };
	std::atomic<int> served{ 0 };
	std::atomic<int> broken{ 0 };
	/* A consumer retries an order once, and only after a promise that it hasn't run. */
	auto consume = [&] {
		for (int number = next++; number < ORDERS; number = next++) {
			for (int tries = 0; tries < 2; tries++) {
				attempt request;
				request.id = new_attempt_id();
				request.path = "/order/" + std::to_string(number);
				request.key = "key-1";
				message response =
					send(*gateways[(size_t)(number + tries) % 2], request);
				bool is_promise =
					response.status() == 503 || response.status() == 429;
				bool has_run;
				{
					std::lock_guard<std::mutex> guard(books.lock);
					has_run = books.runs.count(request.id) > 0;
				}
				served += response.status() == 200;
				broken += is_promise && has_run;
				if (response.status() != 200)
					record("request " + request.id + " (" + request.path +
					       "): answered " + std::to_string(response.status()) +
					       ", seal \"" + response.get("Response-Seal") + "\"" +
					       (has_run ? ", HAS RUN" : ", not run"));
				if (!is_promise)
					break;
			}
		}
	};
	std::vector<std::thread> consumers;
	for (int i = 0; i < CONSUMERS; i++)
		consumers.emplace_back(consume);
	for (std::thread &each : consumers)
		each.join();
	int twice = 0;
	for (const auto &pair : books.bookings)
		twice += pair.second > 1;
	record("orders: " + std::to_string(ORDERS) + "; served: " + std::to_string(served) +
	       "; requests answered 503 that have run: " + std::to_string(broken) +
	       "; orders booked twice: " + std::to_string(twice));
	if (served < ORDERS / 2)
		return 2;
	record(broken > 0 ? "REFUSED is broken" : "REFUSED holds");
	return broken > 0 ? 1 : 0;
}
