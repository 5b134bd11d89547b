/**
 * @file member_codec.h
 * Membership messages as msgpack.
 *
 * Message: [kind, sequence, want_sync, sender, target instance_id, target incarnation,
 * [update ...]]; a member: [instance_id, incarnation, name, ip, port, failure_domain, state,
 * leaving, refutation, applied_revision].
 */
#ifndef WHARF_NET_MEMBER_CODEC_H
#define WHARF_NET_MEMBER_CODEC_H

#include <msgpack.h>

#include <dragonflywharf/membership.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_MEMBER_MESSAGE_MAX_BYTES 16384

/** Appends the message to @p out. A write without memory is left out, which the reader refuses. */
void dw_member_codec_encode(const struct dw_member_message *message, msgpack_sbuffer *out);

/** Errors: DW_INVALID_ARGUMENT, DW_TOO_LARGE. The names and addresses are checked on receipt. */
enum dw_status dw_member_codec_decode(const void *bytes, size_t len,
				      struct dw_member_message *message);

#ifdef __cplusplus
}
#endif

#endif
