#include "wharf-gateway/view_sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/bytes.h"
#include "base/clock.h"
#include "net/view_codec.h"
#include "wharf-gateway/view_server.h"

#define CHECK_PERIOD_MS 50
#define MAX_HEAD_BYTES 4096
#define IDLE_TIMEOUT_MS 9000
#define UNACKNOWLEDGED_TIMEOUT_MS 1500
#define REQUEST_BYTES 160
/* After the start, for how long the first request waits for the copy from the store. */
#define COPY_WAIT_US (1000 * DW_US_PER_MS)
/* A machine without power doesn't refuse connections; it stays silent. */
#define CONNECT_TIMEOUT_MS 150
/* Least time between two requests. */
#define REQUEST_INTERVAL_US (10 * DW_US_PER_MS)

static void ask(struct view_sync *sync);
static void on_check_timer(uv_timer_t *timer);

static void finish_request(struct view_sync *sync)
{
	sync->connection = NULL;
	sync->body.len = 0;
	uv_timer_stop(&sync->request_timer);
}

static void fail_request(struct view_sync *sync, const char *reason)
{
	uint64_t now_us = dw_clock_now_us();
	struct dw_endpoint address = { 0 };

	sync->failures++;
	peers_find(&sync->view->peers, sync->asked, &address);
	dw_log_event(sync->view->log, DW_EVENT_VIEW_SOURCE_FAILED, DW_STR("source", address.ip),
		     DW_STR("reason", reason),
		     DW_INT("waited_ms", (now_us - sync->requested_at_us) / DW_US_PER_MS));
	dw_view_source_failed(&sync->view->source, now_us);
	finish_request(sync);
}

static bool on_head(void *owner, const struct http_head *head)
{
	struct view_sync *sync = owner;

	sync->status = head->status;
	return head->status == 200 || head->status == VIEW_STATUS_ASK_STORE;
}

static bool on_body(void *owner, const char *bytes, size_t len)
{
	struct view_sync *sync = owner;
	uint64_t now_us = dw_clock_now_us();
	uint64_t timeout_us = sync->view->source.timing.pull_timeout_us;

	if (sync->body.len + len > VIEW_ANSWER_MAX_BYTES || now_us >= sync->transfer.end_us)
		return false;
	bytes_put(&sync->body, bytes, len);
	dw_transfer_received(&sync->transfer, timeout_us, now_us);
	uv_timer_start(&sync->request_timer, sync->request_timer.timer_cb,
		       (sync->transfer.due_us - now_us) / DW_US_PER_MS + 1, 0);
	return true;
}

/* Logs from where the copy is kept up to date, when that has changed. */
static void log_source(struct view_sync *sync, uint64_t source, const char *address)
{
	if (sync->logged_source == source)
		return;
	sync->logged_source = source;
	dw_log_event(
		sync->view->log, DW_EVENT_VIEW_SOURCE, DW_STR("source", address),
		DW_INT("revision", dw_revision_number(dw_view_log_revision(sync->view->records))),
		DW_INT("age_ms", (dw_clock_now_us() - sync->view->confirmed_at_us) / DW_US_PER_MS));
}

/* The answer's gap on this instance's clock, at its longest: its end may be that of the answer's arrival, and its begin
 * is dated from before the request, as proofs are. */
static struct dw_freshness_gap dated_gap(const struct view_sync *sync,
					 const struct view_answer *answer, uint64_t now_us)
{
	struct dw_freshness_gap gap = { 0 };
	uint64_t arrived_at_us = sync->requested_at_us + answer->held_us;

	if (!answer->has_gap || answer->gap_until_us >= now_us)
		return gap;
	gap.until_us = now_us - answer->gap_until_us;
	if (answer->gap_from_us < arrived_at_us)
		gap.from_us = arrived_at_us - answer->gap_from_us;
	return gap;
}

