/**
 * @file rendezvous.h
 * Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998. The member with the highest score owns the key. When a member joins or leaves, only the
 * keys it gains or loses change owner.
 */
#ifndef DRAGONFLYWHARF_RENDEZVOUS_H
#define DRAGONFLYWHARF_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Score of @p member_id (an instance_id) for @p key. */
uint64_t dw_rendezvous_score(uint64_t key, uint64_t member_id);

/** Computes a key as the XXH64 of @p text. */
uint64_t dw_rendezvous_key(const char *text, size_t len);

#ifdef __cplusplus
}
#endif

#endif
