#include "core/once_shard.h"

#include <stdlib.h>
#include <string.h>

#include "core/msgpack_check.h"

/*
 * A record without content type and body: nine integers of up to 9 bytes, two smaller ones and the
 * headers, at most 93 bytes together, rounded up.
 */
#define RECORD_OVERHEAD_BYTES 128
#define VALUE_HEADER_BYTES 16
#define INITIAL_CAPACITY 16

enum record_field {
	FIELD_KEY_LOW,
	FIELD_KEY_HIGH,
	FIELD_FINGERPRINT_LOW,
	FIELD_FINGERPRINT_HIGH,
	FIELD_STATE,
	FIELD_INSTANCE,
	FIELD_INCARNATION,
	FIELD_SEQUENCE,
	FIELD_UNKNOWN_AFTER,
	FIELD_EXPIRES_AT,
	FIELD_HTTP_STATUS,
	FIELD_CONTENT_TYPE,
	FIELD_BODY,
	FIELD_COUNT
};

void dw_once_shard_clear(struct dw_once_shard *shard)
{
	for (uint32_t i = 0; i < shard->count; i++)
		free(shard->records[i].body);
	free(shard->records);
	*shard = (struct dw_once_shard){ 0 };
}

struct dw_once_record *dw_once_shard_find(const struct dw_once_shard *shard,
					  struct dw_fingerprint key)
{
	for (uint32_t i = 0; i < shard->count; i++) {
		if (dw_fingerprint_equal(shard->records[i].key, key))
			return &shard->records[i];
	}
	return NULL;
}

enum dw_status dw_once_shard_add(struct dw_once_shard *shard, const struct dw_once_record *record)
{
	if (shard->count == shard->capacity) {
		uint32_t capacity = shard->capacity ? shard->capacity * 2 : INITIAL_CAPACITY;
		struct dw_once_record *records =
			realloc(shard->records, capacity * sizeof(*records));

		if (!records)
			return dw_fail(DW_NO_MEMORY, "journal shard: out of memory");
		shard->records = records;
		shard->capacity = capacity;
	}
	shard->records[shard->count++] = *record;
	return DW_OK;
}

void dw_once_shard_remove(struct dw_once_shard *shard, struct dw_once_record *record)
{
	free(record->body);
	*record = shard->records[--shard->count];
}

void dw_once_shard_expire(struct dw_once_shard *shard, uint64_t before_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < shard->count; i++) {
		if (shard->records[i].expires_at_us < before_us)
			free(shard->records[i].body);
		else
			shard->records[kept++] = shard->records[i];
	}
	shard->count = kept;
}

size_t dw_once_shard_intent_bytes(uint32_t max_answer_bytes)
{
	return RECORD_OVERHEAD_BYTES + DW_ONCE_CONTENT_TYPE_BYTES + max_answer_bytes;
}

size_t dw_once_shard_bytes(const struct dw_once_shard *shard, uint32_t max_answer_bytes)
{
	size_t bytes = VALUE_HEADER_BYTES;

	for (uint32_t i = 0; i < shard->count; i++) {
		const struct dw_once_record *record = &shard->records[i];

		if (record->state == DW_ONCE_STATE_INTENT)
			bytes += dw_once_shard_intent_bytes(max_answer_bytes);
		else
			bytes += RECORD_OVERHEAD_BYTES + strlen(record->content_type) +
				 record->body_bytes;
	}
	return bytes;
}

/*
 * The packer reports a failed allocation by a negative result; any such result fails the encoding.
 */
static int pack_integers(msgpack_packer *packer, const struct dw_once_record *record)
{
	int failed = msgpack_pack_array(packer, FIELD_COUNT);

	failed |= msgpack_pack_uint64(packer, record->key.low);
	failed |= msgpack_pack_uint64(packer, record->key.high);
	failed |= msgpack_pack_uint64(packer, record->fingerprint.low);
	failed |= msgpack_pack_uint64(packer, record->fingerprint.high);
	failed |= msgpack_pack_uint8(packer, (uint8_t)record->state);
	failed |= msgpack_pack_uint64(packer, record->owner.instance_id);
	failed |= msgpack_pack_uint64(packer, record->owner.incarnation);
	failed |= msgpack_pack_uint64(packer, record->sequence);
	failed |= msgpack_pack_uint64(packer, record->unknown_after_us);
	failed |= msgpack_pack_uint64(packer, record->expires_at_us);
	failed |= msgpack_pack_uint16(packer, record->http_status);
	return failed;
}

