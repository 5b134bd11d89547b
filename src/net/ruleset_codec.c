#include "net/ruleset_codec.h"

#include <stdlib.h>
#include <string.h>

#include "net/msgpack_read.h"

#define MESSAGE_FIELDS 5
#define ITEM_FIELDS 4

static void put_head(msgpack_packer *packer, const struct dw_ruleset_message *message)
{
	msgpack_pack_array(packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(packer, message->kind);
	msgpack_pack_uint64(packer, message->from_revision);
	msgpack_pack_uint64(packer, message->to_revision);
	msgpack_pack_uint64(packer, message->digest);
	msgpack_pack_array(packer, message->count);
}

static void put_item(const struct dw_ruleset_item *item, void *data)
{
	msgpack_packer *packer = data;

	msgpack_pack_array(packer, ITEM_FIELDS);
	dw_msgpack_put_text(packer, item->key);
	msgpack_pack_uint64(packer, item->mod_revision);
	if (item->deleted)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
	msgpack_pack_bin(packer, item->len);
	msgpack_pack_bin_body(packer, item->bytes, item->len);
}

void dw_ruleset_codec_encode(const struct dw_ruleset_message *message, msgpack_sbuffer *out)
{
	msgpack_packer packer;
	size_t i;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	put_head(&packer, message);
	for (i = 0; i < message->count; i++)
		put_item(&message->items[i], &packer);
}

void dw_ruleset_codec_encode_pull(const struct dw_ruleset *ruleset, msgpack_sbuffer *out)
{
	const struct dw_ruleset_message message = {
		.kind = DW_RULESET_PULL,
		.from_revision = dw_ruleset_revision(ruleset),
		.to_revision = dw_ruleset_revision(ruleset),
		.digest = dw_ruleset_digest(ruleset),
	};

	dw_ruleset_codec_encode(&message, out);
}

static void count_item(const struct dw_ruleset_item *item, void *data)
{
	size_t *count = data;

	(void)item;
	(*count)++;
}

void dw_ruleset_codec_encode_since(const struct dw_ruleset *ruleset, uint64_t since,
				   msgpack_sbuffer *out)
{
	struct dw_ruleset_message message = {
		.from_revision = since,
		.to_revision = dw_ruleset_revision(ruleset),
		.digest = dw_ruleset_digest(ruleset),
	};
	msgpack_packer packer;
	bool snapshot;

	dw_ruleset_items_since(ruleset, since, count_item, &message.count, &snapshot);
	message.kind = snapshot ? DW_RULESET_SNAPSHOT : DW_RULESET_DELTA;
	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	put_head(&packer, &message);
	dw_ruleset_items_since(ruleset, since, put_item, &packer, &snapshot);
}

/* Room for every key with a NUL and every value fits in twice the message's size. */
static enum dw_status allocate(struct dw_ruleset_message *message, size_t count, size_t len)
{
	message->items = calloc(count + 1, sizeof(*message->items));
	message->storage = malloc(len * 2 + 1);
	if (message->items && message->storage)
		return DW_OK;
	return dw_fail(DW_NO_MEMORY, "no memory for %zu items", count);
}

/* Copies one item to @p at; returns where the next one goes, NULL if it is malformed. */
static char *get_item(const msgpack_object *object, struct dw_ruleset_item *item, char *at)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, ITEM_FIELDS);
	char key[DW_ENTITY_KEY_BYTES];
	const uint8_t *bytes;
	size_t len;

	dw_msgpack_text(&reader, key, sizeof(key));
	item->mod_revision = dw_msgpack_uint(&reader, UINT64_MAX);
	item->deleted = dw_msgpack_bool(&reader);
	bytes = dw_msgpack_bytes(&reader, DW_ENTITY_MAX_BYTES, &len);
	if (!dw_msgpack_finish(&reader))
		return NULL;
	item->key = at;
	at = stpcpy(at, key) + 1;
	item->bytes = (const uint8_t *)at;
	item->len = len;
	if (len > 0)
		memcpy(at, bytes, len);
	return at + len;
}

static enum dw_status get_items(const msgpack_object *object, size_t len,
				struct dw_ruleset_message *message)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, DW_RULESET_MESSAGE_ITEMS_MAX);
	enum dw_status status = allocate(message, dw_msgpack_rest(&reader), len);
	char *at = message->storage;

	while (!status && dw_msgpack_rest(&reader) > 0) {
		at = get_item(dw_msgpack_next(&reader), &message->items[message->count], at);
		if (!at)
			return dw_fail(DW_INVALID_ARGUMENT, "malformed configuration item");
		message->count++;
	}
	if (!status && !dw_msgpack_finish(&reader))
		return dw_fail(DW_INVALID_ARGUMENT, "malformed list of items");
	return status;
}

static enum dw_status get_message(const msgpack_object *object, size_t len,
				  struct dw_ruleset_message *message)
{
	struct dw_msgpack_reader reader = dw_msgpack_open(object, MESSAGE_FIELDS);
	const msgpack_object *items;

	message->kind = (enum dw_ruleset_message_kind)dw_msgpack_uint(
		&reader, DW_RULESET_MESSAGE_KIND_COUNT - 1);
	message->from_revision = dw_msgpack_uint(&reader, UINT64_MAX);
	message->to_revision = dw_msgpack_uint(&reader, UINT64_MAX);
	message->digest = dw_msgpack_uint(&reader, UINT64_MAX);
	items = dw_msgpack_next(&reader);
	if (!dw_msgpack_finish(&reader))
		return dw_fail(DW_INVALID_ARGUMENT, "malformed configuration message");
	return get_items(items, len, message);
}

enum dw_status dw_ruleset_codec_decode(const void *bytes, size_t len,
				       struct dw_ruleset_message *message)
{
	msgpack_unpacked unpacked;
	enum dw_status status =
		dw_msgpack_unpack(&unpacked, bytes, len, DW_RULESET_MESSAGE_MAX_BYTES);

	memset(message, 0, sizeof(*message));
	if (!status)
		status = get_message(&unpacked.data, len, message);
	msgpack_unpacked_destroy(&unpacked);
	if (status)
		dw_ruleset_message_release(message);
	return status;
}

void dw_ruleset_message_release(struct dw_ruleset_message *message)
{
	free(message->items);
	free(message->storage);
	*message = (struct dw_ruleset_message){ 0 };
}

enum dw_status dw_ruleset_message_apply(const struct dw_ruleset_message *message,
					struct dw_ruleset *ruleset,
					struct dw_ruleset_result *result)
{
	switch (message->kind) {
	case DW_RULESET_DELTA:
		return dw_ruleset_apply_delta(ruleset, message->from_revision, message->to_revision,
					      message->items, message->count, result);
	case DW_RULESET_SNAPSHOT:
		return dw_ruleset_apply_snapshot(ruleset, message->to_revision, message->items,
						 message->count, result);
	default:
		return dw_fail(DW_INVALID_ARGUMENT, "message carries no configuration");
	}
}
