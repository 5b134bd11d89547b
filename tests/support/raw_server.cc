#include "support/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace support
{

constexpr int BACKLOG = 64;
constexpr int QUEUE_FILLERS = 4;

void raw_connection::send(const std::string &bytes)
{
	size_t sent = 0;
	while (fd_ >= 0 && sent < bytes.size()) {
		ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
		if (n <= 0)
			return;
		sent += (size_t)n;
	}
}

void raw_connection::close()
{
	if (fd_ >= 0)
		::close(fd_);
	fd_ = -1;
}

void raw_connection::reset()
{
	linger at_once = { 1, 0 };
	if (fd_ >= 0)
		setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close();
}

std::string field_of(const std::string &request, const std::string &name)
{
	size_t line = request.find("\r\n");
	while (line != std::string::npos) {
		size_t start = line + 2;
		line = request.find("\r\n", start);
		if (line == start || line == std::string::npos)
			break;
		if (strncasecmp(request.c_str() + start, name.c_str(), name.size()) != 0 ||
		    request[start + name.size()] != ':')
			continue;
		size_t value = request.find_first_not_of(' ', start + name.size() + 1);
		return request.substr(value, line - value);
	}
	return "";
}

raw_server::raw_server(handler answer, uint16_t port) : answer_(std::move(answer))
{
	sockaddr_in address{};
	socklen_t len = sizeof(address);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	bind(listener_, (sockaddr *)&address, sizeof(address));
	listen(listener_, BACKLOG);
	getsockname(listener_, (sockaddr *)&address, &len);
	port_ = ntohs(address.sin_port);
	acceptor_ = std::thread([this] { accept_connections(); });
}

raw_server::~raw_server()
{
	is_stopping_ = true;
	for (int fd : fillers_)
		::close(fd);
	acceptor_.join();
	for (auto &thread : threads_)
		thread.join();
}

void raw_server::refuse_connections()
{
	is_refusing_ = true;
	shutdown(listener_, SHUT_RDWR);
}

/* The kernel answers connections until the listener's queue is full. */
void raw_server::fall_silent()
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port_);
	is_silent_ = true;
	listen(listener_, 0);
	for (int i = 0; i < QUEUE_FILLERS; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		connect(fd, (sockaddr *)&address, sizeof(address));
		fillers_.push_back(fd);
	}
}

void raw_server::come_back(bool is_next_lifetime)
{
	for (int fd : fillers_)
		::close(fd);
	fillers_.clear();
	lifetime_ += is_next_lifetime;
	listen(listener_, BACKLOG);
	is_silent_ = false;
}

void raw_server::accept_connections()
{
	pollfd poller = { listener_, POLLIN, 0 };
	while (!is_stopping_ && !is_refusing_) {
		if (poll(&poller, 1, 5) <= 0 || is_refusing_)
			continue;
		if (is_silent_) {
			poll(nullptr, 0, 5);
			continue;
		}
		int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
		if (fd >= 0)
			threads_.emplace_back([this, fd] { serve(fd); });
	}
	close(listener_);
}

static size_t length_of(const std::string &bytes, bool is_head_enough)
{
	size_t head = bytes.find("\r\n\r\n");
	if (head == std::string::npos)
		return 0;
	if (is_head_enough)
		return head + 4;
	size_t body = strtoul(field_of(bytes, "content-length").c_str(), nullptr, 10);
	return bytes.size() >= head + 4 + body ? head + 4 + body : 0;
}

void raw_server::serve(int fd)
{
	raw_connection connection(fd);
	std::string bytes;
	char buffer[8192];
	int on = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	const int lifetime = lifetime_;
	while (connection.is_open() && !is_stopping_) {
		pollfd poller = { fd, POLLIN, 0 };
		if (lifetime != lifetime_) {
			connection.reset();
			return;
		}
		if (poll(&poller, 1, 5) <= 0)
			continue;
		if (is_silent_) {
			poll(nullptr, 0, 5);
			continue;
		}
		ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
		if (got <= 0)
			break;
		bytes.append(buffer, (size_t)got);
		size_t len;
		while (connection.is_open() && (len = length_of(bytes, answers_heads)) > 0) {
			answer_(connection, bytes.substr(0, len));
			bytes.erase(0, len);
			connection.request++;
		}
	}
	connection.close();
}

} // namespace support
