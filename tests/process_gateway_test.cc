// End-to-end tests of the wharf-gateway process between HTTP callers, a simulated metadata store and
// simulated back ends.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <dragonflywharf/rendezvous.h>

#include "support/http.h"
#include "support/platform.h"
#include "support/process.h"

using support::backend;
using support::free_port;
using support::http_answer;
using support::http_call;
using support::http_headers;
using support::process;
using support::wait_until;

namespace
{

struct Gateway : testing::Test, support::platform {
	std::unique_ptr<process> gateway;
	uint16_t caller_port = 0;
	uint16_t ready_port = 0;
	uint16_t metrics_port = 0;
	int next_attempt = 0;

	/* Retries with other ports, as another process may take a free port before the gateway binds it. */
	void start()
	{
		for (int tries = 0; tries < 5; tries++) {
			launch();
			if (wait_until([&] {
				    return readiness_status() == 200 || gateway->wait(0).ended;
			    }) &&
			    !gateway->wait(0).ended)
				return;
		}
		FAIL() << "the gateway did not get ready in 5 starts";
	}
	void launch()
	{
		caller_port = free_port();
		ready_port = free_port();
		metrics_port = free_port();
		std::string path = testing::TempDir() + "gateway-" + std::to_string(caller_port);
		auto at = [](uint16_t port) {
			return "\"127.0.0.1:" + std::to_string(port) + "\"";
		};
		std::ofstream(path) << "{\"instance\":\"g1\",\"failure_domain\":\"a\","
				    << "\"caller_address\":" << at(caller_port)
				    << ",\"readiness_address\":" << at(ready_port)
				    << ",\"metrics_address\":" << at(metrics_port)
				    << ",\"store\":" << at(store_port)
				    << ",\"keys_fail_closed\":true,\"revocation_ms\":2000,"
				    << "\"change_applied_ms\":300,\"session_timeout_s\":0.5,"
				    << "\"retry_ratio\":0.9,\"retry_slack\":160,"
				    << "\"stop_timeout_s\":8}";
		gateway = std::make_unique<process>("wharf-gateway",
						    std::vector<std::string>{ "--settings", path });
	}
	int readiness_status() const
	{
		return http_call(ready_port, "GET", "/dragonflywharf/ready").status;
	}
	http_headers headers(const std::string &key = "k1")
	{
		return { { "Attempt-Id", "a" + std::to_string(next_attempt++) },
			 { "Deadline-Ms", "3000" },
			 { "Credential", key },
			 { "Tenant", "somebody-else" } };
	}
	http_answer call(const std::string &method, const std::string &path,
			 const std::string &key = "k1")
	{
		return http_call(caller_port, method, path, method == "POST" ? "{\"x\":1}" : "",
				 headers(key));
	}
	void SetUp() override
	{
		add_backend("e1");
		add_backend("e2");
		configure();
		start();
	}
};

TEST_F(Gateway, ForwardsARequestWithItsOrganisation)
{
	http_answer answer = call("GET", "/look/7?x=1");
	EXPECT_EQ(answer.status, 200);
	EXPECT_TRUE(answer.whole);
	EXPECT_NE(answer.body.find("\"organisation\":\"workshop\""), std::string::npos);
	EXPECT_NE(answer.headers["response-seal"], "");
	EXPECT_EQ(answer.headers.count("server-load"), 0U);
}

TEST_F(Gateway, RejectedRequestsNeverRun)
{
	EXPECT_EQ(call("GET", "/look/7", "k2").status, 401);
	EXPECT_EQ(call("GET", "/elsewhere/7").status, 404);
	EXPECT_EQ(http_call(caller_port, "GET", "/look/7", "").status, 400);
	EXPECT_EQ(sum_stat("runs"), 0);
}

TEST_F(Gateway, ANonIdempotentRequestRunsOnceWhenItsAnswerIsLost)
{
	for (const auto &b : backends)
		b->inject_fault("{\"kind\":\"answer_lost\"}");
	EXPECT_EQ(call("POST", "/book/1").status, 502);
	EXPECT_EQ(sum_stat("runs"), 1);
}

TEST_F(Gateway, ARequestRejectedByOneBackEndIsRetriedOnAnother)
{
	backends[0]->inject_fault("{\"kind\":\"reject\"}");
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(call("POST", "/book/1").status, 200);
	backends[1]->inject_fault("{\"kind\":\"reject\"}");
	http_answer answer = call("POST", "/book/1");
	EXPECT_EQ(answer.status, 503);
	EXPECT_NE(answer.headers["retry-after"], "");
	EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
	EXPECT_EQ(sum_stat("runs"), 4);
}

TEST_F(Gateway, ALongAnswerIsForwardedComplete)
{
	for (const auto &b : backends)
		b->inject_fault("{\"kind\":\"long\",\"n\":3000000}");
	http_answer answer = call("GET", "/look/1");
	EXPECT_EQ(answer.status, 200);
	EXPECT_TRUE(answer.whole);
	EXPECT_GT(answer.body.size(), 3000000U);
}

TEST_F(Gateway, AnInterruptedStreamIsResumedWithoutGapOrRepeat)
{
	for (const auto &b : backends)
		b->inject_fault("{\"kind\":\"cut\",\"count\":1,\"n\":2}");
	http_headers request_headers = headers();
	request_headers["Accept"] = "text/event-stream";
	http_answer answer = http_call(caller_port, "POST", "/chat/1", "{}", request_headers);
	EXPECT_EQ(answer.status, 200);
	EXPECT_TRUE(answer.whole);
	std::string expected;
	for (int i = 1; i <= 5; i++)
		expected +=
			"id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
	EXPECT_EQ(answer.body, expected);
	EXPECT_EQ(sum_stat("runs"), 2);
}

TEST_F(Gateway, ARequestToAReusedAddressDoesNotRun)
{
	/* "e1" drains first: the gateway may apply the two changes one at a time, and back end 0 would
	 * otherwise still get requests under its own id. */
	register_backend(*backends[0], "e1", "draining");
	register_backend(*backends[0], "left-long-ago");
	ASSERT_TRUE(wait_until([&] {
		EXPECT_EQ(call("POST", "/book/1").status, 200);
		return backends[0]->read_stat("wrong") > 0;
	}));
	int64_t before = backends[0]->read_stat("runs");
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(call("POST", "/book/1").status, 200);
	EXPECT_EQ(backends[0]->read_stat("runs"), before);
	EXPECT_LE(backends[0]->read_stat("wrong"), 2)
		<< "the gateway must stop sending requests to the wrong instance";
}

TEST_F(Gateway, ADrainingBackEndGetsNoNewRequests)
{
	register_backend(*backends[0], "e1", "draining");
	/* A few requests that go to the other back end may do so by chance: the gateway itself tells when
	 * it knows. */
	ASSERT_TRUE(wait_until([&] {
		return http_call(metrics_port, "GET", "/metrics")
			       .body.find("\ndragonflywharf_engines_usable 1\n") !=
		       std::string::npos;
	}));
	int64_t before = backends[0]->read_stat("runs");
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(call("GET", "/look/1").status, 200);
	EXPECT_EQ(backends[0]->read_stat("runs"), before);
}

TEST_F(Gateway, ARevokedKeyIsRefusedAndAnAddedKeyAccepted)
{
	EXPECT_EQ(call("GET", "/look/1").status, 200);
	configure("\"k2\"");
	EXPECT_TRUE(wait_until([&] { return call("GET", "/look/1", "k2").status == 200; }, 2000));
	EXPECT_EQ(call("GET", "/look/1", "k1").status, 401);
}

TEST_F(Gateway, AnOlderConfigurationIsRefused)
{
	configure("\"k2\"");
	ASSERT_TRUE(wait_until([&] { return call("GET", "/look/1", "k2").status == 200; }));
	version -= 6;
	configure("\"k1\"");
	configure("\"k1\"");
	usleep(1500000);
	EXPECT_EQ(call("GET", "/look/1", "k2").status, 200);
}

/* While the store doesn't answer, a key may be revoked unnoticed: requests with a key must be refused
 * within revocation_ms. */
TEST_F(Gateway, KeysFailClosedWhileTheStoreIsSilent)
{
	inject_store_fault("{\"kind\":\"silent\"}");
	inject_store_fault("{\"kind\":\"outage\"}");
	EXPECT_TRUE(wait_until([&] { return readiness_status() == 503; }, 2500));
	http_answer refused = call("GET", "/look/1");
	EXPECT_EQ(refused.status, 503);
	EXPECT_NE(refused.body.find("\"not_run\":true"), std::string::npos);
	inject_store_fault("{\"kind\":\"none\"}");
	EXPECT_TRUE(wait_until([&] { return readiness_status() == 200; }));
	EXPECT_EQ(call("GET", "/look/1").status, 200);
}

/* Guards against a watch that can't go on, as the store has compacted the history it needs: all keys of
 * the store must be read again. */
TEST_F(Gateway, TheStoreIsReadAgainAfterCompaction)
{
	inject_store_fault("{\"kind\":\"outage\",\"for_ms\":600}");
	configure("\"k3\"");
	http_call(store_port, "POST", "/admin/compact", "{}");
	EXPECT_TRUE(wait_until([&] { return call("GET", "/look/1", "k3").status == 200; }));
}

TEST_F(Gateway, GracefulShutdownCompletesStreams)
{
	http_headers request_headers = headers();
	request_headers["Accept"] = "text/event-stream";
	support::http_stream stream(caller_port, "POST", "/chat/1", "{}", request_headers);
	EXPECT_EQ(stream.status(), 200);
	gateway->signal(SIGTERM);
	EXPECT_TRUE(wait_until([&] { return readiness_status() != 200; }, 1000));
	EXPECT_EQ(call("GET", "/look/1").status, 200)
		<< "requests are accepted until the load balancer has noticed the readiness change";
	EXPECT_TRUE(stream.finish().whole);
	EXPECT_EQ(gateway->wait(8000).exit_code, 0);
}

TEST_F(Gateway, TheBackEndStopsWhenTheCallerDisconnects)
{
	for (const auto &b : backends)
		b->inject_fault("{\"kind\":\"late\",\"n\":400}");
	http_headers request_headers = headers();
	request_headers["Accept"] = "text/event-stream";
	{
		support::http_stream stream(caller_port, "POST", "/chat/1", "{}", request_headers);
		EXPECT_EQ(stream.status(), 200);
	}
	EXPECT_TRUE(wait_until([&] { return sum_stat("left") == 1; }, 1000));
}

struct SlowStreams : Gateway {
	SlowStreams()
	{
		event_ms = "--event-ms=300";
	}
};

/* Guards against a session that loses its version during a rollout because its stream takes longer than
 * session_timeout_s: the timeout must count from the end of the stream. */
TEST_F(SlowStreams, ASessionStaysOnItsVersion)
{
	/* The hash of this session is in the first tenth of the range, which moves to the new version
	 * first. */
	std::string session;
	for (int i = 0; session.empty(); i++) {
		std::string name = "s" + std::to_string(i);
		if (dw_rendezvous_key(name.data(), name.size()) % 1000 < 100)
			session = name;
	}
	http_headers request_headers = headers();
	request_headers["Accept"] = "text/event-stream";
	request_headers["Session"] = session;
	support::http_stream stream(caller_port, "POST", "/chat/1", "{}", request_headers);
	EXPECT_EQ(stream.status(), 200);
	put("op/rollout/app", "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":10}");
	register_backend(*backends[0], "e1", "ready",
			 stream.header("response-seal") == "e1" ? "v1" : "v2");
	register_backend(*backends[1], "e2", "ready",
			 stream.header("response-seal") == "e2" ? "v1" : "v2");
	EXPECT_TRUE(stream.finish().whole);
	request_headers["Attempt-Id"] = "again";
	http_answer next_answer = http_call(caller_port, "POST", "/chat/1", "{}", request_headers);
	EXPECT_EQ(next_answer.headers["response-seal"], stream.header("response-seal"));
}

/* Guards against the memory of a gateway that fills with long answers whose callers read slowly: the
 * back end is read no faster than the caller. */
TEST_F(Gateway, SlowReadersOfLongAnswersHoldLittleMemory)
{
	constexpr size_t ANSWER_BYTES = 30000000;
	constexpr int READERS = 8;
	/* Each may hold 1 MiB for a retry, and a queue as long; the rest is the process itself. */
	constexpr int64_t MEMORY_MB = 16 + READERS * 3;
	for (const auto &b : backends)
		b->inject_fault("{\"kind\":\"long\",\"n\":" + std::to_string(ANSWER_BYTES) + "}");
	std::vector<int> readers;
	for (int i = 0; i < READERS; i++) {
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(caller_port);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(fd, (sockaddr *)&address, sizeof(address)), 0);
		std::string request =
			"GET /look/slow-" + std::to_string(i) +
			" HTTP/1.1\r\nHost: 127.0.0.1\r\nCredential: k1\r\n"
			"Connection: close\r\nDeadline-Ms: 3000\r\nAttempt-Id: slow-" +
			std::to_string(i) + "\r\n\r\n";
		ASSERT_EQ(write(fd, request.data(), request.size()), (ssize_t)request.size());
		readers.push_back(fd);
	}
	usleep(1200000);
	std::ifstream file("/proc/" + std::to_string(gateway->pid()) + "/statm");
	int64_t pages = 0;
	int64_t resident = 0;
	file >> pages >> resident;
	EXPECT_LT(resident * 4096 >> 20, MEMORY_MB);
	EXPECT_EQ(call("GET", "/elsewhere/1").status, 404) << "others are answered meanwhile";
	for (int fd : readers) {
		std::vector<char> buffer(1 << 16);
		size_t received = 0;
		ssize_t len;
		while ((len = read(fd, buffer.data(), buffer.size())) > 0)
			received += (size_t)len;
		EXPECT_GT(received, ANSWER_BYTES);
		close(fd);
	}
}

