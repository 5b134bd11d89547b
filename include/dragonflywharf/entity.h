/**
 * @file entity.h
 * The entities of the configuration, as the request path reads them.
 *
 * The stored form is a packed Dragonflywharf__Entity (proto/operator.proto). These structs point
 * into the ruleset that owns them and stay valid until its next apply.
 */
#ifndef DRAGONFLYWHARF_ENTITY_H
#define DRAGONFLYWHARF_ENTITY_H

#include <dragonflywharf/status.h>

#include "proto/operator.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_NAME_MAX_BYTES 64 /**< length of a name, without the NUL */
#define DW_ENTITY_KEY_BYTES 160 /**< buffer for a key, with the NUL */
#define DW_ENTITY_MAX_BYTES 65536 /**< packed size of one entity */
#define DW_KEY_HASH_BYTES 32 /**< SHA-256 of a bearer key */
#define DW_KEY_HASHES_MAX 32
#define DW_ALLOWED_ENTRIES_MAX 512
#define DW_CASCADE_MODELS_MAX 8
#define DW_SERVED_VERSIONS_MAX 64
#define DW_IDEMPOTENT_PATHS_MAX 256
#define DW_PATH_MAX_BYTES 256
#define DW_CHANGE_ID_MAX_BYTES 64
#define DW_UPSTREAM_LIMIT_MAX 100000 /**< requests in flight on one upstream */
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
	const char *const *allowed; /**< sorted by strcmp() */
	size_t allowed_count;
	const char *const *allowed_services; /**< sorted by strcmp() */
	size_t allowed_service_count;
	uint32_t max_in_flight; /**< 0: no limit */
	uint32_t weight; /**< at least 1 */
	uint64_t revision; /**< modification revision of the key */
};

struct dw_version;
struct dw_upstream;
struct dw_failure_domain;

struct dw_model {
	const char *name;
	const char *const *cascade; /**< names of models to try first, cheapest first */
	size_t cascade_count;
	uint32_t quality_target_permille;
	const struct dw_version *const *versions; /**< live and withdrawn, in no order */
	size_t version_count;
	uint64_t revision;
};

struct dw_version {
	const char *model;
	const char *name;
	bool live; /**< false: withdrawn by an operator */
	uint32_t rollout_weight;
	uint64_t cost_micros_per_1k_tokens;
	uint64_t release_order;
	const struct dw_upstream *const *upstreams; /**< those that serve it, in no order */
	size_t upstream_count;
	uint64_t revision;
};

struct dw_upstream {
	const char *name;
	bool is_service; /**< a plain service, else a model engine */
	const char *ip; /**< numeric IPv4 address */
	uint16_t port;
	const char *failure_domain_name;
	const struct dw_failure_domain *failure_domain; /**< NULL if not declared */
	const char *const *serves; /**< "model/version"; empty for plain services */
	size_t serves_count;
	const char *service; /**< "" for model engines */
	uint32_t limit; /**< requests in flight over all instances when warm */
	uint32_t cold_limit;
	uint32_t cold_period_ms;
	bool in_service; /**< the operator's word, false: leaving */
	bool checks_fencing;
	uint64_t revision;
};

struct dw_service {
	const char *name;
	const char *const *idempotent_paths; /**< sorted by strcmp() */
	size_t idempotent_path_count;
	const struct dw_upstream *const *upstreams; /**< in no order */
	size_t upstream_count;
	uint64_t revision;
};

struct dw_failure_domain {
	const char *name;
	bool in_service; /**< false: drained */
	uint64_t revision;
};

/** True if @p name has 1 to 64 characters of [a-z0-9._-]. */
bool dw_name_valid(const char *name);

/** True if @p ip is a numeric IPv4 address in its usual form, without leading zeros. */
bool dw_ipv4_valid(const char *ip);

/**
 * Checks every field: names, addresses, limits, key hashes, the syntax of references and the
 * counts. Whether referenced entities exist isn't checked, as they may come later.
 * Errors: DW_INVALID_ARGUMENT, DW_TOO_LARGE.
 */
enum dw_status dw_entity_check(const Dragonflywharf__Entity *entity);

/** The kind that is set. Errors: DW_INVALID_ARGUMENT. */
enum dw_status dw_entity_kind(const Dragonflywharf__Entity *entity, enum dw_entity_kind *kind);

/** Writes the entity's key, for instance "version/MODEL/NAME". Errors: DW_INVALID_ARGUMENT. */
enum dw_status dw_entity_key(const Dragonflywharf__Entity *entity, char out[DW_ENTITY_KEY_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
