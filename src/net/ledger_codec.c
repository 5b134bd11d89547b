#include "net/ledger_codec.h"

#include "core/msgpack_check.h"
#include "core/usage_batch.h"

enum message_field {
	FIELD_KIND,
	FIELD_INSTANCE,
	FIELD_INCARNATION,
	FIELD_WRITTEN_SEQ,
	FIELD_SEQ,
	FIELD_RECORDS,
	FIELD_COUNT
};

enum dw_status dw_ledger_message_encode(const struct dw_ledger_message *message,
					msgpack_sbuffer *buffer)
{
	msgpack_packer packer;
	int failed;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	failed = msgpack_pack_array(&packer, FIELD_COUNT);
	failed |= msgpack_pack_uint8(&packer, (uint8_t)message->kind);
	failed |= msgpack_pack_uint64(&packer, message->owner.instance_id);
	failed |= msgpack_pack_uint64(&packer, message->owner.incarnation);
	failed |= msgpack_pack_uint64(&packer, message->written_seq);
	failed |= msgpack_pack_uint64(&packer, message->seq);
	failed |= msgpack_pack_array(&packer, message->record_count);
	for (uint32_t i = 0; i < message->record_count; i++)
		failed |= dw_usage_record_pack(&packer, &message->records[i]);
	if (failed)
		return dw_fail(DW_NO_MEMORY, "ledger message: out of memory");
	return DW_OK;
}

static enum dw_status read_message(const msgpack_object *value, struct dw_ledger_message *message)
{
	const msgpack_object *fields = value->via.array.ptr;
	const msgpack_object_array *records;

	if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size != FIELD_COUNT)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ledger message: wrong type or number of fields");
	for (int i = 0; i < FIELD_RECORDS; i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return dw_fail(DW_INVALID_ARGUMENT, "ledger message: malformed field %d",
				       i);
	}
	if (fields[FIELD_KIND].via.u64 >= DW_LEDGER_MESSAGE_KIND_COUNT ||
	    fields[FIELD_RECORDS].type != MSGPACK_OBJECT_ARRAY ||
	    fields[FIELD_RECORDS].via.array.size > DW_LEDGER_MESSAGE_RECORDS)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ledger message: kind or record list out of range");
	message->kind = (enum dw_ledger_message_kind)fields[FIELD_KIND].via.u64;
	message->owner.instance_id = fields[FIELD_INSTANCE].via.u64;
	message->owner.incarnation = fields[FIELD_INCARNATION].via.u64;
	message->written_seq = fields[FIELD_WRITTEN_SEQ].via.u64;
	message->seq = fields[FIELD_SEQ].via.u64;
	records = &fields[FIELD_RECORDS].via.array;
	message->record_count = records->size;
	for (uint32_t i = 0; i < records->size; i++) {
		if (!dw_usage_record_read(&records->ptr[i], &message->records[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "ledger message: malformed record %u",
				       i);
	}
	return DW_OK;
}

enum dw_status dw_ledger_message_decode(const uint8_t *bytes, size_t len,
					struct dw_ledger_message *message)
{
	msgpack_unpacked unpacked;
	enum dw_status status;

	status = dw_msgpack_unpack(bytes, len, DW_LEDGER_MESSAGE_MAX_BYTES, "ledger message",
				   &unpacked);
	if (status != DW_OK)
		return status;
	status = read_message(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
