/**
 * @file instance_list.h
 * Port to the platform's list of instances, which lags: it is polled and kept as typed snapshots.
 *
 * A read that fails, or gives an empty or malformed list, is an error and leaves the snapshot as it
 * was; it never empties it. An adapter supplies the reading (see instance_list_http.h).
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
	uint64_t
		generation; /**< the platform's count of changes; a list behind a replica may go back */
	uint64_t read_us; /**< when the read was sent: the list is at least as old */
	struct dw_instance *instances; /**< never empty */
	size_t count;
};

struct dw_instance_list;

/** What an adapter supplies. */
struct dw_instance_list_ops {
	/** Reads the list once and ends with one dw_instance_list_take(), later from the loop. */
	void (*read)(struct dw_instance_list *list, uint64_t deadline_us);
	void (*free)(struct dw_instance_list *list);
};

struct dw_instance_list_options {
	uint64_t period_us; /**< from one read's end to the next read */
	uint64_t read_timeout_us; /**< of each read */
	/** Told after each read, with DW_OK if there is a new snapshot. May be NULL. */
	void (*on_read)(struct dw_instance_list *list, enum dw_status status, void *data);
	void *data;
};

/** Head of each adapter's own structure. */
struct dw_instance_list {
	const struct dw_instance_list_ops *ops;
	struct dw_instance_list_options options;
	struct dw_instance_snapshot snapshot; /**< count is 0 until a read has succeeded */
	enum dw_status last_status; /**< of the last read */
	uint64_t calls; /**< reads sent */
	uint64_t failures;
	uint64_t sent_us; /**< when the read under way was sent */
	uv_timer_t timer;
	bool reading;
	bool closing;
};

/** For adapters: sets up the head and starts the first read on the loop's next turn. */
void dw_instance_list_init(struct dw_instance_list *list, uv_loop_t *loop,
			   const struct dw_instance_list_ops *ops,
			   const struct dw_instance_list_options *options);

/** For adapters: the end of a read. Takes over @p instances, an array from malloc(). */
void dw_instance_list_take(struct dw_instance_list *list, enum dw_status status,
			   uint64_t generation, struct dw_instance *instances, size_t count);

/** The last good snapshot, valid until the next read; NULL if there is none yet. */
const struct dw_instance_snapshot *dw_instance_list_snapshot(const struct dw_instance_list *list);

/** Age of the snapshot; UINT64_MAX if there is none. */
uint64_t dw_instance_list_age_us(const struct dw_instance_list *list, uint64_t now_us);

/** Ends the polling and frees the list, once a read under way has ended; no callback follows. */
void dw_instance_list_free(struct dw_instance_list *list);

#ifdef __cplusplus
}
#endif

#endif
