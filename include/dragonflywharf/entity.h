/**
 * @file entity.h
 * Configuration entities in the form that the request path reads.
 *
 * In the store an entity is a packed Dragonflywharf__Entity (proto/operator.proto). The structs
 * here are owned by a ruleset and stay valid until its next apply.
 */
#ifndef DRAGONFLYWHARF_ENTITY_H
#define DRAGONFLYWHARF_ENTITY_H

#include <dragonflywharf/status.h>

#include "proto/operator.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_NAME_MAX_BYTES 64 /**< without the NUL */
#define DW_ENTITY_KEY_BYTES 160 /**< buffer size for a key, including the NUL */
#define DW_ENTITY_MAX_BYTES 65536 /**< packed size of one entity */
#define DW_KEY_HASH_BYTES 32 /**< SHA-256 of a bearer key */
#define DW_KEY_HASHES_MAX 32
#define DW_ALLOWED_ENTRIES_MAX 512
#define DW_CASCADE_MODELS_MAX 8
#define DW_SERVED_VERSIONS_MAX 64
#define DW_IDEMPOTENT_PATHS_MAX 256
#define DW_PATH_MAX_BYTES 256
#define DW_CHANGE_ID_MAX_BYTES 64
#define DW_UPSTREAM_LIMIT_MAX 100000 /**< requests in flight to one upstream */
#define DW_COLD_PERIOD_MAX_MS 3600000
#define DW_WEIGHT_MAX 1000000
#define DW_PERMILLE 1000

enum dw_entity_kind {
	DW_ENTITY_ORGANISATION,
	DW_ENTITY_MODEL,
	DW_ENTITY_VERSION,
	DW_ENTITY_UPSTREAM,
	DW_ENTITY_SERVICE,
	DW_ENTITY_FAILURE_DOMAIN,
	DW_ENTITY_KIND_COUNT
};

struct dw_organisation {
	const char *name;
	/** "*", "MODEL" or "MODEL/VERSION"; sorted by strcmp() */
	const char *const *allowed;
	size_t allowed_count;
	const char *const *allowed_services; /**< "*" or names; sorted by strcmp() */
	size_t allowed_service_count;
	uint32_t max_in_flight; /**< 0: no limit */
	uint32_t weight; /**< at least 1 */
	uint64_t revision; /**< modification revision of its key */
};

struct dw_version;
struct dw_upstream;
struct dw_failure_domain;

struct dw_model {
	const char *name;
	const char *const *cascade; /**< models to try before this one, cheapest first */
	size_t cascade_count;
	uint32_t quality_target_permille;
	const struct dw_version *const *versions; /**< live and withdrawn, unordered */
	size_t version_count;
	uint64_t revision;
};

struct dw_version {
	const char *model;
	const char *name;
	bool live; /**< false: withdrawn by an operator */
	uint32_t rollout_weight;
	uint64_t cost_micros_per_1k_tokens;
	uint64_t release_order; /**< an operator raises it to end a hold; see rollout.h */
	const struct dw_upstream *const *upstreams; /**< that serve it, unordered */
	size_t upstream_count;
	uint64_t revision;
};

struct dw_upstream {
	const char *name;
	bool is_service; /**< true: plain service, false: model engine */
	const char *ip; /**< IPv4 address in dotted decimal */
	uint16_t port;
	const char *failure_domain_name;
	const struct dw_failure_domain *failure_domain; /**< NULL if not configured */
	const char *const *serves; /**< "model/version"; empty for plain services */
	size_t serves_count;
	const char *service; /**< "" for model engines */
	uint32_t limit; /**< requests in flight of all instances together, once warm */
	uint32_t cold_limit; /**< the same, during the cold period */
	uint32_t cold_period_ms;
	bool in_service; /**< set by an operator; false: leaving */
	bool checks_fencing; /**< refuses requests with an older fencing number */
	uint64_t revision;
};

struct dw_service {
	const char *name;
	const char *const *idempotent_paths; /**< sorted by strcmp() */
	size_t idempotent_path_count;
	const struct dw_upstream *const *upstreams; /**< unordered */
	size_t upstream_count;
	uint64_t revision;
};

struct dw_failure_domain {
	const char *name;
	bool in_service; /**< false: drained by an operator */
	uint64_t revision;
};

/** True if @p name has 1 to 64 characters of [a-z0-9._-]. */
bool dw_name_valid(const char *name);

/** True if @p ip is an IPv4 address in dotted decimal without leading zeros. */
bool dw_ipv4_valid(const char *ip);

/**
 * Validates every field: names, addresses, limits, key hashes, counts and the syntax of references.
 * Doesn't check that referenced entities exist, as they may be added later.
 * Errors: DW_INVALID_ARGUMENT, DW_TOO_LARGE.
 */
enum dw_status dw_entity_check(const Dragonflywharf__Entity *entity);

/** Gets the kind of the entity. Errors: DW_INVALID_ARGUMENT (none set, or unknown). */
enum dw_status dw_entity_kind(const Dragonflywharf__Entity *entity, enum dw_entity_kind *kind);

/** Writes the entity's key, for instance "version/MODEL/NAME". Errors: DW_INVALID_ARGUMENT. */
enum dw_status dw_entity_key(const Dragonflywharf__Entity *entity, char out[DW_ENTITY_KEY_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
