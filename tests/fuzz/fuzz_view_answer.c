#include <stdlib.h>

#include "net/value_codec.h"
#include "net/view_codec.h"

#define VALUE_MAX_BYTES (UINT64_C(1) << 16)

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Arbitrary answers of other instances must not crash the decoder; an accepted one is complete. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct value_bytes packed = { bytes, len };
	struct view_answer answer;
	struct bytes value = { 0 };

	value_unpack(packed, (struct value_bytes){ 0 }, VALUE_MAX_BYTES, &value);
	bytes_free(&value);
	if (view_answer_unpack(bytes, len, &answer) != DW_OK)
		return 0;
	for (size_t i = 0; i < answer.record_count; i++) {
		if (!answer.records[i].key ||
		    answer.records[i].deleted !=
			    (!answer.records[i].value && !answer.records[i].packed))
			abort();
	}
	view_answer_free(&answer);
	return 0;
}
