// Tests HTTP client connections against a scripted server on the loopback interface.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

#include "net/http_connection.h"

namespace
{

struct Outcome {
	std::string body;
	int ends = 0;
	int failures = 0;
	http_connection_failure failure = HTTP_CONNECTION_FAILURE_COUNT;
	http_connection *connection = nullptr;
	uv_loop_t *loop = nullptr;
	bool is_reused = false;
	uint64_t avoided_key = 0; /* 0: none */

	static bool on_head(void *, const http_head *)
	{
		return true;
	}
	static bool on_body(void *owner, const char *bytes, size_t len)
	{
		((Outcome *)owner)->body.append(bytes, len);
		return true;
	}
	static void on_end(void *owner)
	{
		auto *outcome = (Outcome *)owner;
		outcome->ends++;
		outcome->is_reused = http_connection_is_reused(outcome->connection);
		if (outcome->avoided_key > 0)
			http_connection_avoid(outcome->connection, outcome->avoided_key);
		http_connection_release(outcome->connection);
		uv_stop(outcome->loop);
	}
	static void on_failed(void *owner, http_connection_failure failure)
	{
		auto *outcome = (Outcome *)owner;
		outcome->failures++;
		outcome->failure = failure;
		uv_stop(outcome->loop);
	}
};

const http_connection_callbacks CALLBACKS = { Outcome::on_head, Outcome::on_body, Outcome::on_end,
					      Outcome::on_failed };

/* Reads a request up to the empty line that ends its head. */
void read_request(int fd)
{
	std::string text;
	char buffer[512];
	while (text.find("\r\n\r\n") == std::string::npos) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			return;
		text.append(buffer, (size_t)n);
	}
}

void write_text(int fd, const std::string &text)
{
	(void)!write(fd, text.data(), text.size());
}

/* Closes a connection with a TCP reset. */
void reset(int fd)
{
	linger abort_on_close = { 1, 0 };
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof(abort_on_close));
	close(fd);
}

struct HttpConnection : testing::Test {
	uv_loop_t loop;
	http_pool *pool = nullptr;
	int listener = -1;
	dw_endpoint server{};
	std::thread thread;

	HttpConnection()
	{
		uv_loop_init(&loop);
		http_pool_options options = { &loop, 4, 5000, 1000, 4096 };
		pool = http_pool_new(&options);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in address{};
		socklen_t len = sizeof(address);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener, (sockaddr *)&address, sizeof(address));
		listen(listener, 8);
		getsockname(listener, (sockaddr *)&address, &len);
		snprintf(server.ip, sizeof(server.ip), "127.0.0.1");
		server.port = ntohs(address.sin_port);
	}
	~HttpConnection() override
	{
		if (thread.joinable())
			thread.join();
		http_pool_free(pool);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		close(listener);
	}
	/* Accepts one connection for each script and runs the script on it. */
	void serve(std::vector<std::function<void(int)>> scripts)
	{
		thread = std::thread([this, scripts] {
			for (const auto &script : scripts)
				script(accept(listener, nullptr, nullptr));
		});
	}
	Outcome send(uint64_t key = 0, uint64_t avoided_key = 0, const std::string &method = "GET")
	{
		const std::string request = method + " / HTTP/1.1\r\nHost: a\r\n\r\n";
		Outcome outcome;
		outcome.loop = &loop;
		outcome.avoided_key = avoided_key;
		outcome.connection = http_pool_send(pool, &server, key, request.data(),
						    request.size(), &CALLBACKS, &outcome);
		uv_run(&loop, UV_RUN_DEFAULT);
		return outcome;
	}
};

TEST_F(HttpConnection, ReusesIdleConnection)
{
	serve({ [](int fd) {
		for (int i = 0; i < 3; i++) {
			read_request(fd);
			write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		}
		close(fd);
	} });
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(send().body, "ok");
	EXPECT_EQ(http_pool_connections_opened(pool), 1U);
}

/* A refusal that comes once more must not meet the same request on its connection. */
TEST_F(HttpConnection, KeepsRequestsOffAConnectionThatIsToBeAvoided)
{
	auto answer = [](int fd) {
		read_request(fd);
		write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	};
	serve({ [this, answer](int first) {
		answer(first);
		int second = accept(listener, nullptr, nullptr);
		for (int i = 0; i < 3; i++)
			answer(second);
		close(second);
		close(first);
	} });
	EXPECT_FALSE(send(5, 5).is_reused);
	EXPECT_FALSE(send(5, 5).is_reused) << "the same request once more";
	EXPECT_TRUE(send(6).is_reused);
	EXPECT_TRUE(send(7).is_reused);
	EXPECT_EQ(http_pool_connections_opened(pool), 2U);
}

