/**
 * @file limiter_codec.c
 * A message is an array that starts with [kind, epoch, digest]. A DW_LIMITER_DECLARE message
 * continues with seq, floor_seq, complete, answer_wanted and one flat array with five integers for
 * each entry: upstream_id, hold_seq, slot, kind and borrower. All other kinds continue with
 * upstream_id, hold_seq and slot. A roster is [epoch, [[name, instance_id, incarnation], ...]].
 */
#include "net/limiter_codec.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_FIELDS 3
#define LOAN_FIELDS 3
#define DECLARE_FIELDS 5
#define ENTRY_FIELDS 5
#define MEMBER_FIELDS 3

static void pack_entry(msgpack_packer *packer, const struct dw_limiter_entry *entry)
{
	msgpack_pack_uint64(packer, entry->upstream_id);
	msgpack_pack_uint64(packer, entry->hold_seq);
	msgpack_pack_uint16(packer, entry->slot);
	msgpack_pack_uint8(packer, entry->kind);
	msgpack_pack_uint8(packer, entry->borrower);
}

void dw_limiter_message_pack(msgpack_packer *packer, const struct dw_limiter_message *message)
{
	bool declare = message->kind == DW_LIMITER_DECLARE;

	msgpack_pack_array(packer, HEADER_FIELDS + (declare ? DECLARE_FIELDS : LOAN_FIELDS));
	msgpack_pack_uint8(packer, (uint8_t)message->kind);
	msgpack_pack_uint64(packer, message->epoch);
	msgpack_pack_uint64(packer, message->digest);
	if (!declare) {
		msgpack_pack_uint64(packer, message->loan.upstream_id);
		msgpack_pack_uint64(packer, message->loan.hold_seq);
		msgpack_pack_uint16(packer, message->loan.slot);
		return;
	}
	msgpack_pack_uint64(packer, message->declare.seq);
	msgpack_pack_uint64(packer, message->declare.floor_seq);
	msgpack_pack_uint8(packer, message->declare.complete);
	msgpack_pack_uint8(packer, message->declare.answer_wanted);
	msgpack_pack_array(packer, (size_t)message->declare.entry_count * ENTRY_FIELDS);
	for (uint32_t i = 0; i < message->declare.entry_count; i++)
		pack_entry(packer, &message->declare.entries[i]);
}

/** Reads @p count unsigned integers, each at most its entry in @p bounds. */
static bool read_numbers(const msgpack_object *objects, uint32_t count, const uint64_t *bounds,
			 uint64_t *out)
{
	for (uint32_t i = 0; i < count; i++) {
		if (objects[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    objects[i].via.u64 > bounds[i])
			return false;
		out[i] = objects[i].via.u64;
	}
	return true;
}

static const uint64_t HEADER_BOUNDS[HEADER_FIELDS] = { DW_LIMITER_MESSAGE_KIND_COUNT - 1,
						       UINT64_MAX, UINT64_MAX };
static const uint64_t LOAN_BOUNDS[LOAN_FIELDS] = { UINT64_MAX, UINT64_MAX,
						   DW_LIMITER_SLOTS_MAX - 1 };
static const uint64_t DECLARE_BOUNDS[DECLARE_FIELDS - 1] = { UINT64_MAX, UINT64_MAX, 1, 1 };
static const uint64_t ENTRY_BOUNDS[ENTRY_FIELDS] = { UINT64_MAX, UINT64_MAX,
						     DW_LIMITER_SLOTS_MAX - 1,
						     DW_LIMITER_ENTRY_KIND_COUNT - 1, UINT8_MAX };

static enum dw_status unpack_entries(const msgpack_object *object, struct dw_limiter_message *out)
{
	uint32_t count = object->via.array.size / ENTRY_FIELDS;
	struct dw_limiter_entry *entries;
	uint64_t fields[ENTRY_FIELDS];

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size % ENTRY_FIELDS != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "limiter message: malformed entry list");
	if (count > DW_LIMITER_ENTRIES_MAX)
		return dw_fail(DW_TOO_LARGE, "limiter message: %u entries exceed the limit", count);
	entries = calloc(count + 1, sizeof(*entries));
	if (!entries)
		return dw_fail(DW_NO_MEMORY, "limiter message: out of memory");
	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *first = &object->via.array.ptr[i * ENTRY_FIELDS];

		if (!read_numbers(first, ENTRY_FIELDS, ENTRY_BOUNDS, fields)) {
			free(entries);
			return dw_fail(DW_INVALID_ARGUMENT,
				       "limiter message: entry %u is malformed", i);
		}
		entries[i] = (struct dw_limiter_entry){ .upstream_id = fields[0],
							.hold_seq = fields[1],
							.slot = (uint16_t)fields[2],
							.kind = (uint8_t)fields[3],
							.borrower = (uint8_t)fields[4] };
	}
	out->declare.entries = entries;
	out->declare.entry_count = count;
	return DW_OK;
}

