#include "net/view_codec.h"

#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/store_revision.h>

#include "core/msgpack_check.h"
#include "net/msgpack_read.h"

enum answer_field {
	ANSWER_VERSION,
	ANSWER_REVISION,
	ANSWER_ERA_BEGIN,
	ANSWER_HOPS,
	ANSWER_KIND,
	ANSWER_HELD,
	ANSWER_AGE,
	ANSWER_STORE_BACK,
	ANSWER_GAP_FROM,
	ANSWER_GAP_UNTIL,
	ANSWER_RECORDS,
	ANSWER_MEMORY,
	ANSWER_FIELD_COUNT
};

/* What the records of an answer are. */
enum answer_kind { ANSWER_CHANGES, ANSWER_ALL, ANSWER_CHANGES_OVER_GAP, ANSWER_KIND_COUNT };

enum record_field {
	RECORD_KEY,
	RECORD_REVISION,
	RECORD_VALUE,
	RECORD_KEPT_OVER,
	RECORD_LAST_VALUE,
	RECORD_DELETED_FOR,
	RECORD_FIELD_COUNT
};
enum packed_field { PACKED_BASE, PACKED_BYTES, PACKED_FIELD_COUNT };

static bool is_included(const struct dw_view_record *record, const struct view_answer *answer,
			uint64_t after)
{
	if (answer->with_kept && (record->kept_over > 0 || record->was_kept))
		return true;
	if (answer->deleted_since_us > 0 && record->deleted &&
	    record->updated_at_us >= answer->deleted_since_us)
		return true;
	if (answer->is_snapshot)
		return !record->deleted;
	/* What is still kept over a later state is news to who has an earlier one of the same era. */
	return record->revision > after ||
	       (record->kept_over > after &&
		dw_revision_era(record->kept_over) == dw_revision_era(after));
}

static enum answer_kind kind_of(const struct view_answer *answer)
{
	if (answer->is_snapshot)
		return ANSWER_ALL;
	return answer->is_over_gap ? ANSWER_CHANGES_OVER_GAP : ANSWER_CHANGES;
}

static void pack_bytes(msgpack_packer *packer, const uint8_t *bytes, size_t len)
{
	msgpack_pack_bin(packer, len);
	msgpack_pack_bin_body(packer, bytes, len);
}

static void pack_value(msgpack_packer *packer, const struct dw_view_record *record, uint64_t after)
{
	/* The receiver needn't have the value that a kept one was packed against. */
	if (record->kept_over > 0)
		after = 0;
	if (record->deleted) {
		msgpack_pack_nil(packer);
		return;
	}
	if (!dw_view_record_is_packed_for(record, after)) {
		pack_bytes(packer, record->value, record->value_len);
		return;
	}
	msgpack_pack_array(packer, PACKED_FIELD_COUNT);
	msgpack_pack_uint64(packer, record->base_revision);
	pack_bytes(packer, record->packed, record->packed_len);
}

static uint64_t deleted_for_us(const struct dw_view_record *record, uint64_t now_us)
{
	return record->deleted && now_us > record->updated_at_us ? now_us - record->updated_at_us
								 : 0;
}

/* Who knows all changes up to the last value has it, unless it has just started or the store was restored since. */
static bool needs_last_value(const struct dw_view_record *record, const struct view_answer *answer,
			     uint64_t after)
{
	return answer->deleted_since_us > 0 || record->kept_over > 0 ||
	       record->last_revision > after;
}

static void pack_record(msgpack_packer *packer, const struct dw_view_record *record,
			const struct view_answer *answer, uint64_t after)
{
	msgpack_pack_array(packer, RECORD_FIELD_COUNT);
	dw_msgpack_pack_string(packer, record->key);
	msgpack_pack_uint64(packer, record->revision);
	pack_value(packer, record, after);
	msgpack_pack_uint64(packer, record->kept_over);
	if (record->last_value && needs_last_value(record, answer, after))
		pack_bytes(packer, record->last_value, record->last_len);
	else
		msgpack_pack_nil(packer);
	msgpack_pack_uint64(packer, deleted_for_us(record, answer->now_us));
}

