/**
 * @file status.h
 * Status codes of the library and the message of the last failure.
 *
 * Every fallible function returns an `enum dw_status`. The message of the calling thread's latest
 * failure is kept until the next one, so a caller that reports it must copy it at once.
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
	DW_TOO_LARGE, /**< input exceeds a size limit */
	DW_UNAUTHENTICATED, /**< unknown or missing credentials */
	DW_FORBIDDEN, /**< known caller without permission */
	DW_NOT_FOUND, /**< no such entity */
	DW_CONFLICT, /**< another writer changed the value first */
	DW_STALE, /**< an older revision, epoch or fencing number */
	DW_WITHDRAWN, /**< the version accepts no new work */
	DW_UNAVAILABLE, /**< a dependency can't be reached */
	DW_OVERLOADED, /**< no capacity within the deadline */
	DW_TIMEOUT, /**< the deadline has passed */
	DW_UNKNOWN_OUTCOME, /**< the operation may or may not have taken effect */
	DW_QUARANTINED, /**< the request has crashed upstreams before */
	DW_NO_CONFIGURATION, /**< the instance has no configuration yet */
	DW_UPSTREAM_FAILED, /**< the upstream closed the connection early or returned an error */
	DW_CANCELLED, /**< the caller disconnected */
	DW_NO_MEMORY,
	DW_INTERNAL,
	DW_STATUS_COUNT
};

/**
 * Returns the stable lower-case name of a status, for logs and responses; "unknown" outside the
 * range.
 */
const char *dw_status_name(enum dw_status status);

/** Sets the thread's failure message, printf-style, and returns @p status. */
enum dw_status dw_fail(enum dw_status status, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Returns the message of the thread's latest dw_fail(); never NULL. */
const char *dw_last_message(void);

#ifdef __cplusplus
}
#endif

#endif