static void apply_answer(struct view_sync *sync, const struct view_answer *answer)
{
	struct view *view = sync->view;
	uint64_t now_us = dw_clock_now_us();
	uint64_t confirmed_at_us = 0;
	uint64_t outage_ended_at_us = 0;
	struct dw_freshness_gap gap;
	struct dw_endpoint address = { 0 };

	if (answer->has_proof)
		confirmed_at_us = dw_view_relayed_proof_us(sync->requested_at_us, answer->held_us,
							   answer->age_us, now_us);
	if (confirmed_at_us == 0) {
		fail_request(sync, "no copy");
		return;
	}
	if (answer->had_outage && answer->store_back_us < now_us)
		outage_ended_at_us = now_us - answer->store_back_us;
	finish_request(sync);
	gap = dated_gap(sync, answer, now_us);
	view_gap_found(view, &gap);
	view_peer_answered(view, outage_ended_at_us);
	peers_find(&view->peers, sync->asked, &address);
	if (!view_apply_answer(view, answer, address.ip, now_us)) {
		dw_view_source_behind(&view->source, now_us);
		return;
	}
	view_peer_current(view, confirmed_at_us, now_us);
	if (address.port > 0 && !view_is_read_from_store(view))
		log_source(sync, sync->asked, address.ip);
}

static void on_end(void *owner)
{
	struct view_sync *sync = owner;
	struct view_answer answer;
	enum dw_status status;

	http_connection_release(sync->connection);
	sync->connection = NULL;
	if (sync->status == VIEW_STATUS_ASK_STORE) {
		dw_view_source_behind(&sync->view->source, dw_clock_now_us());
		finish_request(sync);
		return;
	}
	status = view_answer_unpack((const uint8_t *)sync->body.data, sync->body.len, &answer);
	if (status != DW_OK) {
		dw_counters_add(sync->view->counters, DW_COUNTER_BAD_INPUTS, 1);
		fail_request(sync, dw_last_message());
		return;
	}
	apply_answer(sync, &answer);
	view_answer_free(&answer);
	/* The next request follows once the connection's callbacks have returned. */
	uv_timer_start(&sync->check_timer, on_check_timer, 0, CHECK_PERIOD_MS);
}

static void on_failed(void *owner, enum http_connection_failure failure)
{
	struct view_sync *sync = owner;

	sync->connection = NULL;
	fail_request(sync, http_connection_failure_name(failure));
}

static const struct http_connection_callbacks callbacks = { on_head, on_body, on_end, on_failed };

static void on_request_timeout(uv_timer_t *timer)
{
	struct view_sync *sync = timer->data;
	uint64_t timeout_ms = sync->view->source.timing.pull_timeout_us / DW_US_PER_MS;

	if (!sync->is_sent && http_connection_is_established(sync->connection)) {
		sync->is_sent = true;
		uv_timer_start(&sync->request_timer, on_request_timeout, timeout_ms + 1, 0);
		return;
	}
	http_connection_abort(sync->connection);
	fail_request(sync, "timeout");
	ask(sync);
}

static void send_request(struct view_sync *sync, const struct dw_endpoint *address)
{
	uint64_t timeout_us = sync->view->source.timing.pull_timeout_us;
	uint64_t now_us = dw_clock_now_us();
	enum view_ask asked = view_ask(sync->view, now_us);
	uint64_t after = dw_view_log_revision(sync->view->records);
	char request[REQUEST_BYTES];
	int len;

	if (asked == VIEW_ASK_ALL || dw_view_source_wants_all(&sync->view->source, now_us))
		after = 0;
	len = snprintf(request, sizeof(request),
		       "GET " VIEW_TARGET "%" PRIu64 "%s%s HTTP/1.1\r\nHost: %s:%u\r\n\r\n", after,
		       asked != VIEW_ASK_CHANGES ? VIEW_TARGET_WITH : "", view_ask_name(asked),
		       address->ip, address->port);
	sync->requested_at_us = now_us;
	dw_transfer_start(&sync->transfer, sync->requested_at_us + timeout_us,
			  sync->requested_at_us);
	sync->is_sent = false;
	sync->requests++;
	sync->connection =
		http_pool_send(sync->pool, address, 0, request, (size_t)len, &callbacks, sync);
	if (sync->connection)
		uv_timer_start(&sync->request_timer, on_request_timeout, CONNECT_TIMEOUT_MS, 0);
	else
		fail_request(sync, "no connection");
}

