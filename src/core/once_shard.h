/**
 * @file once_shard.h
 * The records of one journal shard and the codec of its stored value.
 *
 * The value is one msgpack array: [version, [record, ...]], a record being
 * [key low, key high, fingerprint low, fingerprint high, state, owner instance, owner incarnation,
 * sequence, settles_at, expires_at, http status, content type, body or nil].
 */
#ifndef WHARF_CORE_ONCE_SHARD_H
#define WHARF_CORE_ONCE_SHARD_H

#include <msgpack.h>

#include <dragonflywharf/once.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ONCE_SHARD_VERSION 1
#define DW_ONCE_SHARD_MAX_BYTES 1000000

enum dw_once_state {
	DW_ONCE_STATE_INTENT, /**< may be running */
	DW_ONCE_STATE_DONE, /**< has run, the answer is kept */
	DW_ONCE_STATE_UNKNOWN, /**< may have run, nothing more will be known */
	DW_ONCE_STATE_COUNT
};

struct dw_once_record {
	struct dw_fingerprint key;
	struct dw_fingerprint fingerprint;
	enum dw_once_state state;
	struct dw_member_key owner;
	uint64_t sequence; /**< of the owner's ticket; with the owner it names the intent */
	uint64_t settles_at_us; /**< wall clock; an intent older than this counts as unknown */
	uint64_t expires_at_us; /**< wall clock */
	uint16_t http_status;
	char content_type[DW_ONCE_CONTENT_TYPE_BYTES];
	uint8_t *body; /**< owned; NULL if not kept */
	uint32_t body_bytes;
};

struct dw_once_shard {
	struct dw_once_record *records;
	uint32_t count;
	uint32_t capacity;
};

void dw_once_shard_clear(struct dw_once_shard *shard);

struct dw_once_record *dw_once_shard_find(const struct dw_once_shard *shard,
					  struct dw_fingerprint key);

/** Appends a copy and takes over its body. @return DW_OK or DW_NO_MEMORY. */
enum dw_status dw_once_shard_add(struct dw_once_shard *shard, const struct dw_once_record *record);

void dw_once_shard_remove(struct dw_once_shard *shard, struct dw_once_record *record);

/** Removes records that expired before @p before_us (wall clock). */
void dw_once_shard_expire(struct dw_once_shard *shard, uint64_t before_us);

/**
 * Upper bound of the encoded size, with room for the outcome of each intent, so that an outcome
 * always fits where its intent did.
 */
size_t dw_once_shard_bytes(const struct dw_once_shard *shard, uint32_t max_answer_bytes);

/** The bound for one intent. */
size_t dw_once_shard_intent_bytes(uint32_t max_answer_bytes);

/** Appends the value to @p buffer. @return DW_OK or DW_NO_MEMORY. */
enum dw_status dw_once_shard_encode(const struct dw_once_shard *shard, msgpack_sbuffer *buffer);

/**
 * Reads a value into an empty shard; no bytes give no records. On failure the shard is empty.
 * @return DW_OK, DW_TOO_LARGE, DW_INVALID_ARGUMENT or DW_NO_MEMORY.
 */
enum dw_status dw_once_shard_decode(struct dw_once_shard *shard, const uint8_t *bytes, size_t len);

#ifdef __cplusplus
}
#endif

#endif
