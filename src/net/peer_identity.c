#include "net/peer_identity.h"

#include <string.h>

#include "net/msgpack_read.h"

enum field {
	FIELD_INSTANCE_ID,
	FIELD_INCARNATION,
	FIELD_NAME,
	FIELD_FAILURE_DOMAIN,
	FIELD_IP,
	FIELD_PORT,
	FIELD_COUNT
};

void dw_peer_identity_pack(msgpack_packer *packer, const struct dw_peer_identity *identity)
{
	msgpack_pack_array(packer, FIELD_COUNT);
	msgpack_pack_uint64(packer, identity->key.instance_id);
	msgpack_pack_uint64(packer, identity->key.incarnation);
	dw_msgpack_pack_string(packer, identity->name);
	dw_msgpack_pack_string(packer, identity->failure_domain);
	dw_msgpack_pack_string(packer, identity->ip);
	msgpack_pack_uint16(packer, identity->port);
}

enum dw_status dw_peer_identity_unpack(const msgpack_object *object, struct dw_peer_identity *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, FIELD_COUNT);
	uint64_t port = 0;
	bool is_valid;

	memset(out, 0, sizeof(*out));
	if (!fields)
		return dw_fail(DW_INVALID_ARGUMENT, "peer identity: expected an array of %d fields",
			       FIELD_COUNT);
	is_valid = dw_msgpack_read_uint(&fields[FIELD_INSTANCE_ID], UINT64_MAX,
					&out->key.instance_id) &&
		   dw_msgpack_read_uint(&fields[FIELD_INCARNATION], UINT64_MAX,
					&out->key.incarnation) &&
		   dw_msgpack_read_string(&fields[FIELD_NAME], out->name, sizeof(out->name)) &&
		   dw_msgpack_read_string(&fields[FIELD_FAILURE_DOMAIN], out->failure_domain,
					  sizeof(out->failure_domain)) &&
		   dw_msgpack_read_string(&fields[FIELD_IP], out->ip, sizeof(out->ip)) &&
		   dw_msgpack_read_uint(&fields[FIELD_PORT], UINT16_MAX, &port);
	if (!is_valid)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "peer identity: a field has the wrong type or is out of range");
	out->port = (uint16_t)port;
	return DW_OK;
}
