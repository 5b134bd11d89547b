#include <dragonflywharf/session_table.h>

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define HASH_FUNCTION(keyptr, keylen, hashv) ((hashv) = (unsigned int)XXH3_64bits(keyptr, keylen))
#include <uthash.h>

struct slot {
	UT_hash_handle hh;
	struct slot *next_unused;
	struct dw_session_entry entry;
};

struct dw_session_table {
	struct slot *slots; /**< by id, the least recently used first */
	struct slot *unused; /**< kept for the next entries */
	uint32_t capacity;
	uint64_t lifetime_us;
};

/* Each part ends with its NUL, so that no two triples give the same bytes. */
static void hash_part(crypto_generichash_state *state, const char *text)
{
	crypto_generichash_update(state, (const uint8_t *)text, strlen(text) + 1);
}

struct dw_session_id dw_session_id_make(const char *organisation, const char *model,
					const char *session)
{
	crypto_generichash_state state;
	struct dw_session_id id;

	crypto_generichash_init(&state, NULL, 0, DW_SESSION_ID_BYTES);
	hash_part(&state, organisation);
	hash_part(&state, model);
	hash_part(&state, session);
	crypto_generichash_final(&state, id.bytes, DW_SESSION_ID_BYTES);
	return id;
}

uint64_t dw_session_id_hash(struct dw_session_id id)
{
	return XXH3_64bits(id.bytes, DW_SESSION_ID_BYTES);
}

struct dw_session_table *dw_session_table_new(uint32_t capacity, uint64_t lifetime_us)
{
	struct dw_session_table *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	table->capacity = capacity > 0 ? capacity : 1;
	table->lifetime_us = lifetime_us;
	return table;
}

static void drop_slot(struct dw_session_table *table, struct slot *slot)
{
	HASH_DEL(table->slots, slot);
	slot->next_unused = table->unused;
	table->unused = slot;
}

static struct slot *new_slot(struct dw_session_table *table)
{
	struct slot *slot = table->unused;

	if (!slot)
		return calloc(1, sizeof(*slot));
	table->unused = slot->next_unused;
	return slot;
}

void dw_session_table_free(struct dw_session_table *table)
{
	struct slot *slot, *next;

	if (!table)
		return;
	slot = table->slots;
	HASH_CLEAR(hh, table->slots);
	for (; slot; slot = next) {
		next = slot->hh.next;
		free(slot);
	}
	for (slot = table->unused; slot; slot = next) {
		next = slot->next_unused;
		free(slot);
	}
	free(table);
}

uint32_t dw_session_table_count(const struct dw_session_table *table)
{
	return HASH_COUNT(table->slots);
}

static struct slot *find(const struct dw_session_table *table, struct dw_session_id id)
{
	struct slot *slot;

	HASH_FIND(hh, table->slots, id.bytes, DW_SESSION_ID_BYTES, slot);
	return slot;
}

static void append(struct dw_session_table *table, struct slot *slot)
{
	HASH_ADD_KEYPTR(hh, table->slots, slot->entry.id.bytes, DW_SESSION_ID_BYTES, slot);
}

/* A used slot goes to the end of the hash's order. */
static void touch(struct dw_session_table *table, struct slot *slot, uint64_t now_us)
{
	slot->entry.deadline_us = now_us + table->lifetime_us;
	HASH_DEL(table->slots, slot);
	append(table, slot);
}

const struct dw_session_entry *dw_session_table_get(struct dw_session_table *table,
						    struct dw_session_id id, uint64_t now_us)
{
	struct slot *slot = find(table, id);

	if (!slot)
		return NULL;
	if (now_us >= slot->entry.deadline_us) {
		drop_slot(table, slot);
		return NULL;
	}
	touch(table, slot, now_us);
	return &slot->entry;
}

static int compare_uint64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

/* Negative if @p a stands against @p b. */
static int precedence(const struct dw_session_entry *a, const struct dw_session_entry *b)
{
	int order = compare_uint64(b->moves, a->moves);

	if (!order)
		order = compare_uint64(a->assigned_us, b->assigned_us);
	if (!order)
		order = compare_uint64(a->member.instance_id, b->member.instance_id);
	if (!order)
		order = compare_uint64(a->member.incarnation, b->member.incarnation);
	return order ? order : strcmp(a->version, b->version);
}

const struct dw_session_entry *dw_session_table_merge(struct dw_session_table *table,
						      const struct dw_session_entry *entry,
						      uint64_t now_us)
{
	struct slot *slot = find(table, entry->id);

	if (slot && now_us >= slot->entry.deadline_us) {
		drop_slot(table, slot);
		slot = NULL;
	}
	if (slot) {
		if (precedence(entry, &slot->entry) < 0)
			slot->entry = *entry;
		touch(table, slot, now_us);
		return &slot->entry;
	}
	if (HASH_COUNT(table->slots) >= table->capacity)
		drop_slot(table, table->slots);
	slot = new_slot(table);
	if (!slot)
		return NULL;
	slot->entry = *entry;
	slot->entry.deadline_us = now_us + table->lifetime_us;
	append(table, slot);
	return &slot->entry;
}

uint32_t dw_session_table_expire(struct dw_session_table *table, uint64_t now_us, uint32_t max)
{
	struct slot *slot, *next;
	uint32_t dropped = 0;

	/* All lifetimes are equal, so the order of use is the order of expiry. */
	for (slot = table->slots; slot && dropped < max; slot = next) {
		next = slot->hh.next;
		if (now_us < slot->entry.deadline_us)
			break;
		drop_slot(table, slot);
		dropped++;
	}
	return dropped;
}

void dw_session_table_visit(const struct dw_session_table *table,
			    void (*visit)(const struct dw_session_entry *entry, void *data),
			    void *data)
{
	const struct slot *slot;

	for (slot = table->slots; slot; slot = slot->hh.next)
		visit(&slot->entry, data);
}
