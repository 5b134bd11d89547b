/**
 * @file chat_plan.h
 * Chooses the versions on which a chat request may run and the cascade steps that it tries.
 */
#ifndef DAEMON_CHAT_PLAN_H
#define DAEMON_CHAT_PLAN_H

#include "dragonflywharfd/chat_request_state.h"

/** Assumed time for generating one token, for the service time in the admission queue: no upstream
 * is chosen yet whose measured speed could be used. */
#define CHAT_DEFAULT_TOKEN_US UINT64_C(20000)

/** Ids used as keys in the library's tables: of a name, and of a version of a model. */
uint64_t chat_plan_name_id(const char *name);
uint64_t chat_plan_version_id(const char *model, const char *version);

/**
 * Gets the version that the request named or, failing that, the one in its session token; NULL if
 * there is none or if the token is for another model. Fails if the token isn't valid; an expired
 * one counts as none.
 */
enum dw_status chat_plan_session_version(struct chat_request *request, const char **version);

/** Chooses the step's version: @p session_version if still allowed, else by roll-out weight. */
enum dw_status chat_plan_choose_version(struct chat_request *request, struct chat_step *step,
					const char *session_version);

/** Sets the step to the version that the caller named, or fails; never chooses another version. */
enum dw_status chat_plan_named_version(struct chat_request *request, struct chat_step *step);

/** Number of tokens that the request is expected to generate. */
uint64_t chat_plan_expected_tokens(const struct chat_request *request);

/** Expected time of a step, queueing included; UINT64_MAX if its version has no upstream in
 * service. */
uint64_t chat_plan_expected_us(const struct chat_request *request, const struct chat_step *step);

/** Chooses the cascade steps that this request tries; the last one is @p model itself. */
enum dw_status chat_plan_steps(struct chat_request *request, const struct dw_model *model,
			       const char *session_version);

#endif