/* Guards against a good version that is rolled back, as the write of the counts that prove it failed and
 * wasn't repeated: the store refuses writes at the time at which they are told. */
TEST_F(Gateway, CountsOfARolloutAreWrittenAgainWhenTheirWriteFails)
{
	constexpr int DURATION_MS = 6000;
	register_backend(*backends[1], "e2", "ready", "v2");
	put("op/rollout/app", "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":" +
				      std::to_string(DURATION_MS / 1000) + "}");
	auto started = std::chrono::steady_clock::now();
	auto elapsed_ms = [&] {
		return std::chrono::duration_cast<std::chrono::milliseconds>(
			       std::chrono::steady_clock::now() - started)
			.count();
	};
	bool is_refusing = false;
	while (elapsed_ms() < DURATION_MS * 72 / 100) {
		call("GET", "/look/" + std::to_string(next_attempt));
		if (!is_refusing && elapsed_ms() > DURATION_MS * 58 / 100) {
			is_refusing = true;
			inject_store_fault("{\"kind\":\"outage\",\"path\":\"/dragonflywharf/"
					   "kv-txn\"}");
		}
	}
	ASSERT_EQ(read_range("wharf/evidence/").find("wharf/evidence/"), std::string::npos);
	inject_store_fault("{\"kind\":\"none\"}");
	EXPECT_TRUE(wait_until(
		[&] {
			return read_range("wharf/evidence/").find("wharf/evidence/app/g1") !=
			       std::string::npos;
		},
		1500));
}

TEST_F(Gateway, MetricsAndLogsRecordARequest)
{
	call("GET", "/look/1");
	std::string metrics = http_call(metrics_port, "GET", "/metrics").body;
	EXPECT_NE(metrics.find("dragonflywharf_requests_total 1"), std::string::npos);
	EXPECT_NE(gateway->wait_line("{\"ts_us\"", 100), "");
	/* The gateway has written the line before its answer; the thread that collects the lines may be late. */
	EXPECT_TRUE(wait_until([&] {
		bool found = false;
		for (const std::string &line : gateway->lines())
			found |= line.find("\"request.done\"") != std::string::npos &&
				 line.find("\"request\":\"a0\"") != std::string::npos;
		return found;
	}));
}

} // namespace
