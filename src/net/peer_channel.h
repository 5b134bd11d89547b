/**
 * @file peer_channel.h
 * Encryption and authentication of a connection between daemons, without any I/O.
 *
 * Each side sends a greeting with the protocol version and a random nonce. Both derive one key for
 * each direction from the shared cluster key and the two nonces. All later frames are encrypted
 * with libsodium's secretstream, which detects a peer without the cluster key and replayed,
 * dropped or reordered frames.
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
/** Magic bytes, which include the protocol version, followed by the nonce. */
#define DW_CHANNEL_GREETING_BYTES (DW_CHANNEL_MAGIC_BYTES + DW_CHANNEL_NONCE_BYTES)
/** Bytes that encryption adds to a frame. */
#define DW_CHANNEL_OVERHEAD_BYTES crypto_secretstream_xchacha20poly1305_ABYTES
/** Size of the secretstream header that precedes the first frame. */
#define DW_CHANNEL_HEADER_BYTES crypto_secretstream_xchacha20poly1305_HEADERBYTES

struct dw_peer_channel {
	uint8_t cluster_key[DW_CLUSTER_KEY_BYTES];
	uint8_t own_nonce[DW_CHANNEL_NONCE_BYTES];
	uint8_t peer_nonce[DW_CHANNEL_NONCE_BYTES];
	bool is_initiator;
	crypto_secretstream_xchacha20poly1305_state push; /**< encrypts frames to the peer */
	crypto_secretstream_xchacha20poly1305_state pull; /**< decrypts frames from the peer */
};

/** Initialises a channel. @p nonce must be DW_CHANNEL_NONCE_BYTES random bytes. */
void dw_peer_channel_init(struct dw_peer_channel *channel, const uint8_t *cluster_key,
			  const uint8_t *nonce, bool is_initiator);

/** Writes this side's greeting to @p out. */
void dw_peer_channel_write_greeting(const struct dw_peer_channel *channel,
				    uint8_t out[DW_CHANNEL_GREETING_BYTES]);

/** Processes the peer's greeting; DW_INVALID_ARGUMENT if its protocol or version differs. */
enum dw_status dw_peer_channel_read_greeting(struct dw_peer_channel *channel,
					     const uint8_t greeting[DW_CHANNEL_GREETING_BYTES]);

/** Starts encryption of frames to the peer; @p header must be sent before the first frame. */
void dw_peer_channel_start_push(struct dw_peer_channel *channel,
				uint8_t header[DW_CHANNEL_HEADER_BYTES]);

/** Starts decryption of frames from the peer, which sent @p header. */
enum dw_status dw_peer_channel_start_pull(struct dw_peer_channel *channel,
					  const uint8_t header[DW_CHANNEL_HEADER_BYTES]);

/** Encrypts a frame into @p out, which has room for len + DW_CHANNEL_OVERHEAD_BYTES. */
void dw_peer_channel_encrypt(struct dw_peer_channel *channel, const uint8_t *plain, size_t len,
			     uint8_t *out);

/**
 * Decrypts a frame into @p out, which has room for len - DW_CHANNEL_OVERHEAD_BYTES.
 * @return DW_OK, or DW_UNAUTHENTICATED if the frame is forged, replayed or out of order.
 */
enum dw_status dw_peer_channel_decrypt(struct dw_peer_channel *channel, const uint8_t *frame,
				       size_t len, uint8_t *out);

#ifdef __cplusplus
}
#endif

#endif
