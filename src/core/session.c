#include <dragonflywharf/session.h>

#include <sodium.h>
#include <string.h>

#include "core/byte_order.h"

/*
 * Bytes of a token: format, length of the model, hash of the organisation, issue and expiry in
 * seconds (big endian), model, version, authenticator over all of it.
 */
#define TOKEN_FORMAT 1
#define ORGANISATION_HASH_BYTES 16
#define HEAD_BYTES (2 + ORGANISATION_HASH_BYTES + 4 + 4)
#define TAG_BYTES 32
#define TOKEN_MAX_BYTES (HEAD_BYTES + 2 * DW_NAME_MAX_BYTES + TAG_BYTES)
#define US_PER_S UINT64_C(1000000)
#define TOKEN_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

_Static_assert(sodium_base64_ENCODED_LEN(TOKEN_MAX_BYTES, TOKEN_VARIANT) <= DW_SESSION_TOKEN_BYTES,
	       "the longest token exceeds its bound");

static void hash_organisation(const uint8_t *key, const char *organisation,
			      uint8_t out[ORGANISATION_HASH_BYTES])
{
	crypto_generichash(out, ORGANISATION_HASH_BYTES, (const uint8_t *)organisation,
			   strlen(organisation), key, DW_SESSION_KEY_BYTES);
}

static void authenticate(const uint8_t *key, const uint8_t *bytes, size_t len,
			 uint8_t out[TAG_BYTES])
{
	crypto_generichash(out, TAG_BYTES, bytes, len, key, DW_SESSION_KEY_BYTES);
}

enum dw_status dw_session_token_create(const struct dw_session_keys *keys, const char *organisation,
				       const struct dw_session_claims *claims,
				       char out[DW_SESSION_TOKEN_BYTES])
{
	uint8_t bytes[TOKEN_MAX_BYTES];
	size_t model_len, version_len, len;

	out[0] = '\0';
	if (!dw_name_valid(organisation) || !dw_name_valid(claims->model) ||
	    !dw_name_valid(claims->version))
		return dw_fail(DW_INVALID_ARGUMENT, "session token: not a name");
	if (claims->expires_us / US_PER_S > UINT32_MAX || claims->issued_us > claims->expires_us)
		return dw_fail(DW_INVALID_ARGUMENT, "session token: times out of range");
	model_len = strlen(claims->model);
	version_len = strlen(claims->version);
	bytes[0] = TOKEN_FORMAT;
	bytes[1] = (uint8_t)model_len;
	hash_organisation(keys->current, organisation, bytes + 2);
	dw_put_be32(bytes + 2 + ORGANISATION_HASH_BYTES, (uint32_t)(claims->issued_us / US_PER_S));
	dw_put_be32(bytes + 6 + ORGANISATION_HASH_BYTES, (uint32_t)(claims->expires_us / US_PER_S));
	memcpy(bytes + HEAD_BYTES, claims->model, model_len);
	memcpy(bytes + HEAD_BYTES + model_len, claims->version, version_len);
	len = HEAD_BYTES + model_len + version_len;
	authenticate(keys->current, bytes, len, bytes + len);
	sodium_bin2base64(out, DW_SESSION_TOKEN_BYTES, bytes, len + TAG_BYTES, TOKEN_VARIANT);
	return DW_OK;
}

static bool tag_matches(const uint8_t *key, const uint8_t *bytes, size_t len)
{
	uint8_t tag[TAG_BYTES];

	authenticate(key, bytes, len, tag);
	return sodium_memcmp(tag, bytes + len, TAG_BYTES) == 0;
}

static const uint8_t *matching_key(const struct dw_session_keys *keys, const uint8_t *bytes,
				   size_t len)
{
	if (tag_matches(keys->current, bytes, len))
		return keys->current;
	if (keys->has_previous && tag_matches(keys->previous, bytes, len))
		return keys->previous;
	return NULL;
}

/* The bytes are authentic, so only a token of another format can fail here. */
static bool read_claims(const uint8_t *bytes, size_t len, struct dw_session_claims *claims)
{
	size_t model_len = bytes[1];
	size_t names_len = len - HEAD_BYTES;

	memset(claims, 0, sizeof(*claims));
	if (bytes[0] != TOKEN_FORMAT || model_len > DW_NAME_MAX_BYTES || model_len > names_len ||
	    names_len - model_len > DW_NAME_MAX_BYTES)
		return false;
	claims->issued_us = dw_get_be32(bytes + 2 + ORGANISATION_HASH_BYTES) * US_PER_S;
	claims->expires_us = dw_get_be32(bytes + 6 + ORGANISATION_HASH_BYTES) * US_PER_S;
	memcpy(claims->model, bytes + HEAD_BYTES, model_len);
	memcpy(claims->version, bytes + HEAD_BYTES + model_len, names_len - model_len);
	return true;
}

enum dw_status dw_session_token_verify(const struct dw_session_keys *keys, const char *token,
				       const char *organisation, uint64_t now_wall_us,
				       struct dw_session_claims *claims)
{
	uint8_t bytes[TOKEN_MAX_BYTES], hash[ORGANISATION_HASH_BYTES];
	const uint8_t *key;
	size_t len = 0;

	if (sodium_base642bin(bytes, sizeof(bytes), token, strnlen(token, DW_SESSION_TOKEN_BYTES),
			      NULL, &len, NULL, TOKEN_VARIANT) != 0 ||
	    len < HEAD_BYTES + TAG_BYTES)
		return dw_fail(DW_UNAUTHENTICATED, "session token: malformed");
	len -= TAG_BYTES;
	key = matching_key(keys, bytes, len);
	if (!key || !read_claims(bytes, len, claims))
		return dw_fail(DW_UNAUTHENTICATED, "session token: not made by this cluster");
	hash_organisation(key, organisation, hash);
	if (sodium_memcmp(hash, bytes + 2, ORGANISATION_HASH_BYTES) != 0)
		return dw_fail(DW_FORBIDDEN, "session token: of another organisation");
	if (now_wall_us >= claims->expires_us)
		return dw_fail(DW_STALE, "session token: expired");
	return DW_OK;
}