static int pack_answer(msgpack_packer *packer, const struct dw_once_record *record)
{
	size_t type_len = strlen(record->content_type);
	int failed = msgpack_pack_str(packer, type_len);

	failed |= msgpack_pack_str_body(packer, record->content_type, type_len);
	if (!record->body)
		return failed | msgpack_pack_nil(packer);
	failed |= msgpack_pack_bin(packer, record->body_bytes);
	failed |= msgpack_pack_bin_body(packer, record->body, record->body_bytes);
	return failed;
}

enum dw_status dw_once_shard_encode(const struct dw_once_shard *shard, msgpack_sbuffer *buffer)
{
	msgpack_packer packer;
	int failed;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, 2);
	failed |= msgpack_pack_uint8(&packer, DW_ONCE_SHARD_VERSION);
	failed |= msgpack_pack_array(&packer, shard->count);
	for (uint32_t i = 0; i < shard->count; i++) {
		failed |= pack_integers(&packer, &shard->records[i]);
		failed |= pack_answer(&packer, &shard->records[i]);
	}
	if (failed)
		return dw_fail(DW_NO_MEMORY, "journal shard: out of memory");
	return DW_OK;
}

static bool read_body(const msgpack_object *object, struct dw_once_record *record)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return true;
	if (object->type != MSGPACK_OBJECT_BIN)
		return false;
	record->body = malloc(object->via.bin.size + 1);
	if (!record->body)
		return false;
	/* Empty values may have no bytes to point at. */
	if (object->via.bin.size > 0)
		memcpy(record->body, object->via.bin.ptr, object->via.bin.size);
	record->body_bytes = object->via.bin.size;
	return true;
}

static bool read_record(const msgpack_object *object, struct dw_once_record *record)
{
	const msgpack_object *fields = object->via.array.ptr;
	const msgpack_object *type;

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != FIELD_COUNT)
		return false;
	for (int i = 0; i <= FIELD_HTTP_STATUS; i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	}
	type = &fields[FIELD_CONTENT_TYPE];
	if (fields[FIELD_STATE].via.u64 >= DW_ONCE_STATE_COUNT ||
	    fields[FIELD_HTTP_STATUS].via.u64 > UINT16_MAX || type->type != MSGPACK_OBJECT_STR ||
	    type->via.str.size >= DW_ONCE_CONTENT_TYPE_BYTES)
		return false;
	*record = (struct dw_once_record){
		.key = { fields[FIELD_KEY_LOW].via.u64, fields[FIELD_KEY_HIGH].via.u64 },
		.fingerprint = { fields[FIELD_FINGERPRINT_LOW].via.u64,
				 fields[FIELD_FINGERPRINT_HIGH].via.u64 },
		.state = (enum dw_once_record_state)fields[FIELD_STATE].via.u64,
		.owner = { fields[FIELD_INSTANCE].via.u64, fields[FIELD_INCARNATION].via.u64 },
		.sequence = fields[FIELD_SEQUENCE].via.u64,
		.unknown_after_us = fields[FIELD_UNKNOWN_AFTER].via.u64,
		.expires_at_us = fields[FIELD_EXPIRES_AT].via.u64,
		.http_status = (uint16_t)fields[FIELD_HTTP_STATUS].via.u64,
	};
	if (type->via.str.size > 0)
		memcpy(record->content_type, type->via.str.ptr, type->via.str.size);
	return read_body(&fields[FIELD_BODY], record);
}

static enum dw_status read_value(struct dw_once_shard *shard, const msgpack_object *value)
{
	const msgpack_object *parts = value->via.array.ptr;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size != 2 ||
	    parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[1].type != MSGPACK_OBJECT_ARRAY)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "journal shard: malformed value, not an array [version, records]");
	if (parts[0].via.u64 != DW_ONCE_SHARD_VERSION)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "journal shard: unknown version %llu, expected %d",
			       (unsigned long long)parts[0].via.u64, DW_ONCE_SHARD_VERSION);
	for (uint32_t i = 0; i < parts[1].via.array.size; i++) {
		struct dw_once_record record;
		enum dw_status status;

		if (!read_record(&parts[1].via.array.ptr[i], &record))
			return dw_fail(DW_INVALID_ARGUMENT, "journal shard: malformed record %u",
				       i);
		status = dw_once_shard_add(shard, &record);
		if (status != DW_OK) {
			free(record.body);
			return status;
		}
	}
	return DW_OK;
}

enum dw_status dw_once_shard_decode(struct dw_once_shard *shard, const uint8_t *bytes, size_t len)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	if (len == 0)
		return DW_OK;
	status = dw_msgpack_unpack(bytes, len, DW_ONCE_SHARD_MAX_BYTES, "journal shard", &unpacked);
	if (status != DW_OK)
		return status;
	status = read_value(shard, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (status != DW_OK)
		dw_once_shard_clear(shard);
	return status;
}
