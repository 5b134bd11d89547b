/**
 * @file bytes.h
 * A growable byte buffer. Zero-initialise before first use. Aborts if out of memory.
 */
#ifndef WHARF_BASE_BYTES_H
#define WHARF_BASE_BYTES_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct bytes {
	char *data;
	size_t len; /**< bytes in use */
	size_t size; /**< bytes allocated */
};

/** Allocates exactly @p len bytes in all, unless there are as many already. */
void bytes_reserve(struct bytes *bytes, size_t len);

/** By how much the allocation grows when @p len bytes are appended. */
size_t bytes_growth(const struct bytes *bytes, size_t len);

/** Append bytes, a string without its NUL, or formatted text. */
void bytes_put(struct bytes *bytes, const void *data, size_t len);
void bytes_put_text(struct bytes *bytes, const char *text);
void bytes_printf(struct bytes *bytes, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Removes the first @p len bytes. */
void bytes_consume(struct bytes *bytes, size_t len);

void bytes_free(struct bytes *bytes);

#ifdef __cplusplus
}
#endif

#endif
