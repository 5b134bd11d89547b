/**
 * @file session_pins.h
 * Which version of a service each recent session used last, so that it stays there.
 */
#ifndef DRAGONFLYWHARF_SESSION_PINS_H
#define DRAGONFLYWHARF_SESSION_PINS_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_session_pins;

struct dw_session_pins *dw_session_pins_new(void);
void dw_session_pins_free(struct dw_session_pins *pins);

/** A request of the session uses this version, or has just ended there. */
void dw_session_pins_record(struct dw_session_pins *pins, const char *service, const char *session,
			    const char *version, uint64_t now_us);

/** The version that the session used since @p since_us; NULL if none. Valid until the next use. */
const char *dw_session_pins_find(const struct dw_session_pins *pins, const char *service,
				 const char *session, uint64_t since_us);

/** Drops sessions not used since @p since_us. */
void dw_session_pins_expire(struct dw_session_pins *pins, uint64_t since_us);

size_t dw_session_pins_count(const struct dw_session_pins *pins);

#ifdef __cplusplus
}
#endif

#endif
