/**
 * @file etcd_json.h
 * Encodes requests to, and parses responses from, the JSON gateway of etcd v3.
 *
 * Keys and values are base64, 64-bit integers are strings. An absent field has its zero value, as
 * in protobuf's JSON mapping.
 */
#ifndef WHARF_PORT_ETCD_JSON_H
#define WHARF_PORT_ETCD_JSON_H

#include "port/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A parsed response. Which fields are set depends on the call. */
struct dw_etcd_reply {
	uint64_t revision; /**< store revision from the response header */
	uint64_t cluster_id; /**< from the response header; 0 if it has none */
	bool succeeded; /**< txn: all compares were true */
	struct dw_store_event *events; /**< entries of a range, or events of a watch */
	size_t count;
	uint64_t lease_id;
	uint64_t ttl_s;
	bool created; /**< watch: the message that confirms its start */
	bool canceled; /**< watch: the server ended it */
	uint64_t compact_revision; /**< watch: not 0 if its start revision was compacted */
};

/** gRPC status codes that the adapter distinguishes. */
enum dw_etcd_code {
	DW_ETCD_CODE_NONE = 0, /**< the body has no code field */
	DW_ETCD_CODE_INVALID_ARGUMENT = 3,
	DW_ETCD_CODE_NOT_FOUND = 5,
	DW_ETCD_CODE_PERMISSION_DENIED = 7,
	DW_ETCD_CODE_RESOURCE_EXHAUSTED = 8,
	DW_ETCD_CODE_FAILED_PRECONDITION = 9,
	DW_ETCD_CODE_OUT_OF_RANGE = 11,
	DW_ETCD_CODE_UNAVAILABLE = 14,
	DW_ETCD_CODE_UNAUTHENTICATED = 16,
};

struct dw_etcd_error {
	enum dw_etcd_code code;
	char message[128];
};

/** Encode the request bodies. The caller frees the returned string. */
char *dw_etcd_json_range(const struct dw_store_range *range);
char *dw_etcd_json_put(const struct dw_store_put *put);
char *dw_etcd_json_lease_grant(uint64_t ttl_s);
char *dw_etcd_json_lease_keep_alive(uint64_t lease_id);
char *dw_etcd_json_watch(const char *prefix, uint64_t start_revision);

/** Parse the responses. DW_INVALID_ARGUMENT if malformed; @p reply is empty then. */
enum dw_status dw_etcd_parse_range(const char *body, size_t len, struct dw_etcd_reply *reply);
/** If the compare failed, events holds the entry of the key, if it exists. */
enum dw_status dw_etcd_parse_put(const char *body, size_t len, struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_lease_grant(const char *body, size_t len, struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_lease_keep_alive(const char *body, size_t len,
					      struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_watch(const char *line, size_t len, struct dw_etcd_reply *reply);

/** Parses an error body. The code is DW_ETCD_CODE_NONE if the body isn't an etcd error. */
void dw_etcd_parse_error(const char *body, size_t len, struct dw_etcd_error *error);

/** Frees the memory that a parser allocated and zeroes @p reply. */
void dw_etcd_reply_clear(struct dw_etcd_reply *reply);

#ifdef __cplusplus
}
#endif

#endif