static void pack_optional(msgpack_packer *packer, bool is_set, uint64_t value)
{
	if (is_set)
		msgpack_pack_uint64(packer, value);
	else
		msgpack_pack_nil(packer);
}

void view_answer_pack(msgpack_packer *packer, const struct view_answer *answer,
		      const struct dw_view_log *log, uint64_t after)
{
	const struct dw_view_record *record = NULL;
	uint64_t known = answer->is_snapshot ? 0 : after;
	size_t count = 0;

	while ((record = dw_view_log_next(log, record)))
		count += is_included(record, answer, after);
	msgpack_pack_array(packer, ANSWER_FIELD_COUNT);
	msgpack_pack_uint8(packer, VIEW_CODEC_VERSION);
	msgpack_pack_uint64(packer, answer->revision);
	msgpack_pack_uint64(packer, answer->era_begin);
	msgpack_pack_uint32(packer, answer->hops);
	msgpack_pack_uint8(packer, (uint8_t)kind_of(answer));
	msgpack_pack_uint64(packer, answer->held_us);
	pack_optional(packer, answer->has_proof, answer->age_us);
	pack_optional(packer, answer->had_outage, answer->store_back_us);
	pack_optional(packer, answer->has_gap, answer->gap_from_us);
	pack_optional(packer, answer->has_gap, answer->gap_until_us);
	msgpack_pack_array(packer, count);
	while ((record = dw_view_log_next(log, record))) {
		if (is_included(record, answer, after))
			pack_record(packer, record, answer, known);
	}
	msgpack_pack_uint8(packer, answer->has_memory);
}

static bool read_optional(const msgpack_object *object, bool *is_set, uint64_t *value)
{
	*is_set = object->type != MSGPACK_OBJECT_NIL;
	return !*is_set || dw_msgpack_read_uint(object, UINT64_MAX, value);
}

/* Copies bytes to the answer's text, followed by a NUL byte. */
static char *copy_text(char **text, const char *bytes, size_t len)
{
	char *copy = *text;

	/* Empty text may have no bytes to point at. */
	if (len > 0)
		memcpy(copy, bytes, len);
	copy[len] = '\0';
	*text += len + 1;
	return copy;
}

static bool read_packed(const msgpack_object *object, char **text, struct dw_view_record *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, PACKED_FIELD_COUNT);
	const msgpack_object *packed = fields ? &fields[PACKED_BYTES] : NULL;

	if (!fields || packed->type != MSGPACK_OBJECT_BIN ||
	    !dw_msgpack_read_uint(&fields[PACKED_BASE], UINT64_MAX, &out->base_revision))
		return false;
	out->packed_len = packed->via.bin.size;
	out->packed = (uint8_t *)copy_text(text, packed->via.bin.ptr, packed->via.bin.size);
	return true;
}

static bool read_last_value(const msgpack_object *object, char **text, struct dw_view_record *out)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return true;
	if (object->type != MSGPACK_OBJECT_BIN)
		return false;
	out->last_len = object->via.bin.size;
	out->last_value = (uint8_t *)copy_text(text, object->via.bin.ptr, object->via.bin.size);
	return true;
}

static bool read_record(const msgpack_object *object, char **text, struct dw_view_record *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, RECORD_FIELD_COUNT);
	const msgpack_object *value;

	if (!fields || fields[RECORD_KEY].type != MSGPACK_OBJECT_STR ||
	    fields[RECORD_KEY].via.str.size == 0 ||
	    memchr(fields[RECORD_KEY].via.str.ptr, '\0', fields[RECORD_KEY].via.str.size) ||
	    !dw_msgpack_read_uint(&fields[RECORD_REVISION], UINT64_MAX, &out->revision) ||
	    !dw_msgpack_read_uint(&fields[RECORD_KEPT_OVER], UINT64_MAX, &out->kept_over) ||
	    !dw_msgpack_read_uint(&fields[RECORD_DELETED_FOR], UINT64_MAX, &out->deleted_for_us))
		return false;
	out->key = copy_text(text, fields[RECORD_KEY].via.str.ptr, fields[RECORD_KEY].via.str.size);
	value = &fields[RECORD_VALUE];
	out->deleted = value->type == MSGPACK_OBJECT_NIL;
	if (out->deleted)
		return read_last_value(&fields[RECORD_LAST_VALUE], text, out);
	if (value->type == MSGPACK_OBJECT_ARRAY)
		return read_packed(value, text, out);
	if (value->type != MSGPACK_OBJECT_BIN)
		return false;
	out->value_len = value->via.bin.size;
	out->value = (uint8_t *)copy_text(text, value->via.bin.ptr, value->via.bin.size);
	return true;
}

