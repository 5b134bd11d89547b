#include "net/rollout_codec.h"

#define MESSAGE_FIELDS 2
#define ENTRY_FIELDS 7
#define HOLD_FIELDS 2

static void pack_numbers(const uint64_t *numbers, size_t count, msgpack_packer *out)
{
	msgpack_pack_array(out, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint64(out, numbers[i]);
}

static void pack_entry(const struct dw_rollout_entry *entry, msgpack_packer *out)
{
	const uint64_t numbers[ENTRY_FIELDS] = {
		entry->version_id,
		entry->release_order,
		entry->member.instance_id,
		entry->member.incarnation,
		entry->answers,
		entry->bad,
		entry->errors,
	};

	pack_numbers(numbers, ENTRY_FIELDS, out);
}

void dw_rollout_encode(const struct dw_rollout_message *message, msgpack_packer *out)
{
	msgpack_pack_array(out, MESSAGE_FIELDS);
	msgpack_pack_array(out, message->entry_count);
	for (uint32_t i = 0; i < message->entry_count; i++)
		pack_entry(&message->entries[i], out);
	msgpack_pack_array(out, message->hold_count);
	for (uint32_t i = 0; i < message->hold_count; i++) {
		const struct dw_rollout_hold *hold = &message->holds[i];
		const uint64_t numbers[HOLD_FIELDS] = { hold->version_id, hold->release_order };

		pack_numbers(numbers, HOLD_FIELDS, out);
	}
}

static bool read_numbers(const msgpack_object *object, uint64_t *numbers, size_t count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != count)
		return false;
	for (size_t i = 0; i < count; i++) {
		const msgpack_object *number = &object->via.array.ptr[i];

		if (number->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		numbers[i] = number->via.u64;
	}
	return true;
}

static bool read_entry(const msgpack_object *object, struct dw_rollout_entry *out)
{
	uint64_t numbers[ENTRY_FIELDS];

	if (!read_numbers(object, numbers, ENTRY_FIELDS))
		return false;
	*out = (struct dw_rollout_entry){
		.version_id = numbers[0],
		.release_order = numbers[1],
		.member = { .instance_id = numbers[2], .incarnation = numbers[3] },
		.answers = numbers[4],
		.bad = numbers[5],
		.errors = numbers[6],
	};
	return out->bad <= out->answers && out->errors <= out->answers - out->bad;
}

static bool read_hold(const msgpack_object *object, struct dw_rollout_hold *out)
{
	uint64_t numbers[HOLD_FIELDS];

	if (!read_numbers(object, numbers, HOLD_FIELDS))
		return false;
	*out = (struct dw_rollout_hold){ .version_id = numbers[0], .release_order = numbers[1] };
	return true;
}

static bool is_array_up_to(const msgpack_object *object, size_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size <= max;
}

static bool read_message(const msgpack_object *object, struct dw_rollout_message *out)
{
	const msgpack_object *entries;
	const msgpack_object *holds;

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != MESSAGE_FIELDS)
		return false;
	entries = &object->via.array.ptr[0];
	holds = &object->via.array.ptr[1];
	if (!is_array_up_to(entries, DW_ROLLOUT_MESSAGE_ENTRIES) ||
	    !is_array_up_to(holds, DW_ROLLOUT_MESSAGE_HOLDS))
		return false;
	out->entry_count = entries->via.array.size;
	out->hold_count = holds->via.array.size;
	for (uint32_t i = 0; i < out->entry_count; i++) {
		if (!read_entry(&entries->via.array.ptr[i], &out->entries[i]))
			return false;
	}
	for (uint32_t i = 0; i < out->hold_count; i++) {
		if (!read_hold(&holds->via.array.ptr[i], &out->holds[i]))
			return false;
	}
	return true;
}

enum dw_status dw_rollout_decode(const msgpack_object *object, struct dw_rollout_message *out)
{
	if (!read_message(object, out)) {
		out->entry_count = 0;
		out->hold_count = 0;
		return dw_fail(DW_INVALID_ARGUMENT, "roll-out evidence: malformed message");
	}
	return DW_OK;
}
