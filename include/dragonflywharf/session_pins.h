/**
 * @file session_pins.h
 * Remembers the version of a service that each recent session used last, so that the session can be
 * kept on it. Running out of memory aborts.
 *
 * The requests of a session may reach several instances. Pins that another instance couldn't guess
 * are sent to it in digests: each has the session's fingerprint, the version and the time since the
 * last use; the latest use counts.
 */
#ifndef DRAGONFLYWHARF_SESSION_PINS_H
#define DRAGONFLYWHARF_SESSION_PINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dragonflywharf/spread.h>
#include <dragonflywharf/status.h>

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

/**
 * Asks the other instances to tell their pins again, in the next digest: this one has lost those that
 * were told before it started. The question is passed on like a pin.
 */
void dw_session_pins_ask(struct dw_session_pins *pins, uint64_t now_us);
/** Whether another instance has asked since the last call. The answer is dw_session_pins_tell_all(). */
bool dw_session_pins_take_question(struct dw_session_pins *pins);

/** Maximum size of a digest; fits into one datagram. */
#define DW_SESSION_PINS_DIGEST_BYTES 1200

/** Notes that the other instances have to be told the session's version. */
void dw_session_pins_tell(struct dw_session_pins *pins, const char *service, const char *session);
/** The same for all sessions of a service for which @p is_news, given dw_rendezvous_key() of the
 * session and its version, returns true. */
void dw_session_pins_tell_all(struct dw_session_pins *pins, const char *service,
			      bool (*is_news)(uint64_t session_key, const char *version,
					      const void *data),
			      const void *data);

/**
 * Writes the pins that have to be sent to @p scope and notes that they were. Pins that don't fit are
 * left for the next digest.
 * @return the length; 0 if there is nothing new.
 */
size_t dw_session_pins_write(struct dw_session_pins *pins, enum dw_spread_scope scope,
			     uint64_t now_us, uint8_t *out, size_t size);

/**
 * Applies another instance's digest; pins that are news here have to be passed on to @p scope.
 * @return DW_OK, or DW_INVALID_ARGUMENT if malformed; pins before the malformed one are applied.
 */
enum dw_status dw_session_pins_read(struct dw_session_pins *pins, enum dw_spread_scope scope,
				    const uint8_t *bytes, size_t len, uint64_t now_us);

size_t dw_session_pins_count(const struct dw_session_pins *pins);

#ifdef __cplusplus
}
#endif

#endif
