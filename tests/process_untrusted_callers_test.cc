// Callers that nobody controls at a real wharf-gateway whose limits are lowered. They guard against a process that
// ends, or stops serving, because bodies, heads, unread answers or connections take its memory or descriptors.
#include <gtest/gtest.h>

#include <dirent.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "support/caller_crowd.h"
#include "support/endless_server.h"
#include "support/kept_connection.h"
#include "support/http.h"
#include "support/platform.h"

using support::caller_crowd;
using support::endless_server;
using support::free_port;
using support::http_answer;
using support::http_call;
using support::process;
using support::wait_until;

namespace
{

constexpr int MAX_BODY_BYTES = 1 << 20;
constexpr int BODIES = 96; /* callers with a body, or with an answer that they don't read */
constexpr int CONNECTIONS = 300; /* callers without a body */
/* More than the kernel holds for a connection (4 MB, tcp_wmem). */
constexpr size_t ANSWER_BYTES = 8000000;
/* Bounds of the process, whose own limits for callers are 12 MB and 120 connections here. */
constexpr int64_t MEMORY_MB = 48;
constexpr int DESCRIPTORS = 280; /* a caller may have a connection to an engine as well */
constexpr int SAMPLE_MS = 5;

std::shared_ptr<const std::string> share(std::string text)
{
	return std::make_shared<const std::string>(std::move(text));
}

std::string head(const std::string &method, const std::string &path, const std::string &more)
{
	return method + " " + path +
	       " HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: untrusted\r\nCredential: k1\r\n"
	       "Deadline-Ms: 60000\r\n" +
	       more;
}

std::string head_of_chunks()
{
	return head("POST", "/book/1", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string head_of_length(size_t length, const std::string &more = "")
{
	return head("POST", "/book/1",
		    "Content-Length: " + std::to_string(length) + "\r\n" + more + "\r\n");
}

/* Chunks of @p size bytes that have @p total bytes together, without the last chunk. */
std::string chunks(size_t size, size_t total)
{
	char length[32];
	std::string out;
	snprintf(length, sizeof(length), "%zx\r\n", size);
	std::string chunk = length + std::string(size, 'x') + "\r\n";
	for (size_t sent = 0; sent + size <= total; sent += size)
		out += chunk;
	return out;
}

struct UntrustedCallers : testing::Test, support::platform {
	std::unique_ptr<endless_server> server;
	std::unique_ptr<process> gateway;
	std::unique_ptr<caller_crowd> crowd;
	uint16_t caller_port = 0;
	uint16_t ready_port = 0;
	std::atomic<int> most_descriptors{ 0 };
	std::atomic<bool> is_done{ false };
	std::thread sampler;

	void SetUp() override
	{
		max_body_bytes = MAX_BODY_BYTES;
	}
	void TearDown() override
	{
		is_done = true;
		if (sampler.joinable())
			sampler.join();
	}
	/* Without @p answers_are_long, a back end of the platform answers. */
	void start(bool answers_are_long = false)
	{
		if (answers_are_long) {
			support::backend registered;
			server = std::make_unique<endless_server>(
				"HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: s\r\n"
				"Content-Length: " +
					std::to_string(ANSWER_BYTES) + "\r\n\r\n",
				std::string(ANSWER_BYTES / 80, 'x'));
			registered.port = server->port();
			register_backend(registered, "e1");
		} else {
			add_backend("e1");
		}
		configure();
		for (int tries = 0; tries < 5 && !launch(); tries++)
			;
		ASSERT_TRUE(wait_until([&] { return ready_status() == 200; }));
		crowd = std::make_unique<caller_crowd>(caller_port);
		sampler = std::thread([this] {
			while (!is_done) {
				most_descriptors = std::max(+most_descriptors, descriptors());
				std::this_thread::sleep_for(std::chrono::milliseconds(SAMPLE_MS));
			}
		});
	}
	/* False if another process took one of the free ports before the gateway. */
	bool launch()
	{
		caller_port = free_port();
		ready_port = free_port();
		std::string path = testing::TempDir() + "untrusted-" + std::to_string(caller_port);
		auto at = [](uint16_t port) {
			return "\"127.0.0.1:" + std::to_string(port) + "\"";
		};
		std::ofstream(path)
			<< "{\"instance\":\"g1\",\"failure_domain\":\"a\",\"caller_address\":"
			<< at(caller_port) << ",\"readiness_address\":" << at(ready_port)
			<< ",\"store\":" << at(store_port)
			<< ",\"caller_memory_mb\":12,\"caller_connections\":120"
			<< ",\"stop_timeout_s\":8}";
		gateway = std::make_unique<process>("wharf-gateway",
						    std::vector<std::string>{ "--settings", path });
		wait_until([&] { return ready_status() != 0 || gateway->wait(0).ended; });
		return !gateway->wait(0).ended;
	}
	int ready_status() const
	{
		return http_call(ready_port, "GET", "/dragonflywharf/ready").status;
	}
	/* The most memory that the process has held so far. */
	int64_t peak_memory_mb() const
	{
		std::ifstream file("/proc/" + std::to_string(gateway->pid()) + "/status");
		std::string word;
		int64_t kb = -1;
		while (file >> word && word != "VmHWM:")
			;
		file >> kb;
		return kb / 1024;
	}
	int descriptors() const
	{
		std::string path = "/proc/" + std::to_string(gateway->pid()) + "/fd";
		DIR *folder = opendir(path.c_str());
		int count = 0;
		if (!folder)
			return 0;
		while (readdir(folder))
			count++;
		closedir(folder);
		return count - 2; /* "." and ".." */
	}
	http_answer call_ordinarily() const
	{
		return http_call(caller_port, "GET", "/look/1", "",
				 { { "Attempt-Id", "ordinary" },
				   { "Deadline-Ms", "3000" },
				   { "Credential", "k1" } });
	}
	/* Checks the process while the callers' connections are still open. */
	void check()
	{
		bool answered = wait_until([&] {
			http_answer answer = call_ordinarily();
			return answer.status == 200 && answer.whole;
		});
		int64_t memory_mb = peak_memory_mb();
		is_done = true;
		sampler.join();
		most_descriptors = std::max(+most_descriptors, descriptors());
		std::cout << "memory " << memory_mb << " MB, descriptors " << most_descriptors
			  << "\n";
		EXPECT_FALSE(gateway->wait(0).ended);
		EXPECT_TRUE(answered);
		EXPECT_GT(memory_mb, 0);
		EXPECT_LT(memory_mb, MEMORY_MB);
		EXPECT_LT(most_descriptors, DESCRIPTORS);
		EXPECT_EQ(ready_status(), 200);
	}
	void add_all(const std::string &text, int count)
	{
		auto shared = share(text);
		for (int i = 0; i < count; i++)
			crowd->add(shared);
	}
	/* Callers that ask for a long answer and read none of it. */
	void add_slow_readers(int count)
	{
		auto request = share(head("GET", "/look/1", "\r\n"));
		for (int i = 0; i < count; i++) {
			size_t index = crowd->add(request, 4096);
			crowd->send_all();
			crowd->wait_readable(index, 3000);
		}
	}
};

TEST_F(UntrustedCallers, LargeChunks)
{
	start();
	add_all(head_of_chunks() + chunks(65536, 983040), BODIES);
	crowd->send_all();
	check();
}

TEST_F(UntrustedCallers, TinyChunks)
{
	start();
	add_all(head_of_chunks() + chunks(4, 900000), BODIES);
	crowd->send_all();
	check();
}

TEST_F(UntrustedCallers, BodiesJustShortOfTheirEnd)
{
	start();
	add_all(head_of_length(MAX_BODY_BYTES) + std::string(MAX_BODY_BYTES - 1, 'x'), BODIES / 2);
	add_all(head_of_chunks() + chunks(4096, MAX_BODY_BYTES), BODIES / 2);
	crowd->send_all();
	check();
}

TEST_F(UntrustedCallers, BodiesFarOverTheLimitAnnounced)
{
	std::string body(4 * MAX_BODY_BYTES, 'x');
	start();
	add_all(head_of_length(64 * MAX_BODY_BYTES) + body, BODIES / 2);
	add_all(head_of_length(64 * MAX_BODY_BYTES, "Expect: 100-continue\r\n") + body, BODIES / 2);
	crowd->send_all();
	check();
}

/* All of them come near the limit before the first one passes it. */
TEST_F(UntrustedCallers, BodiesFarOverTheLimitSent)
{
	start();
	add_all(head_of_chunks() + chunks(4096, MAX_BODY_BYTES - 4096), BODIES);
	crowd->send_all();
	auto rest = share(chunks(4096, 4 * MAX_BODY_BYTES));
	for (size_t i = 0; i < crowd->size(); i++)
		crowd->send_more(i, rest);
	crowd->send_all();
	check();
}

TEST_F(UntrustedCallers, SlowHeads)
{
	start();
	add_all(head("GET", "/look/1", "X-More: " + std::string(7000, 'a')), CONNECTIONS);
	crowd->send_all();
	check();
}

TEST_F(UntrustedCallers, SlowReaders)
{
	start(true);
	add_slow_readers(BODIES);
	check();
}

TEST_F(UntrustedCallers, IdleConnections)
{
	start();
	add_all("", CONNECTIONS);
	check();
}

/* Ordinary callers keep calling meanwhile; what they get isn't counted until the end. */
TEST_F(UntrustedCallers, AMixBesideOrdinaryCallers)
{
	start();
	std::atomic<bool> stops{ false };
	std::thread ordinary([&] {
		while (!stops)
			call_ordinarily();
	});
	add_all("", CONNECTIONS / 3);
	add_all(head("GET", "/look/1", "X-More: " + std::string(7000, 'a')), CONNECTIONS / 3);
	add_all(head_of_chunks() + chunks(65536, 983040), BODIES / 2);
	add_all(head_of_chunks() + chunks(4, 900000), BODIES / 4);
	add_all(head_of_length(MAX_BODY_BYTES) + std::string(MAX_BODY_BYTES - 1, 'x'), BODIES / 4);
	add_all(head_of_length(64 * MAX_BODY_BYTES) + std::string(65536, 'x'), BODIES / 4);
	crowd->send_all();
	add_slow_readers(BODIES / 4);
	stops = true;
	ordinary.join();
	check();
}

/* Guards against memory that each name of a model takes that a caller makes up, for ever. */
TEST_F(UntrustedCallers, NamesOfModelsMadeUp)
{
	constexpr int REQUESTS = 6000;
	constexpr size_t NAME_BYTES = 7000;
	constexpr int64_t GROWTH_MB = 12;

	start();
	version += 3;
	put("op/config",
	    "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + route("look", "safe", 2) +
		    "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"Engine\":{"
		    "\"Slots\":64,\"KvCapacity\":100000,\"Stride\":3}}],\"Tenants\":[{\"Name\":"
		    "\"workshop\",\"ApiKeys\":[\"k1\"]}]}");
	ASSERT_TRUE(wait_until([&] { return call_ordinarily().status == 200; }));
	int64_t before_mb = peak_memory_mb();
	support::kept_connection caller(caller_port);
	for (int i = 0; i < REQUESTS; i++) {
		ASSERT_TRUE(caller.send(
			"GET", "/look/1", "",
			{ { "Attempt-Id", "m" + std::to_string(i) },
			  { "Deadline-Ms", "3000" },
			  { "Credential", "k1" },
			  { "Token-Usage", "100,10" },
			  { "Model", std::to_string(i) + std::string(NAME_BYTES, 'x') } }));
		ASSERT_EQ(caller.read().status, 200) << i;
	}
	EXPECT_LT(peak_memory_mb() - before_mb, GROWTH_MB);
	check();
}

} // namespace
