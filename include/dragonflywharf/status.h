/**
 * @file status.h
 * Status codes of the library and the last message that explains one.
 *
 * Every fallible function returns an `enum dw_status`. The text of the most recent failure of the
 * calling thread is kept until the next one; a caller that reports it copies it at once.
 */
#ifndef DRAGONFLYWHARF_STATUS_H
#define DRAGONFLYWHARF_STATUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum dw_status {
	DW_OK,
	DW_INVALID_ARGUMENT, /**< malformed input */
	DW_TOO_LARGE, /**< input over a stated size limit */
	DW_UNAUTHENTICATED, /**< unknown or missing credentials */
	DW_FORBIDDEN, /**< known caller, not permitted */
	DW_NOT_FOUND, /**< no such entity */
	DW_CONFLICT, /**< compare-and-swap lost against another writer */
	DW_STALE, /**< an older revision, epoch or fencing number */
	DW_WITHDRAWN, /**< the version takes no new work */
	DW_UNAVAILABLE, /**< a dependency can't be reached now */
	DW_OVERLOADED, /**< no capacity within the deadline */
	DW_TIMEOUT, /**< the deadline has passed */
	DW_UNKNOWN_OUTCOME, /**< the effect may or may not have taken place */
	DW_QUARANTINED, /**< the request has crashed upstreams before */
	DW_NO_CONFIGURATION, /**< the instance has no configuration yet */
	DW_UPSTREAM_FAILED, /**< the upstream broke off or answered with an error */
	DW_CANCELLED, /**< the caller went away */
	DW_NO_MEMORY,
	DW_INTERNAL,
	DW_STATUS_COUNT
};

/** Stable lower-case name of a status, for logs and answers; "unknown" outside the range. */
const char *dw_status_name(enum dw_status status);

/** Records a printf-style message for @p status and returns @p status. */
enum dw_status dw_fail(enum dw_status status, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** The message of the thread's most recent dw_fail(); never NULL. */
const char *dw_last_message(void);

#ifdef __cplusplus
}
#endif

#endif
