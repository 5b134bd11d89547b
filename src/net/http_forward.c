#include "net/http_forward.h"

#include <strings.h>

/* Hop-by-hop fields of RFC 9110, section 7.6.1, and the framing fields, which each hop sets anew. */
static const char *const hop_by_hop[] = {
	"Connection",	       "Keep-Alive", "Proxy-Connection", "TE",	   "Trailer",
	"Transfer-Encoding",   "Upgrade",    "Content-Length",	 "Expect", "Proxy-Authenticate",
	"Proxy-Authorization", NULL,
};

static bool is_listed(const char *const *names, const char *name)
{
	for (; names && *names; names++) {
		if (strcasecmp(*names, name) == 0)
			return true;
	}
	return false;
}

void http_forward_fields(struct bytes *out, const struct http_head *head,
			 const char *const *excluded, const char *const *end_to_end)
{
	for (size_t i = 0; i < head->field_count; i++) {
		const struct http_field *field = &head->fields[i];

		if (is_listed(hop_by_hop, field->name) || is_listed(excluded, field->name))
			continue;
		if (!is_listed(end_to_end, field->name) &&
		    http_head_connection_has_token(head, field->name))
			continue;
		bytes_printf(out, "%s: %s\r\n", field->name, field->value);
	}
}
