/**
 * @file ruleset_codec.h
 * Configuration between peers as msgpack.
 *
 * [kind, from_revision, to_revision, digest, [[key, mod_revision, deleted, bytes] ...]]
 */
#ifndef WHARF_NET_RULESET_CODEC_H
#define WHARF_NET_RULESET_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/ruleset.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_RULESET_MESSAGE_MAX_BYTES (8 * 1024 * 1024)
#define DW_RULESET_MESSAGE_ITEMS_MAX 65536

enum dw_ruleset_message_kind {
	DW_RULESET_PULL, /**< asks for what has changed after from_revision */
	DW_RULESET_DELTA,
	DW_RULESET_SNAPSHOT,
	DW_RULESET_MESSAGE_KIND_COUNT
};

struct dw_ruleset_message {
	enum dw_ruleset_message_kind kind;
	uint64_t from_revision;
	uint64_t to_revision;
	uint64_t digest; /**< of the sender's ruleset */
	struct dw_ruleset_item *items;
	size_t count;
	char *storage; /**< keys and values of a decoded message */
};

/** Appends a message; its items may be borrowed. */
void dw_ruleset_codec_encode(const struct dw_ruleset_message *message, msgpack_sbuffer *out);

/** Appends the PULL of an instance with this ruleset. */
void dw_ruleset_codec_encode_pull(const struct dw_ruleset *ruleset, msgpack_sbuffer *out);

/** Appends the DELTA or SNAPSHOT for a peer that is complete up to @p since. */
void dw_ruleset_codec_encode_since(const struct dw_ruleset *ruleset, uint64_t since,
				   msgpack_sbuffer *out);

/**
 * Free the message with dw_ruleset_message_release(), not needed after a failure.
 * Errors: DW_INVALID_ARGUMENT, DW_TOO_LARGE, DW_NO_MEMORY.
 */
enum dw_status dw_ruleset_codec_decode(const void *bytes, size_t len,
				       struct dw_ruleset_message *message);

void dw_ruleset_message_release(struct dw_ruleset_message *message);

/** Applies a DELTA or SNAPSHOT. Errors: those of the apply functions. */
enum dw_status dw_ruleset_message_apply(const struct dw_ruleset_message *message,
					struct dw_ruleset *ruleset,
					struct dw_ruleset_result *result);

#ifdef __cplusplus
}
#endif

#endif
