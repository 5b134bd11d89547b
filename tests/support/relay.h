/**
 * @file relay.h
 * A TCP proxy on loopback that simulates network faults.
 */
#ifndef TESTS_SUPPORT_RELAY_H
#define TESTS_SUPPORT_RELAY_H

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace support
{

enum class relay_mode {
	pass, /**< forwards both directions */
	hold, /**< keeps connections open but forwards nothing, like a broken link */
	hold_answers, /**< forwards to the target but not back: a one-way fault */
	refuse, /**< closes all connections, also new ones */
};

class relay
{
      public:
	explicit relay(uint16_t target_port);
	~relay();
	relay(const relay &) = delete;
	relay &operator=(const relay &) = delete;

	uint16_t port() const
	{
		return port_;
	}

	/** Sets the port that new connections are forwarded to; 0: they are closed. */
	void set_target(uint16_t port)
	{
		target_ = port;
	}

	/** Forwards no more than this from the target, like a slow link; 0: without a limit. */
	void limit_answers(uint64_t bytes_per_s)
	{
		bytes_per_s_ = bytes_per_s;
	}

	void set_mode(relay_mode mode)
	{
		mode_ = mode;
	}

      private:
	struct pair {
		int caller;
		int target;
	};

	void run();
	void accept_one();
	bool forward(int from, int to, size_t most);
	bool forward_answer(const pair &p);
	/** Bytes from the target that the limit allows now. */
	size_t allowance();
	void close_pair(size_t index);

	int listener_ = -1;
	uint16_t port_ = 0;
	std::atomic<uint16_t> target_;
	std::atomic<relay_mode> mode_{ relay_mode::pass };
	std::atomic<uint64_t> bytes_per_s_{ 0 };
	int64_t allowed_at_us_ = 0; /**< when the next byte from the target may be forwarded */
	std::atomic<bool> stopping_{ false };
	std::vector<pair> pairs_;
	std::thread thread_;
};

} // namespace support

#endif
