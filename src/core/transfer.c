#include <dragonflywharf/transfer.h>

/* The whole answer may take this many times as long as its first byte may. */
#define WHOLE_FACTOR 4

void dw_transfer_start(struct dw_transfer *transfer, uint64_t first_byte_due_us, uint64_t now_us)
{
	uint64_t wait_us = first_byte_due_us > now_us ? first_byte_due_us - now_us : 0;

	transfer->due_us = now_us + wait_us;
	transfer->end_us = wait_us < (UINT64_MAX - now_us) / WHOLE_FACTOR
				   ? now_us + WHOLE_FACTOR * wait_us
				   : UINT64_MAX;
}

void dw_transfer_received(struct dw_transfer *transfer, uint64_t silence_us, uint64_t now_us)
{
	uint64_t due_us = now_us + silence_us;

	transfer->due_us = due_us < transfer->end_us ? due_us : transfer->end_us;
}
