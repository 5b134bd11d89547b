#include "core/usage_batch.h"

#include <string.h>

#include "core/msgpack_check.h"

enum usage_field {
	FIELD_ID_LOW,
	FIELD_ID_HIGH,
	FIELD_ORGANISATION,
	FIELD_MODEL,
	FIELD_VERSION,
	FIELD_PROMPT_TOKENS,
	FIELD_COMPLETION_TOKENS,
	FIELD_COST,
	FIELD_FINISHED_AT,
	FIELD_COUNT
};

static int pack_name(msgpack_packer *packer, const char *name)
{
	size_t len = strnlen(name, DW_USAGE_NAME_BYTES - 1);
	int failed = msgpack_pack_str(packer, len);

	return failed | msgpack_pack_str_body(packer, name, len);
}

int dw_usage_record_pack(msgpack_packer *packer, const struct dw_usage_record *record)
{
	int failed = msgpack_pack_array(packer, FIELD_COUNT);

	failed |= msgpack_pack_uint64(packer, record->request_id.low);
	failed |= msgpack_pack_uint64(packer, record->request_id.high);
	failed |= pack_name(packer, record->organisation);
	failed |= pack_name(packer, record->model);
	failed |= pack_name(packer, record->version);
	failed |= msgpack_pack_uint32(packer, record->prompt_tokens);
	failed |= msgpack_pack_uint32(packer, record->completion_tokens);
	failed |= msgpack_pack_uint64(packer, record->cost_micros);
	failed |= msgpack_pack_uint64(packer, record->finished_at_us);
	return failed;
}

static bool read_name(const msgpack_object *object, char name[DW_USAGE_NAME_BYTES])
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= DW_USAGE_NAME_BYTES)
		return false;
	memset(name, 0, DW_USAGE_NAME_BYTES);
	/* An empty name may have no bytes to point at. */
	if (object->via.str.size == 0)
		return true;
	if (memchr(object->via.str.ptr, 0, object->via.str.size))
		return false;
	memcpy(name, object->via.str.ptr, object->via.str.size);
	return true;
}

static bool read_integer(const msgpack_object *object, uint64_t max, uint64_t *integer)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return false;
	*integer = object->via.u64;
	return true;
}

bool dw_usage_record_read(const msgpack_object *object, struct dw_usage_record *record)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;

	*record = (struct dw_usage_record){ 0 };
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != FIELD_COUNT)
		return false;
	if (!read_integer(&fields[FIELD_ID_LOW], UINT64_MAX, &record->request_id.low) ||
	    !read_integer(&fields[FIELD_ID_HIGH], UINT64_MAX, &record->request_id.high) ||
	    !read_integer(&fields[FIELD_PROMPT_TOKENS], UINT32_MAX, &prompt_tokens) ||
	    !read_integer(&fields[FIELD_COMPLETION_TOKENS], UINT32_MAX, &completion_tokens) ||
	    !read_integer(&fields[FIELD_COST], UINT64_MAX, &record->cost_micros) ||
	    !read_integer(&fields[FIELD_FINISHED_AT], UINT64_MAX, &record->finished_at_us))
		return false;
	record->prompt_tokens = (uint32_t)prompt_tokens;
	record->completion_tokens = (uint32_t)completion_tokens;
	return read_name(&fields[FIELD_ORGANISATION], record->organisation) &&
	       read_name(&fields[FIELD_MODEL], record->model) &&
	       read_name(&fields[FIELD_VERSION], record->version);
}

typedef enum dw_status (*usage_callback)(const struct dw_usage_record *record, void *data);

static enum dw_status read_batch(const msgpack_object *value, usage_callback each, void *data)
{
	const msgpack_object *parts = value->via.array.ptr;
	const msgpack_object_array *list;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size != 2 ||
	    parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[0].via.u64 != DW_USAGE_BATCH_VERSION || parts[1].type != MSGPACK_OBJECT_ARRAY)
		return dw_fail(
			DW_INVALID_ARGUMENT,
			"usage batch: malformed value or unknown version, expected [%d, records]",
			DW_USAGE_BATCH_VERSION);
	list = &parts[1].via.array;
	for (uint32_t i = 0; i < list->size; i++) {
		struct dw_usage_record record;
		enum dw_status status;

		if (!dw_usage_record_read(&list->ptr[i], &record))
			return dw_fail(DW_INVALID_ARGUMENT, "usage batch: malformed record %u", i);
		status = each(&record, data);
		if (status != DW_OK)
			return status;
	}
	return DW_OK;
}

enum dw_status dw_usage_batch_decode(const uint8_t *bytes, size_t len, usage_callback each,
				     void *data)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	status = dw_msgpack_unpack(bytes, len, DW_USAGE_BATCH_MAX_BYTES, "usage batch", &unpacked);
	if (status != DW_OK)
		return status;
	status = read_batch(&unpacked.data, each, data);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
