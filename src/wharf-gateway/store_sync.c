#include "wharf-gateway/store_sync.h"

#include <string.h>

#include "base/clock.h"
#include "base/random.h"

#define READ_TIMEOUT_MIN_US (700 * DW_US_PER_MS)
#define READ_TIMEOUT_MAX_US (4 * DW_US_PER_S)
#define RETRY_MIN_MS 60
#define RETRY_MAX_MS 800

static void sync_begin(struct store_sync *sync);

static void on_retry(uv_timer_t *timer)
{
	sync_begin(timer->data);
}

static void retry_later(struct store_sync *sync, enum dw_status reason)
{
	uint32_t doublings = sync->failures < 4 ? sync->failures : 4;
	uint64_t pause_ms = RETRY_MIN_MS << doublings;

	if (!sync->is_active)
		return;
	if (pause_ms > RETRY_MAX_MS)
		pause_ms = RETRY_MAX_MS;
	/* While the store is away, only the readers look for it often. */
	if (!dw_view_source_is_reader(&sync->view->source))
		pause_ms = sync->view->source.timing.retry_us / DW_US_PER_MS;
	sync->failures++;
	view_store_lost(sync->view, reason, sync->store->abandoned_bytes, dw_clock_now_us());
	/* Jitter: a random pause of at least half, so that instances don't reconnect together. */
	uv_timer_start(&sync->retry_timer, on_retry,
		       pause_ms / 2 + dw_random_next(&sync->random) % (pause_ms / 2 + 1), 0);
}

static void report_bad_era(struct store_sync *sync)
{
	if (sync->is_bad_era_logged || sync->store->era.bad_answers == 0)
		return;
	sync->is_bad_era_logged = true;
	dw_log_event(sync->view->log, DW_EVENT_INPUT_REFUSED, DW_STR("key", "store era"),
		     DW_STR("reason", "missing, no number, or lower than one before"),
		     DW_INT("era", dw_era_name(sync->store->era.newest)));
}

static void on_events(struct dw_store_watch *watch, const struct dw_store_event *events,
		      size_t count, void *data)
{
	struct store_sync *sync = data;

	view_store_answered(sync->view, dw_clock_now_us());
	for (size_t i = 0; i < count; i++)
		view_apply(sync->view, &events[i], dw_clock_now_us());
}

static void on_up_to_date(struct dw_store_watch *watch, uint64_t revision, uint64_t confirmed_at_us,
			  void *data)
{
	struct store_sync *sync = data;

	uint64_t now_us = dw_clock_now_us();

	report_bad_era(sync);
	sync->failures = 0;
	sync->stale_in_a_row = 0;
	view_store_answered(sync->view, now_us);
	view_store_current(sync->view, revision, confirmed_at_us, now_us);
	if (!view_restore_is_settling_due(&sync->view->restore, now_us))
		return;
	dw_store_watch_cancel(sync->store, sync->watch);
	sync->watch = NULL;
	sync->is_history_lost = true;
	sync_begin(sync);
}

static void on_ended(struct dw_store_watch *watch, enum dw_status status, uint64_t next_revision,
		     void *data)
{
	struct store_sync *sync = data;

	sync->watch = NULL;
	sync->is_history_lost = status == DW_STALE;
	view_gap_found(sync->view, &sync->store->unheard);
	/* The store is there, and all instances wait for its readers. Only a second time in a row is a loop. */
	if (status == DW_STALE && sync->stale_in_a_row++ == 0)
		sync->failures = 0;
	retry_later(sync, status);
}

static void watch_start(struct store_sync *sync)
{
	struct dw_store_watch_options options = {
		.prefix = "",
		.from_revision = dw_view_log_revision(sync->view->records) + 1,
		.deadline_us = UINT64_MAX,
		.on_events = on_events,
		.on_up_to_date = on_up_to_date,
		.min_poll_interval_us = sync->view->source.timing.poll_interval_us,
		.on_ended = on_ended,
		.data = sync,
	};

	sync->watch = dw_store_watch(sync->store, &options);
}

static void on_all_read(const struct dw_store_range_result *result, void *data)
{
	struct store_sync *sync = data;
	uint64_t now_us = dw_clock_now_us();

	sync->is_range_pending = false;
	if (result->status != DW_OK) {
		retry_later(sync, result->status);
		return;
	}
	view_store_answered(sync->view, now_us);
	if (view_accepts_reading(sync->view, result->revision, sync->known_before, now_us)) {
		view_apply_all(sync->view, result->entries, result->count, result->revision,
			       now_us);
		view_store_current(sync->view, result->revision, sync->read_started_at_us, now_us);
	}
	sync->is_history_lost = false;
	if (sync->is_active)
		watch_start(sync);
}

static uint64_t read_timeout_us(const struct store_sync *sync)
{
	uint64_t timeout_us = READ_TIMEOUT_MIN_US << (sync->failures < 4 ? sync->failures : 4);

	return timeout_us < READ_TIMEOUT_MAX_US ? timeout_us : READ_TIMEOUT_MAX_US;
}

static void sync_begin(struct store_sync *sync)
{
	if (sync->watch || sync->is_range_pending)
		return;
	if (!sync->is_history_lost && dw_view_log_revision(sync->view->records) > 0) {
		watch_start(sync);
		return;
	}
	sync->read_started_at_us = dw_clock_now_us();
	sync->known_before = dw_view_log_revision(sync->view->records);
	sync->is_range_pending = true;
	dw_store_range(sync->store, "", 0, sync->read_started_at_us + read_timeout_us(sync),
		       on_all_read, sync);
}

static void on_copy_read(const struct dw_store_range_result *result, void *data)
{
	struct store_sync *sync = data;
	struct view *view = sync->view;

	sync->is_range_pending = false;
	/* Other instances may have been faster. */
	if (result->status == DW_OK && dw_view_log_revision(view->records) == 0)
		view_apply_all(view, result->entries, result->count, result->revision,
			       dw_clock_now_us());
	if (!sync->is_active)
		return;
	if (result->status == DW_OK)
		sync_begin(sync);
	else
		retry_later(sync, result->status);
}

void store_sync_read_copy(struct store_sync *sync)
{
	sync->is_range_pending = true;
	dw_store_read_copy(sync->store, "", dw_clock_now_us() + READ_TIMEOUT_MAX_US, on_copy_read,
			   sync);
}

void store_sync_init(struct store_sync *sync, uv_loop_t *loop, struct dw_store *store,
		     struct view *view, uint64_t seed)
{
	memset(sync, 0, sizeof(*sync));
	sync->store = store;
	sync->view = view;
	sync->random = seed;
	uv_timer_init(loop, &sync->retry_timer);
	sync->retry_timer.data = sync;
}

void store_sync_set_active(struct store_sync *sync, bool is_active)
{
	if (sync->is_active == is_active)
		return;
	sync->is_active = is_active;
	if (is_active) {
		sync->failures = 0;
		sync_begin(sync);
		return;
	}
	uv_timer_stop(&sync->retry_timer);
	if (sync->watch)
		dw_store_watch_cancel(sync->store, sync->watch);
	sync->watch = NULL;
}
