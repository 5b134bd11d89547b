#include "support/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace support
{

static int connect_to(const std::string &ip, uint16_t port, int type)
{
	int fd = socket(AF_INET, type, 0);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	if (connect(fd, (sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

std::string exchange_bytes(const std::string &ip, uint16_t port, const std::string &bytes,
			   int silence_ms)
{
	int fd = connect_to(ip, port, SOCK_STREAM);
	std::string received;
	char buffer[4096];
	pollfd poller = { fd, POLLIN, 0 };
	if (fd < 0)
		return received;
	send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	while (poll(&poller, 1, silence_ms) > 0) {
		ssize_t len = recv(fd, buffer, sizeof(buffer), 0);
		if (len <= 0)
			break;
		received.append(buffer, (size_t)len);
	}
	close(fd);
	return received;
}

void send_datagram(const std::string &ip, uint16_t port, const std::string &bytes)
{
	int fd = connect_to(ip, port, SOCK_DGRAM);
	send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	close(fd);
}

} // namespace support
