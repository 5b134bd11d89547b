/**
 * @file http_forward.h
 * Copies the header fields of a message for forwarding, leaving out hop-by-hop fields.
 */
#ifndef WHARF_NET_HTTP_FORWARD_H
#define WHARF_NET_HTTP_FORWARD_H

#include "base/bytes.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Appends the fields of @p head to @p out as "Name: value" lines. Left out are hop-by-hop fields,
 * fields listed in a Connection field, and fields named in @p excluded. Fields named in
 * @p end_to_end are kept even if a Connection field lists them. Both name lists end with NULL and
 * may be NULL.
 */
void http_forward_fields(struct bytes *out, const struct http_head *head,
			 const char *const *excluded, const char *const *end_to_end);

#ifdef __cplusplus
}
#endif

#endif
