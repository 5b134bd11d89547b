#include "support/endless_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace support
{

endless_server::endless_server(std::string start, std::string repeated, int pause_ms)
    : start_(std::move(start)), repeated_(std::move(repeated)), pause_ms_(pause_ms)
{
	sockaddr_in address{};
	socklen_t len = sizeof(address);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener_ = socket(AF_INET, SOCK_STREAM, 0);
	bind(listener_, (sockaddr *)&address, sizeof(address));
	listen(listener_, 64);
	getsockname(listener_, (sockaddr *)&address, &len);
	port_ = ntohs(address.sin_port);
	acceptor_ = std::thread([this] { accept_connections(); });
}

endless_server::~endless_server()
{
	is_stopping_ = true;
	acceptor_.join();
	for (auto &thread : threads_)
		thread.join();
	close(listener_);
}

void endless_server::accept_connections()
{
	pollfd poller = { listener_, POLLIN, 0 };
	while (!is_stopping_) {
		if (poll(&poller, 1, 20) <= 0)
			continue;
		int fd = accept(listener_, nullptr, nullptr);
		if (fd >= 0)
			threads_.emplace_back([this, fd] { serve(fd); });
	}
}

static std::string attempt_id_of(const std::string &request)
{
	const std::string name = "Attempt-Id: ";
	size_t at = request.find(name);
	if (at == std::string::npos)
		return "";
	at += name.size();
	return request.substr(at, request.find("\r\n", at) - at);
}

void endless_server::serve(int fd)
{
	std::string request;
	std::string answer;
	char buffer[4096];
	timeval timeout = { 0, 50000 };
	open_++;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	while (!is_stopping_ && request.find("\r\n\r\n") == std::string::npos) {
		ssize_t len = recv(fd, buffer, sizeof(buffer), 0);
		if (len == 0 || (len < 0 && errno != EAGAIN))
			break;
		if (len > 0)
			request.append(buffer, (size_t)len);
	}
	requests_ += !request.empty();
	for (char c : start_)
		answer += c == '@' ? attempt_id_of(request) : std::string(1, c);
	while (!is_stopping_) {
		ssize_t len = send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN)
			break;
		if (len > 0) {
			sent_ += (uint64_t)len;
			answer.erase(0, (size_t)len);
		}
		if (answer.empty()) {
			answer = repeated_;
			std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms_));
		}
	}
	close(fd);
	open_--;
}

} // namespace support
