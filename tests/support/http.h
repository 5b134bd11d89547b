/**
 * @file http.h
 * A small blocking HTTP/1.1 client for tests. It distinguishes complete answers from truncated ones.
 */
#ifndef TESTS_SUPPORT_HTTP_H
#define TESTS_SUPPORT_HTTP_H

#include <cstdint>
#include <map>
#include <string>

namespace support
{

using http_headers = std::map<std::string, std::string>;

/** An answer as far as it was received. */
struct http_answer {
	int status = 0; /**< 0 if no head was received */
	http_headers headers; /**< names in lower case */
	std::string body;
	/** Complete according to its framing (chunked or Content-Length). */
	bool whole = false;
};

/** One request on its own connection, whose answer is read incrementally. */
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

	/** Waits for the answer's head and returns its status; 0 if no head was received. */
	int status();

	/** Header of the answer by its lower-case name; "" if absent. Waits for the head. */
	std::string header(const std::string &name);

	/** Reads the next line of the body, without its line end; false at the end of the answer. */
	bool read_line(std::string *line);

	/** Reads the text after "data: " in the next line that begins so, and skips other lines; false
	 * at the end. */
	bool read_event(std::string *data);

	/** Reads to the end of the answer. */
	http_answer finish();

	/** Whether the answer has been read to its end and is complete. */
	bool whole() const
	{
		return whole_;
	}

	/** Closes the connection, as a caller that disconnects does. */
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
	std::string body_; /**< decoded, not yet returned */
};

/** Sends one request and reads its answer to the end. */
http_answer http_call(uint16_t port, const std::string &method, const std::string &path,
		      const std::string &body = "", const http_headers &headers = {},
		      int timeout_ms = 10000);

} // namespace support

#endif
