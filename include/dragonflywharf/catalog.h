/**
 * @file catalog.h
 * One version of the gateway's configuration: routes, services, organisations and limits.
 *
 * An adapter builds a catalogue, after which it is read-only. A newer configuration is a new
 * catalogue; a request in progress keeps a reference to the one that it started with. The catalogue
 * owns copies of all strings and lists. Reference counts aren't atomic. Running out of memory aborts.
 *
 * A part of the configuration that can't be read is a defect: the catalogue keeps its description, and what the
 * part would have decided fails closed. The rest is in force.
 */
#ifndef DRAGONFLYWHARF_CATALOG_H
#define DRAGONFLYWHARF_CATALOG_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Defects whose description is kept; the others are only counted. */
#define DW_CATALOG_DEFECTS_KEPT 16

enum dw_route_kind {
	DW_ROUTE_SAFE, /**< idempotent requests, may be retried */
	DW_ROUTE_UNSAFE, /**< requests run at most once */
	DW_ROUTE_STREAM, /**< the response is a stream of events */
	DW_ROUTE_KIND_COUNT
};

/** One target of a route's traffic split. */
struct dw_route_share {
	const char *service;
	uint32_t weight;
};

struct dw_route_rule {
	const char *name;
	const char *host;
	const char *path_prefix; /**< starts and ends with a slash */
	enum dw_route_kind kind;
	/** Until the response is complete; 0: the default of request_policy.c. */
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t target_gap_ms; /**< target time between two events of a stream */
	/** Maximum number of upstreams that may run one request. Attempts that are known not to have
	 * run don't count. */
	uint32_t max_attempts;
	uint32_t priority; /**< 0 is the most urgent */
	bool is_public; /**< callers need no key */
	bool is_resumable; /**< a broken stream may be continued by another upstream */
	/** Only host, prefix and name are known: its requests are refused. It needs no shares. */
	bool is_unreadable;
	const struct dw_route_share *shares;
	uint32_t share_count;
	/** Smallest first; if there are none, the caller names the model. */
	const char *const *models;
	uint32_t model_count;
};

struct dw_service_model {
	const char *name;
	double cost; /**< per 1,000 generated tokens; a prompt token costs a quarter of one */
};

struct dw_service_rule {
	const char *name;
	const char *health_path;
	uint32_t max_connections; /**< to one upstream, from all callers together */
	uint32_t cold_start_ms;
	double cold_requests_per_s; /**< requests per second that a cold upstream may get; 0: no limit */
	uint32_t batch_slots; /**< model engines: requests per batch; 0: plain service */
	uint64_t kv_cache_tokens; /**< model engines: capacity of the KV cache in tokens */
	uint32_t tokens_per_event; /**< model engines: tokens per stream event */
	bool is_unreadable; /**< only its name is known: requests for it are refused */
	const struct dw_service_model *models;
	uint32_t model_count;
};

struct dw_organisation_rule {
	const char *name;
	bool has_priority; /**< priority overrides the route's */
	uint32_t priority;
};

struct dw_catalog_key {
	const char *value;
	const struct dw_organisation_rule *owner;
};

/** Limits on what a caller may send. */
struct dw_caller_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct dw_catalog;

/** The catalogue is created with one reference. */
enum dw_status dw_catalog_new(struct dw_catalog **out, uint64_t version);
/** Adds a reference; the last dw_catalog_release() frees the catalogue. */
struct dw_catalog *dw_catalog_retain(struct dw_catalog *catalog);
void dw_catalog_release(struct dw_catalog *catalog);

/** Strings and lists are copied. Errors: DW_INVALID_ARGUMENT (the name, host or shares are missing, or the
 * path prefix is malformed). */
enum dw_status dw_catalog_add_route(struct dw_catalog *catalog, const struct dw_route_rule *route);
enum dw_status dw_catalog_add_service(struct dw_catalog *catalog,
				      const struct dw_service_rule *service);
enum dw_status dw_catalog_add_organisation(struct dw_catalog *catalog,
					   const struct dw_organisation_rule *organisation);
/** Adds a key for an organisation that was added before. Errors: DW_NOT_FOUND (no such organisation),
 * DW_CONFLICT (the key was added before; if for another organisation, it belongs to none from then on). */
enum dw_status dw_catalog_add_key(struct dw_catalog *catalog, const char *organisation,
				  const char *key);
void dw_catalog_set_limits(struct dw_catalog *catalog, const struct dw_caller_limits *limits);

/** Adds a part that can't be read. */
void dw_catalog_add_defect(struct dw_catalog *catalog, const char *description);
size_t dw_catalog_defect_count(const struct dw_catalog *catalog);
/** Description of a defect by its position; NULL from the last one kept on. */
const char *dw_catalog_defect(const struct dw_catalog *catalog, size_t position);
/** A route's host or prefix can't be read: that no route matches isn't certain any more. */
void dw_catalog_set_routes_incomplete(struct dw_catalog *catalog);
bool dw_catalog_are_routes_incomplete(const struct dw_catalog *catalog);
/** A key or organisation can't be read: that a key is unknown isn't certain any more. */
void dw_catalog_set_keys_incomplete(struct dw_catalog *catalog);
bool dw_catalog_are_keys_incomplete(const struct dw_catalog *catalog);

uint64_t dw_catalog_version(const struct dw_catalog *catalog);
const struct dw_caller_limits *dw_catalog_limits(const struct dw_catalog *catalog);

/** Returns the route of @p host with the longest prefix of @p path; NULL if there is none. */
const struct dw_route_rule *dw_catalog_match(const struct dw_catalog *catalog, const char *host,
					     const char *path);
const struct dw_service_rule *dw_catalog_service(const struct dw_catalog *catalog,
						 const char *name);
/** Returns the organisation that the key belongs to; NULL if the key is unknown. */
const struct dw_organisation_rule *dw_catalog_key_owner(const struct dw_catalog *catalog,
							const char *key);
/** Requests to non-public routes need a key, also while no organisation is left that has one. */
void dw_catalog_require_keys(struct dw_catalog *catalog);
/** True after dw_catalog_require_keys() or if an organisation was added. */
bool dw_catalog_needs_keys(const struct dw_catalog *catalog);
size_t dw_catalog_route_count(const struct dw_catalog *catalog);

/** Returns the route at @p position in the order of matching, longest prefix first; NULL past the
 * last one. @p index is the route's place in the order of addition. */
const struct dw_route_rule *dw_catalog_route_at(const struct dw_catalog *catalog, size_t position,
						size_t *index);
/** These return the item after @p previous, or the first one for NULL; NULL at the end. Services
 * and organisations are in the reverse order of addition, keys in that order. */
const struct dw_service_rule *dw_catalog_next_service(const struct dw_catalog *catalog,
						      const struct dw_service_rule *previous);
const struct dw_organisation_rule *
dw_catalog_next_organisation(const struct dw_catalog *catalog,
			     const struct dw_organisation_rule *previous);
const struct dw_catalog_key *dw_catalog_next_key(const struct dw_catalog *catalog,
						 const struct dw_catalog_key *previous);

/** Picks a request's service by its hash, in proportion to the weights of the route's shares. */
const char *dw_route_pick_service(const struct dw_route_rule *route, uint64_t hash);

#ifdef __cplusplus
}
#endif

#endif
