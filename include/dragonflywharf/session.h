/**
 * @file session.h
 * Session tokens, and the selection of a model version for a session.
 *
 * A token contains a hash of the organisation, the model and the version. It is authenticated with
 * BLAKE2b (libsodium) keyed with the cluster key, so any instance can verify it without shared
 * state.
 */
#ifndef DRAGONFLYWHARF_SESSION_H
#define DRAGONFLYWHARF_SESSION_H

#include <dragonflywharf/ruleset.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_SESSION_TOKEN_BYTES 257 /**< at most 256 characters and the NUL */
#define DW_SESSION_KEY_BYTES 32

/** Cluster keys. New tokens are made with the current key; both keys are accepted. */
struct dw_session_keys {
	uint8_t current[DW_SESSION_KEY_BYTES];
	uint8_t previous[DW_SESSION_KEY_BYTES];
	bool has_previous;
};

/** Contents of a verified token. Times are wall-clock times, truncated to seconds. */
struct dw_session_claims {
	char model[DW_NAME_MAX_BYTES + 1];
	char version[DW_NAME_MAX_BYTES + 1];
	uint64_t issued_us;
	uint64_t expires_us;
};

/** Writes a token in URL-safe base64. Errors: DW_INVALID_ARGUMENT. */
enum dw_status dw_session_token_create(const struct dw_session_keys *keys, const char *organisation,
				       const struct dw_session_claims *claims,
				       char out[DW_SESSION_TOKEN_BYTES]);

/**
 * Verifies that @p token is valid for @p organisation. Errors: DW_UNAUTHENTICATED (malformed,
 * forged, truncated or made with an unknown key), DW_FORBIDDEN (issued for another organisation),
 * DW_STALE (expired at @p now_wall_us).
 */
enum dw_status dw_session_token_verify(const struct dw_session_keys *keys, const char *token,
				       const char *organisation, uint64_t now_wall_us,
				       struct dw_session_claims *claims);

/** A further condition on versions that are live and permitted, for instance that they aren't held
 * automatically (see rollout.h). */
struct dw_version_filter {
	/** True if the version may be used. @p kept: the session uses it already. If NULL, all are
	 * accepted. */
	bool (*accepts)(const struct dw_version *version, bool kept, void *data);
	void *data;
};

enum dw_session_outcome {
	DW_SESSION_NEW, /**< no previous version; selected by roll-out weight */
	DW_SESSION_KEPT, /**< the session stays on its version */
	DW_SESSION_MOVED, /**< the session's version can't be used; the caller has to be informed */
	DW_SESSION_OUTCOME_COUNT
};

struct dw_session_choice {
	const struct dw_version *version;
	enum dw_session_outcome outcome;
};

/**
 * Selects the version for a request: @p session_version (from a token or the session table; NULL if
 * there is none) if it is permitted, live and accepted by @p filter, else a random one in
 * proportion to the roll-out weights. Versions with weight 0 get new sessions only if no other can
 * be used.
 * Errors: DW_NOT_FOUND (no such model or organisation), DW_FORBIDDEN (no permitted version),
 * DW_WITHDRAWN (none of the permitted versions is live and accepted).
 */
enum dw_status dw_session_choose_version(const struct dw_ruleset *ruleset, const char *organisation,
					 const char *model, const char *session_version,
					 const struct dw_version_filter *filter, uint64_t random,
					 struct dw_session_choice *choice);

#ifdef __cplusplus
}
#endif

#endif
