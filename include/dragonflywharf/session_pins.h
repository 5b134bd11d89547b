/**
 * @file session_pins.h
 * Remembers the version of a service that each recent session used last, so that the session can be
 * kept on it. Running out of memory aborts.
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

/** Records that a request of the session starts or ends on this version. */
void dw_session_pins_record(struct dw_session_pins *pins, const char *service, const char *session,
			    const char *version, uint64_t now_us);

/** The session's last version if it was used at or after @p since_us, else NULL. Valid until the
 * next call of dw_session_pins_record() or dw_session_pins_expire(). */
const char *dw_session_pins_find(const struct dw_session_pins *pins, const char *service,
				 const char *session, uint64_t since_us);

/** Removes sessions whose last use was before @p since_us. */
void dw_session_pins_expire(struct dw_session_pins *pins, uint64_t since_us);

size_t dw_session_pins_count(const struct dw_session_pins *pins);

#ifdef __cplusplus
}
#endif

#endif