/* After some time alone it has seen itself what others could tell. */
static bool needs_seed(const struct view *view)
{
	if (view->confirmed_at_us == 0)
		return true;
	return view->source.wants_memory &&
	       !view_restore_has_memory(&view->restore, dw_clock_now_us());
}

/* An instance that has just started knows no other one, but where some should be. */
static void ask_seed(struct view_sync *sync)
{
	uint32_t count = peers_seed_count(&sync->view->peers);
	struct dw_endpoint address;

	if (!needs_seed(sync->view) || sync->view->source.place.members > 1 || count == 0)
		return;
	address = peers_seed(&sync->view->peers, sync->next_seed++ % count);
	send_request(sync, &address);
}

/* An instance that has started asks its source what it knows of the past. If that may have started as late, it asks the one
 * that has run for the longest, then the next one. */
static uint64_t next_source(struct view_sync *sync, uint64_t now_us)
{
	struct view *view = sync->view;
	uint64_t oldest = 0;

	view->source.wants_memory = view_asks_memory(view, now_us);
	if (view_asks_oldest(view, now_us))
		oldest = peers_oldest(&view->peers, sync->oldest_asked);
	if (oldest == 0)
		return dw_view_source_next(&view->source, now_us);
	sync->oldest_asked++;
	view->source.asked = oldest;
	return oldest;
}

/* Asks the next source, unless a request is in progress. With a copy the answer has only changes. */
static void ask(struct view_sync *sync)
{
	uint64_t now_us = dw_clock_now_us();
	struct dw_endpoint address;

	if (sync->connection || now_us < sync->requested_at_us + REQUEST_INTERVAL_US)
		return;
	if (sync->store->is_range_pending && now_us < sync->started_at_us + COPY_WAIT_US)
		return;
	if (dw_view_source_waits_for_store(&sync->view->source, now_us))
		return;
	sync->asked = next_source(sync, now_us);
	if (sync->asked == 0)
		ask_seed(sync);
	else if (peers_find(&sync->view->peers, sync->asked, &address))
		send_request(sync, &address);
	else
		dw_view_source_failed(&sync->view->source, now_us);
}

static void on_check_timer(uv_timer_t *timer)
{
	struct view_sync *sync = timer->data;
	struct dw_view_source *source = &sync->view->source;
	uint64_t now_us = dw_clock_now_us();
	bool reads = dw_view_source_reads_store(source, now_us);

	if (reads != sync->store->is_active)
		dw_log_event(sync->view->log, DW_EVENT_VIEW_READER, DW_INT("reads", reads),
			     DW_INT("rank", source->place.rank),
			     DW_INT("readers", source->place.readers),
			     DW_INT("members", source->place.members),
			     DW_INT("age_ms",
				    sync->view->confirmed_at_us > 0
					    ? (now_us - sync->view->confirmed_at_us) / DW_US_PER_MS
					    : 0));
	store_sync_set_active(sync->store, reads);
	if (reads && view_is_read_from_store(sync->view))
		log_source(sync, 0, "store");
	ask(sync);
}

void view_sync_start(struct view_sync *sync, uv_loop_t *loop, struct view *view,
		     struct store_sync *store)
{
	struct http_pool_options options = {
		.loop = loop,
		.max_idle = 1,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.unacknowledged_timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS,
		.max_head_bytes = MAX_HEAD_BYTES,
	};

	memset(sync, 0, sizeof(*sync));
	sync->view = view;
	sync->store = store;
	sync->pool = http_pool_new(&options);
	sync->logged_source = UINT64_MAX;
	sync->started_at_us = dw_clock_now_us();
	uv_random(NULL, NULL, &sync->next_seed, sizeof(sync->next_seed), 0, NULL);
	uv_timer_init(loop, &sync->request_timer);
	sync->request_timer.data = sync;
	uv_timer_init(loop, &sync->check_timer);
	sync->check_timer.data = sync;
	uv_timer_start(&sync->check_timer, on_check_timer, 0, CHECK_PERIOD_MS);
}
