/**
 * @file part_codec.h
 * Messages about parts of prompts under which upstreams crash, see part_quarantine.h: one flat array, a
 * row for each piece of news.
 */
#ifndef WHARF_NET_PART_CODEC_H
#define WHARF_NET_PART_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/part_quarantine.h>
#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Pieces of news in a message at most. */
#define PART_MESSAGE_ENTRIES 32

/** Appends a message. @return DW_OK, DW_TOO_LARGE or DW_NO_MEMORY */
enum dw_status part_message_encode(const struct dw_part_news *news, size_t count,
				   msgpack_sbuffer *buffer);

/** @return DW_OK, DW_TOO_LARGE or DW_INVALID_ARGUMENT; then nothing of the message is used */
enum dw_status part_message_decode(const uint8_t *bytes, size_t len,
				   struct dw_part_news news[PART_MESSAGE_ENTRIES], size_t *count);

#ifdef __cplusplus
}
#endif

#endif
