/**
 * @file rollout_codec.h
 * Encodes the roll-out evidence that peers exchange as msgpack.
 *
 * A message is [entries, holds]. An entry is [version_id, release_order, instance_id, incarnation,
 * answers, bad, errors] and a hold is [version_id, release_order]; all are unsigned integers.
 */
#ifndef WHARF_NET_ROLLOUT_CODEC_H
#define WHARF_NET_ROLLOUT_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/rollout.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Appends @p message to @p out. */
void dw_rollout_encode(const struct dw_rollout_message *message, msgpack_packer *out);

/**
 * Decodes a message. A message with too many entries or holds, or with an entry whose bad and error
 * counts together exceed its answers, is rejected as a whole.
 *
 * @return DW_OK or DW_INVALID_ARGUMENT.
 */
enum dw_status dw_rollout_decode(const msgpack_object *object, struct dw_rollout_message *out);

#ifdef __cplusplus
}
#endif

#endif
