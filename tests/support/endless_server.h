/**
 * @file endless_server.h
 * A server in trouble: its answers never end. It sends bytes until the client closes.
 */
#ifndef TESTS_SUPPORT_ENDLESS_SERVER_H
#define TESTS_SUPPORT_ENDLESS_SERVER_H

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace support
{

/** Serves each connection on a thread of its own, on 127.0.0.1. */
class endless_server
{
      public:
	/**
	 * @param start sent first, with "@" replaced by the request's Attempt-Id
	 * @param repeated sent again and again afterwards
	 * @param pause_ms between two of them
	 */
	endless_server(std::string start, std::string repeated, int pause_ms = 0);
	~endless_server();
	endless_server(const endless_server &) = delete;
	endless_server &operator=(const endless_server &) = delete;

	uint16_t port() const
	{
		return port_;
	}
	/** Connections that are still open. */
	int open() const
	{
		return open_;
	}
	uint64_t bytes_sent() const
	{
		return sent_;
	}
	int requests() const
	{
		return requests_;
	}

      private:
	void accept_connections();
	void serve(int fd);

	std::string start_;
	std::string repeated_;
	int pause_ms_;
	int listener_ = -1;
	uint16_t port_ = 0;
	std::atomic<bool> is_stopping_{ false };
	std::atomic<int> open_{ 0 };
	std::atomic<int> requests_{ 0 };
	std::atomic<uint64_t> sent_{ 0 };
	std::vector<std::thread> threads_;
	std::thread acceptor_;
};

} // namespace support

#endif
