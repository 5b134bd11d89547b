/**
 * @file engine.h
 * Per-upstream state of the gateway: the discovery entry, the last reported load, the index of
 * cached prompt parts, and recent failures and response times.
 *
 * An upstream of the gateway, whether a model engine or a plain service, is called an engine here
 * to distinguish it from the upstreams of the chat interface.
 */
#ifndef DRAGONFLYWHARF_ENGINE_H
#define DRAGONFLYWHARF_ENGINE_H

#include <dragonflywharf/status.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_ENGINE_TEXT_BYTES 64
/** Models of one engine that are kept; it gets no requests for the others. */
#define DW_ENGINE_MODELS_MAX 64
/** No engine is left out for longer because it asked for a pause; one that still wants none asks again. */
#define DW_ENGINE_PAUSE_MAX_US UINT64_C(30000000)

/** A decoded entry of the discovery list. */
struct dw_engine_entry {
	char id[DW_ENGINE_TEXT_BYTES]; /**< usually new at each start of the engine */
	char service[DW_ENGINE_TEXT_BYTES];
	char ip[16];
	uint16_t port;
	char failure_domain[DW_ENGINE_TEXT_BYTES];
	char version[DW_ENGINE_TEXT_BYTES]; /**< software version */
	uint32_t slots; /**< requests that the engine runs concurrently */
	bool is_draining;
	uint32_t cold_remaining_ms;
	uint64_t started_at_ms; /**< distinguishes restarts under the same id; 0: unknown */
	uint64_t sequence; /**< of the entry within the lifetime, rises with each heartbeat */
	bool lists_models; /**< it serves only the models that it lists; else any */
	uint64_t models[DW_ENGINE_MODELS_MAX]; /**< hashes of their names, dw_model_hash() */
	uint32_t model_count;
};

/** Whether an engine may receive new requests, according to discovery. */
enum dw_engine_state {
	DW_ENGINE_READY,
	DW_ENGINE_DRAINING,
	DW_ENGINE_MISSING, /**< its entry expired during a store outage; it may still be running */
	DW_ENGINE_GONE,
	DW_ENGINE_STATE_COUNT
};

const char *dw_engine_state_name(enum dw_engine_state state);

/** Load that an engine reported in a response. */
struct dw_engine_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint64_t reported_at_us; /**< time of the report; 0: never reported */
	/** How long work takes on its machine, in percent of the usual time; 0: not reported. It isn't
	 * passed on to other instances, as it is outdated by then. */
	uint32_t pace_percent;
};

struct dw_prefix_cache;

struct dw_engine {
	struct dw_engine_entry entry;
	uint64_t id_hash; /**< hash of entry.id, for rendezvous hashing */
	enum dw_engine_state state;
	uint64_t missing_until_us; /**< MISSING: becomes GONE at this time */
	uint64_t cold_until_us;
	bool says_it_leaves; /**< in an answer: this lifetime gets no new requests */
	uint64_t
		paused_until_us; /**< it asked this instance for no requests until then; 0: never */
	uint32_t
		limit; /**< requests in flight that it bore when it asked for a pause; 0: unknown */
	uint64_t limit_at_us; /**< when that was */
	struct dw_engine_load load;
	uint8_t load_scope; /**< enum dw_spread_scope: where the load still has to be sent */
	uint32_t passed_on_load; /**< running and waiting requests, as last passed on by a relay */
	uint64_t passed_on_at_us; /**< 0: never */
	uint32_t in_flight; /**< this instance's requests at the engine */
	uint32_t awaiting_response; /**< requests in flight that have no response byte yet */
	uint64_t own_work_us; /**< expected prompt processing of these */
	uint32_t suspects_in_flight; /**< those of them that may crash it, see quarantine.h */
	uint64_t suspect_key; /**< of these, see engine_choice.h */
	uint32_t sent_since_load; /**< requests sent since the last load report */
	uint64_t last_byte_at_us; /**< time of the latest response byte; 0: never */
	uint64_t alive_at_us; /**< when this lifetime last answered here; 0: never */
	/** When a connection to its address was last accepted, by this lifetime or the next; 0: never */
	uint64_t accepted_at_us;
	uint64_t removed_at_us; /**< when its entry was removed; 0: it is there */
	/** When a later lifetime of its service was first seen at its address; 0: not yet */
	uint64_t replaced_at_us;
	uint32_t consecutive_failures;
	uint64_t ejected_until_us; /**< not selected until then because of failures */
	uint32_t failure_permille; /**< moving average of the failure rate */
	uint32_t latency_ratio_permille; /**< mean of actual / expected time to first byte */
	uint64_t recent_sends_us[32]; /**< ring buffer, for the limit of cold engines */
	uint32_t recent_send_count;
	struct dw_prefix_cache *cache;
	struct dw_engine *next;
};

struct dw_engine_set;

struct dw_engine_set *dw_engine_set_new(void);
void dw_engine_set_free(struct dw_engine_set *set);

enum dw_engine_change {
	DW_ENGINE_UNCHANGED, /**< nothing but the fields that change with every heartbeat */
	DW_ENGINE_ADDED,
	DW_ENGINE_RESTARTED, /**< same id, different start time */
	DW_ENGINE_STATE_CHANGED,
	DW_ENGINE_CHANGE_COUNT
};

