/**
 * @file http.h
 * A small blocking HTTP/1.1 client for tests. It tells a cut answer from a whole one.
 */
#ifndef TESTS_SUPPORT_HTTP_H
#define TESTS_SUPPORT_HTTP_H

#include <cstdint>
#include <map>
#include <string>

namespace support
{

using http_headers = std::map<std::string, std::string>;

/** A finished answer. */
struct http_answer {
	int status = 0; /**< 0 if no head came */
	http_headers headers; /**< names in lower case */
	std::string body;
	/** The answer's own framing says that nothing is missing. */
	bool whole = false;
};

/** One request on a connection of its own, its answer read bit by bit. */
class http_stream
{
      public:
	/** Connects to 127.0.0.1:@p port and sends the request; @p timeout_ms bounds each wait. */
	http_stream(uint16_t port, const std::string &method, const std::string &path,
		    const std::string &body = "", const http_headers &headers = {},
		    int timeout_ms = 10000);
	~http_stream();
	http_stream(const http_stream &) = delete;
	http_stream &operator=(const http_stream &) = delete;

	/** Waits for the answer's head; its status, 0 if none came. */
	int status();

	/** Header of the answer by its lower-case name; "" if absent. Waits for the head. */
	std::string header(const std::string &name);

	/** Next line of the body without its end; false at the end of the answer. */
	bool read_line(std::string *line);

	/** Next SSE event's data ("data: " stripped, empty lines skipped); false at the end. */
	bool read_event(std::string *data);

	/** Reads to the end of the answer. */
	http_answer finish();

	/** True once the end of a whole answer has been read. */
	bool whole() const
	{
		return whole_;
	}

	/** The caller goes away. */
	void close();

      private:
	enum class framing { chunked, length, until_close };

	bool read_head();
	bool fill();
	bool read_raw_line(std::string *line);
	bool read_chunk();
	bool read_body_part();

	int socket_ = -1;
	int timeout_ms_;
	bool head_tried_ = false;
	bool body_ended_ = false;
	bool whole_ = false;
	int status_ = 0;
	framing framing_ = framing::until_close;
	size_t remaining_ = 0;
	http_headers headers_;
	std::string raw_; /**< bytes as received */
	std::string body_; /**< decoded, not yet handed out */
};

/** Sends one request and reads its whole answer. */
http_answer http_call(uint16_t port, const std::string &method, const std::string &path,
		      const std::string &body = "", const http_headers &headers = {},
		      int timeout_ms = 10000);

} // namespace support

#endif
