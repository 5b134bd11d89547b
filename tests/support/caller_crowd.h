/**
 * @file caller_crowd.h
 * Many connections of callers that send parts of requests, read slowly or not at all, and stay open.
 */
#ifndef TESTS_SUPPORT_CALLER_CROWD_H
#define TESTS_SUPPORT_CALLER_CROWD_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace support
{

class caller_crowd
{
      public:
	explicit caller_crowd(uint16_t port);
	~caller_crowd();
	caller_crowd(const caller_crowd &) = delete;
	caller_crowd &operator=(const caller_crowd &) = delete;

	/** Opens a connection; @p bytes are sent by send_all(). @return its index */
	size_t add(std::shared_ptr<const std::string> bytes = nullptr, int receive_buffer = 0);
	/** Gives the connection more bytes to send. */
	void send_more(size_t index, std::shared_ptr<const std::string> bytes);
	/** Sends until all bytes are sent, or no connection accepts any for @p silence_ms. */
	void send_all(int silence_ms = 1000);
	/** Waits until the connection has something to read or is closed. */
	bool wait_readable(size_t index, int timeout_ms) const;
	/** Reads up to @p most bytes, until the connection is silent or closed. */
	std::string read(size_t index, int silence_ms, size_t most) const;

	size_t size() const
	{
		return members_.size();
	}

      private:
	struct member {
		int socket;
		std::shared_ptr<const std::string> bytes;
		size_t sent;
	};

	uint16_t port_;
	std::vector<member> members_;
};

} // namespace support

#endif
