/**
 * @file caller_budget.h
 * Account of the memory and the connections that are held for callers, by their address: what may be
 * accepted, and which connection to end to make room.
 *
 * A request that was handed on is never ended. The others are ended in the order of their last
 * progress, and only after DW_CALLER_STALL_US without any; those of an address that holds more than
 * its share go first. Bodies over DW_CALLER_SMALL_BYTES may not use the last quarter of the memory, so
 * that ordinary requests are served beside them, and one address may not use the last quarter of either.
 */
#ifndef DRAGONFLYWHARF_CALLER_BUDGET_H
#define DRAGONFLYWHARF_CALLER_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Ordinary bodies have 600 B to 55 kB; a larger one doesn't get the last quarter of the memory. */
#define DW_CALLER_SMALL_BYTES 131072
/** Fewer bytes than this since the last progress are none, so that a trickle doesn't count. */
#define DW_CALLER_PROGRESS_BYTES 4096
/** A connection without progress for this long may be ended to make room. */
#define DW_CALLER_STALL_US UINT64_C(1000000)
/** The least mean rate of a body or of a reader, after a time for the start. */
#define DW_CALLER_BYTES_PER_S 4096
#define DW_CALLER_START_US UINT64_C(30000000)

enum dw_caller_phase {
	DW_CALLER_IDLE, /**< no byte of the next request has arrived */
	DW_CALLER_READING, /**< a head or a body is incomplete: the request hasn't been handed on */
	DW_CALLER_RUNNING, /**< the request was handed on: it isn't ended */
	DW_CALLER_UNREAD, /**< the last response was sent, and the caller hasn't read all of it */
	DW_CALLER_PHASE_COUNT
};

enum dw_caller_admission {
	DW_CALLER_ACCEPT,
	DW_CALLER_REJECT, /**< with a response */
	DW_CALLER_DROP, /**< close at once: even rejections hold too many connections */
	DW_CALLER_ADMISSION_COUNT
};

struct dw_caller_limits_of_machine {
	uint64_t memory_bytes; /**< 0: unknown */
	uint64_t descriptors; /**< 0: unknown */
	uint64_t caller_bytes; /**< set by the operator; 0: derived from the memory */
	uint64_t caller_connections; /**< set by the operator; 0: derived from the descriptors */
};

struct dw_caller_address;

/** One connection, embedded in its owner's structure. */
struct dw_caller_account {
	uint32_t address;
	enum dw_caller_phase phase;
	uint64_t bytes; /**< held for it */
	uint64_t moved_bytes; /**< received or read since progress_at_us */
	uint64_t progress_at_us;
	struct dw_caller_address *group;
	struct dw_caller_account *prev;
	struct dw_caller_account *next;
};

/** Zero-initialise, then set the limits. */
struct dw_caller_budget {
	uint64_t max_bytes;
	uint32_t max_connections;
	uint64_t bytes;
	uint32_t connections;
	uint64_t rejected; /**< connections and requests, since the start */
	uint64_t ended; /**< connections ended to make room, since the start */
	struct dw_caller_account *first;
	struct dw_caller_address *addresses;
};

/** Sets the limits; what is held already stays. */
void dw_caller_budget_set_limits(struct dw_caller_budget *budget,
				 const struct dw_caller_limits_of_machine *machine);

/** Adds a connection; dw_caller_budget_remove() must follow. */
void dw_caller_budget_add(struct dw_caller_budget *budget, struct dw_caller_account *account,
			  uint32_t address, uint64_t now_us);
void dw_caller_budget_remove(struct dw_caller_budget *budget, struct dw_caller_account *account);

/** Sets what is held for the connection. */
void dw_caller_budget_hold(struct dw_caller_budget *budget, struct dw_caller_account *account,
			   uint64_t bytes);

/** Starts a phase, which is progress; the phase it is in already isn't. */
void dw_caller_account_enter(struct dw_caller_account *account, enum dw_caller_phase phase,
			     uint64_t now_us);
/** The connection has received or read @p bytes. */
void dw_caller_account_move(struct dw_caller_account *account, uint64_t bytes, uint64_t now_us);

/** Whether a connection of @p address can be added. */
enum dw_caller_admission dw_caller_budget_admit(const struct dw_caller_budget *budget,
						uint32_t address);
/** Whether @p more bytes can be held for the connection. */
bool dw_caller_budget_fits(const struct dw_caller_budget *budget,
			   const struct dw_caller_account *account, uint64_t more);
/** Whether over half of the memory is held: buffers that only save time should shrink. */
bool dw_caller_budget_is_tight(const struct dw_caller_budget *budget);

/**
 * The connection to end first to make room for a connection of @p address. @return NULL if there is none.
 * Ending one of @p address only helps if that has used up its share.
 */
struct dw_caller_account *dw_caller_budget_connection_to_end(const struct dw_caller_budget *budget,
							     uint32_t address, uint64_t now_us);
/** The same for memory that @p account needs; it is never @p account itself. */
struct dw_caller_account *dw_caller_budget_memory_to_end(const struct dw_caller_budget *budget,
							 const struct dw_caller_account *account,
							 uint64_t now_us);

/** Until when a body or a response has to be complete of which @p bytes have been transferred. */
uint64_t dw_caller_transfer_deadline_us(uint64_t began_at_us, uint64_t bytes);

#ifdef __cplusplus
}
#endif

#endif
