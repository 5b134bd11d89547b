#include "net/peer_channel.h"

#include <string.h>

static const uint8_t magic[DW_CHANNEL_MAGIC_BYTES] = { 'd', 'w', 'p', 'e', 'e', 'r', '0', '1' };

void dw_peer_channel_init(struct dw_peer_channel *channel, const uint8_t *cluster_key,
			  const uint8_t *nonce, bool is_initiator)
{
	memset(channel, 0, sizeof(*channel));
	memcpy(channel->cluster_key, cluster_key, DW_CLUSTER_KEY_BYTES);
	memcpy(channel->own_nonce, nonce, DW_CHANNEL_NONCE_BYTES);
	channel->is_initiator = is_initiator;
}

void dw_peer_channel_write_greeting(const struct dw_peer_channel *channel,
				    uint8_t out[DW_CHANNEL_GREETING_BYTES])
{
	memcpy(out, magic, sizeof(magic));
	memcpy(out + sizeof(magic), channel->own_nonce, DW_CHANNEL_NONCE_BYTES);
}

enum dw_status dw_peer_channel_read_greeting(struct dw_peer_channel *channel,
					     const uint8_t greeting[DW_CHANNEL_GREETING_BYTES])
{
	if (memcmp(greeting, magic, sizeof(magic)) != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "peer sent an unknown protocol or version");
	memcpy(channel->peer_nonce, greeting + sizeof(magic), DW_CHANNEL_NONCE_BYTES);
	return DW_OK;
}

static void derive_direction_key(const struct dw_peer_channel *channel, bool from_initiator,
				 uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES])
{
	const uint8_t direction = from_initiator ? 1 : 2;
	const uint8_t *first = channel->is_initiator ? channel->own_nonce : channel->peer_nonce;
	const uint8_t *second = channel->is_initiator ? channel->peer_nonce : channel->own_nonce;
	crypto_generichash_state state;

	crypto_generichash_init(&state, channel->cluster_key, DW_CLUSTER_KEY_BYTES,
				crypto_secretstream_xchacha20poly1305_KEYBYTES);
	crypto_generichash_update(&state, &direction, sizeof(direction));
	crypto_generichash_update(&state, first, DW_CHANNEL_NONCE_BYTES);
	crypto_generichash_update(&state, second, DW_CHANNEL_NONCE_BYTES);
	crypto_generichash_final(&state, key, crypto_secretstream_xchacha20poly1305_KEYBYTES);
}

void dw_peer_channel_start_push(struct dw_peer_channel *channel,
				uint8_t header[DW_CHANNEL_HEADER_BYTES])
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];

	derive_direction_key(channel, channel->is_initiator, key);
	crypto_secretstream_xchacha20poly1305_init_push(&channel->push, header, key);
}

enum dw_status dw_peer_channel_start_pull(struct dw_peer_channel *channel,
					  const uint8_t header[DW_CHANNEL_HEADER_BYTES])
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];

	derive_direction_key(channel, !channel->is_initiator, key);
	if (crypto_secretstream_xchacha20poly1305_init_pull(&channel->pull, header, key) != 0)
		return dw_fail(DW_UNAUTHENTICATED, "peer sent an invalid secretstream header");
	return DW_OK;
}

void dw_peer_channel_encrypt(struct dw_peer_channel *channel, const uint8_t *plain, size_t len,
			     uint8_t *out)
{
	crypto_secretstream_xchacha20poly1305_push(
		&channel->push, out, NULL, plain, len, NULL, 0,
		crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
}

enum dw_status dw_peer_channel_decrypt(struct dw_peer_channel *channel, const uint8_t *frame,
				       size_t len, uint8_t *out)
{
	uint8_t tag;

	if (len < DW_CHANNEL_OVERHEAD_BYTES ||
	    crypto_secretstream_xchacha20poly1305_pull(&channel->pull, out, NULL, &tag, frame, len,
						       NULL, 0) != 0)
		return dw_fail(
			DW_UNAUTHENTICATED,
			"peer frame failed authentication: forged, replayed or out of order");
	return DW_OK;
}
