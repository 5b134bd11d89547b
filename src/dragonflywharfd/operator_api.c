#include "dragonflywharfd/operator_api.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "dragonflywharfd/config_sync.h"
#include "dragonflywharfd/error_reply.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/metrics.h"
#include "dragonflywharfd/operator_put.h"
#include "dragonflywharfd/operator_reply.h"
#include "dragonflywharfd/upstream_table.h"

#define SERVICE_PATH_PREFIX "/dragonflywharf.Operator/"
#define METRICS_PATH "/metrics"
#define BEARER_PREFIX "Bearer "
#define CALL_TIMEOUT_US (2 * DW_US_PER_S)
#define MAX_BODY_BYTES (1U << 20)
#define LIST_ENTITIES_MAX 32768U

typedef void (*method_handler)(struct daemon *daemon, struct dw_http_exchange *exchange,
			       const uint8_t *body, size_t len);

struct method {
	const char *name;
	method_handler handle;
};

static void *allocate(size_t count, size_t size)
{
	void *out = calloc(count ? count : 1, size);

	if (!out)
		abort();
	return out;
}

void operator_reply(struct dw_http_exchange *exchange, const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *bytes = allocate(len + 1, 1);

	protobuf_c_message_pack(message, bytes);
	dw_http_respond(exchange, 200, "application/proto", (const char *)bytes, len);
	free(bytes);
}

