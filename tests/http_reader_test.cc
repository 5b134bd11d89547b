#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "net/http_reader.h"

namespace
{

struct ParsedMessage {
	std::vector<std::string> heads;
	std::string body;
	int ends = 0;
	size_t stop_at_body = SIZE_MAX;
};

bool on_head(void *owner, const http_head *head)
{
	auto *parsed = (ParsedMessage *)owner;
	parsed->heads.push_back(
		std::string(head->method) + " " + (head->target ? head->target : "") + " " +
		std::to_string(head->status) + " " + std::to_string(head->field_count));
	return true;
}

bool on_body(void *owner, const char *bytes, size_t len)
{
	auto *parsed = (ParsedMessage *)owner;
	parsed->body.append(bytes, len);
	return parsed->body.size() < parsed->stop_at_body;
}

void on_end(void *owner)
{
	((ParsedMessage *)owner)->ends++;
}

const http_reader_callbacks CALLBACKS = { on_head, on_body, on_end };

struct Result {
	dw_status status = DW_OK;
	ParsedMessage parsed;
	std::string rest;
};

/* Parses one message from the text, fed in pieces of the given size. */
Result read(http_reader_kind kind, const std::string &text, size_t piece = SIZE_MAX,
	    bool skip_body = false)
{
	Result result;
	http_reader reader;
	http_reader_init(&reader, kind, 4096, &CALLBACKS, &result.parsed);
	reader.skip_body = skip_body;
	size_t at = 0;
	while (at < text.size() && result.status == DW_OK && result.parsed.ends == 0) {
		size_t used = 0;
		size_t len = std::min(piece, text.size() - at);
		result.status = http_reader_feed(&reader, text.data() + at, len, &used);
		at += used;
	}
	if (result.status == DW_OK && result.parsed.ends == 0)
		result.status = http_reader_eof(&reader);
	result.rest = text.substr(at);
	http_reader_close(&reader);
	return result;
}

const std::string HOST = "Host: a\r\n";

TEST(HttpReader, ParsesRequestInPiecesOfAnySize)
{
	std::string text = "POST /x?y=1 HTTP/1.1\r\n" + HOST +
			   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET";
	for (size_t piece = 1; piece < text.size(); piece++) {
		Result result = read(HTTP_READER_REQUEST, text, piece);
		ASSERT_EQ(result.status, DW_OK) << piece;
		ASSERT_EQ(result.parsed.body, "abcde");
		ASSERT_EQ(result.parsed.ends, 1);
		ASSERT_EQ(result.parsed.heads[0], "POST /x?y=1 0 2");
		ASSERT_EQ(result.rest, "GET");
	}
}

/* Messages that two parsers may interpret differently, which allows request smuggling. */
TEST(HttpReader, RejectsAmbiguousRequests)
{
	const std::string get = "GET / HTTP/1.1\r\n";
	const std::string post = "POST / HTTP/1.1\r\n";
	const std::vector<std::string> ambiguous = {
		post + HOST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		post + HOST + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		post + HOST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		post + HOST + "Content-Length: 3, 3\r\n\r\nabc",
		post + HOST + "Content-Length: +3\r\n\r\nabc",
		post + HOST + "Content-Length: -3\r\n\r\nabc",
		post + HOST + "Content-Length: 0x3\r\n\r\nabc",
		post + HOST +
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		post + HOST + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		get + "\r\n",
		get + HOST + HOST + "\r\n",
		get + "Host: a\nX: y\r\n\r\n",
		get + HOST + "X: y\n\n",
		get + HOST + " folded\r\n\r\n",
		get + HOST + "X: y\r\n\tz\r\n\r\n",
		get + HOST + "X: a\rb\r\n\r\n",
		get + HOST + std::string("X: a\0b\r\n\r\n", 10),
		"GET http://b/ HTTP/1.1\r\n" + HOST + "\r\n",
		"GET / HTTP/2.0\r\n" + HOST + "\r\n",
		"CONNECT a:1 HTTP/1.1\r\n" + HOST + "\r\n",
		" GET / HTTP/1.1\r\n" + HOST + "\r\n",
	};
	for (const std::string &text : ambiguous) {
		for (size_t piece : { SIZE_MAX, (size_t)1 }) {
			Result result = read(HTTP_READER_REQUEST, text, piece);
			EXPECT_NE(result.status, DW_OK) << text;
			EXPECT_EQ(result.parsed.ends, 0) << text;
		}
	}
}

TEST(HttpReader, ReportsTooLargeHead)
{
	std::string text =
		"GET / HTTP/1.1\r\n" + HOST + "X: " + std::string(5000, 'x') + "\r\n\r\n";
	EXPECT_EQ(read(HTTP_READER_REQUEST, text).status, DW_TOO_LARGE);
	EXPECT_EQ(read(HTTP_READER_REQUEST, text, 7).status, DW_TOO_LARGE);
}

TEST(HttpReader, IgnoresTrailerFields)
{
	Result result = read(HTTP_READER_REQUEST,
			     "POST / HTTP/1.1\r\n" + HOST +
				     "Transfer-Encoding: chunked\r\n\r\n0\r\nHost: b\r\n\r\n");
	EXPECT_EQ(result.status, DW_OK);
	EXPECT_EQ(result.parsed.ends, 1);
}

TEST(HttpReader, ResponseEndsByLengthStatusOrClose)
{
	Result result =
		read(HTTP_READER_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX");
	EXPECT_EQ(result.parsed.body, "ab");
	EXPECT_EQ(result.rest, "X");
	result = read(HTTP_READER_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nabc");
	EXPECT_EQ(result.status, DW_OK);
	EXPECT_EQ(result.parsed.body, "abc");
	result = read(HTTP_READER_RESPONSE, "HTTP/1.1 204 No Content\r\n\r\nX");
	EXPECT_EQ(result.parsed.ends, 1);
	EXPECT_EQ(result.rest, "X");
}

/* Guards against a later response that is taken for the body of one that has none. */
TEST(HttpReader, ResponseWithoutBodyEndsAfterItsHead)
{
	for (const char *status : { "304 Not Modified", "204 No Content", "103 Early Hints" }) {
		for (const char *framing :
		     { "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
			std::string head =
				std::string("HTTP/1.1 ") + status + "\r\n" + framing + "\r\n";
			for (size_t piece : { SIZE_MAX, (size_t)1 }) {
				Result result = read(HTTP_READER_RESPONSE, head + "abc", piece);
				EXPECT_EQ(result.status, DW_OK) << head;
				EXPECT_EQ(result.parsed.ends, 1) << head;
				EXPECT_EQ(result.parsed.body, "") << head;
				EXPECT_EQ(result.rest, "abc") << head;
			}
		}
	}
	for (const char *framing :
	     { "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
		std::string head = std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n";
		Result result = read(HTTP_READER_RESPONSE, head + "abc", SIZE_MAX, true);
		EXPECT_EQ(result.parsed.ends, 1) << "to HEAD: " << head;
		EXPECT_EQ(result.rest, "abc") << "to HEAD: " << head;
	}
}

/* Guards against 400 for a request that offers another protocol, which a server may ignore. */
TEST(HttpReader, IgnoresTheOfferOfAnotherProtocol)
{
	Result result = read(HTTP_READER_REQUEST, "POST / HTTP/1.1\r\n" + HOST +
							  "Connection: Upgrade\r\nUpgrade: h2c\r\n"
							  "Content-Length: 3\r\n\r\nabcGET");
	EXPECT_EQ(result.status, DW_OK);
	EXPECT_EQ(result.parsed.body, "abc");
	EXPECT_EQ(result.rest, "GET");
	EXPECT_NE(read(HTTP_READER_RESPONSE, "HTTP/1.1 101 Switching Protocols\r\n"
					     "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
			  .status,
		  DW_OK)
		<< "nothing was offered to the server";
}

TEST(HttpReader, TruncatedResponseFails)
{
	for (const char *text : {
		     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
		     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
		     "HTTP/1.1 200 OK\r\nContent-Le",
		     "not an answer\r\n\r\n",
	     }) {
		Result result = read(HTTP_READER_RESPONSE, text);
		EXPECT_NE(result.status, DW_OK) << text;
		EXPECT_EQ(result.parsed.ends, 0) << text;
	}
}

TEST(HttpReader, FindsFieldsIgnoringCase)
{
	http_head head{};
	head.fields[0] = { "Connection", "close, X-Own" };
	head.fields[1] = { "x-a", "1" };
	head.field_count = 2;
	EXPECT_STREQ(http_head_get(&head, "X-A"), "1");
	EXPECT_EQ(http_head_get(&head, "X-B"), nullptr);
	EXPECT_TRUE(http_head_connection_has_token(&head, "x-own"));
	EXPECT_FALSE(http_head_connection_has_token(&head, "own"));
}

} // namespace
