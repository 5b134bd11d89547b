// Servers in trouble whose answers never end, between a real wharf-gateway and its callers: memory stays
// bounded, the caller is answered in time, and the connection is closed.
#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>

#include "support/endless_server.h"
#include "support/http.h"
#include "support/platform.h"

using support::endless_server;
using support::free_port;
using support::http_answer;
using support::http_call;
using support::process;
using support::wait_until;

namespace
{

constexpr int TIMEOUT_MS = 3000; /* of the routes of support::platform */
/* Bodies come at 4 MB/s: at full speed the test's own client was a second late with 1.6 GB. */
constexpr int BODY_PAUSE_MS = 1;
constexpr int64_t MEMORY_MB = 48; /* the smallest machines have 160 */

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

/* Whether a caller takes the answer for a complete success. */
bool is_success(const http_answer &answer)
{
	return answer.status == 200 && answer.whole;
}

struct Endless : testing::Test, support::platform {
	std::unique_ptr<endless_server> server;
	std::unique_ptr<process> gateway;
	uint16_t caller_port = 0;
	uint16_t ready_port = 0;
	int next_attempt = 0;

	void start(const std::string &answer_start, const std::string &repeated, int pause_ms = 0)
	{
		server = std::make_unique<endless_server>(answer_start, repeated, pause_ms);
		support::backend registered;
		registered.port = server->port();
		register_backend(registered, "e1");
		configure();
		for (int tries = 0; tries < 5 && !launch(); tries++)
			;
		ASSERT_TRUE(wait_until([&] { return ready_status() == 200; }));
	}
	/* False if another process took one of the free ports before the gateway. */
	bool launch()
	{
		caller_port = free_port();
		ready_port = free_port();
		std::string path = testing::TempDir() + "endless-" + std::to_string(caller_port);
		auto at = [](uint16_t port) {
			return "\"127.0.0.1:" + std::to_string(port) + "\"";
		};
		std::ofstream(path)
			<< "{\"instance\":\"g1\",\"failure_domain\":\"a\",\"caller_address\":"
			<< at(caller_port) << ",\"readiness_address\":" << at(ready_port)
			<< ",\"store\":" << at(store_port)
			<< ",\"retry_ratio\":0.9,\"retry_slack\":160,\"stop_timeout_s\":8}";
		gateway = std::make_unique<process>("wharf-gateway",
						    std::vector<std::string>{ "--settings", path });
		wait_until([&] { return ready_status() != 0 || gateway->wait(0).ended; });
		return !gateway->wait(0).ended;
	}
	int ready_status() const
	{
		return http_call(ready_port, "GET", "/dragonflywharf/ready").status;
	}
	int64_t memory_mb() const
	{
		std::ifstream file("/proc/" + std::to_string(gateway->pid()) + "/statm");
		int64_t size = 0;
		int64_t resident = 0;
		file >> size >> resident;
		return resident * 4096 >> 20;
	}
	/* Calls, and checks that the answer came in time, that memory is bounded and that the server's
	 * connections are closed soon after. */
	http_answer call(const std::string &method, const std::string &path)
	{
		int64_t began_ms = now_ms();
		http_answer answer =
			http_call(caller_port, method, path, method == "POST" ? "{}" : "",
				  { { "Attempt-Id", "a" + std::to_string(next_attempt++) },
				    { "Deadline-Ms", "6000" },
				    { "Credential", "k1" } });
		EXPECT_LT(now_ms() - began_ms, TIMEOUT_MS + 500);
		EXPECT_GT(server->requests(), 0);
		EXPECT_LT(memory_mb(), MEMORY_MB);
		EXPECT_TRUE(wait_until([&] { return server->open() == 0; }, 2000));
		EXPECT_EQ(http_call(ready_port, "GET", "/dragonflywharf/ready").status, 200);
		return answer;
	}
	/* A request that may run once is answered long before its time limit. */
	void expect_soon(const std::string &answer_start, const std::string &repeated, int status)
	{
		start(answer_start, repeated);
		int64_t began_ms = now_ms();
		EXPECT_EQ(call("POST", "/book/1").status, status);
		EXPECT_LT(now_ms() - began_ms, TIMEOUT_MS / 2);
	}
};

const char *const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: s\r\n";

TEST_F(Endless, BytesThatAreNoAnswer)
{
	start("", "\x01\x02garbage without end");
	EXPECT_EQ(call("GET", "/look/1").status, 502);
	EXPECT_EQ(call("POST", "/book/1").status, 502);
	EXPECT_EQ(call("POST", "/chat/1").status, 502);
}

TEST_F(Endless, AHeadWithoutEnd)
{
	start("HTTP/1.1 200 OK\r\nAttempt-Id: @\r\n", "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
	EXPECT_EQ(call("GET", "/look/1").status, 502);
	EXPECT_EQ(call("POST", "/book/1").status, 502);
}

TEST_F(Endless, AHeaderFieldWithoutEnd)
{
	start("HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nX-More: ", std::string(1000, 'a'));
	EXPECT_EQ(call("GET", "/look/1").status, 502);
}

/* A head that grows by a byte now and then doesn't keep its caller. */
TEST_F(Endless, AHeadThatTrickles)
{
	start("HTTP/1.1 200 OK\r\nX-More: ", "a", 200);
	int status = call("GET", "/look/1").status;
	EXPECT_TRUE(status == 502 || status == 504) << status;
}

TEST_F(Endless, ABodyWithoutLength)
{
	start(std::string(HEAD) + "Content-Type: application/json\r\n\r\n", std::string(4096, 'x'),
	      BODY_PAUSE_MS);
	EXPECT_FALSE(is_success(call("GET", "/look/1")));
	EXPECT_FALSE(is_success(call("POST", "/book/1")));
}

TEST_F(Endless, ABodyOfChunks)
{
	start(std::string(HEAD) + "Transfer-Encoding: chunked\r\n\r\n",
	      "1000\r\n" + std::string(4096, 'x') + "\r\n", BODY_PAUSE_MS);
	EXPECT_FALSE(is_success(call("GET", "/look/1")));
}

/* Guards against callers that wait until their time limit for the end of a body that nobody gets: of a refusal, with
 * and without its proof, and of an answer to another request; and for the end of interim answers. */
TEST_F(Endless, ABodyOfARefusal)
{
	expect_soon("HTTP/1.1 503 Full\r\nAttempt-Id: @\r\nNot-Executed: 1\r\n\r\n",
		    std::string(4096, 'x'), 503);
}

TEST_F(Endless, ABodyOfARefusalWithoutItsProof)
{
	expect_soon("HTTP/1.1 503 Full\r\nAttempt-Id: @\r\nResponse-Seal: s\r\n\r\n",
		    std::string(4096, 'x'), 502);
}

TEST_F(Endless, ABodyOfAnotherRequestsAnswer)
{
	expect_soon("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n\r\n",
		    std::string(4096, 'x'), 502);
}

TEST_F(Endless, InterimAnswers)
{
	expect_soon("", "HTTP/1.1 100 Continue\r\n\r\n", 502);
}

TEST_F(Endless, AChunkHeaderWithoutEnd)
{
	start(std::string(HEAD) + "Transfer-Encoding: chunked\r\n\r\n", "0");
	EXPECT_FALSE(is_success(call("GET", "/look/1")));
}

TEST_F(Endless, AStreamWhoseEventDoesNotEnd)
{
	start(std::string(HEAD) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
	      std::string(4096, 'x'));
	EXPECT_FALSE(is_success(call("POST", "/chat/1")));
}

/* Events without end are a long stream, which ends at its route's time limit. */
TEST_F(Endless, AStreamOfRepeatedEvents)
{
	start(std::string(HEAD) + "Content-Type: text/event-stream\r\n\r\n",
	      "id: 1\ndata: again\n\n");
	EXPECT_FALSE(is_success(call("POST", "/chat/1")));
}

} // namespace
