/**
 * @file random.h
 * Random numbers to spread load and retries with; not for secrets.
 */
#ifndef WHARF_BASE_RANDOM_H
#define WHARF_BASE_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Any value is a good @p state to begin with, if it differs between processes. */
uint64_t dw_random_next(uint64_t *state);

#ifdef __cplusplus
}
#endif

#endif
