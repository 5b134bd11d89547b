/**
 * @file fingerprint.h
 * A 128-bit fingerprint (XXH3-128) of the parts of a request.
 *
 * It tells requests apart; it isn't a cryptographic hash.
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

/** Hash of the parts with their lengths, so that moving a byte between parts changes it. */
struct dw_fingerprint dw_fingerprint_of(const struct dw_fingerprint_part *parts, size_t count);

/** Hash of two texts, for instance organisation and idempotency key (a request id). */
struct dw_fingerprint dw_fingerprint_strings(const char *first, const char *second);

/** Hash of organisation, path and body: the request as a suspect of a crash. */
struct dw_fingerprint dw_fingerprint_request(const char *organisation, const char *path,
					     const void *body, size_t body_len);

static inline bool dw_fingerprint_equal(struct dw_fingerprint a, struct dw_fingerprint b)
{
	return a.low == b.low && a.high == b.high;
}

#ifdef __cplusplus
}
#endif

#endif
