/**
 * @file standin_list.c
 * Stand-in for the platform's list of instances, which lags behind the actual state.
 *
 * POST /admin/set {"instances": [...], "lag_ms": n} replaces the list; GET /instances returns the
 * previous list until the lag has passed. POST /admin/state {"name", "state"} changes one instance,
 * with the same lag. Faults: outage (503), slow (n ms), empty (no instances), malformed (a JSON
 * string instead of an object).
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standins/json.h"
#include "standins/standin.h"

struct pending {
	struct json_object *instances;
	uint64_t visible_us;
	struct pending *next;
};

struct list {
	struct json_object *instances; /* the list that clients get */
	struct json_object *latest; /* the list that was last set */
	struct pending *pending; /* changes that aren't visible yet, oldest first */
	uint64_t generation;
	uint64_t lag_us;
	uint64_t reads;
};

static const char *const fault_kinds[] = { "outage", "slow", "empty", "malformed", NULL };

static struct list *get_list(const struct standin_request *request)
{
	return request->standin->data;
}

/* Takes ownership of @p instances. */
static void set_instances(struct list *list, struct json_object *instances)
{
	struct pending *change = calloc(1, sizeof(*change));
	struct pending **at = &list->pending;

	while (*at)
		at = &(*at)->next;
	*at = change;
	change->instances = instances;
	change->visible_us = dw_clock_now_us() + list->lag_us;
	list->latest = instances;
}

static void apply_due_changes(struct list *list)
{
	while (list->pending && list->pending->visible_us <= dw_clock_now_us()) {
		struct pending *change = list->pending;

		list->pending = change->next;
		json_object_put(list->instances);
		list->instances = change->instances;
		list->generation++;
		free(change);
	}
}

static void send_list(struct standin_request *request)
{
	struct list *list = get_list(request);
	struct json_object *body = json_object_new_object();
	bool empty = fault_set_consume(&request->standin->faults, "empty", request->path);

	apply_due_changes(list);
	list->reads++;
	json_set_u64(body, "generation", list->generation);
	json_object_object_add(body, "instances",
			       empty ? json_object_new_array() : json_object_get(list->instances));
	standin_answer(request, 200, body);
}

static void on_request(struct standin_request *request)
{
	struct fault_set *faults = &request->standin->faults;
	const struct fault *slow;

	if (strcmp(request->path, "/instances") != 0) {
		standin_answer_error(request, 404, "unknown path");
		return;
	}
	if (fault_set_consume(faults, "outage", request->path)) {
		standin_answer_error(request, 503, "the list is unavailable");
		return;
	}
	if (fault_set_consume(faults, "malformed", request->path)) {
		standin_answer(request, 200, json_object_new_string("not a list"));
		return;
	}
	slow = fault_set_consume(faults, "slow", request->path);
	if (slow)
		standin_delay(request, slow->n * DW_US_PER_MS, send_list);
	else
		send_list(request);
}

static enum dw_status set_state(struct list *list, const char *name, const char *state)
{
	struct json_object *copy = NULL;

	json_object_deep_copy(list->latest, &copy, NULL);
	for (size_t i = 0; i < json_object_array_length(copy); i++) {
		struct json_object *instance = json_object_array_get_idx(copy, i);

		if (strcmp(json_text(instance, "name", ""), name) == 0) {
			json_set_text(instance, "state", state);
			set_instances(list, copy);
			return DW_OK;
		}
	}
	json_object_put(copy);
	return dw_fail(DW_NOT_FOUND, "unknown instance: %s", name);
}

static enum dw_status replace_all(struct list *list, struct json_object *body)
{
	struct json_object *instances = json_field(body, "instances");

	if (!json_object_is_type(instances, json_type_array))
		return dw_fail(DW_INVALID_ARGUMENT, "instances isn't an array");
	list->lag_us = json_u64(body, "lag_ms", list->lag_us / DW_US_PER_MS) * DW_US_PER_MS;
	set_instances(list, json_object_get(instances));
	return DW_OK;
}

static void on_admin(struct standin_request *request)
{
	struct list *list = get_list(request);
	enum dw_status status = dw_fail(DW_NOT_FOUND, "unknown admin call");

	if (strcmp(request->path, "/admin/set") == 0)
		status = replace_all(list, request->body);
	else if (strcmp(request->path, "/admin/state") == 0)
		status = set_state(list, json_text(request->body, "name", ""),
				   json_text(request->body, "state", "live"));
	if (status == DW_OK)
		standin_answer(request, 200, json_object_new_object());
	else
		standin_answer_error(request, 400, dw_last_message());
}

static void on_stats(struct standin *standin, struct json_object *stats)
{
	struct list *list = standin->data;

	apply_due_changes(list);
	json_set_u64(stats, "generation", list->generation);
	json_set_u64(stats, "reads", list->reads);
}

int main(int argc, char **argv)
{
	static struct list list;
	struct standin standin = {
		.name = "standin_list",
		.purpose = "the platform's lagging list of instances",
		.fault_kinds = fault_kinds,
		.on_request = on_request,
		.on_admin = on_admin,
		.on_stats = on_stats,
		.data = &list,
	};
	struct standin_common common;
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", "delay until a change is visible (0)");
	int rc;

	standin_common_init(&common);
	lag->ival[0] = 0;
	void *table[] = { common.help, common.version, common.ip, common.port, lag, common.end };
	rc = standin_parse(&standin, &common, table, argc, argv);
	if (rc >= 0)
		return rc;
	list.lag_us = (uint64_t)lag->ival[0] * DW_US_PER_MS;
	list.instances = json_object_new_array();
	list.latest = list.instances;
	return standin_run(&standin, &common);
}
