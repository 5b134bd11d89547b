#include "wharf-gateway/digest_exchange.h"

#include <string.h>

#include <dragonflywharf/load_digest.h>

#include "base/clock.h"
#include "net/leaving_codec.h"
#include "net/part_codec.h"
#include "net/quarantine_codec.h"

#define LOAD_PERIOD_MS 300
/* A session's next request may follow soon, at another instance. */
#define PIN_PERIOD_MS 100
/* Evidence of crashes is sent at once, and again until it was sent often enough. */
#define CRASH_PERIOD_MS (DW_QUARANTINE_ROUND_US / DW_US_PER_MS)
/* Pieces of evidence in a digest: five integers of up to nine bytes each. */
#define CRASHES_MAX 26
/* Engines that leave in a digest: two integers of up to nine bytes each. */
#define LEAVING_MAX 64
/* News of parts in a digest: eight integers of up to nine bytes each. */
#define PARTS_MAX 16
/* Digests of a kind sent in a period at most; what is left waits for the next one. */
#define DIGESTS_MAX 16
#define DIGEST_BYTES 1200

_Static_assert(DIGEST_BYTES >= DW_LOAD_DIGEST_BYTES, "digests of loads fit");
_Static_assert(DIGEST_BYTES >= DW_SESSION_PINS_DIGEST_BYTES, "digests of pins fit");

/* Copies an encoded message. @return its length; 0 if it couldn't be encoded or is too long */
static size_t copy_message(enum dw_status status, const msgpack_sbuffer *buffer, uint8_t *out)
{
	if (status != DW_OK || buffer->size > DIGEST_BYTES)
		return 0;
	memcpy(out, buffer->data, buffer->size);
	return buffer->size;
}

static size_t write_crashes(struct digest_exchange *exchange, bool is_abandoned,
			    enum dw_spread_scope scope, uint64_t now_us, uint8_t *out)
{
	struct dw_quarantine_evidence evidence[CRASHES_MAX];
	uint32_t round = (uint32_t)(now_us / DW_QUARANTINE_ROUND_US);
	size_t count = dw_quarantine_take_news(exchange->view->guard.quarantine, is_abandoned,
					       scope, round, now_us, evidence, CRASHES_MAX);
	msgpack_sbuffer buffer;
	size_t len;

