#include "port/instance_list.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

static void start_read(uv_timer_t *timer)
{
	struct dw_instance_list *list = timer->data;

	list->reading = true;
	list->reads_sent++;
	list->sent_us = dw_clock_now_us();
	list->ops->read(list, list->sent_us + list->options.read_timeout_us);
}

void dw_instance_list_init(struct dw_instance_list *list, uv_loop_t *loop,
			   const struct dw_instance_list_ops *ops,
			   const struct dw_instance_list_options *options)
{
	list->ops = ops;
	list->options = *options;
	list->last_status = DW_UNAVAILABLE;
	uv_timer_init(loop, &list->timer);
	list->timer.data = list;
	uv_timer_start(&list->timer, start_read, 0, 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct dw_instance_list *list = handle->data;

	free(list->snapshot.instances);
	list->ops->free(list);
}

static void replace_snapshot(struct dw_instance_list *list, uint64_t generation,
			     struct dw_instance *instances, size_t count)
{
	free(list->snapshot.instances);
	list->snapshot = (struct dw_instance_snapshot){
		.generation = generation,
		.sent_us = list->sent_us,
		.instances = instances,
		.count = count,
	};
}

void dw_instance_list_finish_read(struct dw_instance_list *list, enum dw_status status,
				  uint64_t generation, struct dw_instance *instances, size_t count)
{
	list->reading = false;
	if (status == DW_OK && count == 0)
		status = dw_fail(DW_INVALID_ARGUMENT, "the instance list is empty");
	list->last_status = status;
	if (status == DW_OK) {
		replace_snapshot(list, generation, instances, count);
	} else {
		list->failures++;
		free(instances);
	}
	if (list->closing) {
		uv_close((uv_handle_t *)&list->timer, on_timer_closed);
		return;
	}
	uv_timer_start(&list->timer, start_read, list->options.period_us / DW_US_PER_MS, 0);
	if (list->options.on_read)
		list->options.on_read(list, status, list->options.data);
}

const struct dw_instance_snapshot *dw_instance_list_snapshot(const struct dw_instance_list *list)
{
	return list->snapshot.count ? &list->snapshot : NULL;
}

uint64_t dw_instance_list_age_us(const struct dw_instance_list *list, uint64_t now_us)
{
	return list->snapshot.count ? now_us - list->snapshot.sent_us : UINT64_MAX;
}

void dw_instance_list_free(struct dw_instance_list *list)
{
	list->closing = true;
	if (!list->reading)
		uv_close((uv_handle_t *)&list->timer, on_timer_closed);
}
