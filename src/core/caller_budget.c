#include <dragonflywharf/caller_budget.h>

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#define MIB (UINT64_C(1) << 20)
#define US_PER_S UINT64_C(1000000)
/* The process itself needs 3 to 25 MB. Of the rest callers get half: while a body is sent to an engine,
 * there is a second copy of it. */
#define PROCESS_BYTES (24 * MIB)
#define LEAST_BYTES (16 * MIB)
#define BYTES_WITHOUT_MACHINE (48 * MIB)
/* 200 descriptors for files, the others for peers, the store and operators. Of the rest callers get
 * half, as each of them may need a connection to an engine. */
#define RESERVED_DESCRIPTORS (200 + 128)
#define LEAST_CONNECTIONS 64
#define CONNECTIONS_WITHOUT_MACHINE 1024
/* Connections that are being rejected may be held beyond the limit: an eighth of it, and some. */
#define REJECTED_DIVISOR 8
#define REJECTED_SLACK 8

struct dw_caller_address {
	uint32_t address;
	uint32_t connections;
	uint64_t bytes;
	UT_hash_handle hh;
};

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t three_quarters(uint64_t value)
{
	return value - value / 4;
}

static uint64_t derive_bytes(uint64_t memory)
{
	if (memory == 0)
		return BYTES_WITHOUT_MACHINE;
	return max_u64(memory > PROCESS_BYTES ? (memory - PROCESS_BYTES) / 2 : 0, LEAST_BYTES);
}

static uint64_t derive_connections(uint64_t descriptors)
{
	if (descriptors == 0)
		return CONNECTIONS_WITHOUT_MACHINE;
	return max_u64(descriptors > RESERVED_DESCRIPTORS ? (descriptors - RESERVED_DESCRIPTORS) / 2
							  : 0,
		       LEAST_CONNECTIONS);
}

void dw_caller_budget_set_limits(struct dw_caller_budget *budget,
				 const struct dw_caller_limits_of_machine *machine)
{
	uint64_t connections = machine->caller_connections > 0
				       ? machine->caller_connections
				       : derive_connections(machine->descriptors);

	budget->max_bytes = machine->caller_bytes > 0 ? machine->caller_bytes
						      : derive_bytes(machine->memory_bytes);
	budget->max_connections =
		connections < UINT32_MAX / 2 ? (uint32_t)connections : UINT32_MAX / 2;
}

static struct dw_caller_address *find_address(const struct dw_caller_budget *budget,
					      uint32_t address)
{
	struct dw_caller_address *group;

	HASH_FIND(hh, budget->addresses, &address, sizeof(address), group);
	return group;
}

void dw_caller_budget_add(struct dw_caller_budget *budget, struct dw_caller_account *account,
			  uint32_t address, uint64_t now_us)
{
	struct dw_caller_address *group = find_address(budget, address);

	if (!group) {
		group = calloc(1, sizeof(*group));
		if (!group)
			abort();
		group->address = address;
		HASH_ADD(hh, budget->addresses, address, sizeof(group->address), group);
	}
	account->address = address;
	account->phase = DW_CALLER_IDLE;
	account->bytes = 0;
	account->moved_bytes = 0;
	account->progress_at_us = now_us;
	account->group = group;
	group->connections++;
	budget->connections++;
	DL_APPEND(budget->first, account);
}

void dw_caller_budget_remove(struct dw_caller_budget *budget, struct dw_caller_account *account)
{
	struct dw_caller_address *group = account->group;

	dw_caller_budget_hold(budget, account, 0);
	DL_DELETE(budget->first, account);
	account->group = NULL;
	budget->connections--;
	if (--group->connections > 0)
		return;
	HASH_DEL(budget->addresses, group);
	free(group);
}

void dw_caller_budget_hold(struct dw_caller_budget *budget, struct dw_caller_account *account,
			   uint64_t bytes)
{
	budget->bytes += bytes - account->bytes;
	account->group->bytes += bytes - account->bytes;
	account->bytes = bytes;
}

void dw_caller_account_enter(struct dw_caller_account *account, enum dw_caller_phase phase,
			     uint64_t now_us)
{
	if (account->phase == phase)
		return;
	account->phase = phase;
	account->moved_bytes = 0;
	account->progress_at_us = now_us;
}

