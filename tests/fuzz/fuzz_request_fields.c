#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/response_fields.h"
#include "platform/request_fields.h"

#define FIELD_COUNT 6
#define MAX_VALUE_BYTES 512

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* The input holds the values of the parsed header fields, separated by line feeds. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static const char *const names[FIELD_COUNT] = { "Deadline-Ms",	 "Token-Usage",
							"Prompt-Prefix", "Last-Event-Id",
							"Length-Hint",	 "Server-Load" };
	struct http_head head = { .method = "POST", .target = "/", .status = 200 };
	char values[FIELD_COUNT][MAX_VALUE_BYTES] = { { 0 } };
	struct request_fields fields;
	struct response_fields response;
	size_t pos = 0;

	head.fields[head.field_count++] = (struct http_field){ "Attempt-Id", "a" };
	for (size_t i = 0; i < FIELD_COUNT && pos < len; i++) {
		size_t value_len = 0;

		for (; pos < len && bytes[pos] != '\n'; pos++) {
			if (value_len + 1 < MAX_VALUE_BYTES && bytes[pos] != '\0')
				values[i][value_len++] = (char)bytes[pos];
		}
		pos++;
		head.fields[head.field_count++] = (struct http_field){ names[i], values[i] };
	}
	if (request_fields_read(&head, &fields) == DW_OK &&
	    fields.prompt.part_count > DW_PROMPT_PARTS_MAX)
		abort();
	response_fields_read(&head, &response);
	return 0;
}
