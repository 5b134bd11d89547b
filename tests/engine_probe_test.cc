// A connection to an engine without a request, which tells whether a process still accepts connections at its address.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

#include "wharf-gateway/engine_probe.h"

namespace
{

struct EngineProbe : testing::Test {
	uv_loop_t loop;
	dw_engine engine{};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int results = 0;
	engine_probe_result result = ENGINE_PROBE_RESULT_COUNT;

	void SetUp() override
	{
		sockaddr_in address{};
		socklen_t len = sizeof(address);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(bind(listener, (const sockaddr *)&address, len), 0);
		ASSERT_EQ(listen(listener, 8), 0);
		getsockname(listener, (sockaddr *)&address, &len);
		snprintf(engine.entry.id, sizeof(engine.entry.id), "e1");
		snprintf(engine.entry.ip, sizeof(engine.entry.ip), "127.0.0.1");
		engine.entry.port = ntohs(address.sin_port);
		uv_loop_init(&loop);
	}
	void TearDown() override
	{
		if (listener >= 0)
			close(listener);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}
	void start()
	{
		engine_probe_start(&loop, &engine, 20, on_done, this);
	}
	void end_listener()
	{
		close(listener);
		listener = -1;
	}
	static void on_done(void *owner, const char *, engine_probe_result result, uint64_t)
	{
		auto *test = (EngineProbe *)owner;
		test->results++;
		test->result = result;
	}
};

TEST_F(EngineProbe, AConnectionThatStaysOpenIsOneOfARunningEngine)
{
	start();
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(result, ENGINE_PROBE_CONNECTED);
}

TEST_F(EngineProbe, ARefusedConnectionIsOneOfAnEndedEngine)
{
	end_listener();
	start();
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(result, ENGINE_PROBE_REFUSED);
}

/* Guards against the end of an engine that isn't noticed: it ends after the connection is made, but before the
 * instance looks at it, so making it fails with a reset. */
TEST_F(EngineProbe, AConnectionThatIsResetAtOnceIsFollowedByAnother)
{
	start();
	end_listener();
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(results, 1);
	EXPECT_EQ(result, ENGINE_PROBE_REFUSED);
}

} // namespace
