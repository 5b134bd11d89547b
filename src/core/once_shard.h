/**
 * @file once_shard.h
 * The records of one journal shard and the encoding of its stored value.
 *
 * The value is a msgpack array [version, [record, ...]]. A record is the array [key low, key high,
 * fingerprint low, fingerprint high, state, owner instance, owner incarnation, sequence,
 * unknown_after, expires_at, http status, content type, body or nil].
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

enum dw_once_record_state {
	DW_ONCE_STATE_INTENT, /**< the call may be running */
	DW_ONCE_STATE_DONE, /**< the call has run and its answer is stored */
	DW_ONCE_STATE_UNKNOWN, /**< the call may have run; its result will never be known */
	DW_ONCE_STATE_COUNT
};

struct dw_once_record {
	struct dw_fingerprint key;
	struct dw_fingerprint fingerprint;
	enum dw_once_record_state state;
	struct dw_member_key owner;
	uint64_t sequence; /**< id of the owner's ticket; owner and sequence identify the intent */
	/** wall clock; after this time an intent counts as of unknown outcome */
	uint64_t unknown_after_us;
	uint64_t expires_at_us; /**< wall clock */
	uint16_t http_status;
	char content_type[DW_ONCE_CONTENT_TYPE_BYTES];
	uint8_t *body; /**< owned; NULL if not stored */
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

/**
 * Appends a copy of @p record, which takes ownership of its body. @return DW_OK or DW_NO_MEMORY.
 */
enum dw_status dw_once_shard_add(struct dw_once_shard *shard, const struct dw_once_record *record);

void dw_once_shard_remove(struct dw_once_shard *shard, struct dw_once_record *record);

/** Removes records that expired before @p before_us (wall clock). */
void dw_once_shard_expire(struct dw_once_shard *shard, uint64_t before_us);

/**
 * Upper bound on the encoded size. Each intent is counted at the size of its largest possible
 * outcome, so that storing an outcome never exceeds the limit.
 */
size_t dw_once_shard_bytes(const struct dw_once_shard *shard, uint32_t max_answer_bytes);

/** Upper bound on the encoded size of one intent and its outcome. */
size_t dw_once_shard_intent_bytes(uint32_t max_answer_bytes);

/** Appends the encoded value to @p buffer. @return DW_OK or DW_NO_MEMORY. */
enum dw_status dw_once_shard_encode(const struct dw_once_shard *shard, msgpack_sbuffer *buffer);

/**
 * Decodes a value into an empty shard; zero bytes give an empty shard. On failure the shard is
 * empty.
 *
 * @return DW_OK, DW_TOO_LARGE, DW_INVALID_ARGUMENT or DW_NO_MEMORY.
 */
enum dw_status dw_once_shard_decode(struct dw_once_shard *shard, const uint8_t *bytes, size_t len);

#ifdef __cplusplus
}
#endif

#endif
