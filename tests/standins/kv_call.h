/**
 * @file kv_call.h
 * The request handlers of the key-value stand-in: etcd v3's JSON gateway on a kv_table.
 */
#ifndef TESTS_STANDINS_KV_CALL_H
#define TESTS_STANDINS_KV_CALL_H

#include <json-c/json.h>

#include "standins/kv_table.h"

#define KV_MAX_LEASES 4096
/** gRPC status codes. */
#define KV_CODE_INVALID 3
#define KV_CODE_NOT_FOUND 5
#define KV_CODE_EXHAUSTED 8
#define KV_CODE_UNAVAILABLE 14

struct kv_lease {
	uint64_t id;
	uint64_t ttl_s;
	uint64_t expiry_us;
};

struct kv_service {
	struct kv_table *table;
	struct kv_lease leases[KV_MAX_LEASES];
	size_t lease_count;
	uint64_t next_lease_id;
};

/** Executes one call. Returns the response; @p status is set if it isn't 200. */
typedef struct json_object *(*kv_call)(struct kv_service *service, struct json_object *body,
				       int *status);

/** Returns the handler of a path; NULL if unknown. Watches are handled in standin_kv.c. */
kv_call kv_call_find(const char *path);

/** Builds an error response in the gateway's format. */
struct json_object *kv_error(int code, const char *message);

/** Builds the response header, with the current revision. */
struct json_object *kv_header(const struct kv_service *service);

/** Encodes an entry in the gateway's format. */
struct json_object *kv_entry_json(const struct kv_entry *entry);

/** Parses key and range_end; false if malformed. Call kv_range_clear() in either case. */
bool kv_read_range(struct json_object *object, struct kv_range *range);
void kv_range_clear(struct kv_range *range);

/** Removes expired leases and deletes their keys. */
void kv_expire_leases(struct kv_service *service, uint64_t now_us);

#endif
