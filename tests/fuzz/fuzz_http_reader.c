#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_reader.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

struct parse_result {
	size_t heads;
	size_t body_bytes;
	size_t ends;
};

static bool on_head(void *owner, const struct http_head *head)
{
	((struct parse_result *)owner)->heads++;
	for (size_t i = 0; i < head->field_count; i++) {
		if (strpbrk(head->fields[i].name, " \t\r\n") ||
		    strpbrk(head->fields[i].value, "\r\n"))
			abort();
	}
	return true;
}

static bool on_body(void *owner, const char *bytes, size_t len)
{
	((struct parse_result *)owner)->body_bytes += len;
	return true;
}

static void on_end(void *owner)
{
	((struct parse_result *)owner)->ends++;
}

static const struct http_reader_callbacks callbacks = { on_head, on_body, on_end };

static struct parse_result read_all(enum http_reader_kind kind, bool skip_body, const char *text,
				    size_t len, size_t piece)
{
	struct http_reader reader;
	struct parse_result parse_result = { 0 };
	enum dw_status status = DW_OK;
	size_t at = 0;

	http_reader_init(&reader, kind, 2048, &callbacks, &parse_result);
	reader.skip_body = skip_body;
	while (at < len && status == DW_OK) {
		size_t n = len - at < piece ? len - at : piece;
		size_t used = 0;

		status = http_reader_feed(&reader, text + at, n, &used);
		if (reader.is_complete)
			http_reader_next(&reader);
		at += used;
	}
	http_reader_close(&reader);
	return parse_result;
}

/* The numbers of heads and of complete messages must not depend on how the input is split. The
 * first byte of the input selects requests or responses, and whether these are to HEAD; the second one
 * selects the size of the pieces. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	enum http_reader_kind kind;
	bool skip_body;
	struct parse_result whole;
	struct parse_result pieces;

	if (len < 2)
		return 0;
	kind = bytes[0] % HTTP_READER_KIND_COUNT;
	skip_body = bytes[0] & 2;
	whole = read_all(kind, skip_body, (const char *)bytes + 2, len - 2, SIZE_MAX);
	pieces = read_all(kind, skip_body, (const char *)bytes + 2, len - 2, 1 + bytes[1] % 7);
	if (whole.heads != pieces.heads || whole.ends != pieces.ends)
		abort();
	return 0;
}