void dw_caller_account_move(struct dw_caller_account *account, uint64_t bytes, uint64_t now_us)
{
	account->moved_bytes += bytes;
	if (account->moved_bytes < DW_CALLER_PROGRESS_BYTES)
		return;
	account->moved_bytes = 0;
	account->progress_at_us = now_us;
}

enum dw_caller_admission dw_caller_budget_admit(const struct dw_caller_budget *budget,
						uint32_t address)
{
	const struct dw_caller_address *group = find_address(budget, address);
	uint64_t limit = budget->max_connections;
	uint64_t held = group ? group->connections : 0;

	if (budget->connections < limit && held < three_quarters(limit))
		return DW_CALLER_ACCEPT;
	if (budget->connections < limit + limit / REJECTED_DIVISOR + REJECTED_SLACK)
		return DW_CALLER_REJECT;
	return DW_CALLER_DROP;
}

bool dw_caller_budget_fits(const struct dw_caller_budget *budget,
			   const struct dw_caller_account *account, uint64_t more)
{
	uint64_t limit = account->bytes + more > DW_CALLER_SMALL_BYTES
				 ? three_quarters(budget->max_bytes)
				 : budget->max_bytes;

	/* Each of the sums is below the limit, so that they don't overflow. */
	return more <= limit && budget->bytes <= limit - more &&
	       account->group->bytes + more <= three_quarters(limit);
}

bool dw_caller_budget_is_tight(const struct dw_caller_budget *budget)
{
	return budget->bytes > budget->max_bytes / 2;
}

static bool may_end(const struct dw_caller_account *account, uint64_t now_us)
{
	return account->phase != DW_CALLER_RUNNING &&
	       now_us >= account->progress_at_us + DW_CALLER_STALL_US;
}

/* Whether to end @p a rather than @p b: that of the address with an excess, then the one longest without
 * progress. */
static bool goes_before(const struct dw_caller_account *a, bool a_is_over,
			const struct dw_caller_account *b, bool b_is_over)
{
	if (a_is_over != b_is_over)
		return a_is_over;
	return a->progress_at_us < b->progress_at_us;
}

struct dw_caller_account *dw_caller_budget_connection_to_end(const struct dw_caller_budget *budget,
							     uint32_t address, uint64_t now_us)
{
	uint64_t share = three_quarters(budget->max_connections);
	const struct dw_caller_address *own = find_address(budget, address);
	bool own_only = own && own->connections >= share;
	struct dw_caller_account *chosen = NULL;
	struct dw_caller_account *account;
	bool chosen_is_over = false;

	DL_FOREACH(budget->first, account) {
		bool is_over = account->group->connections > share / 2;

		if (!may_end(account, now_us) || (own_only && account->address != address))
			continue;
		if (chosen && !goes_before(account, is_over, chosen, chosen_is_over))
			continue;
		chosen = account;
		chosen_is_over = is_over;
	}
	return chosen;
}

struct dw_caller_account *dw_caller_budget_memory_to_end(const struct dw_caller_budget *budget,
							 const struct dw_caller_account *account,
							 uint64_t now_us)
{
	uint64_t share = three_quarters(budget->max_bytes);
	bool own_only = account->group->bytes >= three_quarters(share);
	struct dw_caller_account *chosen = NULL;
	struct dw_caller_account *other;
	bool chosen_is_over = false;

	DL_FOREACH(budget->first, other) {
		bool is_over = other->group->bytes > share / 2;

		/* An idle connection holds next to nothing. */
		if (other == account || other->phase == DW_CALLER_IDLE || !may_end(other, now_us) ||
		    (own_only && other->group != account->group))
			continue;
		if (chosen && !goes_before(other, is_over, chosen, chosen_is_over))
			continue;
		chosen = other;
		chosen_is_over = is_over;
	}
	return chosen;
}

uint64_t dw_caller_transfer_deadline_us(uint64_t began_at_us, uint64_t bytes)
{
	return began_at_us + DW_CALLER_START_US + bytes * US_PER_S / DW_CALLER_BYTES_PER_S;
}
