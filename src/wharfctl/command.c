#include "wharfctl/command.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#include <dragonflywharf/entity.h>

#include "base/clock.h"
#include "wharfctl/command_edit.h"
#include "wharfctl/proto_json.h"

#define WAIT_TIMEOUT_US (30 * DW_US_PER_S)
#define WAIT_POLL_MS 20U

struct command {
	const char *name;
	int min_args;
	int max_args;
	const char *usage;
	enum wharfctl_exit (*run)(struct command_context *context);
};

static void print_message(const ProtobufCMessage *message)
{
	struct json_object *object = proto_json_from_message(message);

	puts(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY |
							    JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
}

static enum wharfctl_exit run_get(struct command_context *context)
{
	Dragonflywharf__GetResponse *found = NULL;
	enum dw_status status = command_read(context, context->argv[0], &found);

	if (status != DW_OK)
		return command_failed(context, status);
	print_message(&found->base);
	dragonflywharf__get_response__free_unpacked(found, NULL);
	return WHARFCTL_DONE;
}

static enum wharfctl_exit run_list(struct command_context *context)
{
	Dragonflywharf__ListRequest request = DRAGONFLYWHARF__LIST_REQUEST__INIT;
	Dragonflywharf__ListResponse *response;
	ProtobufCMessage *answer = NULL;
	enum dw_status status;

	request.prefix = context->argc > 0 ? (char *)context->argv[0] : "";
	status = operator_client_call(&context->client, "List", &request.base,
				      &dragonflywharf__list_response__descriptor, &answer);
	if (status != DW_OK)
		return command_failed(context, status);
	response = (Dragonflywharf__ListResponse *)answer;
	if (context->json) {
		print_message(answer);
	} else {
		for (size_t i = 0; i < response->n_entities; i++)
			printf("%-48s %" PRIu64 "\n", response->entities[i]->key,
			       response->entities[i]->revision);
		printf("applied up to revision %" PRIu64 "\n", response->applied_revision);
	}
	protobuf_c_message_free_unpacked(answer, NULL);
	return WHARFCTL_DONE;
}

/* An old file must not undo what another operator has raised since. */
static enum dw_status check_not_lowered(const struct command_context *context, const char *key,
					const Dragonflywharf__Entity *wanted,
					const Dragonflywharf__Entity *standing)
{
	const Dragonflywharf__Upstream *next = wanted->upstream;
	const Dragonflywharf__Upstream *now = standing->upstream;

	if (context->allow_lower || wanted->kind_case != DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM ||
	    standing->kind_case != DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM)
		return DW_OK;
	if (next->limit >= now->limit && next->cold_limit >= now->cold_limit)
		return DW_OK;
	return dw_fail(DW_INVALID_ARGUMENT,
		       "%s: the file lowers its limits from %u (cold %u) to %u (cold %u); "
		       "give --allow-lower if that is meant",
		       key, now->limit, now->cold_limit, next->limit, next->cold_limit);
}

static enum wharfctl_exit apply_entity(struct command_context *context, struct json_object *json)
{
	Dragonflywharf__Entity *entity = (Dragonflywharf__Entity *)proto_json_to_message(
		&dragonflywharf__entity__descriptor, json);
	Dragonflywharf__GetResponse *found = NULL;
	char key[DW_ENTITY_KEY_BYTES];
	enum wharfctl_exit code;
	enum dw_status status;

	if (!entity)
		return command_failed(context, DW_INVALID_ARGUMENT);
	status = dw_entity_check(entity);
	if (status == DW_OK)
		status = dw_entity_key(entity, key);
	if (status == DW_OK)
		status = command_read(context, key, &found);
	if (status == DW_OK)
		status = check_not_lowered(context, key, entity, found->entity);
	if (status == DW_OK || status == DW_NOT_FOUND)
		code = command_put(context, entity, found ? found->revision : 0);
	else
		code = command_failed(context, status);
	if (found)
		dragonflywharf__get_response__free_unpacked(found, NULL);
	dragonflywharf__entity__free_unpacked(entity, NULL);
	return code;
}

static enum wharfctl_exit run_apply(struct command_context *context)
{
	struct json_object *root = json_object_from_file(context->argv[0]);
	struct json_object *entities;
	enum wharfctl_exit code = WHARFCTL_DONE;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "entities", &entities) ||
	    !json_object_is_type(entities, json_type_array)) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: expected {\"entities\": [...]}",
			context->argv[0]);
		json_object_put(root);
		return command_failed(context, DW_INVALID_ARGUMENT);
	}
	for (size_t i = 0; code == WHARFCTL_DONE && i < json_object_array_length(entities); i++)
		code = apply_entity(context, json_object_array_get_idx(entities, i));
	json_object_put(root);
	return code;
}

