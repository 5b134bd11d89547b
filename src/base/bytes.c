#include "base/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_SIZE 512

size_t bytes_growth(const struct bytes *bytes, size_t len)
{
	size_t size = bytes->size ? bytes->size : INITIAL_SIZE;

	if (bytes->len + len <= bytes->size)
		return 0;
	while (size < bytes->len + len)
		size *= 2;
	return size - bytes->size;
}

static void reserve(struct bytes *bytes, size_t len)
{
	bytes_reserve(bytes, bytes->size + bytes_growth(bytes, len));
}

void bytes_reserve(struct bytes *bytes, size_t len)
{
	if (len <= bytes->size)
		return;
	bytes->data = realloc(bytes->data, len);
	if (!bytes->data)
		abort();
	bytes->size = len;
}

void bytes_put(struct bytes *bytes, const void *data, size_t len)
{
	if (len == 0)
		return;
	reserve(bytes, len);
	memcpy(bytes->data + bytes->len, data, len);
	bytes->len += len;
}

void bytes_put_text(struct bytes *bytes, const char *text)
{
	bytes_put(bytes, text, strlen(text));
}

void bytes_printf(struct bytes *bytes, const char *format, ...)
{
	va_list arguments;
	int len;

	va_start(arguments, format);
	len = vsnprintf(NULL, 0, format, arguments);
	va_end(arguments);
	if (len <= 0)
		return;
	reserve(bytes, (size_t)len + 1);
	va_start(arguments, format);
	vsnprintf(bytes->data + bytes->len, (size_t)len + 1, format, arguments);
	va_end(arguments);
	bytes->len += (size_t)len;
}

void bytes_consume(struct bytes *bytes, size_t len)
{
	if (len < bytes->len)
		memmove(bytes->data, bytes->data + len, bytes->len - len);
	bytes->len -= len < bytes->len ? len : bytes->len;
}

void bytes_free(struct bytes *bytes)
{
	free(bytes->data);
	memset(bytes, 0, sizeof(*bytes));
}
