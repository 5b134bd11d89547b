/**
 * @file ruleset_codec.h
 * msgpack form of configuration deltas and snapshots between daemons.
 */
#ifndef WHARF_NET_RULESET_CODEC_H
#define WHARF_NET_RULESET_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/ruleset.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RULESET_DELTA_ITEMS_MAX 65536U

/** Changes of the revisions (from, to], or all keys as of `to_revision` for a snapshot. */
struct dw_ruleset_delta {
	bool snapshot;
	uint64_t from_revision;
	uint64_t to_revision;
	struct dw_ruleset_item *items;
	size_t count;
};

void dw_ruleset_delta_pack(msgpack_packer *packer, const struct dw_ruleset_delta *delta);

/**
 * The items' bytes are those of @p object; keys are copied. DW_INVALID_ARGUMENT for any other
 * shape. On DW_OK the caller clears the delta.
 */
enum dw_status dw_ruleset_delta_unpack(const msgpack_object *object, struct dw_ruleset_delta *out);

void dw_ruleset_delta_clear(struct dw_ruleset_delta *delta);

#ifdef __cplusplus
}
#endif

#endif
