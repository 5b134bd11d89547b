/**
 * @file error_json.h
 * Formats an error for HTTP clients: an HTTP status and a JSON object.
 */
#ifndef WHARF_BASE_ERROR_JSON_H
#define WHARF_BASE_ERROR_JSON_H

#include <stdbool.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Value of the error's "not_run" field: whether the request certainly wasn't executed. */
enum not_run {
	NOT_RUN_UNPROVEN, /**< false: the request may have been executed */
	NOT_RUN_PROVEN, /**< true: not executed, so a retry can't execute it twice */
	NOT_RUN_COUNT
};

/** Returns the HTTP status for @p status; 500 for an invalid value. */
int error_http_status(enum dw_status status);

/** Whether callers take the status for a promise that the request hasn't run and won't, so that they may send
 * it again: 408, 421, 429, 503. */
bool error_status_is_refusal(int http_status);

/** Formats the error as a JSON string, which the caller frees. Aborts if out of memory. */
char *error_json(enum dw_status status, enum not_run not_run, const char *message);

#ifdef __cplusplus
}
#endif

#endif
