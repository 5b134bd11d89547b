#include "net/msgpack_read.h"

#include <string.h>

const msgpack_object *dw_msgpack_read_array(const msgpack_object *object, uint32_t count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != count)
		return NULL;
	return object->via.array.ptr;
}

bool dw_msgpack_read_uint(const msgpack_object *object, uint64_t max, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return false;
	*out = object->via.u64;
	return true;
}

bool dw_msgpack_read_string(const msgpack_object *object, char *out, size_t capacity)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= capacity)
		return false;
	/* An empty string may have no bytes to point at. */
	if (object->via.str.size > 0)
		memcpy(out, object->via.str.ptr, object->via.str.size);
	out[object->via.str.size] = '\0';
	return true;
}

void dw_msgpack_pack_string(msgpack_packer *packer, const char *string)
{
	msgpack_pack_str_with_body(packer, string, strlen(string));
}
