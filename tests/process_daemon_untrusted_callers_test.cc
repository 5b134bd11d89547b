// Callers that nobody controls at a real dragonflywharfd whose limits are lowered. They guard against a process that
// ends, or stops serving, because bodies, heads or connections take its memory or descriptors.
#include <gtest/gtest.h>

#include <dirent.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>

#include "support/caller_crowd.h"
#include "support/cluster.h"

using support::caller_crowd;
using support::cluster;
using support::http_call;

namespace
{

constexpr int MAX_BODY_BYTES = 1 << 20;
constexpr int BODIES = 96;
constexpr int CONNECTIONS = 300;
/* Bounds of the process, whose own limits for callers are 12 MB and 120 connections here. */
constexpr int64_t MEMORY_MB = 64;
constexpr int DESCRIPTORS = 280;

std::string head(const std::string &more)
{
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer mill\r\n" +
	       more;
}

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

struct DaemonUntrustedCallers : testing::Test {
	cluster c;
	support::daemon *daemon = nullptr;
	std::unique_ptr<caller_crowd> crowd;

	void SetUp() override
	{
		daemon = &c.add_daemon("entry-1", { .failure_domain = "haarlem",
						    .settings = "\"max_body_bytes\":1048576,"
								"\"caller_memory_mb\":12,"
								"\"caller_connections\":120" });
		c.apply({ "{\"failure_domain\":{\"name\":\"haarlem\"}}",
			  cluster::organisation_entity("mill", {}) });
		cluster::wait_until("the daemon is healthy", [&] { return is_healthy(); });
		crowd = std::make_unique<caller_crowd>(daemon->caller_port);
	}
	bool is_healthy() const
	{
		return http_call(daemon->caller_port, "GET", "/healthz").status == 200;
	}
	int64_t peak_memory_mb() const
	{
		std::ifstream file("/proc/" + std::to_string(daemon->running->pid()) + "/status");
		std::string word;
		int64_t kb = -1;
		while (file >> word && word != "VmHWM:")
			;
		file >> kb;
		return kb / 1024;
	}
	int descriptors() const
	{
		std::string path = "/proc/" + std::to_string(daemon->running->pid()) + "/fd";
		DIR *folder = opendir(path.c_str());
		int count = 0;
		if (!folder)
			return 0;
		while (readdir(folder))
			count++;
		closedir(folder);
		return count - 2; /* "." and ".." */
	}
	/* Opens the connections, sends what they have, and checks the process while they are open. */
	void check(const std::string &text, int count)
	{
		auto shared = std::make_shared<const std::string>(text);
		for (int i = 0; i < count; i++)
			crowd->add(shared);
		crowd->send_all();
		bool answered = support::wait_until([&] { return is_healthy(); });
		int open = descriptors();
		std::cout << "memory " << peak_memory_mb() << " MB, descriptors " << open << "\n";
		EXPECT_FALSE(daemon->running->wait(0).ended);
		EXPECT_TRUE(answered);
		EXPECT_GT(peak_memory_mb(), 0);
		EXPECT_LT(peak_memory_mb(), MEMORY_MB);
		EXPECT_LT(open, DESCRIPTORS);
	}
};

TEST_F(DaemonUntrustedCallers, LargeChunks)
{
	check(head("Transfer-Encoding: chunked\r\n\r\n") + chunks(65536, 983040), BODIES);
}

TEST_F(DaemonUntrustedCallers, TinyChunks)
{
	check(head("Transfer-Encoding: chunked\r\n\r\n") + chunks(4, 900000), BODIES);
}

TEST_F(DaemonUntrustedCallers, BodiesJustShortOfTheirEnd)
{
	check(head("Content-Length: " + std::to_string(MAX_BODY_BYTES) + "\r\n\r\n") +
		      std::string(MAX_BODY_BYTES - 1, 'x'),
	      BODIES);
}

TEST_F(DaemonUntrustedCallers, BodiesFarOverTheLimitSent)
{
	check(head("Transfer-Encoding: chunked\r\n\r\n") + chunks(4096, 4 * MAX_BODY_BYTES),
	      BODIES);
}

TEST_F(DaemonUntrustedCallers, SlowHeads)
{
	check(head("X-More: " + std::string(7000, 'a')), CONNECTIONS);
}

TEST_F(DaemonUntrustedCallers, IdleConnections)
{
	check("", CONNECTIONS);
}

} // namespace
