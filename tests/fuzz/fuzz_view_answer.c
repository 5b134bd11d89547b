#include <stdlib.h>

#include "net/view_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Arbitrary answers of other instances must not crash the decoder; an accepted one is complete. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct view_answer answer;

	if (view_answer_unpack(bytes, len, &answer) != DW_OK)
		return 0;
	for (size_t i = 0; i < answer.record_count; i++) {
		if (!answer.records[i].key ||
		    answer.records[i].deleted != (answer.records[i].value == NULL))
			abort();
	}
	view_answer_free(&answer);
	return 0;
}