static enum dw_status fetch_status(struct command_context *context,
				   Dragonflywharf__StatusResponse **out)
{
	Dragonflywharf__StatusRequest request = DRAGONFLYWHARF__STATUS_REQUEST__INIT;
	ProtobufCMessage *answer = NULL;
	enum dw_status status =
		operator_client_call(&context->client, "Status", &request.base,
				     &dragonflywharf__status_response__descriptor, &answer);

	*out = (Dragonflywharf__StatusResponse *)answer;
	return status;
}

static void print_status(const Dragonflywharf__StatusResponse *status)
{
	printf("instance %s, configuration revision %" PRIu64 ", store %s\n", status->instance,
	       status->applied_revision, status->store_reachable ? "reachable" : "not reachable");
	for (size_t i = 0; i < status->n_members; i++)
		printf("member %-24s %-16s %-8s revision %" PRIu64 "\n",
		       status->members[i]->instance, status->members[i]->failure_domain,
		       status->members[i]->state, status->members[i]->applied_revision);
	for (size_t i = 0; i < status->n_upstreams; i++) {
		const Dragonflywharf__UpstreamStatus *upstream = status->upstreams[i];

		printf("upstream %-22s %-5s in flight %u, owns %u, lent %u, borrowed %u\n",
		       upstream->name, upstream->cold ? "cold" : "warm", upstream->in_flight,
		       upstream->owned_share, upstream->lent, upstream->borrowed);
	}
	for (size_t i = 0; i < status->n_versions; i++)
		printf("version %s/%s %s, %" PRIu64 " answers, %" PRIu64 " bad\n",
		       status->versions[i]->model, status->versions[i]->name,
		       status->versions[i]->held ? "held" : "not held",
		       status->versions[i]->answers, status->versions[i]->bad_answers);
}

static enum wharfctl_exit run_status(struct command_context *context)
{
	Dragonflywharf__StatusResponse *response = NULL;
	enum dw_status status = fetch_status(context, &response);

	if (status != DW_OK)
		return command_failed(context, status);
	if (context->json)
		print_message(&response->base);
	else
		print_status(response);
	dragonflywharf__status_response__free_unpacked(response, NULL);
	return WHARFCTL_DONE;
}

/* The lowest revision that a live member tells. */
static uint64_t lowest_revision(const Dragonflywharf__StatusResponse *response)
{
	uint64_t lowest = response->applied_revision;

	for (size_t i = 0; i < response->n_members; i++) {
		const Dragonflywharf__MemberStatus *member = response->members[i];

		if (strcmp(member->state, "dead") != 0 && member->applied_revision < lowest)
			lowest = member->applied_revision;
	}
	return lowest;
}

static enum wharfctl_exit run_wait(struct command_context *context)
{
	uint64_t deadline_us = dw_clock_now_us() + WAIT_TIMEOUT_US;
	const char *text = context->argv[0];
	char *end;
	uint64_t wanted = strtoull(text, &end, 10);

	if (*text < '0' || *text > '9' || *end != '\0') {
		dw_fail(DW_INVALID_ARGUMENT, "not a revision: %s", text);
		return command_failed(context, DW_INVALID_ARGUMENT);
	}
	while (dw_clock_now_us() < deadline_us) {
		Dragonflywharf__StatusResponse *response = NULL;
		enum dw_status status = fetch_status(context, &response);
		uint64_t lowest;

		if (status != DW_OK)
			return command_failed(context, status);
		lowest = lowest_revision(response);
		dragonflywharf__status_response__free_unpacked(response, NULL);
		if (lowest >= wanted) {
			printf("revision %" PRIu64 " is in force on all members\n", lowest);
			return WHARFCTL_DONE;
		}
		uv_sleep(WAIT_POLL_MS);
	}
	dw_fail(DW_TIMEOUT, "revision %" PRIu64 " isn't in force on all members", wanted);
	return command_failed(context, DW_TIMEOUT);
}

