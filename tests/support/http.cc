#include "support/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace support
{

static int connect_loopback(uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, reinterpret_cast<struct sockaddr *>(&address), sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const std::string &bytes)
{
	size_t sent = 0;

	while (sent < bytes.size()) {
		ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += static_cast<size_t>(n);
	}
	return true;
}

http_stream::http_stream(uint16_t port, const std::string &method, const std::string &path,
			 const std::string &body, const http_headers &headers, int timeout_ms)
    : timeout_ms_(timeout_ms)
{
	std::string request = method + " " + path + " HTTP/1.1\r\nhost: 127.0.0.1\r\n";

	for (const auto &header : headers)
		request += header.first + ": " + header.second + "\r\n";
	if (!body.empty() || method == "POST")
		request += "content-length: " + std::to_string(body.size()) + "\r\n";
	request += "connection: close\r\n\r\n" + body;
	socket_ = connect_loopback(port);
	if (socket_ >= 0)
		send_all(socket_, request);
}

http_stream::~http_stream()
{
	close();
}

void http_stream::close()
{
	if (socket_ >= 0)
		::close(socket_);
	socket_ = -1;
}

bool http_stream::fill()
{
	struct pollfd waiting = { socket_, POLLIN, 0 };
	char buffer[16384];

	if (socket_ < 0 || poll(&waiting, 1, timeout_ms_) != 1)
		return false;
	ssize_t got = recv(socket_, buffer, sizeof(buffer), 0);
	if (got <= 0)
		return false;
	raw_.append(buffer, static_cast<size_t>(got));
	return true;
}

bool http_stream::read_raw_line(std::string *line)
{
	size_t end;

	while ((end = raw_.find("\r\n")) == std::string::npos)
		if (!fill())
			return false;
	*line = raw_.substr(0, end);
	raw_.erase(0, end + 2);
	return true;
}

static std::string lower(std::string text)
{
	std::transform(text.begin(), text.end(), text.begin(),
		       [](unsigned char c) { return std::tolower(c); });
	return text;
}

bool http_stream::read_head()
{
	std::string line;

	if (head_tried_)
		return status_ != 0;
	head_tried_ = true;
	if (!read_raw_line(&line) || line.size() < 12)
		return false;
	int status = std::atoi(line.c_str() + 9);
	while (read_raw_line(&line) && !line.empty()) {
		size_t colon = line.find(':');
		size_t value = line.find_first_not_of(' ', colon + 1);

		if (colon != std::string::npos)
			headers_[lower(line.substr(0, colon))] =
				value == std::string::npos ? "" : line.substr(value);
	}
	if (!line.empty())
		return false;
	status_ = status;
	if (lower(headers_["transfer-encoding"]) == "chunked") {
		framing_ = framing::chunked;
	} else if (headers_.count("content-length")) {
		framing_ = framing::length;
		remaining_ = std::strtoul(headers_["content-length"].c_str(), nullptr, 10);
	}
	return true;
}

int http_stream::status()
{
	read_head();
	return status_;
}

std::string http_stream::header(const std::string &name)
{
	read_head();
	auto found = headers_.find(name);
	return found == headers_.end() ? "" : found->second;
}

bool http_stream::read_chunk()
{
	std::string line;

	if (!read_raw_line(&line))
		return false;
	size_t size = std::strtoul(line.c_str(), nullptr, 16);
	while (raw_.size() < size + 2)
		if (!fill())
			return false;
	body_ += raw_.substr(0, size);
	raw_.erase(0, size + 2);
	whole_ = size == 0;
	return size != 0;
}

/** Decodes the next part of the body; false at its end. */
bool http_stream::read_body_part()
{
	bool more = false;

	if (body_ended_ || !read_head())
		return false;
	switch (framing_) {
	case framing::chunked:
		more = read_chunk();
		break;
	case framing::length:
		whole_ = remaining_ == 0;
		more = !whole_ && (!raw_.empty() || fill());
		if (more) {
			size_t part = std::min(remaining_, raw_.size());

			body_ += raw_.substr(0, part);
			raw_.erase(0, part);
			remaining_ -= part;
		}
		break;
	case framing::until_close:
		more = !raw_.empty() || fill();
		body_ += raw_;
		raw_.clear();
		break;
	}
	body_ended_ = !more;
	return more;
}

bool http_stream::read_line(std::string *line)
{
	size_t end;

	while ((end = body_.find('\n')) == std::string::npos) {
		if (read_body_part())
			continue;
		*line = body_;
		body_.clear();
		return !line->empty();
	}
	*line = body_.substr(0, end);
	body_.erase(0, end + 1);
	if (!line->empty() && line->back() == '\r')
		line->pop_back();
	return true;
}

bool http_stream::read_event(std::string *data)
{
	static const std::string prefix = "data: ";
	std::string line;

	while (read_line(&line)) {
		if (line.compare(0, prefix.size(), prefix) != 0)
			continue;
		*data = line.substr(prefix.size());
		return true;
	}
	return false;
}

http_answer http_stream::finish()
{
	http_answer answer;

	while (read_body_part()) {
	}
	answer.status = status_;
	answer.headers = headers_;
	answer.body = body_;
	answer.whole = whole_;
	body_.clear();
	return answer;
}

http_answer http_call(uint16_t port, const std::string &method, const std::string &path,
		      const std::string &body, const http_headers &headers, int timeout_ms)
{
	http_stream stream(port, method, path, body, headers, timeout_ms);

	return stream.finish();
}

} // namespace support
