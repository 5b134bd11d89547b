/**
 * @file version_shift.h
 * Shifts a service's traffic from its current version to a new one, and rolls back if the new one
 * is bad.
 *
 * Each instance gets the same order and follows the same schedule: a small share of the requests
 * first, more in the second half, all of them well before the time limit. The instances pool what
 * they observe of both versions, and each rolls back as soon as the pooled evidence calls for it.
 * The share grows beyond the first one only on proof that the new version completes requests about
 * as fast as the old one, with requests under way counted, and that an engine of it has given good
 * answers under load; without it the shift is rolled back in the end. So evidence that is late, lost
 * or missing can't raise the share of a bad version. Failures are also judged by route, as those of
 * one route are few among the answers of all.
 * There is no leader: the first instance to write the order's outcome, with a conditional write,
 * decides it.
 */
#ifndef DRAGONFLYWHARF_VERSION_SHIFT_H
#define DRAGONFLYWHARF_VERSION_SHIFT_H

#include <dragonflywharf/engine.h>

#ifdef __cplusplus
extern "C" {
#endif

/** An instruction, read from the store, to shift a service to another version. */
struct dw_shift_order {
	char service[DW_ENGINE_TEXT_BYTES];
	char target_version[DW_ENGINE_TEXT_BYTES];
	uint64_t duration_us; /**< time limit for completing the shift */
	uint64_t revision; /**< store revision of the order */
};

enum dw_shift_state {
	DW_SHIFT_NONE,
	DW_SHIFT_RUNNING,
	DW_SHIFT_COMPLETED,
	DW_SHIFT_ROLLED_BACK,
	DW_SHIFT_STATE_COUNT
};

const char *dw_shift_state_name(enum dw_shift_state state);

enum dw_shift_side { DW_SHIFT_OLD, DW_SHIFT_NEW, DW_SHIFT_SIDE_COUNT };

/** Counts of a version's answers. */
struct dw_shift_counts {
	uint32_t answers;
	uint32_t bad; /**< answers that failed */
	uint32_t timed; /**< answers whose time to the first byte is evaluated */
	uint32_t slow; /**< timed answers that were much slower than expected */
	uint32_t good; /**< requests that were answered completely */
	uint64_t busy_ms; /**< time that all requests took, those under way so far included */
};

/** Observations on one answer. */
struct dw_shift_answer {
	bool failed;
	/** time to the first byte; 0: there was none, or it was counted when it came */
	uint64_t first_byte_us;
	uint64_t expected_first_byte_us; /**< expected time to the first byte; 0: unknown */
	uint32_t load_permille; /**< share of the engine's slots in use, as answered; 0: unknown */
};

/** Load levels of an engine; see dw_shift_level_permille(). */
#define DW_SHIFT_LOAD_LEVELS 7

/** Answers by the load of their engine, as the engines report it. */
struct dw_shift_load {
	uint32_t old_answers; /**< of the old version, with a known load */
	uint64_t old_permille_sum; /**< sum of their loads */
	/** Complete answers of the new version, and failures, at this level of load or above. */
	uint32_t good[DW_SHIFT_LOAD_LEVELS];
	uint32_t bad[DW_SHIFT_LOAD_LEVELS];
};

/** Routes that are judged separately; the requests of others count only in the sums. */
#define DW_SHIFT_ROUTES 8

/** One version's requests of a route. */
struct dw_shift_route_counts {
	uint32_t answers;
	uint32_t bad;
	/** As in struct dw_shift_counts, for the requests sent before the load test. */
	uint32_t good;
	uint64_t busy_ms;
};

struct dw_shift_route {
	uint32_t key; /**< hash of its name */
	struct dw_shift_route_counts counts[DW_SHIFT_SIDE_COUNT];
};

struct dw_shift_evidence {
	struct dw_shift_counts counts[DW_SHIFT_SIDE_COUNT];
	struct dw_shift_load load;
	struct dw_shift_route routes[DW_SHIFT_ROUTES];
	uint32_t route_count;
};

/** Adds one instance's evidence to a sum. Routes beyond DW_SHIFT_ROUTES are left out. */
void dw_shift_evidence_add(struct dw_shift_evidence *sum, const struct dw_shift_evidence *evidence);

/** Least load of a level, in thousandths of the engine's slots. */
uint32_t dw_shift_level_permille(uint32_t level);

/** Requests of this instance that are under way at one version. */
struct dw_shift_open {
	uint32_t count;
	/** Sum of the times at which they were sent, each since the order was learnt. */
	uint64_t sent_at_sum_us;
};

struct dw_shift {
	struct dw_shift_order order;
	uint64_t first_revision; /**< the order's, when it was learnt; later outcomes are its own */
	enum dw_shift_state state;
	uint64_t started_at_us; /**< start of the shift by this instance's clock */
	uint64_t ordered_at_us; /**< when this instance learnt of the order */
	uint64_t status_revision; /**< store revision of the recorded outcome; 0: none */
	uint64_t promoted_at_us; /**< when the new version was proven good; 0: it isn't yet */
	uint32_t loaded_answers; /**< good answers of the new version from an engine under load */
	uint32_t test_load_permille; /**< load of the tested engine, as last reported */
	uint64_t test_load_at_us; /**< when that was; 0: never */
	/** Requests sent by this instance, those of the load test included. */
	uint32_t sent[DW_SHIFT_SIDE_COUNT];
	/** Requests sent from this time on don't count in own.routes; 0: all do so far. */
	uint64_t test_began_at_us;
	struct dw_shift_open open[DW_SHIFT_SIDE_COUNT];
	struct dw_shift_open route_open[DW_SHIFT_ROUTES][DW_SHIFT_SIDE_COUNT];
	struct dw_shift_evidence own;
	struct dw_shift_evidence peers; /**< sum of the other instances' latest evidence */
};

/** Starts an order, unless it is the current one. Which of two is in force is decided by those who read them. */
void dw_shift_set_order(struct dw_shift *shift, const struct dw_shift_order *order,
			uint64_t now_us);

/** Whether an order of the same service asks for what the current one does. */
bool dw_shift_is_same_order(const struct dw_shift *shift, const struct dw_shift_order *order);

/** The current order was written again, with another revision: the shift goes on where it was. */
void dw_shift_renumber_order(struct dw_shift *shift, uint64_t revision);

/** Catches up with another instance's progress, in thousandths, if that is further ahead. */
void dw_shift_catch_up(struct dw_shift *shift, uint32_t permille, uint64_t now_us);

/** Takes over the recorded outcome, if it belongs to the current order. */
void dw_shift_set_outcome(struct dw_shift *shift, enum dw_shift_state state, const char *target,
			  uint64_t revision);

/** Time that has passed, in thousandths of the order's time limit; at most 1000. */
uint32_t dw_shift_progress(const struct dw_shift *shift, uint64_t now_us);

/** Current share of the requests for the new version, in thousandths. */
uint32_t dw_shift_share(const struct dw_shift *shift, uint64_t now_us);

/**
 * Counts an answer of one version, or its failure. Response times aren't evaluated while the load
 * test may be loading engines of the new version.
 */
void dw_shift_count_answer(struct dw_shift *shift, enum dw_shift_side side,
			   const struct dw_shift_answer *answer, uint64_t now_us);

/** Counts the load that an engine reported in a complete answer, if dw_shift_count_answer() doesn't
 * get it. */
void dw_shift_count_load(struct dw_shift *shift, enum dw_shift_side side, uint32_t load_permille);

/** A request's wait for its first byte. */
struct dw_shift_wait {
	uint64_t waited_us;
	uint64_t expected_us; /**< at an engine of usual speed; 0: unknown */
	bool has_started; /**< false: it ended without a byte, and counts only if it was too long */
};

/**
 * Counts a wait as soon as it has ended: a slow version shows itself before its answers end, and
 * callers may leave before they begin.
 */
void dw_shift_count_wait(struct dw_shift *shift, enum dw_shift_side side,
			 const struct dw_shift_wait *wait, uint64_t now_us);

/** A request was sent to a version, other than for the load test. */
void dw_shift_request_sent(struct dw_shift *shift, enum dw_shift_side side, uint64_t now_us);
/** A request counted by dw_shift_request_sent() at @p sent_at_us ended; @p good: with its answer. */
void dw_shift_request_ended(struct dw_shift *shift, enum dw_shift_side side, uint64_t sent_at_us,
			    bool good, uint64_t now_us);

/** A request was sent for the load test. */
void dw_shift_load_test_sent(struct dw_shift *shift);
/** An engine has reported its load in the answer to a request of the load test. */
void dw_shift_load_test_answered(struct dw_shift *shift, uint32_t load_permille, uint64_t now_us);

/** The same as dw_shift_request_sent(), dw_shift_request_ended() and dw_shift_count_answer() for a
 * route, in addition to them. @p route is a hash of its name. */
void dw_shift_route_sent(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			 uint64_t now_us);
void dw_shift_route_ended(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			  uint64_t sent_at_us, bool good, uint64_t now_us);
void dw_shift_route_answered(struct dw_shift *shift, uint32_t route, enum dw_shift_side side,
			     bool failed);

/** This instance's evidence as the others should get it, with its requests under way so far. */
void dw_shift_own_evidence(const struct dw_shift *shift, uint64_t now_us,
			   struct dw_shift_evidence *evidence);

/** This instance's counts as the others should get them, with its requests under way so far. */
struct dw_shift_counts dw_shift_own_counts(const struct dw_shift *shift, enum dw_shift_side side,
					   uint64_t now_us);

/** The counts of all instances, as far as this one knows them. */
struct dw_shift_counts dw_shift_pooled_counts(const struct dw_shift *shift, enum dw_shift_side side,
					      uint64_t now_us);

/** Raises the share if the evidence proves the new version good and it is time; call it often. */
void dw_shift_promote_if_proven(struct dw_shift *shift, uint64_t now_us);

/** Whether the time has come at which the instances need each other's counts for that proof. */
bool dw_shift_is_proof_due(const struct dw_shift *shift, uint64_t now_us);

/**
 * Number of this instance's answers that support what the proof still lacks. The others should get
 * them when it has grown.
 */
uint32_t dw_shift_proof_answers(const struct dw_shift *shift, uint64_t now_us);

/** True if this instance has evidence against the new version, which the others should get. */
bool dw_shift_is_suspect(const struct dw_shift *shift);

/**
 * The state that follows from the evidence and the time: ROLLED_BACK if the new version is bad or
 * wasn't proven good in time, COMPLETED if it has received all requests for long enough, else
 * RUNNING.
 */
enum dw_shift_state dw_shift_next_state(const struct dw_shift *shift, uint64_t now_us);

/**
 * Whether the evidence shows the new version bad. Without that, dw_shift_next_state() rolls back for
 * want of proof; other instances may have it, so this rollback should be recorded late.
 */
bool dw_shift_is_shown_bad(const struct dw_shift *shift, uint64_t now_us);

/** From this progress on, a rollback for want of proof should be recorded. */
#define DW_SHIFT_UNPROVEN_RECORD_PERMILLE 925

/** Restricts the version that a request may be sent to. If both versions are NULL, any will do. */
struct dw_shift_constraint {
	const char *required_version;
	const char *excluded_version;
	/** Share of the required version's engines to use, in thousandths; 0: any of them. As small
	 * as the share of the traffic, so that these engines are loaded as all will be later. */
	uint32_t engines_permille;
	bool is_load_test; /**< use the largest model, so that the answer takes long */
};

/**
 * Whether other instances have to be told that a session used this version: they would otherwise
 * send its next request to the other one, though sessions mustn't move to the new version in the
 * first half, nor back from it. @p session_hash as in struct dw_shift_request.
 */
bool dw_shift_pin_is_news(const struct dw_shift *shift, uint64_t session_hash, const char *version,
			  uint64_t now_us);

/**
 * Whether a session that used the target version stays pinned where it was: in the second half,
 * requests of any session may take part in the load test, and the session mustn't follow them to a
 * version that isn't proven good.
 */
bool dw_shift_keeps_pins(const struct dw_shift *shift, const char *version, uint64_t now_us);

/** Properties of a request that the shift depends on. */
struct dw_shift_request {
	const char *pinned_version; /**< last version of its session; NULL: none, or too long ago */
	uint64_t hash; /**< of its session; without a session, of the request */
	uint32_t target_engines; /**< number of available engines of the target version */
	bool is_long; /**< long answer to a short prompt: loads an engine at little cost */
	bool may_probe; /**< short answer to a prompt that isn't too long to test a loaded engine */
	/** It has a session without a known version, and this instance started so late that it may have
	 * missed it. */
	bool may_lack_pin;
};

/** Decides which version the request may be sent to. */
struct dw_shift_constraint dw_shift_constrain(const struct dw_shift *shift,
					      const struct dw_shift_request *request,
					      uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
