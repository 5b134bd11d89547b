/**
 * @file kv_call.h
 * The calls of the key-value stand-in: etcd v3's JSON messages over a kv_table.
 */
#ifndef TESTS_STANDINS_KV_CALL_H
#define TESTS_STANDINS_KV_CALL_H

#include <json-c/json.h>

#include "standins/kv_table.h"

#define KV_MAX_LEASES 4096
/** Codes of gRPC errors. */
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

/** Carries out one call; the answer, and its HTTP status in @p status. */
typedef struct json_object *(*kv_call)(struct kv_service *service, struct json_object *body,
				       int *status);

/** The call at a path, but for watch; NULL if there is none. */
kv_call kv_call_at(const char *path);

/** An error's answer in the gateway's form. */
struct json_object *kv_error(int code, const char *message);

/** The answer's header, with the current revision. */
struct json_object *kv_header(const struct kv_service *service);

/** An entry in the gateway's form. */
struct json_object *kv_entry_json(const struct kv_entry *entry);

/** Reads key and range_end; false if they are malformed. Free with kv_range_clear(). */
bool kv_read_range(struct json_object *object, struct kv_range *range);
void kv_range_clear(struct kv_range *range);

/** Ends the leases that have run out. */
void kv_expire_leases(struct kv_service *service, uint64_t now_us);

#endif
