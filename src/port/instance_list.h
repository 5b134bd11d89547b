/**
 * @file instance_list.h
 * Interface to the platform's list of instances. The list is polled; the last valid copy is kept
 * as a snapshot. The platform's list lags behind the actual state.
 *
 * A read that fails, or returns an empty or malformed list, is an error: the previous snapshot
 * stays, it is never replaced by an empty one. An adapter implements the read (see
 * instance_list_http.h).
 */
#ifndef WHARF_PORT_INSTANCE_LIST_H
#define WHARF_PORT_INSTANCE_LIST_H

#include <uv.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_INSTANCE_NAME_BYTES 65
#define DW_INSTANCE_IP_BYTES 16

enum dw_instance_role {
	DW_INSTANCE_ENTRY, /**< runs a daemon of this project */
	DW_INSTANCE_ENGINE, /**< runs a model engine */
	DW_INSTANCE_SERVICE, /**< runs a plain service */
	DW_INSTANCE_ROLE_COUNT
};

enum dw_instance_state { DW_INSTANCE_LIVE, DW_INSTANCE_LEAVING, DW_INSTANCE_STATE_COUNT };

struct dw_instance {
	char name[DW_INSTANCE_NAME_BYTES];
	char ip[DW_INSTANCE_IP_BYTES]; /**< numeric IPv4 address */
	char failure_domain[DW_INSTANCE_NAME_BYTES];
	uint16_t port;
	enum dw_instance_role role;
	enum dw_instance_state state;
};

struct dw_instance_snapshot {
	/** The platform's change counter; may decrease if the list is read from a replica. */
	uint64_t generation;
	uint64_t sent_us; /**< when the read was sent; the list is at least this old */
	struct dw_instance *instances; /**< never empty */
	size_t count;
};

struct dw_instance_list;

/** Operations that an adapter implements. */
struct dw_instance_list_ops {
	/**
	 * Starts one read of the list. When it ends, the adapter calls
	 * dw_instance_list_finish_read() once, from a later iteration of the event loop.
	 */
	void (*read)(struct dw_instance_list *list, uint64_t deadline_us);
	void (*free)(struct dw_instance_list *list);
};

struct dw_instance_list_options {
	uint64_t period_us; /**< delay between the end of a read and the next one */
	uint64_t read_timeout_us;
	/** Called after each read, with DW_OK if there is a new snapshot. May be NULL. */
	void (*on_read)(struct dw_instance_list *list, enum dw_status status, void *data);
	void *data;
};

/** Base structure; each adapter embeds it as the first member of its own. */
struct dw_instance_list {
	const struct dw_instance_list_ops *ops;
	struct dw_instance_list_options options;
	struct dw_instance_snapshot snapshot; /**< count is 0 until a read has succeeded */
	enum dw_status last_status; /**< DW_UNAVAILABLE until the first read has ended */
	uint64_t reads_sent;
	uint64_t failures; /**< number of reads that failed */
	uint64_t sent_us; /**< when the current or last read was sent */
	uv_timer_t timer;
	bool reading;
	bool closing;
};

/** For adapters: initialises the base structure; the first read starts from the event loop. */
void dw_instance_list_init(struct dw_instance_list *list, uv_loop_t *loop,
			   const struct dw_instance_list_ops *ops,
			   const struct dw_instance_list_options *options);

/** For adapters: ends a read. Takes ownership of @p instances, an array from malloc(). */
void dw_instance_list_finish_read(struct dw_instance_list *list, enum dw_status status,
				  uint64_t generation, struct dw_instance *instances, size_t count);

/** Returns the last valid snapshot, usable until the next read ends; NULL if there is none yet. */
const struct dw_instance_snapshot *dw_instance_list_snapshot(const struct dw_instance_list *list);

/** Returns the age of the snapshot, or UINT64_MAX if there is none. */
uint64_t dw_instance_list_age_us(const struct dw_instance_list *list, uint64_t now_us);

/**
 * Stops polling and frees the list; a read in progress is waited for first. on_read isn't called
 * any more.
 */
void dw_instance_list_free(struct dw_instance_list *list);

#ifdef __cplusplus
}
#endif

#endif