static enum dw_status unpack_declare(const msgpack_object *fields, struct dw_limiter_message *out)
{
	uint64_t numbers[DECLARE_FIELDS - 1];

	if (!read_numbers(fields, DECLARE_FIELDS - 1, DECLARE_BOUNDS, numbers))
		return dw_fail(DW_INVALID_ARGUMENT, "limiter message: malformed declaration");
	out->declare.seq = numbers[0];
	out->declare.floor_seq = numbers[1];
	out->declare.complete = numbers[2] != 0;
	out->declare.answer_wanted = numbers[3] != 0;
	return unpack_entries(&fields[DECLARE_FIELDS - 1], out);
}

enum dw_status dw_limiter_message_unpack(const msgpack_object *object,
					 struct dw_limiter_message *out)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t numbers[HEADER_FIELDS];
	uint32_t expected;

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < HEADER_FIELDS ||
	    !read_numbers(fields, HEADER_FIELDS, HEADER_BOUNDS, numbers))
		return dw_fail(DW_INVALID_ARGUMENT, "limiter message: malformed header");
	*out = (struct dw_limiter_message){ .kind = (enum dw_limiter_message_kind)numbers[0],
					    .epoch = numbers[1],
					    .digest = numbers[2] };
	expected = HEADER_FIELDS + (out->kind == DW_LIMITER_DECLARE ? DECLARE_FIELDS : LOAN_FIELDS);
	if (object->via.array.size != expected)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "limiter message: unexpected number of fields: %u",
			       object->via.array.size);
	if (out->kind == DW_LIMITER_DECLARE)
		return unpack_declare(&fields[HEADER_FIELDS], out);
	if (!read_numbers(&fields[HEADER_FIELDS], LOAN_FIELDS, LOAN_BOUNDS, numbers))
		return dw_fail(DW_INVALID_ARGUMENT, "limiter message: malformed loan fields");
	out->loan.upstream_id = numbers[0];
	out->loan.hold_seq = numbers[1];
	out->loan.slot = (uint16_t)numbers[2];
	return DW_OK;
}

void dw_roster_pack(msgpack_packer *packer, const struct dw_roster *roster)
{
	msgpack_pack_array(packer, 2);
	msgpack_pack_uint64(packer, roster->epoch);
	msgpack_pack_array(packer, roster->member_count);
	for (uint32_t i = 0; i < roster->member_count; i++) {
		const struct dw_roster_member *member = &roster->members[i];
		size_t len = strnlen(member->name, sizeof(member->name));

		msgpack_pack_array(packer, MEMBER_FIELDS);
		msgpack_pack_str(packer, len);
		msgpack_pack_str_body(packer, member->name, len);
		msgpack_pack_uint64(packer, member->key.instance_id);
		msgpack_pack_uint64(packer, member->key.incarnation);
	}
}

static bool unpack_member(const msgpack_object *object, struct dw_roster_member *out)
{
	static const uint64_t bounds[MEMBER_FIELDS - 1] = { UINT64_MAX, UINT64_MAX };
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t numbers[MEMBER_FIELDS - 1];

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != MEMBER_FIELDS ||
	    fields[0].type != MSGPACK_OBJECT_STR || fields[0].via.str.size == 0 ||
	    fields[0].via.str.size >= sizeof(out->name) ||
	    !read_numbers(&fields[1], MEMBER_FIELDS - 1, bounds, numbers))
		return false;
	*out = (struct dw_roster_member){ .key = { numbers[0], numbers[1] } };
	memcpy(out->name, fields[0].via.str.ptr, fields[0].via.str.size);
	return true;
}

enum dw_status dw_roster_unpack(const msgpack_object *object, struct dw_roster *out)
{
	static const uint64_t bound = UINT64_MAX;
	const msgpack_object *fields = object->via.array.ptr;
	const msgpack_object *members;

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2 ||
	    !read_numbers(fields, 1, &bound, &out->epoch) ||
	    fields[1].type != MSGPACK_OBJECT_ARRAY ||
	    fields[1].via.array.size > DW_ROSTER_MEMBERS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "roster: malformed header");
	members = fields[1].via.array.ptr;
	out->member_count = fields[1].via.array.size;
	for (uint32_t i = 0; i < out->member_count; i++) {
		if (!unpack_member(&members[i], &out->members[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "roster: member %u is malformed", i);
	}
	return dw_roster_check(out);
}
