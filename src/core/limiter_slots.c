/**
 * @file limiter_slots.c
 * The slots of each upstream and the indexes that find them by state.
 */
#include <stdlib.h>
#include <string.h>

#include "core/limiter_state.h"

#define BITS_PER_WORD 64

void *dw_limiter_grow_array(void *array, uint32_t *capacity, uint32_t needed, size_t size)
{
	uint32_t larger = *capacity > 0 ? *capacity : 16;
	void *grown;

	if (needed <= *capacity)
		return array;
	while (larger < needed)
		larger *= 2;
	grown = realloc(array, larger * size);
	if (!grown)
		abort();
	*capacity = larger;
	return grown;
}

struct dw_limiter_upstream *dw_limiter_find_upstream(const struct dw_limiter *share,
						     uint64_t upstream_id)
{
	struct dw_limiter_upstream *up;

	HASH_FIND(hh, share->upstreams, &upstream_id, sizeof(upstream_id), up);
	return up;
}

uint32_t dw_limiter_effective_limit(const struct dw_limiter_upstream *up)
{
	if (up->cold && up->cold_limit < up->limit)
		return up->cold_limit;
	return up->limit;
}

uint32_t dw_limiter_first_bit(const uint64_t *bits, uint32_t limit)
{
	for (uint32_t word = 0; word * BITS_PER_WORD < limit; word++) {
		uint32_t i;

		if (bits[word] == 0)
			continue;
		i = word * BITS_PER_WORD + (uint32_t)__builtin_ctzll(bits[word]);
		return i < limit ? i : UINT32_MAX;
	}
	return UINT32_MAX;
}

bool dw_limiter_get_bit(const uint64_t *bits, uint32_t i)
{
	return (bits[i / BITS_PER_WORD] >> (i % BITS_PER_WORD)) & 1;
}

void dw_limiter_set_bit(uint64_t *bits, uint32_t i, bool value)
{
	uint64_t mask = UINT64_C(1) << (i % BITS_PER_WORD);

	if (value)
		bits[i / BITS_PER_WORD] |= mask;
	else
		bits[i / BITS_PER_WORD] &= ~mask;
}

static void list_add(struct dw_slot_list *list, struct dw_limiter_upstream *up, uint32_t i)
{
	list->refs = dw_limiter_grow_array(list->refs, &list->capacity, list->count + 1,
					   sizeof(list->refs[0]));
	list->refs[list->count] = (struct dw_slot_ref){ .upstream = up, .slot = i };
	up->slots[i].position = list->count++;
}

static void list_remove(struct dw_slot_list *list, uint32_t position)
{
	struct dw_slot_ref *last = &list->refs[--list->count];

	list->refs[position] = *last;
	last->upstream->slots[last->slot].position = position;
}

static bool is_held(const struct dw_limiter *share, const struct dw_limiter_slot *slot)
{
	return !dw_limiter_owns_slot(share, slot) &&
	       (slot->state == DW_SLOT_USED || slot->state == DW_SLOT_IDLE);
}

void dw_limiter_unindex_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_set_bit(up->free_bits, i, false);
	dw_limiter_set_bit(up->idle_bits, i, false);
	share->unsettled_count -= slot->unsettled;
	if (slot->state == DW_SLOT_LENT) {
		share->peers[slot->holder].lent_count--;
		list_remove(&share->lent, slot->position);
	} else if (is_held(share, slot)) {
		list_remove(&share->holds, slot->position);
	} else if (slot->state == DW_SLOT_USED) {
		share->own_in_flight--;
	}
}

void dw_limiter_index_slot(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t i)
{
	struct dw_limiter_slot *slot = &up->slots[i];

	dw_limiter_set_bit(up->free_bits, i, slot->state == DW_SLOT_FREE && !slot->unsettled);
	dw_limiter_set_bit(up->idle_bits, i, slot->state == DW_SLOT_IDLE);
	share->unsettled_count += slot->unsettled;
	if (slot->state == DW_SLOT_LENT) {
		share->peers[slot->holder].lent_count++;
		list_add(&share->lent, up, i);
	} else if (is_held(share, slot)) {
		list_add(&share->holds, up, i);
	} else if (slot->state == DW_SLOT_USED) {
		share->own_in_flight++;
	}
}

/** Adds slots up to @p wanted; owned ones are free at once only in a settled epoch. */
static void grow_slots(struct dw_limiter *share, struct dw_limiter_upstream *up, uint32_t wanted)
{
	uint32_t old_count = up->slot_count;
	uint32_t count = (wanted + DW_LIMITER_SLOT_BLOCK - 1) / DW_LIMITER_SLOT_BLOCK *
			 DW_LIMITER_SLOT_BLOCK;
	uint32_t words = (count + BITS_PER_WORD - 1) / BITS_PER_WORD;
	uint32_t old_words = (old_count + BITS_PER_WORD - 1) / BITS_PER_WORD;

	up->slots = realloc(up->slots, count * sizeof(up->slots[0]));
	up->free_bits = realloc(up->free_bits, words * sizeof(uint64_t));
	up->idle_bits = realloc(up->idle_bits, words * sizeof(uint64_t));
	if (!up->slots || !up->free_bits || !up->idle_bits)
		abort();
	memset(up->free_bits + old_words, 0, (words - old_words) * sizeof(uint64_t));
	memset(up->idle_bits + old_words, 0, (words - old_words) * sizeof(uint64_t));
	up->slot_count = count;
	for (uint32_t i = old_count; i < count; i++) {
		struct dw_limiter_slot *slot = &up->slots[i];

		*slot = (struct dw_limiter_slot){ .owner = dw_limiter_slot_owner(&share->roster,
										 up->id, i),
						  .holder = DW_ROSTER_INDEX_NONE };
		if (dw_limiter_owns_slot(share, slot)) {
			slot->state = DW_SLOT_FREE;
			slot->unsettled = !share->settled;
		}
		dw_limiter_index_slot(share, up, i);
	}
}

enum dw_status dw_limiter_ensure_slots(struct dw_limiter *share, uint64_t upstream_id,
				       uint32_t slot_count, struct dw_limiter_upstream **out)
{
	struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);

	if (slot_count > DW_LIMITER_SLOTS_MAX)
		return dw_fail(DW_TOO_LARGE, "limit %u over %d", slot_count, DW_LIMITER_SLOTS_MAX);
	if (!up) {
		if (HASH_COUNT(share->upstreams) >= DW_LIMITER_UPSTREAMS_MAX)
			return dw_fail(DW_TOO_LARGE, "over %d upstreams", DW_LIMITER_UPSTREAMS_MAX);
		up = calloc(1, sizeof(*up));
		if (!up)
			return dw_fail(DW_NO_MEMORY, "upstream");
		up->id = upstream_id;
		up->cold = true;
		HASH_ADD(hh, share->upstreams, id, sizeof(up->id), up);
	}
	if (slot_count > up->slot_count)
		grow_slots(share, up, slot_count);
	*out = up;
	return DW_OK;
}
