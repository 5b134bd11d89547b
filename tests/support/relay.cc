#include "support/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace support
{

namespace
{

constexpr int poll_ms = 5;
constexpr size_t read_bytes = 65536;

struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int64_t now_us()
{
	return std::chrono::duration_cast<std::chrono::microseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

} // namespace

relay::relay(uint16_t target_port) : target_(target_port)
{
	struct sockaddr_in address = loopback(0);
	socklen_t len = sizeof(address);

	listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(listener_, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener_, 128) != 0 ||
	    getsockname(listener_, (struct sockaddr *)&address, &len) != 0)
		throw std::runtime_error("relay: cannot listen on a free port of 127.0.0.1");
	port_ = ntohs(address.sin_port);
	thread_ = std::thread([this] { run(); });
}

relay::~relay()
{
	stopping_ = true;
	thread_.join();
	while (!pairs_.empty())
		close_pair(pairs_.size() - 1);
	close(listener_);
}

void relay::close_pair(size_t index)
{
	close(pairs_[index].caller);
	close(pairs_[index].target);
	pairs_.erase(pairs_.begin() + (long)index);
}

void relay::accept_one()
{
	int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback(target_);

	if (mode_ == relay_mode::refuse || target_ == 0 ||
	    connect(target, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(caller);
		close(target);
		return;
	}
	pairs_.push_back({ caller, target });
}

size_t relay::allowance()
{
	int64_t passed_us = now_us() - allowed_at_us_;

	if (bytes_per_s_ == 0)
		return read_bytes;
	return passed_us <= 0 ? 0 : std::max<size_t>(1, bytes_per_s_ * poll_ms / 1000);
}

// Forwards what has arrived, at most @most bytes; false once either side has closed.
bool relay::forward(int from, int to, size_t most)
{
	static thread_local char bytes[read_bytes];
	ssize_t n = recv(from, bytes, std::min(most, sizeof(bytes)), MSG_DONTWAIT);
	ssize_t done = 0;

	if (n <= 0)
		return n < 0 && errno == EAGAIN;
	while (done < n) {
		ssize_t sent = send(to, bytes + done, (size_t)(n - done), MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		done += sent;
	}
	return true;
}

// Forwards a part of what the target has sent, as fast as the limit allows.
bool relay::forward_answer(const pair &p)
{
	size_t most = allowance();

	if (most == 0) {
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
		return true;
	}
	if (bytes_per_s_ > 0)
		allowed_at_us_ = std::max(allowed_at_us_ + poll_ms * 1000, now_us() - 20 * 1000);
	return forward(p.target, p.caller, most);
}

void relay::run()
{
	while (!stopping_) {
		std::vector<struct pollfd> polled{ { listener_, POLLIN, 0 } };
		relay_mode mode = mode_;

		for (const pair &p : pairs_) {
			bool forwards =
				mode == relay_mode::pass || mode == relay_mode::hold_answers;

			polled.push_back({ p.caller, (short)(forwards ? POLLIN : 0), 0 });
			polled.push_back(
				{ p.target, (short)(mode == relay_mode::pass ? POLLIN : 0), 0 });
		}
		poll(polled.data(), polled.size(), poll_ms);
		for (size_t i = pairs_.size(); i-- > 0;) {
			short caller = polled[1 + 2 * i].revents;
			short target = polled[2 + 2 * i].revents;
			bool open = mode != relay_mode::refuse;

			if (open && (caller & POLLIN))
				open = forward(pairs_[i].caller, pairs_[i].target, read_bytes);
			if (open && (target & POLLIN))
				open = forward_answer(pairs_[i]);
			if (open && ((caller | target) & (POLLHUP | POLLERR)) &&
			    mode == relay_mode::pass && !((caller | target) & POLLIN))
				open = false;
			if (!open)
				close_pair(i);
		}
		if (polled[0].revents & POLLIN)
			accept_one();
	}
}

} // namespace support
