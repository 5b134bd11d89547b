#include "support/caller_crowd.h"

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace support
{

/* Sent to a connection before the next one has its turn, so that their bodies grow side by side. */
static constexpr size_t TURN_BYTES = 32768;

caller_crowd::caller_crowd(uint16_t port) : port_(port)
{
}

caller_crowd::~caller_crowd()
{
	for (const member &m : members_)
		close(m.socket);
}

size_t caller_crowd::add(std::shared_ptr<const std::string> bytes, int receive_buffer)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(port_);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (receive_buffer > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
	/* Sent when the connection is established, or fails. */
	fcntl(fd, F_SETFL, O_NONBLOCK);
	connect(fd, (sockaddr *)&address, sizeof(address));
	members_.push_back({ fd, std::move(bytes), 0 });
	return members_.size() - 1;
}

void caller_crowd::send_more(size_t index, std::shared_ptr<const std::string> bytes)
{
	members_[index].bytes = std::move(bytes);
	members_[index].sent = 0;
}

void caller_crowd::send_all(int silence_ms)
{
	while (true) {
		std::vector<pollfd> waiting;
		std::vector<member *> owners;
		for (member &m : members_) {
			if (!m.bytes || m.sent == m.bytes->size())
				continue;
			waiting.push_back({ m.socket, POLLOUT, 0 });
			owners.push_back(&m);
		}
		if (waiting.empty() || poll(waiting.data(), waiting.size(), silence_ms) <= 0)
			return;
		for (size_t i = 0; i < waiting.size(); i++) {
			member &m = *owners[i];
			size_t left = m.bytes->size() - m.sent;
			if (waiting[i].revents == 0)
				continue;
			ssize_t len = send(m.socket, m.bytes->data() + m.sent,
					   left < TURN_BYTES ? left : TURN_BYTES, MSG_NOSIGNAL);
			if (len > 0)
				m.sent += (size_t)len;
			else if (errno != EAGAIN && errno != EINTR)
				m.bytes = nullptr; /* closed by the server */
		}
	}
}

bool caller_crowd::wait_readable(size_t index, int timeout_ms) const
{
	pollfd poller = { members_[index].socket, POLLIN, 0 };
	return poll(&poller, 1, timeout_ms) > 0;
}

std::string caller_crowd::read(size_t index, int silence_ms, size_t most) const
{
	std::string received;
	char buffer[4096];
	while (received.size() < most && wait_readable(index, silence_ms)) {
		ssize_t len = recv(members_[index].socket, buffer, sizeof(buffer), 0);
		if (len <= 0)
			break;
		received.append(buffer, (size_t)len);
	}
	return received;
}

} // namespace support
