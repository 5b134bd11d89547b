/**
 * @file crash_check.h
 * Decides whether an upstream has ended, after connections to it have broken.
 *
 * A broken connection alone proves nothing: the upstream may have reset it, or the network. Signs
 * from other connections and from discovery decide. The requests whose connections broke are kept
 * until then. Running out of memory aborts.
 */
#ifndef DRAGONFLYWHARF_CRASH_CHECK_H
#define DRAGONFLYWHARF_CRASH_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/part_quarantine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Requests kept for an upstream; further ones that break there aren't remembered. */
#define DW_CRASH_CHECK_REQUESTS_MAX 128

/** One start of an upstream. */
struct dw_crash_upstream {
	uint64_t id;
	uint64_t incarnation;
};

enum dw_crash_sign {
	DW_CRASH_SIGN_REFUSED, /**< nothing listens at its address */
	DW_CRASH_SIGN_REPLACED, /**< another upstream answers at its address */
	DW_CRASH_SIGN_RESTARTED, /**< it is registered with another incarnation */
	DW_CRASH_SIGN_TOLD, /**< another instance has found it ended */
	DW_CRASH_SIGN_REMOVED, /**< its entry was removed, and it hadn't said that it leaves */
	DW_CRASH_SIGN_CONNECTED, /**< it accepted a connection */
	DW_CRASH_SIGN_ANSWERED, /**< it answered a request */
	DW_CRASH_SIGN_LEAVING, /**< it says that it leaves: its end is no crash */
	DW_CRASH_SIGN_COUNT
};

const char *dw_crash_sign_name(enum dw_crash_sign sign);

enum dw_crash_verdict {
	DW_CRASH_OPEN, /**< not decided, or nothing to decide */
	DW_CRASH_ENDED, /**< the upstream ended under the requests */
	DW_CRASH_ALIVE, /**< it runs; an earlier verdict that it ended was wrong */
	DW_CRASH_VERDICT_COUNT
};

/** A request that an upstream was running. */
struct dw_crash_run {
	struct dw_fingerprint request;
	bool is_abandoned; /**< given up here before the upstream ended, see abandoned_runs.h */
	struct dw_part_set parts; /**< of its prompt */
};

/** The requests that a verdict concerns; valid until the next call. */
struct dw_crash_requests {
	const struct dw_crash_run *items;
	uint32_t count;
	uint64_t lost_at_us; /**< when the first connection broke */
	bool had_ended; /**< with ALIVE: the verdict before was ENDED */
};

struct dw_crash_checks;

struct dw_crash_checks *dw_crash_checks_new(void);
void dw_crash_checks_free(struct dw_crash_checks *checks);

/**
 * A connection broke on which the upstream had a request, or was closed here before the upstream ended.
 * @return ENDED if the upstream is known to have ended (with this request in @p requests), else OPEN
 */
enum dw_crash_verdict dw_crash_checks_lost(struct dw_crash_checks *checks,
					   struct dw_crash_upstream upstream,
					   const struct dw_crash_run *run, uint64_t now_us,
					   struct dw_crash_requests *requests);

/**
 * A sign was seen. @p since_us: when what it proves began, for instance when the answered request was
 * sent; a sign of life from before the connection broke proves nothing.
 */
enum dw_crash_verdict dw_crash_checks_sign(struct dw_crash_checks *checks, uint64_t upstream_id,
					   enum dw_crash_sign sign, uint64_t since_us,
					   struct dw_crash_requests *requests);

/** Whether it isn't decided yet if the request's upstream has ended. */
bool dw_crash_checks_is_open(const struct dw_crash_checks *checks, struct dw_fingerprint request);

/** Whether the upstream is known to have ended. */
bool dw_crash_checks_has_ended(const struct dw_crash_checks *checks,
			       struct dw_crash_upstream upstream);

/** Whether a verdict on the upstream is still open. */
bool dw_crash_checks_has_upstream(const struct dw_crash_checks *checks, uint64_t upstream_id);

/** Forgets upstreams about which no sign will come any more. */
void dw_crash_checks_expire(struct dw_crash_checks *checks, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
