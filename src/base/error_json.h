/**
 * @file error_json.h
 * Typed errors as callers and operators read them: an HTTP status and one JSON object.
 */
#ifndef WHARF_BASE_ERROR_JSON_H
#define WHARF_BASE_ERROR_JSON_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Whether a refusal may say that the request has not run. */
enum not_run {
	NOT_RUN_UNPROVEN, /**< it may have run */
	NOT_RUN_PROVEN,
	NOT_RUN_COUNT
};

/** HTTP status of an error. */
int error_http_status(enum dw_status status);

/** The error as one JSON text; freed by the caller. */
char *error_json(enum dw_status status, enum not_run not_run, const char *message);

#ifdef __cplusplus
}
#endif

#endif
