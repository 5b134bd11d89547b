/**
 * @file catalog.h
 * The configuration of the gateway: routes, services, organisations and limits of one version.
 *
 * A catalogue is built once, by an adapter, then only read. It owns its texts. A newer version
 * replaces it whole, so a request keeps the catalogue that it began with.
 */
#ifndef DRAGONFLYWHARF_CATALOG_H
#define DRAGONFLYWHARF_CATALOG_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_CATALOG_SHARES_MAX 8
#define DW_CATALOG_MODELS_MAX 8

enum dw_route_kind {
	DW_ROUTE_SAFE, /**< idempotent */
	DW_ROUTE_UNSAFE, /**< runs at most once */
	DW_ROUTE_STREAM, /**< answered by a stream of events */
	DW_ROUTE_KIND_COUNT
};

/** A service that a route sends to, with its part of the traffic. */
struct dw_route_share {
	const char *service;
	uint32_t weight;
};

struct dw_route_rule {
	const char *name;
	const char *host;
	const char *path_prefix; /**< begins and ends with a slash */
	enum dw_route_kind kind;
	uint32_t timeout_ms; /**< longest time until the final answer; 0: none */
	uint32_t target_latency_ms;
	uint32_t target_gap_ms; /**< between events of a stream */
	uint32_t max_attempts; /**< upstreams that may run one request */
	uint32_t priority; /**< 0 is the most urgent */
	bool is_public; /**< needs no key */
	bool is_resumable; /**< a stream that may go on at another upstream */
	struct dw_route_share shares[DW_CATALOG_SHARES_MAX];
	uint32_t share_count;
	const char *models[DW_CATALOG_MODELS_MAX]; /**< smallest first; none: the caller names it */
	uint32_t model_count;
};

struct dw_service_model {
	const char *name;
	double cost; /**< for 1,000 tokens generated; tokens read count a quarter */
};

struct dw_service_rule {
	const char *name;
	const char *health_path;
	uint32_t max_connections; /**< an upstream's, of all callers */
	uint32_t cold_start_ms;
	double cold_requests_per_s; /**< requests a second that a cold upstream bears; 0: no limit */
	uint32_t batch_slots; /**< model engines: requests in one batch; 0: a plain service */
	uint64_t kv_cache_tokens; /**< model engines: tokens of memory */
	uint32_t tokens_per_event; /**< model engines: tokens in an event of a stream */
	struct dw_service_model models[DW_CATALOG_MODELS_MAX];
	uint32_t model_count;
};

struct dw_organisation_rule {
	const char *name;
	bool has_priority; /**< overrides the route's */
	uint32_t priority;
};

/** What callers may send. */
struct dw_caller_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct dw_catalog;

enum dw_status dw_catalog_new(struct dw_catalog **out, uint64_t version);
/** Shares the catalogue; dw_catalog_release() frees it with its last holder. */
struct dw_catalog *dw_catalog_retain(struct dw_catalog *catalog);
void dw_catalog_release(struct dw_catalog *catalog);

/** Texts are copied. DW_INVALID_ARGUMENT: a name, host or prefix is missing or malformed. */
enum dw_status dw_catalog_add_route(struct dw_catalog *catalog, const struct dw_route_rule *route);
enum dw_status dw_catalog_add_service(struct dw_catalog *catalog,
				      const struct dw_service_rule *service);
enum dw_status dw_catalog_add_organisation(struct dw_catalog *catalog,
					   const struct dw_organisation_rule *organisation);
/** A key of an organisation that was added before. */
enum dw_status dw_catalog_add_key(struct dw_catalog *catalog, const char *organisation,
				  const char *key);
void dw_catalog_set_limits(struct dw_catalog *catalog, const struct dw_caller_limits *limits);

uint64_t dw_catalog_version(const struct dw_catalog *catalog);
const struct dw_caller_limits *dw_catalog_limits(const struct dw_catalog *catalog);

/** The route of that host with the longest prefix that begins @p path; NULL if there is none. */
const struct dw_route_rule *dw_catalog_match(const struct dw_catalog *catalog, const char *host,
					     const char *path);
const struct dw_service_rule *dw_catalog_service(const struct dw_catalog *catalog,
						 const char *name);
/** NULL: unknown key. */
const struct dw_organisation_rule *dw_catalog_key_owner(const struct dw_catalog *catalog,
							const char *key);
/** Whether any organisation is configured, so that routes that aren't public need a key. */
bool dw_catalog_needs_keys(const struct dw_catalog *catalog);
size_t dw_catalog_route_count(const struct dw_catalog *catalog);

/** The service for a request whose hash is @p hash, by the weights of the route's shares. */
const char *dw_route_pick_service(const struct dw_route_rule *route, uint64_t hash);

#ifdef __cplusplus
}
#endif

#endif
