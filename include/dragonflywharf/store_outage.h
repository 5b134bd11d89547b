/**
 * @file store_outage.h
 * When the store was last out of reach for the whole fleet, as far as one instance can know.
 *
 * Entries of engines expire while the store is away, and their engines register again soon after, so
 * an instance keeps using them for a while. That is right only after an outage of the store itself:
 * an instance that was merely late, suspended or cut off has to believe that an engine has left. So
 * it takes failed calls over a while, and no proof from any other instance in that time.
 */
#ifndef DRAGONFLYWHARF_STORE_OUTAGE_H
#define DRAGONFLYWHARF_STORE_OUTAGE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_store_outage {
	uint64_t failed_since_us; /**< first call that failed since the newest proof; 0: none did */
	uint64_t ended_at_us; /**< end of the last outage; 0: none is known */
};

/**
 * A call of this instance got no byte of an answer, or an answer that refuses all calls.
 * @param confirmed_at_us this copy's newest proof, from the store or another instance; 0: none yet
 */
void dw_store_outage_call_failed(struct dw_store_outage *outage, uint64_t confirmed_at_us,
				 uint64_t now_us);

/** A call of this instance broke off after some bytes of its answer: the store isn't away. */
void dw_store_outage_call_broke_off(struct dw_store_outage *outage);

/**
 * A call of this instance was answered; to be called before the answer is applied.
 * @param confirmed_at_us this copy's newest proof, from the store or another instance; 0: none yet
 * @param stale_us age of a proof that another instance would not have let pass
 */
void dw_store_outage_call_answered(struct dw_store_outage *outage, uint64_t confirmed_at_us,
				   uint64_t stale_us, uint64_t now_us);

/**
 * Another instance says that an outage ended at @p ended_at_us; 0: it knows of none. It isn't
 * believed against a proof of this instance's own from shortly before. To be called before the
 * answer is applied.
 */
void dw_store_outage_told(struct dw_store_outage *outage, uint64_t ended_at_us,
			  uint64_t confirmed_at_us, uint64_t stale_us);

#ifdef __cplusplus
}
#endif

#endif
