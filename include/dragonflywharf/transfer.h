/**
 * @file transfer.h
 * How long to wait for an answer that may be large: one that keeps arriving is waited for, as a new
 * call would have to begin again over the same link; one that trickles isn't waited for without end.
 */
#ifndef DRAGONFLYWHARF_TRANSFER_H
#define DRAGONFLYWHARF_TRANSFER_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_transfer {
	uint64_t due_us; /**< the next byte has to come before */
	uint64_t end_us; /**< the whole answer has to come before */
};

/** The call is sent now, and the first byte of its answer is due at @p first_byte_due_us. */
void dw_transfer_start(struct dw_transfer *transfer, uint64_t first_byte_due_us, uint64_t now_us);

/** A part of the answer came; the next one is due in @p silence_us. */
void dw_transfer_received(struct dw_transfer *transfer, uint64_t silence_us, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