	if (count == 0)
		return 0;
	msgpack_sbuffer_init(&buffer);
	len = copy_message(dw_quarantine_message_encode(evidence, count, &buffer), &buffer, out);
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static enum dw_status read_crashes(struct digest_exchange *exchange, bool is_abandoned,
				   enum dw_spread_scope scope, const struct dw_member *from,
				   const uint8_t *bytes, size_t len)
{
	struct dw_quarantine_evidence evidence[DW_QUARANTINE_MESSAGE_ENTRIES];
	size_t count;
	enum dw_status status = dw_quarantine_message_decode(bytes, len, evidence, &count);

	for (size_t i = 0; i < count; i++)
		evidence[i].is_abandoned = is_abandoned;
	if (status == DW_OK)
		crash_guard_merge(&exchange->view->guard, evidence, count, scope, from->name);
	return status;
}

static size_t write_leaving(struct digest_exchange *exchange, enum dw_spread_scope scope,
			    uint64_t now_us, uint8_t *out)
{
	struct dw_crash_upstream engines[LEAVING_MAX];
	uint32_t round = (uint32_t)(now_us / DW_LEAVING_ROUND_US);
	size_t count =
		dw_leaving_take_news(exchange->view->leaving, scope, round, engines, LEAVING_MAX);
	msgpack_sbuffer buffer;
	size_t len;

	if (count == 0)
		return 0;
	msgpack_sbuffer_init(&buffer);
	len = copy_message(leaving_message_encode(engines, count, &buffer), &buffer, out);
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static enum dw_status read_leaving(struct digest_exchange *exchange, enum dw_spread_scope scope,
				   const struct dw_member *from, const uint8_t *bytes, size_t len)
{
	struct dw_crash_upstream engines[LEAVING_MESSAGE_ENTRIES];
	size_t count;
	enum dw_status status = leaving_message_decode(bytes, len, engines, &count);

	if (status == DW_OK)
		view_told_leaving(exchange->view, engines, count, scope, from->name);
	return status;
}

static size_t write_parts(struct digest_exchange *exchange, enum dw_spread_scope scope,
			  uint64_t now_us, uint8_t *out)
{
	struct dw_part_news news[PARTS_MAX];
	uint32_t round = (uint32_t)(now_us / DW_QUARANTINE_ROUND_US);
	size_t count = dw_part_quarantine_take_news(exchange->view->guard.parts.quarantine, scope,
						    round, now_us, news, PARTS_MAX);
	msgpack_sbuffer buffer;
	size_t len;

	if (count == 0)
		return 0;
	msgpack_sbuffer_init(&buffer);
	len = copy_message(part_message_encode(news, count, &buffer), &buffer, out);
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static enum dw_status read_parts(struct digest_exchange *exchange, enum dw_spread_scope scope,
				 const struct dw_member *from, const uint8_t *bytes, size_t len)
{
	struct dw_part_news news[PART_MESSAGE_ENTRIES];
	size_t count;
	enum dw_status status = part_message_decode(bytes, len, news, &count);

	if (status == DW_OK)
		crash_guard_merge_parts(&exchange->view->guard, news, count, scope, from->name);
	return status;
}

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
	case PEERS_CRASHES:
		return write_crashes(exchange, false, scope, now_us, out);
	case PEERS_ABANDONED:
		return write_crashes(exchange, true, scope, now_us, out);
	case PEERS_LEAVING:
		return write_leaving(exchange, scope, now_us, out);
	case PEERS_PARTS:
		return write_parts(exchange, scope, now_us, out);
	}
	return 0;
}

static enum dw_status read_digest(struct digest_exchange *exchange, enum peers_digest kind,
				  enum dw_spread_scope scope, const struct dw_member *from,
				  const uint8_t *bytes, size_t len)
{
	struct view *view = exchange->view;
	uint64_t now_us = dw_clock_now_us();

	switch (kind) {
	case PEERS_LOADS:
		return dw_load_digest_read(view->engines, scope, bytes, len, now_us);
	case PEERS_PINS:
		return dw_session_pins_read(view->shifts.pins, scope, bytes, len, now_us);
	case PEERS_CRASHES:
		return read_crashes(exchange, false, scope, from, bytes, len);
	case PEERS_ABANDONED:
		return read_crashes(exchange, true, scope, from, bytes, len);
	case PEERS_LEAVING:
		return read_leaving(exchange, scope, from, bytes, len);
	case PEERS_PARTS:
		return read_parts(exchange, scope, from, bytes, len);
	}
	return dw_fail(DW_INVALID_ARGUMENT, "digest of unknown kind %d", (int)kind);
}

void digest_exchange_receive(struct digest_exchange *exchange, const struct dw_member *from,
			     enum peers_digest kind, const uint8_t *bytes, size_t len)
{
	enum dw_spread_scope scope =
		dw_spread_received(exchange->spread, from->key.instance_id, dw_clock_now_us());

	if (read_digest(exchange, kind, scope, from, bytes, len) != DW_OK)
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

static void on_crash_news(void *owner)
{
	send_news(owner, PEERS_CRASHES);
	send_news(owner, PEERS_ABANDONED);
	send_news(owner, PEERS_PARTS);
}

static void on_leaving_news(void *owner)
{
	send_news(owner, PEERS_LEAVING);
}

static void on_news_timer(uv_timer_t *timer)
{
	on_crash_news(timer->data);
	on_leaving_news(timer->data);
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
	start_timer(exchange, loop, &exchange->crash_timer, on_news_timer, CRASH_PERIOD_MS);
	view->on_leaving_news = on_leaving_news;
	view->on_leaving_news_owner = exchange;
	view->guard.on_news = on_crash_news;
	view->guard.on_news_owner = exchange;
}
