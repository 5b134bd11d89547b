/**
 * @file restore_writes.h
 * When an instance writes a record again that the store has lost in a restore. All hold it in memory, one should
 * write it: the readers of the store go first, one after the other, and then twice as many instances after each step.
 * Whoever sees the record in the store by then doesn't write it.
 */
#ifndef DRAGONFLYWHARF_RESTORE_WRITES_H
#define DRAGONFLYWHARF_RESTORE_WRITES_H

#include <stdint.h>

#include <dragonflywharf/view_tree.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * @param random any number, which spreads instances of the same step and the records of one instance
 * @return the delay after the instance has learned of the era, in microseconds
 */
uint64_t dw_restore_write_delay_us(const struct dw_view_place *place, uint64_t random);

#ifdef __cplusplus
}
#endif

#endif
