/**
 * @file session.h
 * Session tokens and the choice of a session's version.
 *
 * A token names the organisation (as a hash), model and version, and is authenticated by keyed
 * BLAKE2b (libsodium) under the cluster key, so that any instance honours it without shared state.
 */
#ifndef DRAGONFLYWHARF_SESSION_H
#define DRAGONFLYWHARF_SESSION_H

#include <dragonflywharf/ruleset.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SESSION_TOKEN_BYTES 257 /**< text of at most 256 characters and the NUL */
#define DW_SESSION_KEY_BYTES 32

/** Keys of the cluster: tokens are made with the current one, checked with both. */
struct dw_session_keys {
	uint8_t current[DW_SESSION_KEY_BYTES];
	uint8_t previous[DW_SESSION_KEY_BYTES];
	bool has_previous;
};

/** What a checked token says. Times are of the wall clock, in whole seconds. */
struct dw_session_claims {
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1];
	uint64_t issued_us;
	uint64_t expires_us;
};

/** Writes a token of the URL-safe base64 alphabet. Errors: DW_INVALID_ARGUMENT. */
enum dw_status dw_session_token_create(const struct dw_session_keys *keys, const char *organisation,
				       const struct dw_session_claims *claims,
				       char out[DW_SESSION_TOKEN_BYTES]);

/**
 * Checks @p token for @p organisation. Errors: DW_UNAUTHENTICATED (forged, cut or of an unknown
 * key), DW_FORBIDDEN (another organisation's), DW_STALE (expired at @p now_wall_us).
 */
enum dw_status dw_session_token_verify(const struct dw_session_keys *keys, const char *token,
				       const char *organisation, uint64_t now_wall_us,
				       struct dw_session_claims *claims);

/** Whether a permitted, live version may be used now, for instance not held automatically. */
struct dw_version_filter {
	/** @p kept: the session is on that version already. NULL accepts all. */
	bool (*accepts)(const struct dw_version *version, bool kept, void *data);
	void *data;
};

enum dw_session_outcome {
	DW_SESSION_NEW, /**< a first choice, by roll-out weight */
	DW_SESSION_KEPT, /**< the session's version */
	DW_SESSION_MOVED, /**< the session's version takes no new work; tell the caller */
	DW_SESSION_OUTCOME_COUNT
};

struct dw_session_choice {
	const struct dw_version *version;
	enum dw_session_outcome outcome;
};

/**
 * The version of a request: @p session_version (from a token or the session table, NULL for
 * none) if it is permitted, live and accepted by @p filter; else one by roll-out weight.
 * Versions of weight 0 get new sessions only if no other is left.
 * Errors: DW_NOT_FOUND (no such model or organisation), DW_FORBIDDEN (no permitted version),
 * DW_WITHDRAWN (none of the permitted ones is live and accepted).
 */
enum dw_status dw_session_choose_version(const struct dw_ruleset *ruleset, const char *organisation,
					 const char *model, const char *session_version,
					 const struct dw_version_filter *filter, uint64_t random,
					 struct dw_session_choice *choice);

#ifdef __cplusplus
}
#endif

#endif
