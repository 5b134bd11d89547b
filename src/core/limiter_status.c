/**
 * @file limiter_status.c
 * What can be read from struct dw_limiter, and its end.
 */
#include "core/limiter_state.h"

uint64_t dw_limiter_epoch(const struct dw_limiter *share)
{
	return share->roster.epoch;
}

uint64_t dw_limiter_epoch_seen(const struct dw_limiter *share)
{
	return share->epoch_seen > share->roster.epoch ? share->epoch_seen : share->roster.epoch;
}

bool dw_limiter_is_settled(const struct dw_limiter *share)
{
	return share->settled;
}

void dw_limiter_leave(struct dw_limiter *share)
{
	share->leaving = true;
}

bool dw_limiter_is_released(const struct dw_limiter *share)
{
	return share->leaving && share->holds.count == 0 && share->own_in_flight == 0;
}

static uint64_t earlier(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t dw_limiter_deadline_us(const struct dw_limiter *share)
{
	uint64_t deadline_us = UINT64_MAX;

	if (share->self_index == DW_ROSTER_INDEX_NONE)
		return deadline_us;
	if (share->unsettled_count > 0)
		deadline_us = share->poll_at_us;
	if (share->lent.count > 0)
		deadline_us = earlier(deadline_us, share->loan_poll_at_us);
	for (uint32_t i = 0; i < share->ask_count; i++)
		deadline_us = earlier(deadline_us, share->asks[i].deadline_us);
	for (uint32_t i = 0; i < share->waiter_count; i++)
		deadline_us = earlier(deadline_us, share->waiters[i].deadline_us);
	for (uint32_t i = 0; i < share->holds.count; i++) {
		const struct dw_slot_ref *ref = &share->holds.refs[i];

		if (ref->upstream->slots[ref->slot].state == DW_SLOT_IDLE)
			deadline_us = earlier(deadline_us, ref->return_at_us);
	}
	return deadline_us;
}

static void count_owned(const struct dw_limiter_slot *slot, struct dw_limiter_status *out)
{
	out->owned++;
	out->unsettled += slot->unsettled;
	out->free += slot->state == DW_SLOT_FREE && !slot->unsettled;
}

enum dw_status dw_limiter_upstream_status(const struct dw_limiter *share, uint64_t upstream_id,
					  struct dw_limiter_status *out)
{
	const struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);

	if (!up)
		return dw_fail(DW_NOT_FOUND, "no such upstream");
	*out = (struct dw_limiter_status){ .limit = dw_limiter_effective_limit(up),
					   .borrow_requests = up->asks };
	for (uint32_t i = 0; i < up->slot_count; i++) {
		const struct dw_limiter_slot *slot = &up->slots[i];
		bool owned = dw_limiter_owns_slot(share, slot);

		if (owned && i < out->limit)
			count_owned(slot, out);
		out->lent += slot->state == DW_SLOT_LENT;
		out->in_flight += slot->state == DW_SLOT_USED;
		out->borrowed +=
			!owned && (slot->state == DW_SLOT_USED || slot->state == DW_SLOT_IDLE);
	}
	return DW_OK;
}

static uint32_t count_bits(const uint64_t *bits, uint32_t limit)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < limit / 64; i++)
		count += (uint32_t)__builtin_popcountll(bits[i]);
	if (limit % 64)
		count += (uint32_t)__builtin_popcountll(bits[limit / 64] &
							((UINT64_C(1) << (limit % 64)) - 1));
	return count;
}

uint32_t dw_limiter_available_permits(const struct dw_limiter *share, uint64_t upstream_id,
				      uint32_t *limit)
{
	const struct dw_limiter_upstream *up = dw_limiter_find_upstream(share, upstream_id);

	*limit = up ? dw_limiter_effective_limit(up) : 0;
	if (!up || share->self_index == DW_ROSTER_INDEX_NONE || share->leaving)
		return 0;
	return count_bits(up->free_bits, *limit) + count_bits(up->idle_bits, *limit);
}

uint64_t dw_limiter_state_bytes(const struct dw_limiter *share)
{
	uint64_t bytes = sizeof(*share);

	for (const struct dw_limiter_upstream *up = share->upstreams; up; up = up->hh.next) {
		uint64_t words = (up->slot_count + 63) / 64;

		bytes += sizeof(*up) + up->slot_count * sizeof(up->slots[0]);
		bytes += 2 * words * sizeof(uint64_t);
	}
	bytes += HASH_OVERHEAD(hh, share->upstreams);
	bytes += (uint64_t)share->holds.capacity * sizeof(struct dw_slot_ref);
	bytes += (uint64_t)share->lent.capacity * sizeof(struct dw_slot_ref);
	bytes += (uint64_t)share->handed_capacity * sizeof(struct dw_limiter_handover);
	bytes += (uint64_t)share->outbox_capacity * sizeof(struct dw_limiter_queued_message);
	return bytes + (uint64_t)share->ready_capacity * sizeof(uint64_t);
}
