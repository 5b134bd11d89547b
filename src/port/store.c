#include "port/store.h"

void dw_store_get(struct dw_store *store, const char *key, uint64_t deadline_us,
		  dw_store_range_done done, void *data)
{
	struct dw_store_range range = { .prefix = key, .exact = true, .deadline_us = deadline_us };

	store->ops->range(store, &range, done, data);
}

void dw_store_range(struct dw_store *store, const char *prefix, uint64_t from_revision,
		    uint64_t deadline_us, dw_store_range_done done, void *data)
{
	struct dw_store_range range = {
		.prefix = prefix,
		.from_revision = from_revision,
		.deadline_us = deadline_us,
	};

	store->ops->range(store, &range, done, data);
}

void dw_store_read_copy(struct dw_store *store, const char *prefix, uint64_t deadline_us,
			dw_store_range_done done, void *data)
{
	struct dw_store_range range = {
		.prefix = prefix,
		.may_be_stale = true,
		.deadline_us = deadline_us,
	};

	store->ops->range(store, &range, done, data);
}

void dw_store_forget_history(struct dw_store *store)
{
	store->restores++;
	store->revision = 0;
}

void dw_store_put(struct dw_store *store, const struct dw_store_put *put, dw_store_put_done done,
		  void *data)
{
	store->ops->put(store, put, done, data);
}

void dw_store_lease_grant(struct dw_store *store, uint64_t ttl_s, uint64_t deadline_us,
			  dw_store_lease_done done, void *data)
{
	store->ops->lease_grant(store, ttl_s, deadline_us, done, data);
}

void dw_store_lease_keep_alive(struct dw_store *store, uint64_t lease_id, uint64_t deadline_us,
			       dw_store_lease_done done, void *data)
{
	store->ops->lease_keep_alive(store, lease_id, deadline_us, done, data);
}

struct dw_store_watch *dw_store_watch(struct dw_store *store,
				      const struct dw_store_watch_options *options)
{
	return store->ops->watch(store, options);
}

void dw_store_watch_cancel(struct dw_store *store, struct dw_store_watch *watch)
{
	store->ops->watch_cancel(watch);
}

uint64_t dw_store_calls(const struct dw_store *store)
{
	uint64_t calls = 0;

	for (int verb = 0; verb < DW_STORE_VERB_COUNT; verb++)
		calls += store->calls[verb];
	return calls;
}

const char *dw_store_outcome_name(enum dw_store_outcome outcome)
{
	static const char *const names[DW_STORE_OUTCOME_COUNT] = {
		[DW_STORE_DONE] = "done",	[DW_STORE_CONFLICT] = "conflict",
		[DW_STORE_UNKNOWN] = "unknown", [DW_STORE_UNAVAILABLE] = "unavailable",
		[DW_STORE_REFUSED] = "refused",
	};

	if ((unsigned int)outcome >= DW_STORE_OUTCOME_COUNT)
		return "unknown";
	return names[outcome];
}
