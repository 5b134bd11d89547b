#include <stdlib.h>
#include <string.h>

#include "port/etcd_json.h"
#include "port/instance_list_http.h"

#define ETCD_PARSER_COUNT 5

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void parse_list(const char *body, size_t len)
{
	struct dw_instance *instances;
	uint64_t generation;
	size_t count;
	enum dw_status status = dw_instance_list_parse(body, len, &generation, &instances, &count);

	if ((status == DW_OK) != (count > 0))
		abort();
	free(instances);
}

static void check_events(const struct dw_etcd_reply *reply)
{
	for (size_t i = 0; i < reply->count; i++) {
		if (!reply->events[i].entry.key || !reply->events[i].entry.value ||
		    strlen(reply->events[i].entry.key) == 0)
			abort();
	}
}

/*
 * The first byte selects a parser for responses of etcd or of the instance list; the rest is the
 * response. A rejected response must leave the result empty, and an accepted one must have no entry
 * without key or value.
 */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	enum dw_status (*const parsers[ETCD_PARSER_COUNT])(const char *, size_t,
							   struct dw_etcd_reply *) = {
		dw_etcd_parse_range,	   dw_etcd_parse_put,
		dw_etcd_parse_lease_grant, dw_etcd_parse_lease_keep_alive,
		dw_etcd_parse_watch,
	};
	const char *body = (const char *)bytes + 1;
	struct dw_etcd_reply reply;
	struct dw_etcd_error error;

	if (len == 0)
		return 0;
	if (bytes[0] % (ETCD_PARSER_COUNT + 1) == ETCD_PARSER_COUNT) {
		parse_list(body, len - 1);
		return 0;
	}
	dw_etcd_parse_error(body, len - 1, &error);
	if (parsers[bytes[0] % (ETCD_PARSER_COUNT + 1)](body, len - 1, &reply) == DW_OK)
		check_events(&reply);
	else if (reply.count != 0 || reply.events)
		abort();
	dw_etcd_reply_clear(&reply);
	return 0;
}
