#include <dragonflywharf/session.h>

#include <sodium.h>
#include <string.h>

#include "core/byte_order.h"

/*
 * Layout of a token: format (1 byte), length of the model name (1 byte), keyed hash of the
 * organisation (16 bytes), times of issue and expiry in seconds (big endian, 4 bytes each), model
 * name, version name, authentication tag over all of it (32 bytes).
 */
#define TOKEN_FORMAT 1
#define ORGANISATION_HASH_BYTES 16
#define HEADER_BYTES (2 + ORGANISATION_HASH_BYTES + 4 + 4)
#define TAG_BYTES 32
#define TOKEN_MAX_BYTES (HEADER_BYTES + 2 * DW_NAME_MAX_BYTES + TAG_BYTES)
#define US_PER_S UINT64_C(1000000)
#define TOKEN_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

_Static_assert(sodium_base64_ENCODED_LEN(TOKEN_MAX_BYTES, TOKEN_VARIANT) <= DW_SESSION_TOKEN_BYTES,
	       "the longest token doesn't fit DW_SESSION_TOKEN_BYTES");

static void hash_organisation(const uint8_t *key, const char *organisation,
			      uint8_t out[ORGANISATION_HASH_BYTES])
{
	crypto_generichash(out, ORGANISATION_HASH_BYTES, (const uint8_t *)organisation,
			   strlen(organisation), key, DW_SESSION_KEY_BYTES);
}

static void compute_tag(const uint8_t *key, const uint8_t *bytes, size_t len,
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
		return dw_fail(
			DW_INVALID_ARGUMENT,
			"session token: an organisation, model or version name is not valid");
	if (claims->expires_us / US_PER_S > UINT32_MAX || claims->issued_us > claims->expires_us)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "session token: the time of issue or expiry is out of range");
	model_len = strlen(claims->model);
	version_len = strlen(claims->version);
	bytes[0] = TOKEN_FORMAT;
	bytes[1] = (uint8_t)model_len;
	hash_organisation(keys->current, organisation, bytes + 2);
	dw_put_be32(bytes + 2 + ORGANISATION_HASH_BYTES, (uint32_t)(claims->issued_us / US_PER_S));
	dw_put_be32(bytes + 6 + ORGANISATION_HASH_BYTES, (uint32_t)(claims->expires_us / US_PER_S));
	memcpy(bytes + HEADER_BYTES, claims->model, model_len);
	memcpy(bytes + HEADER_BYTES + model_len, claims->version, version_len);
	len = HEADER_BYTES + model_len + version_len;
	compute_tag(keys->current, bytes, len, bytes + len);
	sodium_bin2base64(out, DW_SESSION_TOKEN_BYTES, bytes, len + TAG_BYTES, TOKEN_VARIANT);
	return DW_OK;
}

static bool tag_matches(const uint8_t *key, const uint8_t *bytes, size_t len)
{
	uint8_t tag[TAG_BYTES];

	compute_tag(key, bytes, len, tag);
	return sodium_memcmp(tag, bytes + len, TAG_BYTES) == 0;
}

static const uint8_t *find_key(const struct dw_session_keys *keys, const uint8_t *bytes, size_t len)
{
	if (tag_matches(keys->current, bytes, len))
		return keys->current;
	if (keys->has_previous && tag_matches(keys->previous, bytes, len))
		return keys->previous;
	return NULL;
}

/* The token is authenticated by now, so this fails only for tokens of another format. */
static bool read_claims(const uint8_t *bytes, size_t len, struct dw_session_claims *claims)
{
	size_t model_len = bytes[1];
	size_t names_len = len - HEADER_BYTES;

	memset(claims, 0, sizeof(*claims));
	if (bytes[0] != TOKEN_FORMAT || model_len > DW_NAME_MAX_BYTES || model_len > names_len ||
	    names_len - model_len > DW_NAME_MAX_BYTES)
		return false;
	claims->issued_us = dw_get_be32(bytes + 2 + ORGANISATION_HASH_BYTES) * US_PER_S;
	claims->expires_us = dw_get_be32(bytes + 6 + ORGANISATION_HASH_BYTES) * US_PER_S;
	memcpy(claims->model, bytes + HEADER_BYTES, model_len);
	memcpy(claims->version, bytes + HEADER_BYTES + model_len, names_len - model_len);
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
	    len < HEADER_BYTES + TAG_BYTES)
		return dw_fail(DW_UNAUTHENTICATED, "session token: malformed");
	len -= TAG_BYTES;
	key = find_key(keys, bytes, len);
	if (!key || !read_claims(bytes, len, claims))
		return dw_fail(DW_UNAUTHENTICATED,
			       "session token: forged, or made with an unknown key");
	hash_organisation(key, organisation, hash);
	if (sodium_memcmp(hash, bytes + 2, ORGANISATION_HASH_BYTES) != 0)
		return dw_fail(DW_FORBIDDEN, "session token: issued for another organisation");
	if (now_wall_us >= claims->expires_us)
		return dw_fail(DW_STALE, "session token: expired");
	return DW_OK;
}
