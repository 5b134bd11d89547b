/**
 * @file store_era.h
 * The era of a store (store_revision.h) as its answers tell it. Answers may arrive late, and their era may be missing
 * or wrong: such an answer counts as one of the newest known era, unless it may have been given before that began.
 */
#ifndef DRAGONFLYWHARF_STORE_ERA_H
#define DRAGONFLYWHARF_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_store_era {
	uint64_t newest; /**< 0: none known, or the store has none */
	uint64_t late_answers; /**< that belonged to an earlier era */
	uint64_t
		bad_answers; /**< whose era was missing, unreadable, or lower than one known before the call */
};

/** What an answer says of its era. */
enum dw_era_field { DW_ERA_MISSING, DW_ERA_UNREADABLE, DW_ERA_GIVEN, DW_ERA_FIELD_COUNT };

/**
 * Takes in an answer.
 * @param value with DW_ERA_GIVEN: at most DW_REVISION_ERA_MAX
 * @param newest_when_sent struct dw_store_era.newest when the call was sent
 * @return false if the answer belongs to an earlier era than the newest known one, and says nothing any more
 */
bool dw_store_era_answered(struct dw_store_era *era, enum dw_era_field field, uint64_t value,
			   uint64_t newest_when_sent);

/** Another instance has seen this era, or this one in what it got from that. Lower ones are ignored. */
void dw_store_era_told(struct dw_store_era *era, uint64_t value);

#ifdef __cplusplus
}
#endif

#endif
