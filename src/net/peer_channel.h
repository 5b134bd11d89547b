/**
 * @file peer_channel.h
 * The cryptographic half of a connection between daemons, without any I/O.
 *
 * Both sides send a greeting (protocol version and a random nonce). From the shared cluster key and
 * both nonces each derives one key a direction; every later frame is sealed with libsodium's
 * secretstream, so that a peer without the key, a replayed, dropped or reordered frame is refused.
 */
#ifndef WHARF_NET_PEER_CHANNEL_H
#define WHARF_NET_PEER_CHANNEL_H

#include <sodium.h>

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_CLUSTER_KEY_BYTES 32
#define DW_CHANNEL_NONCE_BYTES 32
#define DW_CHANNEL_MAGIC_BYTES 8
/** Magic, which names the protocol's version, and nonce. */
#define DW_CHANNEL_GREETING_BYTES (DW_CHANNEL_MAGIC_BYTES + DW_CHANNEL_NONCE_BYTES)
/** What sealing adds to a frame. */
#define DW_CHANNEL_SEAL_BYTES crypto_secretstream_xchacha20poly1305_ABYTES
#define DW_CHANNEL_HEADER_BYTES crypto_secretstream_xchacha20poly1305_HEADERBYTES

struct dw_peer_channel {
	uint8_t cluster_key[DW_CLUSTER_KEY_BYTES];
	uint8_t own_nonce[DW_CHANNEL_NONCE_BYTES];
	uint8_t peer_nonce[DW_CHANNEL_NONCE_BYTES];
	bool is_initiator;
	crypto_secretstream_xchacha20poly1305_state push;
	crypto_secretstream_xchacha20poly1305_state pull;
};

/** @p nonce is random, DW_CHANNEL_NONCE_BYTES long. */
void dw_peer_channel_init(struct dw_peer_channel *channel, const uint8_t *cluster_key,
			  const uint8_t *nonce, bool is_initiator);

void dw_peer_channel_greeting(const struct dw_peer_channel *channel,
			      uint8_t out[DW_CHANNEL_GREETING_BYTES]);

/** Takes the peer's greeting; DW_INVALID_ARGUMENT for another protocol or version. */
enum dw_status dw_peer_channel_greeted(struct dw_peer_channel *channel,
				       const uint8_t greeting[DW_CHANNEL_GREETING_BYTES]);

/** Starts the sealed direction towards the peer; the header goes before the first frame. */
void dw_peer_channel_start_push(struct dw_peer_channel *channel,
				uint8_t header[DW_CHANNEL_HEADER_BYTES]);

/** Starts the sealed direction from the peer. */
enum dw_status dw_peer_channel_start_pull(struct dw_peer_channel *channel,
					  const uint8_t header[DW_CHANNEL_HEADER_BYTES]);

/** Seals @p len bytes into @p out, which holds len + DW_CHANNEL_SEAL_BYTES. */
void dw_peer_channel_seal(struct dw_peer_channel *channel, const uint8_t *plain, size_t len,
			  uint8_t *out);

/** Opens a sealed frame into @p out (len - DW_CHANNEL_SEAL_BYTES); DW_UNAUTHENTICATED if forged. */
enum dw_status dw_peer_channel_open(struct dw_peer_channel *channel, const uint8_t *sealed,
				    size_t len, uint8_t *out);

#ifdef __cplusplus
}
#endif

#endif
