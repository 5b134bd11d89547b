/**
 * @file graceful_shutdown.h
 * Which requests an instance still takes between the signal to stop and its end.
 *
 * At first all, as the balancer needs time to take notice; then only those that will have been
 * answered before the end. What is refused has not run and finds another instance.
 */
#ifndef DRAGONFLYWHARF_GRACEFUL_SHUTDOWN_H
#define DRAGONFLYWHARF_GRACEFUL_SHUTDOWN_H

#include <dragonflywharf/catalog.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_graceful_shutdown {
	uint64_t started_at_us; /**< 0: the instance isn't stopping */
	uint64_t end_at_us; /**< what is in progress then is cut */
};

/** Whether a request that comes now is taken. @p deadline_us is the latest end of its answer. */
bool dw_graceful_shutdown_accepts(const struct dw_graceful_shutdown *stop, enum dw_route_kind kind,
				  uint64_t deadline_us, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