/* Keys and values with their NUL bytes take less than @p len plus two bytes a record. */
static bool read_records(const msgpack_object *object, size_t len, struct view_answer *out)
{
	char *text;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	out->record_count = object->via.array.size;
	out->records = calloc(out->record_count + 1, sizeof(*out->records));
	out->text = malloc(len + 2 * out->record_count + 1);
	if (!out->records || !out->text)
		abort();
	text = out->text;
	for (size_t i = 0; i < out->record_count; i++) {
		if (!read_record(&object->via.array.ptr[i], &text, &out->records[i]))
			return false;
	}
	return true;
}

static bool read_answer(const msgpack_object *object, size_t len, struct view_answer *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, ANSWER_FIELD_COUNT);
	uint64_t kind = 0;
	uint64_t hops = 0;
	bool has_end = false;
	uint64_t has_memory = 0;
	uint64_t version = 0;

	if (!fields ||
	    !dw_msgpack_read_uint(&fields[ANSWER_VERSION], VIEW_CODEC_VERSION, &version) ||
	    version != VIEW_CODEC_VERSION)
		return false;
	if (!dw_msgpack_read_uint(&fields[ANSWER_REVISION], UINT64_MAX, &out->revision) ||
	    !dw_msgpack_read_uint(&fields[ANSWER_ERA_BEGIN], UINT64_MAX, &out->era_begin) ||
	    !dw_msgpack_read_uint(&fields[ANSWER_HOPS], UINT16_MAX, &hops) ||
	    !dw_msgpack_read_uint(&fields[ANSWER_KIND], ANSWER_KIND_COUNT - 1, &kind) ||
	    !dw_msgpack_read_uint(&fields[ANSWER_HELD], UINT64_MAX, &out->held_us) ||
	    !read_optional(&fields[ANSWER_AGE], &out->has_proof, &out->age_us) ||
	    !read_optional(&fields[ANSWER_STORE_BACK], &out->had_outage, &out->store_back_us) ||
	    !read_optional(&fields[ANSWER_GAP_FROM], &out->has_gap, &out->gap_from_us) ||
	    !read_optional(&fields[ANSWER_GAP_UNTIL], &has_end, &out->gap_until_us) ||
	    !dw_msgpack_read_uint(&fields[ANSWER_MEMORY], 1, &has_memory) ||
	    has_end != out->has_gap || (has_end && out->gap_until_us > out->gap_from_us))
		return false;
	out->hops = (uint32_t)hops;
	out->has_memory = has_memory;
	out->is_snapshot = kind == ANSWER_ALL;
	out->is_over_gap = kind == ANSWER_CHANGES_OVER_GAP;
	return read_records(&fields[ANSWER_RECORDS], len, out);
}

enum dw_status view_answer_unpack(const uint8_t *bytes, size_t len, struct view_answer *answer)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	memset(answer, 0, sizeof(*answer));
	status = dw_msgpack_unpack(bytes, len, VIEW_ANSWER_MAX_BYTES, "an answer with records",
				   &unpacked);
	if (status != DW_OK)
		return status;
	if (!read_answer(&unpacked.data, len, answer)) {
		view_answer_free(answer);
		status = dw_fail(DW_INVALID_ARGUMENT,
				 "answer with records: a field has the wrong type or version");
	}
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

void view_answer_free(struct view_answer *answer)
{
	free(answer->records);
	free(answer->text);
	memset(answer, 0, sizeof(*answer));
}
