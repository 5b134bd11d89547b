/**
 * @file admission_gate.h
 * Executes the admission decisions of src/core for the requests of this instance: one queue for those that
 * wait for the first configuration or for capacity, and the timer that lets them go on in their order.
 *
 * While the engines have room and nobody waits, a request passes without being queued. A queued request
 * has not been sent: it takes nothing from the retry budget and its refusal guarantees that it has not run.
 */
#ifndef GATEWAY_ADMISSION_GATE_H
#define GATEWAY_ADMISSION_GATE_H

#include <stdio.h>
#include <uv.h>

#include <dragonflywharf/admission.h>
#include <dragonflywharf/engine_choice.h>

struct admission_gate;
struct exchange;
struct router;

struct admission_callbacks {
	/** The request may go on now. If it can't, it calls admission_gate_wait() again. */
	void (*on_turn)(struct exchange *exchange);
	/** The request isn't queued, or no longer, and is to be refused. */
	void (*on_refused)(struct exchange *exchange, const char *reason);
};

/** Part of each exchange; zero-initialised. */
struct admission_wait {
	struct dw_admission_entry entry;
	dw_admission_handle handle; /**< while it is queued; 0: it isn't */
	void (*on_config)(struct exchange *exchange); /**< valid while it waits for that */
	const struct admission_callbacks *callbacks; /**< valid while it waits for engines */
	uint64_t since_us; /**< when it was queued */
	enum dw_choice_result cause; /**< why it couldn't be sent; FOUND: others wait before it */
	bool is_taken; /**< it was dispatched from the queue and hasn't ended */
	bool is_first_config; /**< it has waited for the first configuration */
};

struct admission_gate *admission_gate_new(struct router *router, uv_loop_t *loop);
void admission_gate_free(struct admission_gate *gate);

/**
 * Queues a request until the first configuration is in force. It then gets that configuration and
 * @p on_config is called; if it can't wait so long, it is refused.
 */
void admission_gate_wait_for_config(struct exchange *exchange,
				    void (*on_config)(struct exchange *exchange));

/** Whether a request has to be queued though an engine may be free: others wait for the same engines, or
 * these have more work than they can do in time. */
bool admission_gate_must_wait(struct exchange *exchange, uint64_t now_us);

/**
 * Queues a request that can't be sent now, or leaves it queued. If it can't be served in time, on_refused is
 * called, and a repeat is asked for at a time when it can help.
 * @param choice what was asked for; NULL after admission_gate_must_wait()
 * @param result of the choice of an engine; DW_CHOICE_FOUND after admission_gate_must_wait()
 */
void admission_gate_wait(struct exchange *exchange, const struct dw_choice_request *choice,
			 enum dw_choice_result result, const struct admission_callbacks *callbacks,
			 uint64_t now_us);

/** The request is about to be sent to an engine. */
void admission_gate_sent(struct exchange *exchange, uint64_t now_us);

/** The request has ended, in whatever way. */
void admission_gate_leave(struct exchange *exchange);

/** Writes the gate's metrics in the Prometheus text format. */
void admission_gate_write_metrics(const struct admission_gate *gate, FILE *out);

#endif
