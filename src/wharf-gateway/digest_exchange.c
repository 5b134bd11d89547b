#include "wharf-gateway/digest_exchange.h"

#include <dragonflywharf/load_digest.h>

#include "base/clock.h"

#define LOAD_PERIOD_MS 300
/* A session's next request may follow soon, at another instance. */
#define PIN_PERIOD_MS 100
/* Digests of a kind sent in a period at most; what is left waits for the next one. */
#define DIGESTS_MAX 16
#define DIGEST_BYTES 1200

_Static_assert(DIGEST_BYTES >= DW_LOAD_DIGEST_BYTES, "digests of loads fit");
_Static_assert(DIGEST_BYTES >= DW_SESSION_PINS_DIGEST_BYTES, "digests of pins fit");

struct outgoing {
	struct peers *peers;
	enum peers_digest kind;
	const uint8_t *bytes;
	size_t len;
};

static size_t write_digest(struct digest_exchange *exchange, enum peers_digest kind,
			   enum dw_spread_scope scope, uint64_t now_us, uint8_t *out)
{
	struct view *view = exchange->view;

	switch (kind) {
	case PEERS_LOADS:
		return dw_load_digest_write(view->engines, scope, now_us, out, DIGEST_BYTES);
	case PEERS_PINS:
		return dw_session_pins_write(view->shifts.pins, scope, now_us, out, DIGEST_BYTES);
	}
	return 0;
}

static enum dw_status read_digest(struct digest_exchange *exchange, enum peers_digest kind,
				  enum dw_spread_scope scope, const uint8_t *bytes, size_t len)
{
	struct view *view = exchange->view;
	uint64_t now_us = dw_clock_now_us();

	switch (kind) {
	case PEERS_LOADS:
		return dw_load_digest_read(view->engines, scope, bytes, len, now_us);
	case PEERS_PINS:
		return dw_session_pins_read(view->shifts.pins, scope, bytes, len, now_us);
	}
	return dw_fail(DW_INVALID_ARGUMENT, "digest of unknown kind %d", (int)kind);
}

void digest_exchange_receive(struct digest_exchange *exchange, const struct dw_member *from,
			     enum peers_digest kind, const uint8_t *bytes, size_t len)
{
	enum dw_spread_scope scope =
		dw_spread_received(exchange->spread, from->key.instance_id, dw_clock_now_us());

	if (read_digest(exchange, kind, scope, bytes, len) != DW_OK)
		dw_counters_add(exchange->view->counters, DW_COUNTER_BAD_INPUTS, 1);
}

static void send_to(uint64_t to, void *data)
{
	const struct outgoing *outgoing = data;

	peers_send_digest(outgoing->peers, to, outgoing->kind, outgoing->bytes, outgoing->len);
}

static void send_scope(struct digest_exchange *exchange, enum peers_digest kind,
		       enum dw_spread_scope scope)
{
	uint8_t bytes[DIGEST_BYTES];
	struct outgoing outgoing = { .peers = &exchange->view->peers,
				     .kind = kind,
				     .bytes = bytes };
	uint64_t now_us = dw_clock_now_us();

	for (int i = 0; i < DIGESTS_MAX; i++) {
		outgoing.len = write_digest(exchange, kind, scope, now_us, bytes);
		if (outgoing.len == 0)
			return;
		dw_spread_targets(exchange->spread, scope, now_us, send_to, &outgoing);
	}
}

static void send_news(struct digest_exchange *exchange, enum peers_digest kind)
{
	if (!dw_spread_is_relay(exchange->spread)) {
		send_scope(exchange, kind, DW_SPREAD_EVERYWHERE);
		return;
	}
	send_scope(exchange, kind, DW_SPREAD_IN_DOMAIN);
	send_scope(exchange, kind, DW_SPREAD_TO_DOMAINS);
}

static void on_load_timer(uv_timer_t *timer)
{
	send_news(timer->data, PEERS_LOADS);
}

static void on_pin_timer(uv_timer_t *timer)
{
	send_news(timer->data, PEERS_PINS);
}

void digest_exchange_place(struct digest_exchange *exchange, const struct dw_view_member *members,
			   uint32_t count)
{
	dw_spread_place(exchange->spread, members, count, exchange->view->peers.instance_id);
}

static void start_timer(struct digest_exchange *exchange, uv_loop_t *loop, uv_timer_t *timer,
			uv_timer_cb callback, uint64_t period_ms)
{
	uv_timer_init(loop, timer);
	timer->data = exchange;
	uv_timer_start(timer, callback, period_ms, period_ms);
}

void digest_exchange_start(struct digest_exchange *exchange, uv_loop_t *loop, struct view *view)
{
	exchange->view = view;
	exchange->spread = dw_spread_new();
	if (!view->peers.membership)
		return;
	start_timer(exchange, loop, &exchange->load_timer, on_load_timer, LOAD_PERIOD_MS);
	start_timer(exchange, loop, &exchange->pin_timer, on_pin_timer, PIN_PERIOD_MS);
}