/** Adds an engine, or updates it if its id is known. */
enum dw_engine_change dw_engine_set_put(struct dw_engine_set *set,
					const struct dw_engine_entry *entry, uint64_t now_us);

/**
 * Handles the removal of an engine's discovery entry. If @p usable_until_us is later than now, the
 * entry may have expired only because of a store outage: a READY engine then stays usable, as
 * MISSING, until that time.
 * @return the engine, or NULL if the id is unknown.
 */
struct dw_engine *dw_engine_set_remove(struct dw_engine_set *set, const char *id,
				       uint64_t usable_until_us, uint64_t now_us);

struct dw_engine *dw_engine_set_find(struct dw_engine_set *set, const char *id);
/** The engine with this id_hash and start time; NULL if it isn't known. */
struct dw_engine *dw_engine_set_find_run(struct dw_engine_set *set, uint64_t id_hash,
					 uint64_t started_at_ms);
struct dw_engine *dw_engine_set_first(struct dw_engine_set *set);

/**
 * Frees engines that have been GONE for a while and have no request of this instance in flight.
 * Turns MISSING engines whose time is up into GONE.
 */
void dw_engine_set_sweep(struct dw_engine_set *set, uint64_t now_us);

/** Number of usable engines of a service; NULL counts all services. */
uint32_t dw_engine_set_count_usable(const struct dw_engine_set *set, const char *service,
				    uint64_t now_us);

/** Number of usable engines of a service that run a given version. */
uint32_t dw_engine_set_count_version(const struct dw_engine_set *set, const char *service,
				     const char *version, uint64_t now_us);

/** True if READY, or MISSING and not yet timed out, and it hasn't said that it leaves. */
bool dw_engine_is_usable(const struct dw_engine *engine, uint64_t now_us);
bool dw_engine_is_cold(const struct dw_engine *engine, uint64_t now_us);
/** Hash that identifies a model, also in the prefix index; 0 for NULL. */
uint64_t dw_model_hash(const char *model);
bool dw_engine_has_model(const struct dw_engine *engine, const char *model);

/** Requests that this instance sent to the engine within the last second. */
uint32_t dw_engine_sends_last_second(const struct dw_engine *engine, uint64_t now_us);

/** A request was sent to the engine. */
void dw_engine_sent(struct dw_engine *engine, uint64_t now_us);
/** Counts the expected work of a request that was sent, until dw_engine_work_done(). */
void dw_engine_work_added(struct dw_engine *engine, uint64_t work_us);
void dw_engine_work_done(struct dw_engine *engine, uint64_t work_us);
/** The first response byte arrived; @p expected_us is the time that the selection estimated. */
void dw_engine_started(struct dw_engine *engine, uint64_t sent_at_us, uint64_t expected_us,
		       uint64_t now_us);
/** The request was given up before its first response byte: the time to it is at least this long. */
void dw_engine_waited(struct dw_engine *engine, uint64_t sent_at_us, uint64_t expected_us,
		      uint64_t now_us);
/** The engine reported its load in a response. */
void dw_engine_load_reported(struct dw_engine *engine, const struct dw_engine_load *load);
/** Another instance passed on the engine's load. */
void dw_engine_load_received(struct dw_engine *engine, const struct dw_engine_load *load);
/** The engine reported that its cold start lasts @p cold_ms more. */
void dw_engine_cold_start_reported(struct dw_engine *engine, uint32_t cold_ms, uint64_t now_us);

/**
 * The engine turned away a request that is still counted as in flight, and asked for no requests until
 * @p until_us; the latest end holds, and none is later than DW_ENGINE_PAUSE_MAX_US from now. What else this instance has in flight is what the engine bears: for a
 * while after the pause not much more is sent.
 */
void dw_engine_pause_requested(struct dw_engine *engine, uint64_t until_us, uint64_t now_us);
/** Whether the engine bears one more request of this instance, as far as its last pause tells. */
bool dw_engine_has_room(const struct dw_engine *engine, uint64_t now_us);
bool dw_engine_is_paused(const struct dw_engine *engine, uint64_t now_us);

/** The engine's process has ended: it isn't selected for a while, unless no other engine is left. */
void dw_engine_process_ended(struct dw_engine *engine, uint64_t now_us);

enum dw_engine_outcome {
	DW_ENGINE_ANSWERED, /**< complete response, no engine failure */
	DW_ENGINE_FAILED, /**< 5xx response or truncated response */
	DW_ENGINE_UNREACHABLE, /**< connection failed */
	DW_ENGINE_NO_RESPONSE, /**< no response: timeout, or the connection was closed */
	DW_ENGINE_WRONG_INSTANCE, /**< another engine answered at its address */
	DW_ENGINE_REJECTED, /**< the engine stated that it did not run the request */
	DW_ENGINE_CANCELLED, /**< the caller disconnected or the response is no longer needed */
	DW_ENGINE_OUTCOME_COUNT
};

/** A request of this instance ended. @p started: dw_engine_started() was called for it. */
void dw_engine_ended(struct dw_engine *engine, enum dw_engine_outcome outcome, bool started,
		     uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
