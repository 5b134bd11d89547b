#include <stdlib.h>

#include <dragonflywharf/session_pins.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Arbitrary digests must not crash the reader or pin a session to a use in the future. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_session_pins *pins = dw_session_pins_new();
	const uint64_t now_us = 10000000;

	dw_session_pins_read(pins, DW_SPREAD_EVERYWHERE, bytes, len, now_us);
	dw_session_pins_expire(pins, now_us + 1);
	if (dw_session_pins_count(pins) != 0)
		abort();
	dw_session_pins_free(pins);
	return 0;
}
