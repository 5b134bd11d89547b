/**
 * @file http_forward.h
 * Copies a message's fields to the next hop, without those that concern one connection only.
 */
#ifndef WHARF_NET_HTTP_FORWARD_H
#define WHARF_NET_HTTP_FORWARD_H

#include "base/bytes.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Appends the fields of @p head, "Name: value" a line, but for hop-by-hop fields, those that its
 * Connection fields list, and those named in @p dropped (closed by NULL). Fields named in @p kept
 * are end-to-end for this gateway, so a Connection field can't remove them.
 */
void http_forward_fields(struct bytes *out, const struct http_head *head,
			 const char *const *dropped, const char *const *kept);

#ifdef __cplusplus
}
#endif

#endif