static void reply_error(struct daemon *daemon, struct dw_http_exchange *exchange,
			enum dw_status status, const char *message)
{
	dw_counters_add(&daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
	dw_log_event(&daemon->log, DW_EVENT_INPUT_REFUSED, DW_STR("path", dw_http_path(exchange)),
		     DW_STR("status", dw_status_name(status)), DW_STR("message", message));
	error_reply(exchange, status, NOT_RUN_PROVEN, message);
}

static void handle_put(struct daemon *daemon, struct dw_http_exchange *exchange,
		       const uint8_t *body, size_t len)
{
	Dragonflywharf__PutRequest *request = dragonflywharf__put_request__unpack(NULL, len, body);

	if (!request)
		reply_error(daemon, exchange, DW_INVALID_ARGUMENT, "body: expected a PutRequest");
	else
		operator_put_start(daemon, exchange, request);
}

/* A read of the store for an operator, who may disconnect before it ends. */
struct operator_read {
	struct daemon *daemon;
	struct dw_http_exchange *exchange; /* NULL if the operator has disconnected */
	char *filter; /* organisation of a usage request; "" for all */
};

static void on_disconnect(struct dw_http_exchange *exchange, void *data)
{
	struct operator_read *read = data;

	read->exchange = NULL;
}

static struct operator_read *
operator_read_new(struct daemon *daemon, struct dw_http_exchange *exchange, const char *filter)
{
	struct operator_read *read = allocate(1, sizeof(*read));

	read->daemon = daemon;
	read->exchange = exchange;
	read->filter = strdup(filter);
	dw_http_on_disconnect(exchange, on_disconnect, read);
	return read;
}

static void operator_read_free(struct operator_read *read)
{
	free(read->filter);
	free(read);
}

static void on_get(const struct dw_store_range_result *result, void *data)
{
	struct operator_read *read = data;
	Dragonflywharf__GetResponse response = DRAGONFLYWHARF__GET_RESPONSE__INIT;

	if (read->exchange && result->status != DW_OK) {
		error_reply(read->exchange, result->status, NOT_RUN_PROVEN,
			    result->status == DW_NOT_FOUND ? "no such entity"
							   : "can't read the key-value service");
	} else if (read->exchange) {
		const struct dw_store_entry *entry = &result->entries[0];

		response.entity =
			dragonflywharf__entity__unpack(NULL, entry->value_len, entry->value);
		response.revision = entry->mod_revision;
		operator_reply(read->exchange, &response.base);
		if (response.entity)
			dragonflywharf__entity__free_unpacked(response.entity, NULL);
	}
	operator_read_free(read);
}

static void handle_get(struct daemon *daemon, struct dw_http_exchange *exchange,
		       const uint8_t *body, size_t len)
{
	Dragonflywharf__GetRequest *request = dragonflywharf__get_request__unpack(NULL, len, body);
	char key[DW_ENTITY_KEY_BYTES + sizeof(CONFIG_PREFIX)];

	if (!request || strlen(request->key) >= DW_ENTITY_KEY_BYTES) {
		reply_error(daemon, exchange, DW_INVALID_ARGUMENT,
			    "body: not a GetRequest, or its key is too long");
	} else {
		snprintf(key, sizeof(key), CONFIG_PREFIX "%s", request->key);
		dw_store_get(daemon->store, key, dw_clock_now_us() + CALL_TIMEOUT_US, on_get,
			     operator_read_new(daemon, exchange, ""));
	}
	if (request)
		dragonflywharf__get_request__free_unpacked(request, NULL);
}

struct listing {
	Dragonflywharf__ListedEntity **items;
	size_t count;
};

static void list_item(const struct dw_ruleset_item *item, void *data)
{
	struct listing *listing = data;
	Dragonflywharf__ListedEntity *listed;

	if (listing->count == LIST_ENTITIES_MAX)
		return;
	listed = allocate(1, sizeof(*listed));
	dragonflywharf__listed_entity__init(listed);
	listed->key = strdup(item->key);
	listed->revision = item->mod_revision;
	listed->entity = dragonflywharf__entity__unpack(NULL, item->len, item->bytes);
	listing->items[listing->count++] = listed;
}

static int compare_listed(const void *a, const void *b)
{
	const Dragonflywharf__ListedEntity *const *first = a;
	const Dragonflywharf__ListedEntity *const *second = b;

	return strcmp((*first)->key, (*second)->key);
}

static void handle_list(struct daemon *daemon, struct dw_http_exchange *exchange,
			const uint8_t *body, size_t len)
{
	Dragonflywharf__ListRequest *request =
		dragonflywharf__list_request__unpack(NULL, len, body);
	Dragonflywharf__ListResponse response = DRAGONFLYWHARF__LIST_RESPONSE__INIT;
	struct listing listing = { .count = 0 };

	if (!request) {
		reply_error(daemon, exchange, DW_INVALID_ARGUMENT, "body: expected a ListRequest");
		return;
	}
	listing.items = allocate(LIST_ENTITIES_MAX, sizeof(*listing.items));
	dw_ruleset_visit_prefix(daemon->ruleset, request->prefix, list_item, &listing);
	qsort(listing.items, listing.count, sizeof(*listing.items), compare_listed);
	response.n_entities = listing.count;
	response.entities = listing.items;
	response.applied_revision = dw_ruleset_revision(daemon->ruleset);
	operator_reply(exchange, &response.base);
	for (size_t i = 0; i < listing.count; i++)
		dragonflywharf__listed_entity__free_unpacked(listing.items[i], NULL);
	free(listing.items);
	dragonflywharf__list_request__free_unpacked(request, NULL);
}

static void add_members(struct daemon *daemon, Dragonflywharf__StatusResponse *response)
{
	static const char *const states[DW_MEMBER_STATE_COUNT] = {
		[DW_MEMBER_ALIVE] = "alive",
		[DW_MEMBER_LEAVING] = "leaving",
		[DW_MEMBER_SUSPECT] = "suspect",
		[DW_MEMBER_DEAD] = "dead",
	};
	size_t count = dw_membership_count(daemon->membership);

	response->members = allocate(count, sizeof(*response->members));
	for (size_t i = 0; i < count; i++) {
		const struct dw_member *member = dw_membership_at(daemon->membership, i);
		Dragonflywharf__MemberStatus *status = allocate(1, sizeof(*status));

		dragonflywharf__member_status__init(status);
		status->instance = strdup(member->name);
		status->failure_domain = strdup(member->failure_domain);
		status->state = strdup(states[member->state]);
		status->incarnation = member->key.incarnation;
		status->applied_revision = member->applied_revision;
		response->members[response->n_members++] = status;
	}
}

struct status_context {
	struct daemon *daemon;
	Dragonflywharf__StatusResponse *response;
};

static void add_upstream(struct upstream *upstream, void *data)
{
	struct status_context *context = data;
	Dragonflywharf__StatusResponse *response = context->response;
	struct dw_limiter_status limiter_status = { 0 };
	Dragonflywharf__UpstreamStatus *status = allocate(1, sizeof(*status));

	dw_limiter_upstream_status(context->daemon->limiter, upstream->id, &limiter_status);
	dragonflywharf__upstream_status__init(status);
	status->name = strdup(upstream->name);
	status->cold = upstream->reported_cold;
	status->in_flight = limiter_status.in_flight;
	status->owned_share = limiter_status.owned;
	status->lent = limiter_status.lent;
	status->borrowed = limiter_status.borrowed;
	response->upstreams = realloc(response->upstreams,
				      (response->n_upstreams + 1) * sizeof(*response->upstreams));
	if (!response->upstreams)
		abort();
	response->upstreams[response->n_upstreams++] = status;
}

static void add_version(const struct dw_ruleset_item *item, void *data)
{
	struct status_context *context = data;
	Dragonflywharf__StatusResponse *response = context->response;
	Dragonflywharf__Entity *entity =
		dragonflywharf__entity__unpack(NULL, item->len, item->bytes);
	Dragonflywharf__VersionStatus *status;
	struct dw_rollout_totals totals = { 0 };
	uint64_t id;

	if (!entity || entity->kind_case != DRAGONFLYWHARF__ENTITY__KIND_VERSION)
		return;
	id = XXH64(entity->version->model, strlen(entity->version->model), 0);
	id = XXH64(entity->version->name, strlen(entity->version->name), id);
	dw_rollout_get_totals(context->daemon->rollout, id, &totals);
	status = allocate(1, sizeof(*status));
	dragonflywharf__version_status__init(status);
	status->model = strdup(entity->version->model);
	status->name = strdup(entity->version->name);
	status->held = totals.held;
	status->answers = totals.answers;
	status->bad_answers = totals.bad + totals.errors;
	response->versions = realloc(response->versions,
				     (response->n_versions + 1) * sizeof(*response->versions));
	if (!response->versions)
		abort();
	response->versions[response->n_versions++] = status;
	dragonflywharf__entity__free_unpacked(entity, NULL);
}

static void handle_status(struct daemon *daemon, struct dw_http_exchange *exchange,
			  const uint8_t *body, size_t len)
{
	Dragonflywharf__StatusResponse *response = allocate(1, sizeof(*response));
	struct status_context context = { .daemon = daemon, .response = response };

	dragonflywharf__status_response__init(response);
	response->instance = strdup(daemon->settings.instance);
	response->applied_revision = dw_ruleset_revision(daemon->ruleset);
	response->store_reachable = config_sync_is_store_reachable(daemon->config_sync);
	add_members(daemon, response);
	upstream_table_each(daemon->upstreams, add_upstream, &context);
	dw_ruleset_visit_prefix(daemon->ruleset, "version/", add_version, &context);
	operator_reply(exchange, &response->base);
	dragonflywharf__status_response__free_unpacked(response, NULL);
}

struct usage_context {
	Dragonflywharf__UsageResponse response;
	const char *organisation; /* "" for all */
};

static void add_total(const struct dw_ledger_total *total, void *data)
{
	struct usage_context *context = data;
	Dragonflywharf__UsageTotal *out;
	char version[2 * DW_USAGE_NAME_BYTES];

	if (context->organisation[0] && strcmp(context->organisation, total->organisation) != 0)
		return;
	out = allocate(1, sizeof(*out));
	dragonflywharf__usage_total__init(out);
	snprintf(version, sizeof(version), "%s%s%s", total->model, total->version[0] ? "/" : "",
		 total->version);
	out->organisation = strdup(total->organisation);
	out->version = strdup(version);
	out->requests = total->requests;
	out->prompt_tokens = total->prompt_tokens;
	out->completion_tokens = total->completion_tokens;
	out->cost_micros = total->cost_micros;
	context->response.totals = realloc(context->response.totals,
					   (context->response.n_totals + 1) * sizeof(void *));
	if (!context->response.totals)
		abort();
	context->response.totals[context->response.n_totals++] = out;
}

static void reply_usage(struct operator_read *read, const struct dw_store_range_result *result)
{
	struct dw_ledger_fold *fold = dw_ledger_fold_new();
	struct usage_context context = { .organisation = read->filter };

	dragonflywharf__usage_response__init(&context.response);
	for (size_t i = 0; i < result->count; i++)
		dw_ledger_fold_batch(fold, result->entries[i].value, result->entries[i].value_len);
	dw_ledger_fold_totals(fold, add_total, &context);
	operator_reply(read->exchange, &context.response.base);
	for (size_t i = 0; i < context.response.n_totals; i++)
		dragonflywharf__usage_total__free_unpacked(context.response.totals[i], NULL);
	free(context.response.totals);
	dw_ledger_fold_free(fold);
}

static void on_usage(const struct dw_store_range_result *result, void *data)
{
	struct operator_read *read = data;

	if (read->exchange && result->status == DW_OK)
		reply_usage(read, result);
	else if (read->exchange)
		error_reply(read->exchange, result->status, NOT_RUN_PROVEN,
			    "can't read the key-value service");
	operator_read_free(read);
}

static void handle_usage(struct daemon *daemon, struct dw_http_exchange *exchange,
			 const uint8_t *body, size_t len)
{
	Dragonflywharf__UsageRequest *request =
		dragonflywharf__usage_request__unpack(NULL, len, body);

	if (!request) {
		reply_error(daemon, exchange, DW_INVALID_ARGUMENT, "body: expected a UsageRequest");
		return;
	}
	dw_store_range(daemon->store, USAGE_PREFIX, 0, dw_clock_now_us() + CALL_TIMEOUT_US,
		       on_usage, operator_read_new(daemon, exchange, request->organisation));
	dragonflywharf__usage_request__free_unpacked(request, NULL);
}

static const struct method methods[] = {
	{ "Put", handle_put },	     { "Get", handle_get },	{ "List", handle_list },
	{ "Status", handle_status }, { "Usage", handle_usage },
};

static bool is_authenticated(struct daemon *daemon, struct dw_http_exchange *exchange)
{
	const char *header = dw_http_header(exchange, "authorization");
	uint8_t hash[DW_KEY_HASH_BYTES];

	if (!header || strncmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return false;
	header += strlen(BEARER_PREFIX);
	crypto_hash_sha256(hash, (const uint8_t *)header, strlen(header));
	return sodium_memcmp(hash, daemon->settings.operator_key_hash, sizeof(hash)) == 0;
}

static void call_method(struct daemon *daemon, struct dw_http_exchange *exchange, const char *name)
{
	size_t len;
	const char *body = dw_http_body(exchange, &len);

	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (strcmp(methods[i].name, name) != 0)
			continue;
		methods[i].handle(daemon, exchange, (const uint8_t *)body, len);
		return;
	}
	reply_error(daemon, exchange, DW_NOT_FOUND, "no such method");
}

static void reply_metrics(struct daemon *daemon, struct dw_http_exchange *exchange)
{
	size_t len = 0;
	char *text = metrics_text(daemon, &len);

	dw_http_respond(exchange, 200, "text/plain; version=0.0.4", text ? text : "", len);
	free(text);
}

static void on_request(struct dw_http_exchange *exchange, void *data)
{
	struct daemon *daemon = data;
	const char *path = dw_http_path(exchange);

	if (strcmp(path, METRICS_PATH) == 0)
		reply_metrics(daemon, exchange);
	else if (!is_authenticated(daemon, exchange))
		reply_error(daemon, exchange, DW_UNAUTHENTICATED,
			    "unknown or missing operator key");
	else if (strncmp(path, SERVICE_PATH_PREFIX, strlen(SERVICE_PATH_PREFIX)) != 0 ||
		 strcmp(dw_http_method(exchange), "POST") != 0)
		reply_error(daemon, exchange, DW_NOT_FOUND, "no such path");
	else
		call_method(daemon, exchange, path + strlen(SERVICE_PATH_PREFIX));
}

enum dw_status operator_api_start(struct daemon *daemon)
{
	struct dw_http_options options = {
		.ip = daemon->settings.ip,
		.port = (uint16_t)daemon->settings.operator_port,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = on_request,
		.data = daemon,
	};

	return dw_http_server_start(&daemon->operator_server, &daemon->loop, &options);
}
