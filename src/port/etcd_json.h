/**
 * @file etcd_json.h
 * The messages of etcd v3's JSON gateway: base64 keys and values, 64-bit integers as strings.
 *
 * Fields that are absent have their zero value, as in protobuf's published JSON mapping.
 */
#ifndef WHARF_PORT_ETCD_JSON_H
#define WHARF_PORT_ETCD_JSON_H

#include "port/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A parsed answer; which fields matter depends on the call. */
struct dw_etcd_reply {
	uint64_t revision; /**< the service's */
	bool succeeded; /**< txn: the compares held */
	struct dw_store_event *events; /**< a range's entries, or a watch's events */
	size_t count;
	uint64_t lease_id;
	uint64_t ttl_s;
	bool created;
	bool canceled;
	uint64_t compact_revision;
};

/** Codes of gRPC errors that the adapter tells apart. */
enum dw_etcd_code {
	DW_ETCD_CODE_NONE = 0, /**< no such field */
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

/** Bodies of the calls; the caller frees them. */
char *dw_etcd_json_range(const struct dw_store_range *range);
char *dw_etcd_json_put(const struct dw_store_put *put);
char *dw_etcd_json_lease_grant(uint64_t ttl_s);
char *dw_etcd_json_lease_keep_alive(uint64_t lease_id);
char *dw_etcd_json_watch(const char *prefix, uint64_t start_revision);

/** Parsers; DW_INVALID_ARGUMENT on a malformed answer, @p reply is then empty. */
enum dw_status dw_etcd_parse_range(const char *body, size_t len, struct dw_etcd_reply *reply);
/** On a failed compare the entry of the key, if it exists, is in events. */
enum dw_status dw_etcd_parse_put(const char *body, size_t len, struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_lease_grant(const char *body, size_t len, struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_lease_keep_alive(const char *body, size_t len,
					      struct dw_etcd_reply *reply);
enum dw_status dw_etcd_parse_watch(const char *line, size_t len, struct dw_etcd_reply *reply);

/** Reads an error's body; code DW_ETCD_CODE_NONE if it isn't one. */
void dw_etcd_parse_error(const char *body, size_t len, struct dw_etcd_error *error);

/** Frees what a parser allocated. */
void dw_etcd_reply_clear(struct dw_etcd_reply *reply);

#ifdef __cplusplus
}
#endif

#endif
