#include <dragonflywharf/load_digest.h>

#include <string.h>

#include "core/msgpack_check.h"

#define US_PER_MS UINT64_C(1000)
/* Older loads are ignored. */
#define AGE_MAX_MS 3000
/* Fields of an entry: hash, running, waiting, slots, age. */
#define ENTRY_FIELDS 5
#define ENTRY_BYTES 32
#define LOAD_MAX 100000
/* A relay passes on changes of more than this part of the slots, and refreshes loads of at least that
 * part before receivers forget them. */
#define CHANGE_PART 8
#define REFRESHED_PART 4
#define REFRESH_US UINT64_C(1500000)

static void write_entry(msgpack_packer *packer, const struct dw_engine *engine, uint64_t now_us)
{
	const struct dw_engine_load *load = &engine->load;

	msgpack_pack_uint64(packer, engine->id_hash);
	msgpack_pack_uint32(packer, load->running);
	msgpack_pack_uint32(packer, load->waiting);
	msgpack_pack_uint32(packer, load->slots);
	msgpack_pack_uint64(packer, (now_us - load->reported_at_us) / US_PER_MS);
}

/* A digest is one flat array with ENTRY_FIELDS elements per entry. */
size_t dw_load_digest_write(struct dw_engine_set *set, enum dw_spread_scope scope, uint64_t now_us,
			    uint8_t *out, size_t size)
{
	struct dw_engine *reported[DW_LOAD_DIGEST_BYTES / ENTRY_BYTES];
	size_t max = size / ENTRY_BYTES;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t count = 0;
	size_t len;

	if (max > sizeof(reported) / sizeof(reported[0]))
		max = sizeof(reported) / sizeof(reported[0]);
	for (struct dw_engine *at = dw_engine_set_first(set); at && count < max; at = at->next) {
		if (at->load_scope & scope)
			reported[count++] = at;
	}
	if (count == 0)
		return 0;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, count * ENTRY_FIELDS);
	for (size_t i = 0; i < count; i++) {
		write_entry(&packer, reported[i], now_us);
		reported[i]->load_scope &= (uint8_t)~scope;
	}
	len = buffer.size <= size ? buffer.size : 0;
	memcpy(out, buffer.data, len);
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static struct dw_engine *find_by_hash(struct dw_engine_set *set, uint64_t id_hash)
{
	struct dw_engine *engine = dw_engine_set_first(set);

	while (engine && engine->id_hash != id_hash)
		engine = engine->next;
	return engine;
}

static bool read_entry(const msgpack_object *fields, uint64_t *numbers)
{
	for (int i = 0; i < ENTRY_FIELDS; i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		numbers[i] = fields[i].via.u64;
	}
	return numbers[1] <= LOAD_MAX && numbers[2] <= LOAD_MAX && numbers[3] <= LOAD_MAX;
}

/* Whether a relay passes the load on: it differs from the last one by an eighth of the slots, or it would
 * be forgotten though much of the engine is in use. */
static bool is_worth_passing_on(const struct dw_engine *engine, const struct dw_engine_load *load,
				uint64_t now_us)
{
	uint32_t occupied = load->running + load->waiting;
	uint32_t before = engine->passed_on_load;
	uint32_t change = occupied > before ? occupied - before : before - occupied;

	if (change * CHANGE_PART > load->slots)
		return true;
	return occupied * REFRESHED_PART >= load->slots &&
	       now_us >= engine->passed_on_at_us + REFRESH_US;
}

static void apply_entry(struct dw_engine_set *set, enum dw_spread_scope scope,
			const uint64_t *numbers, uint64_t now_us)
{
	struct dw_engine *engine = find_by_hash(set, numbers[0]);
	struct dw_engine_load load = { .running = (uint32_t)numbers[1],
				       .waiting = (uint32_t)numbers[2],
				       .slots = (uint32_t)numbers[3] };

	if (!engine || numbers[4] > AGE_MAX_MS || numbers[4] * US_PER_MS > now_us)
		return;
	load.reported_at_us = now_us - numbers[4] * US_PER_MS;
	if (load.reported_at_us <= engine->load.reported_at_us)
		return;
	dw_engine_load_received(engine, &load);
	if (scope == DW_SPREAD_NOWHERE || !is_worth_passing_on(engine, &load, now_us))
		return;
	engine->load_scope |= (uint8_t)scope;
	engine->passed_on_load = load.running + load.waiting;
	engine->passed_on_at_us = now_us;
}

static enum dw_status apply_entries(struct dw_engine_set *set, enum dw_spread_scope scope,
				    const msgpack_object *root, uint64_t now_us)
{
	uint64_t numbers[ENTRY_FIELDS];

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size % ENTRY_FIELDS != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "load digest: not an array of entries");
	for (uint32_t i = 0; i < root->via.array.size; i += ENTRY_FIELDS) {
		if (!read_entry(&root->via.array.ptr[i], numbers))
			return dw_fail(DW_INVALID_ARGUMENT, "load digest: malformed entry %u",
				       i / ENTRY_FIELDS);
		apply_entry(set, scope, numbers, now_us);
	}
	return DW_OK;
}

enum dw_status dw_load_digest_read(struct dw_engine_set *set, enum dw_spread_scope scope,
				   const uint8_t *bytes, size_t len, uint64_t now_us)
{
	msgpack_unpacked unpacked;
	enum dw_status status =
		dw_msgpack_unpack(bytes, len, DW_LOAD_DIGEST_BYTES, "a load digest", &unpacked);

	if (status != DW_OK)
		return status;
	status = apply_entries(set, scope, &unpacked.data, now_us);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
