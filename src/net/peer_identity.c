#include "net/peer_identity.h"

#include <string.h>

enum field {
	FIELD_INSTANCE_ID,
	FIELD_INCARNATION,
	FIELD_NAME,
	FIELD_FAILURE_DOMAIN,
	FIELD_IP,
	FIELD_PORT,
	FIELD_COUNT
};

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

void dw_peer_identity_pack(msgpack_packer *packer, const struct dw_peer_identity *identity)
{
	msgpack_pack_array(packer, FIELD_COUNT);
	msgpack_pack_uint64(packer, identity->key.instance_id);
	msgpack_pack_uint64(packer, identity->key.incarnation);
	pack_text(packer, identity->name);
	pack_text(packer, identity->failure_domain);
	pack_text(packer, identity->ip);
	msgpack_pack_uint16(packer, identity->port);
}

static bool unpack_text(const msgpack_object *object, char *out, size_t capacity)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= capacity)
		return false;
	memcpy(out, object->via.str.ptr, object->via.str.size);
	out[object->via.str.size] = '\0';
	return true;
}

static bool unpack_u64(const msgpack_object *object, uint64_t max, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return false;
	*out = object->via.u64;
	return true;
}

enum dw_status dw_peer_identity_unpack(const msgpack_object *object, struct dw_peer_identity *out)
{
	const msgpack_object *fields;
	uint64_t port = 0;
	bool good;

	memset(out, 0, sizeof(*out));
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != FIELD_COUNT)
		return dw_fail(DW_INVALID_ARGUMENT, "peer identity: not an array of %d",
			       FIELD_COUNT);
	fields = object->via.array.ptr;
	good = unpack_u64(&fields[FIELD_INSTANCE_ID], UINT64_MAX, &out->key.instance_id) &&
	       unpack_u64(&fields[FIELD_INCARNATION], UINT64_MAX, &out->key.incarnation) &&
	       unpack_text(&fields[FIELD_NAME], out->name, sizeof(out->name)) &&
	       unpack_text(&fields[FIELD_FAILURE_DOMAIN], out->failure_domain,
			   sizeof(out->failure_domain)) &&
	       unpack_text(&fields[FIELD_IP], out->ip, sizeof(out->ip)) &&
	       unpack_u64(&fields[FIELD_PORT], UINT16_MAX, &port);
	if (!good)
		return dw_fail(DW_INVALID_ARGUMENT, "peer identity: a field has a wrong type");
	out->port = (uint16_t)port;
	return DW_OK;
}
