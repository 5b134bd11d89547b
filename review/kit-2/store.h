/**
 * @file store.h
 * Stand-in for the platform's metadata store: one revision counter, items, a history, watches, conditional
 * writes and leases that never run out. Reads are never stale.
 */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <stdint.h>

/** Starts it and returns its port. */
uint16_t store_start(void);

/** Writes an item as the operator or an engine does; its return is the acknowledgement. */
void store_put(const char *key, const char *value);

/** Removes an item, as when an engine's entry runs out. */
void store_remove(const char *key);

#endif
