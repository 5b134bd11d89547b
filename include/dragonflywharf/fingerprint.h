/**
 * @file fingerprint.h
 * A 128-bit fingerprint (XXH3-128) of the parts of a request.
 *
 * Identifies requests; it is not a cryptographic hash.
 */
#ifndef DRAGONFLYWHARF_FINGERPRINT_H
#define DRAGONFLYWHARF_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_fingerprint {
	uint64_t low;
	uint64_t high;
};

struct dw_fingerprint_part {
	const void *bytes;
	size_t len;
};

/** Hash of the parts in order; moving a byte from one part to another changes it. */
struct dw_fingerprint dw_fingerprint_of(const struct dw_fingerprint_part *parts, size_t count);

/** Hash of two strings, for instance organisation and idempotency key (a request id). */
struct dw_fingerprint dw_fingerprint_strings(const char *first, const char *second);

/**
 * Hash of organisation, path and body; identifies requests that are suspected of causing crashes.
 */
struct dw_fingerprint dw_fingerprint_request(const char *organisation, const char *path,
					     const void *body, size_t body_len);

/** Bytes of a fingerprint as text, including the NUL. */
#define DW_FINGERPRINT_TEXT_BYTES 33

/** Writes the fingerprint as 32 hexadecimal digits. */
void dw_fingerprint_text(struct dw_fingerprint fingerprint, char out[DW_FINGERPRINT_TEXT_BYTES]);

/** Reads such a text. @return false if it is malformed */
bool dw_fingerprint_parse(const char *text, struct dw_fingerprint *out);

static inline bool dw_fingerprint_equal(struct dw_fingerprint a, struct dw_fingerprint b)
{
	return a.low == b.low && a.high == b.high;
}

#ifdef __cplusplus
}
#endif

#endif
