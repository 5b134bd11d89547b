#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/response_fields.h"
#include "platform/request_fields.h"

#define FIELDS 6
#define VALUE_BYTES 512

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* The input is the values of the fields that are parsed, divided by line feeds. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static const char *const names[FIELDS] = { "Deadline-Ms",   "Token-Usage", "Prompt-Prefix",
						   "Last-Event-Id", "Length-Hint", "Server-Load" };
	struct http_head head = { .method = "POST", .target = "/", .status = 200 };
	char values[FIELDS][VALUE_BYTES] = { { 0 } };
	struct request_fields fields;
	struct response_fields answer;
	size_t at = 0;

	head.fields[head.field_count++] = (struct http_field){ "Attempt-Id", "a" };
	for (size_t i = 0; i < FIELDS && at < len; i++) {
		size_t n = 0;

		for (; at < len && bytes[at] != '\n'; at++) {
			if (n + 1 < VALUE_BYTES && bytes[at] != '\0')
				values[i][n++] = (char)bytes[at];
		}
		at++;
		head.fields[head.field_count++] = (struct http_field){ names[i], values[i] };
	}
	if (request_fields_read(&head, &fields) == DW_OK &&
	    fields.prompt.part_count > DW_PROMPT_PARTS_MAX)
		abort();
	response_fields_read(&head, &answer);
	return 0;
}
