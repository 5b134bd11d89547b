#include "net/member_codec.h"

#include <string.h>

#include "net/msgpack_read.h"

enum message_field {
	MESSAGE_KIND,
	MESSAGE_SEQUENCE,
	MESSAGE_WANT_SYNC,
	MESSAGE_SENDER,
	MESSAGE_TARGET_ID,
	MESSAGE_TARGET_INCARNATION,
	MESSAGE_UPDATES,
	MESSAGE_FIELD_COUNT
};

enum member_field {
	MEMBER_INSTANCE_ID,
	MEMBER_INCARNATION,
	MEMBER_NAME,
	MEMBER_IP,
	MEMBER_PORT,
	MEMBER_FAILURE_DOMAIN,
	MEMBER_STATE,
	MEMBER_LEAVING,
	MEMBER_REFUTATION,
	MEMBER_APPLIED_REVISION,
	MEMBER_FIELD_COUNT
};

static void pack_member(msgpack_packer *packer, const struct dw_member *member)
{
	msgpack_pack_array(packer, MEMBER_FIELD_COUNT);
	msgpack_pack_uint64(packer, member->key.instance_id);
	msgpack_pack_uint64(packer, member->key.incarnation);
	dw_msgpack_pack_string(packer, member->name);
	dw_msgpack_pack_string(packer, member->ip);
	msgpack_pack_uint16(packer, member->port);
	dw_msgpack_pack_string(packer, member->failure_domain);
	msgpack_pack_uint8(packer, (uint8_t)member->state);
	msgpack_pack_uint8(packer, member->leaving);
	msgpack_pack_uint32(packer, member->refutation);
	msgpack_pack_uint64(packer, member->applied_revision);
}

void dw_member_message_pack(msgpack_packer *packer, const struct dw_member_message *message)
{
	msgpack_pack_array(packer, MESSAGE_FIELD_COUNT);
	msgpack_pack_uint8(packer, (uint8_t)message->kind);
	msgpack_pack_uint64(packer, message->sequence);
	msgpack_pack_uint8(packer, message->want_sync);
	pack_member(packer, &message->sender);
	msgpack_pack_uint64(packer, message->target.instance_id);
	msgpack_pack_uint64(packer, message->target.incarnation);
	msgpack_pack_array(packer, message->update_count);
	for (uint8_t i = 0; i < message->update_count; i++)
		pack_member(packer, &message->updates[i]);
}

static bool unpack_member(const msgpack_object *object, struct dw_member *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, MEMBER_FIELD_COUNT);
	uint64_t port = 0;
	uint64_t state = 0;
	uint64_t leaving = 0;
	uint64_t refutation = 0;
	bool is_valid;

	if (!fields)
		return false;
	is_valid = dw_msgpack_read_uint(&fields[MEMBER_INSTANCE_ID], UINT64_MAX,
					&out->key.instance_id) &&
		   dw_msgpack_read_uint(&fields[MEMBER_INCARNATION], UINT64_MAX,
					&out->key.incarnation) &&
		   dw_msgpack_read_string(&fields[MEMBER_NAME], out->name, sizeof(out->name)) &&
		   dw_msgpack_read_string(&fields[MEMBER_IP], out->ip, sizeof(out->ip)) &&
		   dw_msgpack_read_uint(&fields[MEMBER_PORT], UINT16_MAX, &port) &&
		   dw_msgpack_read_string(&fields[MEMBER_FAILURE_DOMAIN], out->failure_domain,
					  sizeof(out->failure_domain)) &&
		   dw_msgpack_read_uint(&fields[MEMBER_STATE], DW_MEMBER_STATE_COUNT - 1, &state) &&
		   dw_msgpack_read_uint(&fields[MEMBER_LEAVING], 1, &leaving) &&
		   dw_msgpack_read_uint(&fields[MEMBER_REFUTATION], UINT32_MAX, &refutation) &&
		   dw_msgpack_read_uint(&fields[MEMBER_APPLIED_REVISION], UINT64_MAX,
					&out->applied_revision);
	out->port = (uint16_t)port;
	out->state = (enum dw_member_state)state;
	out->leaving = leaving != 0;
	out->refutation = (uint32_t)refutation;
	return is_valid;
}

static bool unpack_updates(const msgpack_object *object, struct dw_member_message *out)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > DW_MEMBER_UPDATES_MAX)
		return false;
	out->update_count = (uint8_t)object->via.array.size;
	for (uint8_t i = 0; i < out->update_count; i++) {
		if (!unpack_member(&object->via.array.ptr[i], &out->updates[i]))
			return false;
	}
	return true;
}

enum dw_status dw_member_message_unpack(const msgpack_object *object, struct dw_member_message *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, MESSAGE_FIELD_COUNT);
	uint64_t kind = 0;
	uint64_t want_sync = 0;
	bool is_valid;

	memset(out, 0, sizeof(*out));
	if (!fields)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "member message: expected an array of %d fields",
			       MESSAGE_FIELD_COUNT);
	is_valid = dw_msgpack_read_uint(&fields[MESSAGE_KIND], DW_MEMBER_MESSAGE_KIND_COUNT - 1,
					&kind) &&
		   dw_msgpack_read_uint(&fields[MESSAGE_SEQUENCE], UINT64_MAX, &out->sequence) &&
		   dw_msgpack_read_uint(&fields[MESSAGE_WANT_SYNC], 1, &want_sync) &&
		   unpack_member(&fields[MESSAGE_SENDER], &out->sender) &&
		   dw_msgpack_read_uint(&fields[MESSAGE_TARGET_ID], UINT64_MAX,
					&out->target.instance_id) &&
		   dw_msgpack_read_uint(&fields[MESSAGE_TARGET_INCARNATION], UINT64_MAX,
					&out->target.incarnation) &&
		   unpack_updates(&fields[MESSAGE_UPDATES], out);
	if (!is_valid)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "member message: a field has the wrong type or is out of range");
	out->kind = (enum dw_member_message_kind)kind;
	out->want_sync = want_sync != 0;
	return DW_OK;
}
