/**
 * @file rollout_codec.h
 * Roll-out evidence between peers as msgpack.
 *
 * [entries, holds]; an entry is [version_id, release_order, instance_id, incarnation, answers, bad,
 * errors], a hold [version_id, release_order], all unsigned integers.
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
 * Reads a message. What has more entries or holds than a message can carry, or counters that don't
 * belong together, is refused whole.
 *
 * @return DW_OK or DW_INVALID_ARGUMENT.
 */
enum dw_status dw_rollout_decode(const msgpack_object *object, struct dw_rollout_message *out);

#ifdef __cplusplus
}
#endif

#endif
