/**
 * @file raw_server.h
 * A server whose answers a test writes byte by byte: broken off anywhere, repeated, or sent late.
 */
#ifndef TESTS_SUPPORT_RAW_SERVER_H
#define TESTS_SUPPORT_RAW_SERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace support
{

/** One connection of a raw_server, on a thread of its own. */
class raw_connection
{
      public:
	explicit raw_connection(int fd) : fd_(fd)
	{
	}
	/** Number of the request on this connection, from 0. */
	int request = 0;

	void send(const std::string &bytes);
	/** Closes in order; the client reads what was sent, then the end. */
	void close();
	/** Closes with a reset. */
	void reset();
	bool is_open() const
	{
		return fd_ >= 0;
	}
	int fd() const
	{
		return fd_;
	}

      private:
	int fd_;
};

/** Serves connections on 127.0.0.1; each request with a complete head and body is handed to the test. */
class raw_server
{
      public:
	/** Answers a request, whose bytes are @p request. */
	using handler = std::function<void(raw_connection &connection, const std::string &request)>;

	/** @param port to listen on; 0: a free one */
	explicit raw_server(handler answer, uint16_t port = 0);
	~raw_server();
	raw_server(const raw_server &) = delete;
	raw_server &operator=(const raw_server &) = delete;

	/** Hands each request over as soon as its head is complete, without its body. */
	std::atomic<bool> answers_heads{ false };

	uint16_t port() const
	{
		return port_;
	}
	/** Closes the listener: connections are refused from then on. */
	void refuse_connections();
	/** Sends and reads nothing any more; new connections aren't answered. */
	void fall_silent();
	/** Goes on after fall_silent(): with its connections, as if it had been cut off, or as the next lifetime,
	 * which resets those of the one before. */
	void come_back(bool is_next_lifetime);

      private:
	void accept_connections();
	void serve(int fd);

	handler answer_;
	int listener_ = -1;
	uint16_t port_ = 0;
	std::atomic<bool> is_stopping_{ false };
	std::atomic<bool> is_refusing_{ false };
	std::atomic<bool> is_silent_{ false };
	std::atomic<int> lifetime_{ 0 };
	std::vector<int>
		fillers_; /**< connections that fill the listener's queue while it is silent */
	std::vector<std::thread> threads_;
	std::thread acceptor_;
};

/** Value of a field in the head of a request; "" if absent. */
std::string field_of(const std::string &request, const std::string &name);

} // namespace support

#endif