/* A response without a length ends when the connection is closed. A reset must not count as that
 * end, even if it directly follows the last bytes, which libuv reports as UV_EOF. */
TEST_F(HttpConnection, ResetDoesNotCompleteResponseWithoutLength)
{
	auto script = [](int fd) {
		read_request(fd);
		write_text(fd, "HTTP/1.1 200 OK\r\n\r\nhalf of the bo");
		reset(fd);
	};
	serve({ script, script, script });
	for (int i = 0; i < 3; i++) {
		Outcome outcome = send();
		EXPECT_EQ(outcome.ends, 0);
		EXPECT_EQ(outcome.failures, 1);
	}
}

TEST_F(HttpConnection, CloseCompletesResponseWithoutLength)
{
	serve({ [](int fd) {
		read_request(fd);
		write_text(fd, "HTTP/1.1 200 OK\r\n\r\nall of it");
		close(fd);
	} });
	Outcome outcome = send();
	EXPECT_EQ(outcome.ends, 1);
	EXPECT_EQ(outcome.body, "all of it");
}

/* Data after a complete response belongs to no request, so the connection must not be reused. */
TEST_F(HttpConnection, ExtraResponseClosesConnection)
{
	serve({ [](int fd) {
		       read_request(fd);
		       write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
				      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
		       read_request(fd);
		       close(fd);
	       },
		[](int fd) {
			read_request(fd);
			write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc");
			close(fd);
		} });
	EXPECT_EQ(send().body, "a");
	EXPECT_EQ(send().body, "c");
	EXPECT_EQ(http_pool_connections_opened(pool), 2U);
}

/* A second response that follows a 304 with a length must not be read as the body of the 304. */
TEST_F(HttpConnection, ResponseWithoutBodyIsCompleteAfterItsHead)
{
	const std::string head = "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n";
	const std::string foreign = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
	serve({ [=](int fd) {
		       read_request(fd);
		       write_text(fd, head);
		       read_request(fd);
		       write_text(fd, head + foreign);
		       read_request(fd);
		       close(fd);
	       },
		[=](int fd) {
			read_request(fd);
			write_text(fd, head);
			close(fd);
		} });
	for (int i = 0; i < 3; i++) {
		Outcome outcome = send();
		EXPECT_EQ(outcome.ends, 1) << i;
		EXPECT_EQ(outcome.body, "") << i;
	}
	EXPECT_EQ(http_pool_connections_opened(pool), 2U)
		<< "reused after the first response, closed after the foreign one";
}

/* The length of a response to HEAD must not be waited for. The connection isn't reused, as a late second
 * copy of the response would be read with a body when the next request is no HEAD. */
TEST_F(HttpConnection, ResponseToHeadIsCompleteAfterItsHead)
{
	serve({ [](int fd) {
		       read_request(fd);
		       write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
		       read_request(fd);
		       close(fd);
	       },
		[](int fd) {
			read_request(fd);
			write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			read_request(fd);
			write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			close(fd);
		} });
	for (int i = 0; i < 2; i++) {
		Outcome outcome = send(0, 0, "HEAD");
		EXPECT_EQ(outcome.ends, 1) << i;
		EXPECT_EQ(outcome.body, "") << i;
	}
	EXPECT_EQ(send().body, "ok") << "a GET after a HEAD on the same connection";
	EXPECT_EQ(http_pool_connections_opened(pool), 2U);
}

TEST_F(HttpConnection, ReportsKindOfFailure)
{
	serve({ [](int fd) {
		       read_request(fd);
		       close(fd);
	       },
		[](int fd) {
			read_request(fd);
			write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
			close(fd);
		},
		[](int fd) {
			read_request(fd);
			write_text(fd, "what is this\r\n\r\n");
			read_request(fd);
			close(fd);
		} });
	EXPECT_EQ(send().failure, HTTP_CONNECTION_NO_RESPONSE);
	EXPECT_EQ(send().failure, HTTP_CONNECTION_TRUNCATED_RESPONSE);
	EXPECT_EQ(send().failure, HTTP_CONNECTION_MALFORMED_RESPONSE);
	thread.join();
	close(listener);
	EXPECT_EQ(send().failure, HTTP_CONNECTION_NOT_ESTABLISHED);
}

} // namespace
