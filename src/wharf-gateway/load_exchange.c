#include "wharf-gateway/load_exchange.h"

#include <dragonflywharf/load_digest.h>

#include "base/clock.h"

#define SEND_PERIOD_MS 300
/* Digests sent in a period at most; loads beyond them wait for the next one. */
#define DIGESTS_MAX 16

struct outgoing {
	struct peers *peers;
	const uint8_t *bytes;
	size_t len;
};

void load_exchange_receive(struct load_exchange *exchange, const struct dw_member *from,
			   const uint8_t *bytes, size_t len)
{
	struct view *view = exchange->view;
	uint64_t now_us = dw_clock_now_us();
	enum dw_load_scope scope =
		dw_load_spread_received(exchange->spread, from->key.instance_id, now_us);

	if (dw_load_digest_read(view->engines, scope, bytes, len, now_us) != DW_OK)
		dw_counters_add(view->counters, DW_COUNTER_BAD_INPUTS, 1);
}

static void send_to(uint64_t to, void *data)
{
	const struct outgoing *outgoing = data;

	peers_send_loads(outgoing->peers, to, outgoing->bytes, outgoing->len);
}

static void send_scope(struct load_exchange *exchange, enum dw_load_scope scope)
{
	uint8_t bytes[DW_LOAD_DIGEST_BYTES];
	struct outgoing outgoing = { .peers = &exchange->view->peers, .bytes = bytes };
	uint64_t now_us = dw_clock_now_us();

	for (int i = 0; i < DIGESTS_MAX; i++) {
		outgoing.len = dw_load_digest_write(exchange->view->engines, scope, now_us, bytes,
						    sizeof(bytes));
		if (outgoing.len == 0)
			return;
		dw_load_spread_targets(exchange->spread, scope, now_us, send_to, &outgoing);
	}
}

static void on_send_timer(uv_timer_t *timer)
{
	struct load_exchange *exchange = timer->data;

	if (!dw_load_spread_is_relay(exchange->spread)) {
		send_scope(exchange, DW_LOAD_EVERYWHERE);
		return;
	}
	send_scope(exchange, DW_LOAD_IN_DOMAIN);
	send_scope(exchange, DW_LOAD_TO_DOMAINS);
}

void load_exchange_place(struct load_exchange *exchange, const struct dw_view_member *members,
			 uint32_t count)
{
	dw_load_spread_place(exchange->spread, members, count, exchange->view->peers.instance_id);
}

void load_exchange_start(struct load_exchange *exchange, uv_loop_t *loop, struct view *view)
{
	exchange->view = view;
	exchange->spread = dw_load_spread_new();
	if (!view->peers.membership)
		return;
	uv_timer_init(loop, &exchange->timer);
	exchange->timer.data = exchange;
	uv_timer_start(&exchange->timer, on_send_timer, SEND_PERIOD_MS, SEND_PERIOD_MS);
}
