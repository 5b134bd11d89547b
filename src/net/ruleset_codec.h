/**
 * @file ruleset_codec.h
 * Encodes the configuration deltas and snapshots that daemons exchange as msgpack.
 */
#ifndef WHARF_NET_RULESET_CODEC_H
#define WHARF_NET_RULESET_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/ruleset.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of items in a delta; decoding rejects more. */
#define DW_RULESET_DELTA_ITEMS_MAX 65536U

/**
 * Changes made after `from_revision` up to and including `to_revision`, or for a snapshot all keys
 * as of `to_revision`.
 */
struct dw_ruleset_delta {
	bool snapshot;
	uint64_t from_revision;
	uint64_t to_revision;
	struct dw_ruleset_item *items;
	size_t count;
};

/** Packs @p delta. */
void dw_ruleset_delta_pack(msgpack_packer *packer, const struct dw_ruleset_delta *delta);

/**
 * Decodes a delta. Keys are copied; the items' bytes point into @p object, which must outlive the
 * delta. On DW_OK the caller must call dw_ruleset_delta_clear().
 * @return DW_OK, or DW_INVALID_ARGUMENT if the delta is malformed or memory runs out.
 */
enum dw_status dw_ruleset_delta_unpack(const msgpack_object *object, struct dw_ruleset_delta *out);

/** Frees the items and their keys. */
void dw_ruleset_delta_clear(struct dw_ruleset_delta *delta);

#ifdef __cplusplus
}
#endif

#endif
