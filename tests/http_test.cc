// Tests the HTTP client and server against each other, and the server against a raw socket where the
// exact bytes matter.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace
{

struct HttpClientServer : public ::testing::Test {
	uv_loop_t loop;
	struct dw_http_server *server = nullptr;
	struct dw_http_client *client = nullptr;
	std::function<void(struct dw_http_exchange *)> handle;

	void SetUp() override
	{
		struct dw_http_options options = {};

		uv_loop_init(&loop);
		options.ip = "127.0.0.1";
		options.max_body_bytes = 1000;
		options.handler = [](struct dw_http_exchange *exchange, void *data) {
			static_cast<HttpClientServer *>(data)->handle(exchange);
		};
		options.data = this;
		ASSERT_EQ(dw_http_server_start(&server, &loop, &options), DW_OK);
		client = dw_http_client_new(&loop);
	}

	struct Response {
		struct dw_http_result end = {};
		std::string body;
		bool done = false;
	};

	void run_until(const bool &flag)
	{
		uint64_t deadline_us = dw_clock_now_us() + 10 * DW_US_PER_S;

		while (!flag && dw_clock_now_us() < deadline_us)
			uv_run(&loop, UV_RUN_ONCE);
		ASSERT_TRUE(flag) << "not done within 10 s";
	}

	struct dw_http_call_options call_options(Response *response, uint16_t port)
	{
		struct dw_http_call_options options = {};

		options.ip = "127.0.0.1";
		options.port = port;
		options.method = "POST";
		options.path = "/x?y=1";
		options.body = "hello";
		options.body_len = 5;
		options.on_body = [](struct dw_http_call *, const char *bytes, size_t len,
				     void *data) {
			static_cast<Response *>(data)->body.append(bytes, len);
		};
		options.on_done = [](struct dw_http_call *, const struct dw_http_result *result,
				     void *data) {
			static_cast<Response *>(data)->end = *result;
			static_cast<Response *>(data)->done = true;
		};
		options.data = response;
		return options;
	}

	// Sends raw bytes, then reads until the server closes the connection, or closes it immediately.
	std::string send_raw(const std::string &bytes, bool close_immediately)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct sockaddr_in address = {};
		std::string out;
		char buf[4096];
		ssize_t n;

		address.sin_family = AF_INET;
		address.sin_port = htons(dw_http_server_port(server));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
			return "cannot connect";
		if (write(fd, bytes.data(), bytes.size()) != (ssize_t)bytes.size())
			return "cannot write";
		while (!close_immediately && (n = read(fd, buf, sizeof(buf))) > 0)
			out.append(buf, n);
		close(fd);
		return out;
	}
};

TEST_F(HttpClientServer, HandlerReceivesRequestAndClientReceivesResponse)
{
	Response response;

	handle = [](struct dw_http_exchange *exchange) {
		size_t len;
		const char *body = dw_http_body(exchange, &len);
		std::string out = std::string(dw_http_method(exchange)) + dw_http_path(exchange) +
				  dw_http_query(exchange) + std::string(body, len);

		dw_http_respond(exchange, 200, "text/plain", out.data(), out.size());
	};
	struct dw_http_call_options options = call_options(&response, dw_http_server_port(server));
	dw_http_call(client, &options);
	run_until(response.done);
	EXPECT_EQ(response.end.status, DW_OK);
	EXPECT_EQ(response.end.http_status, 200);
	EXPECT_EQ(response.body, "POST/xy=1hello");
	EXPECT_EQ(dw_http_server_active(server), 0u);
}

TEST_F(HttpClientServer, IncompleteStreamIsSentWithoutFinalChunk)
{
	for (bool complete : { true, false }) {
		std::string out;
		bool done = false;

		handle = [complete](struct dw_http_exchange *exchange) {
			dw_http_stream_start(exchange, 200, "text/event-stream");
			dw_http_stream_write(exchange, "part", 4);
			dw_http_stream_end(exchange, complete);
		};
		uv_async_t reader_done;
		reader_done.data = &done;
		uv_async_init(&loop, &reader_done,
			      [](uv_async_t *async) { *static_cast<bool *>(async->data) = true; });
		std::thread reader([&] {
			out = send_raw("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
				       false);
			uv_async_send(&reader_done);
		});
		run_until(done);
		reader.join();
		EXPECT_NE(out.find("part"), std::string::npos);
		EXPECT_EQ(out.find("\r\n0\r\n\r\n") != std::string::npos, complete) << out;
		uv_close((uv_handle_t *)&reader_done, nullptr);
		uv_run(&loop, UV_RUN_NOWAIT);
	}
}

TEST_F(HttpClientServer, DetectsClientDisconnectBeforeResponse)
{
	bool disconnected = false;

	handle = [&disconnected](struct dw_http_exchange *exchange) {
		dw_http_on_disconnect(
			exchange,
			[](struct dw_http_exchange *, void *data) {
				*static_cast<bool *>(data) = true;
			},
			&disconnected);
	};
	std::thread disconnecting_client(
		[&] { send_raw("GET / HTTP/1.1\r\nhost: x\r\n\r\n", true); });
	run_until(disconnected);
	disconnecting_client.join();
	for (int i = 0; i < 20 && dw_http_server_active(server) > 0; i++)
		uv_run(&loop, UV_RUN_ONCE);
	EXPECT_EQ(dw_http_server_active(server), 0u);
}

TEST_F(HttpClientServer, OversizedBodyGets413WithoutCallingHandler)
{
	Response response;
	std::string body(2000, 'x');
	bool handled = false;

	handle = [&handled](struct dw_http_exchange *exchange) {
		handled = true;
		dw_http_respond(exchange, 200, "text/plain", "", 0);
	};
	struct dw_http_call_options options = call_options(&response, dw_http_server_port(server));
	options.body = body.data();
	options.body_len = body.size();
	dw_http_call(client, &options);
	run_until(response.done);
	EXPECT_EQ(response.end.http_status, 413);
	EXPECT_NE(response.body.find("\"type\":\"too_large\""), std::string::npos) << response.body;
	EXPECT_NE(response.body.find("\"not_run\":true"), std::string::npos);
	EXPECT_FALSE(handled);
}

TEST_F(HttpClientServer, RefusedConnectionReportsNotSent)
{
	Response response;
	struct dw_http_call_options options = call_options(&response, 1);

	dw_http_call(client, &options);
	run_until(response.done);
	EXPECT_EQ(response.end.status, DW_UNAVAILABLE);
	EXPECT_EQ(response.end.progress, DW_HTTP_NOT_SENT);
}

TEST_F(HttpClientServer, DeadlineAndCancelEndCall)
{
	Response timed_out;
	Response cancelled;

	handle = [](struct dw_http_exchange *) {};
	struct dw_http_call_options options = call_options(&timed_out, dw_http_server_port(server));
	options.deadline_us = dw_clock_now_us() + 50 * DW_US_PER_MS;
	dw_http_call(client, &options);
	options = call_options(&cancelled, dw_http_server_port(server));
	struct dw_http_call *call = dw_http_call(client, &options);
	dw_http_cancel(call);
	run_until(cancelled.done);
	EXPECT_EQ(cancelled.end.status, DW_CANCELLED);
	run_until(timed_out.done);
	EXPECT_EQ(timed_out.end.status, DW_TIMEOUT);
	EXPECT_EQ(timed_out.end.progress, DW_HTTP_SENT);
}

} // namespace
