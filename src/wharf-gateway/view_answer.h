/**
 * @file view_answer.h
 * What this instance answers another one that asks for the records of the store.
 */
#ifndef GATEWAY_VIEW_ANSWER_H
#define GATEWAY_VIEW_ANSWER_H

#include "net/view_codec.h"
#include "wharf-gateway/view.h"

/** An instance that has a copy gets changes that are few and known from here, all others from the store. */
bool view_answer_is_in_store(const struct view *view, uint64_t after);

/** The answer to a request that arrived at @p arrived_at_us, without its records. */
struct view_answer view_answer_make(const struct view *view, uint64_t after, enum view_ask asked,
				    uint64_t arrived_at_us, uint64_t now_us);

#endif
