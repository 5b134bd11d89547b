#include "net/ruleset_codec.h"

#include <stdlib.h>
#include <string.h>

#include "net/msgpack_read.h"

enum delta_field { DELTA_SNAPSHOT, DELTA_FROM, DELTA_TO, DELTA_ITEMS, DELTA_FIELD_COUNT };

enum item_field { ITEM_KEY, ITEM_MOD_REVISION, ITEM_DELETED, ITEM_BYTES, ITEM_FIELD_COUNT };

static void pack_item(msgpack_packer *packer, const struct dw_ruleset_item *item)
{
	size_t len = item->deleted ? 0 : item->len;

	msgpack_pack_array(packer, ITEM_FIELD_COUNT);
	dw_msgpack_pack_string(packer, item->key);
	msgpack_pack_uint64(packer, item->mod_revision);
	msgpack_pack_uint8(packer, item->deleted);
	msgpack_pack_bin(packer, len);
	if (len > 0)
		msgpack_pack_bin_body(packer, item->bytes, len);
}

void dw_ruleset_delta_pack(msgpack_packer *packer, const struct dw_ruleset_delta *delta)
{
	msgpack_pack_array(packer, DELTA_FIELD_COUNT);
	msgpack_pack_uint8(packer, delta->snapshot);
	msgpack_pack_uint64(packer, delta->from_revision);
	msgpack_pack_uint64(packer, delta->to_revision);
	msgpack_pack_array(packer, delta->count);
	for (size_t i = 0; i < delta->count; i++)
		pack_item(packer, &delta->items[i]);
}

static bool unpack_item(const msgpack_object *object, struct dw_ruleset_item *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, ITEM_FIELD_COUNT);
	char key[DW_ENTITY_KEY_BYTES];
	uint64_t deleted = 0;

	if (!fields || !dw_msgpack_read_string(&fields[ITEM_KEY], key, sizeof(key)) ||
	    !dw_msgpack_read_uint(&fields[ITEM_MOD_REVISION], UINT64_MAX, &out->mod_revision) ||
	    !dw_msgpack_read_uint(&fields[ITEM_DELETED], 1, &deleted) ||
	    fields[ITEM_BYTES].type != MSGPACK_OBJECT_BIN ||
	    fields[ITEM_BYTES].via.bin.size > DW_ENTITY_MAX_BYTES)
		return false;
	out->key = strdup(key);
	out->deleted = deleted != 0;
	out->bytes = (const uint8_t *)fields[ITEM_BYTES].via.bin.ptr;
	out->len = fields[ITEM_BYTES].via.bin.size;
	return out->key != NULL;
}

static bool unpack_items(const msgpack_object *object, struct dw_ruleset_delta *out)
{
	size_t count;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > DW_RULESET_DELTA_ITEMS_MAX)
		return false;
	count = object->via.array.size;
	out->items = calloc(count + 1, sizeof(*out->items));
	if (!out->items)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (!unpack_item(&object->via.array.ptr[i], &out->items[i]))
			return false;
		out->count = i + 1;
	}
	return true;
}

enum dw_status dw_ruleset_delta_unpack(const msgpack_object *object, struct dw_ruleset_delta *out)
{
	const msgpack_object *fields = dw_msgpack_read_array(object, DELTA_FIELD_COUNT);
	uint64_t snapshot = 0;

	memset(out, 0, sizeof(*out));
	if (!fields)
		return dw_fail(DW_INVALID_ARGUMENT, "ruleset delta: expected an array of %d fields",
			       DELTA_FIELD_COUNT);
	if (!dw_msgpack_read_uint(&fields[DELTA_SNAPSHOT], 1, &snapshot) ||
	    !dw_msgpack_read_uint(&fields[DELTA_FROM], UINT64_MAX, &out->from_revision) ||
	    !dw_msgpack_read_uint(&fields[DELTA_TO], UINT64_MAX, &out->to_revision) ||
	    !unpack_items(&fields[DELTA_ITEMS], out)) {
		dw_ruleset_delta_clear(out);
		return dw_fail(DW_INVALID_ARGUMENT,
			       "ruleset delta: a field has the wrong type or is out of range");
	}
	out->snapshot = snapshot != 0;
	return DW_OK;
}

void dw_ruleset_delta_clear(struct dw_ruleset_delta *delta)
{
	for (size_t i = 0; i < delta->count; i++)
		free((char *)delta->items[i].key);
	free(delta->items);
	memset(delta, 0, sizeof(*delta));
}