static enum wharfctl_exit run_usage(struct command_context *context)
{
	Dragonflywharf__UsageRequest request = DRAGONFLYWHARF__USAGE_REQUEST__INIT;
	Dragonflywharf__UsageResponse *response;
	ProtobufCMessage *answer = NULL;
	enum dw_status status;

	request.organisation = context->argc > 0 ? (char *)context->argv[0] : "";
	status = operator_client_call(&context->client, "Usage", &request.base,
				      &dragonflywharf__usage_response__descriptor, &answer);
	if (status != DW_OK)
		return command_failed(context, status);
	response = (Dragonflywharf__UsageResponse *)answer;
	if (context->json)
		print_message(answer);
	for (size_t i = 0; !context->json && i < response->n_totals; i++) {
		const Dragonflywharf__UsageTotal *total = response->totals[i];

		printf("%-20s %-28s %" PRIu64 " requests, %" PRIu64 " + %" PRIu64
		       " tokens, %" PRIu64 " millionths\n",
		       total->organisation, total->version, total->requests, total->prompt_tokens,
		       total->completion_tokens, total->cost_micros);
	}
	protobuf_c_message_free_unpacked(answer, NULL);
	return WHARFCTL_DONE;
}

static enum wharfctl_exit run_hash(struct command_context *context)
{
	uint8_t hash[crypto_hash_sha256_BYTES];
	char text[2 * crypto_hash_sha256_BYTES + 1];

	crypto_hash_sha256(hash, (const uint8_t *)context->argv[0], strlen(context->argv[0]));
	puts(sodium_bin2hex(text, sizeof(text), hash, sizeof(hash)));
	return WHARFCTL_DONE;
}

static const struct command commands[] = {
	{ "get", 1, 1, "KEY: prints one entity and its revision", run_get },
	{ "list", 0, 1, "[PREFIX]: lists the configuration in force", run_list },
	{ "apply", 1, 1,
	  "FILE: writes the entities of a JSON file in order, up to the first refusal", run_apply },
	{ "withdraw", 1, 1, "MODEL/VERSION: takes no new work from now on", command_withdraw },
	{ "live", 1, 1, "MODEL/VERSION: takes work again", command_live },
	{ "weight", 2, 2, "MODEL/VERSION N: its share of new sessions", command_weight },
	{ "release", 1, 1, "MODEL/VERSION: ends an automatic hold", command_release },
	{ "limit", 2, 3, "UPSTREAM N [COLD]: requests in flight, warm and cold", command_limit },
	{ "leave", 1, 1, "UPSTREAM: takes no new work from now on", command_leave },
	{ "return", 1, 1, "UPSTREAM: takes work again", command_return },
	{ "drain", 1, 1, "FAILURE_DOMAIN: takes no new work from now on", command_drain },
	{ "restore", 1, 1, "FAILURE_DOMAIN: takes work again", command_restore },
	{ "allow", 2, 2, "ORGANISATION MODEL[/VERSION]: permits", command_allow },
	{ "forbid", 2, 2, "ORGANISATION MODEL[/VERSION]: takes a permission back", command_forbid },
	{ "status", 0, 0, ": members, upstreams and versions as one instance sees them",
	  run_status },
	{ "usage", 0, 1, "[ORGANISATION]: totals of the usage ledger", run_usage },
	{ "wait", 1, 1, "REVISION: waits until it is in force on all members", run_wait },
	{ "hash-key", 1, 1, "KEY: the hash of a bearer key, for the configuration", run_hash },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

enum wharfctl_exit command_run(struct command_context *context, const char *name)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		const struct command *command = &commands[i];

		if (strcmp(command->name, name) != 0)
			continue;
		if (context->argc >= command->min_args && context->argc <= command->max_args)
			return command->run(context);
		fprintf(stderr, "wharfctl: %s %s\n", command->name, command->usage);
		return WHARFCTL_USAGE;
	}
	fprintf(stderr, "wharfctl: no command %s; see --help\n", name);
	return WHARFCTL_USAGE;
}

void command_list(FILE *out)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name, commands[i].usage);
}
