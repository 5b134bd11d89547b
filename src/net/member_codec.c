#include "net/member_codec.h"

#include <string.h>

#include "net/msgpack_read.h"

#define MESSAGE_FIELDS 7
#define MEMBER_FIELDS 10

static void put_member(msgpack_packer *packer, const struct dw_member *member)
{
	msgpack_pack_array(packer, MEMBER_FIELDS);
	msgpack_pack_uint64(packer, member->key.instance_id);
	msgpack_pack_uint64(packer, member->key.incarnation);
	dw_msgpack_put_text(packer, member->name);
	dw_msgpack_put_text(packer, member->ip);
	msgpack_pack_uint16(packer, member->port);
	dw_msgpack_put_text(packer, member->failure_domain);
	msgpack_pack_uint32(packer, member->state);
	if (member->leaving)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
	msgpack_pack_uint32(packer, member->refutation);
	msgpack_pack_uint64(packer, member->applied_revision);
}

void dw_member_codec_encode(const struct dw_member_message *message, msgpack_sbuffer *out)
{
	msgpack_packer packer;
	uint32_t i;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->sequence);
	if (message->want_sync)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	put_member(&packer, &message->sender);
	msgpack_pack_uint64(&packer, message->target.instance_id);
	msgpack_pack_uint64(&packer, message->target.incarnation);
	msgpack_pack_array(&packer, message->update_count);
	for (i = 0; i < message->update_count; i++)
		put_member(&packer, &message->updates[i]);
}

static bool get_member(const msgpack_object *object, struct dw_member *member)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, MEMBER_FIELDS);

	member->key.instance_id = dw_msgpack_uint(&reader, UINT64_MAX);
	member->key.incarnation = dw_msgpack_uint(&reader, UINT64_MAX);
	dw_msgpack_text(&reader, member->name, sizeof(member->name));
	dw_msgpack_text(&reader, member->ip, sizeof(member->ip));
	member->port = (uint16_t)dw_msgpack_uint(&reader, UINT16_MAX);
	dw_msgpack_text(&reader, member->failure_domain, sizeof(member->failure_domain));
	member->state = (enum dw_member_state)dw_msgpack_uint(&reader, DW_MEMBER_STATE_COUNT - 1);
	member->leaving = dw_msgpack_bool(&reader);
	member->refutation = (uint32_t)dw_msgpack_uint(&reader, UINT32_MAX - 1);
	member->applied_revision = dw_msgpack_uint(&reader, UINT64_MAX);
	return dw_msgpack_finish(&reader);
}

static bool get_updates(const msgpack_object *object, struct dw_member_message *message)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, DW_MEMBER_UPDATES_MAX);

	while (dw_msgpack_rest(&reader) > 0)
		if (!get_member(dw_msgpack_next(&reader),
				&message->updates[message->update_count++]))
			return false;
	return dw_msgpack_finish(&reader);
}

static bool get_message(const msgpack_object *object, struct dw_member_message *message)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, MESSAGE_FIELDS);

	message->kind = (enum dw_member_message_kind)dw_msgpack_uint(
		&reader, DW_MEMBER_MESSAGE_KIND_COUNT - 1);
	message->sequence = dw_msgpack_uint(&reader, UINT64_MAX);
	message->want_sync = dw_msgpack_bool(&reader);
	if (!get_member(dw_msgpack_next(&reader), &message->sender))
		return false;
	message->target.instance_id = dw_msgpack_uint(&reader, UINT64_MAX);
	message->target.incarnation = dw_msgpack_uint(&reader, UINT64_MAX);
	return get_updates(dw_msgpack_next(&reader), message) && dw_msgpack_finish(&reader);
}

enum dw_status dw_member_codec_decode(const void *bytes, size_t len,
				      struct dw_member_message *message)
{
	msgpack_unpacked unpacked;
	enum dw_status status =
		dw_msgpack_unpack(&unpacked, bytes, len, DW_MEMBER_MESSAGE_MAX_BYTES);

	memset(message, 0, sizeof(*message));
	if (!status && !get_message(&unpacked.data, message))
		status = dw_fail(DW_INVALID_ARGUMENT, "malformed membership message");
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
