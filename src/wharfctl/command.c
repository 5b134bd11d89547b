#include "wharfctl/command.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#include <dragonflywharf/entity.h>

#include "base/clock.h"
#include "wharfctl/command_check.h"
#include "wharfctl/command_gateways.h"
#include "wharfctl/command_edit.h"
#include "wharfctl/config_file.h"
#include "wharfctl/proto_json.h"

#define WAIT_TIMEOUT_US (30 * DW_US_PER_S)
#define WAIT_POLL_MS 20U
#define GATEWAYS_MAX 7

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
	enum dw_status status = command_get_entity(context, context->argv[0], &found);

	if (status != DW_OK)
		return command_report_failure(context, status);
	print_message(&found->base);
	dragonflywharf__get_response__free_unpacked(found, NULL);
	return WHARFCTL_DONE;
}

static enum wharfctl_exit run_list(struct command_context *context)
{
	Dragonflywharf__ListRequest request = DRAGONFLYWHARF__LIST_REQUEST__INIT;
	Dragonflywharf__ListResponse *response;
	ProtobufCMessage *message = NULL;
	enum dw_status status;

	request.prefix = context->argc > 0 ? (char *)context->argv[0] : "";
	status = operator_client_call(&context->client, "List", &request.base,
				      &dragonflywharf__list_response__descriptor, &message);
	if (status != DW_OK)
		return command_report_failure(context, status);
	response = (Dragonflywharf__ListResponse *)message;
	if (context->json) {
		print_message(message);
	} else {
		for (size_t i = 0; i < response->n_entities; i++)
			printf("%-48s %" PRIu64 "\n", response->entities[i]->key,
			       response->entities[i]->revision);
		printf("applied up to revision %" PRIu64 "\n", response->applied_revision);
	}
	protobuf_c_message_free_unpacked(message, NULL);
	return WHARFCTL_DONE;
}

/* Keeps an outdated file from undoing a limit that another operator has raised in the meantime. */
static enum dw_status check_limits_not_lowered(const struct command_context *context,
					       const char *key,
					       const Dragonflywharf__Entity *wanted,
					       const Dragonflywharf__Entity *existing)
{
	const Dragonflywharf__Upstream *new_upstream = wanted->upstream;
	const Dragonflywharf__Upstream *old_upstream = existing->upstream;

	if (context->allow_lower || wanted->kind_case != DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM ||
	    existing->kind_case != DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM)
		return DW_OK;
	if (new_upstream->limit >= old_upstream->limit &&
	    new_upstream->cold_limit >= old_upstream->cold_limit)
		return DW_OK;
	return dw_fail(DW_INVALID_ARGUMENT,
		       "%s: the file would lower the limit from %u (cold %u) to %u (cold %u); "
		       "use --allow-lower to permit this",
		       key, old_upstream->limit, old_upstream->cold_limit, new_upstream->limit,
		       new_upstream->cold_limit);
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
		return command_report_failure(context, DW_INVALID_ARGUMENT);
	status = dw_entity_check(entity);
	if (status == DW_OK)
		status = dw_entity_key(entity, key);
	if (status == DW_OK)
		status = command_get_entity(context, key, &found);
	if (status == DW_OK)
		status = check_limits_not_lowered(context, key, entity, found->entity);
	if (status == DW_OK || status == DW_NOT_FOUND)
		code = command_put_entity(context, entity, found ? found->revision : 0);
	else
		code = command_report_failure(context, status);
	if (found)
		dragonflywharf__get_response__free_unpacked(found, NULL);
	dragonflywharf__entity__free_unpacked(entity, NULL);
	return code;
}

static enum wharfctl_exit run_apply(struct command_context *context)
{
	struct json_object *root = json_object_from_file(context->argv[0]);
	struct json_object *entities = config_file_entities(root);
	enum wharfctl_exit code = WHARFCTL_DONE;

	if (!entities) {
		dw_fail(DW_INVALID_ARGUMENT,
			"%s: cannot read the file, or it is not {\"entities\": [...]}",
			context->argv[0]);
		json_object_put(root);
		return command_report_failure(context, DW_INVALID_ARGUMENT);
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
	ProtobufCMessage *message = NULL;
	enum dw_status status =
		operator_client_call(&context->client, "Status", &request.base,
				     &dragonflywharf__status_response__descriptor, &message);

	*out = (Dragonflywharf__StatusResponse *)message;
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
		return command_report_failure(context, status);
	if (context->json)
		print_message(&response->base);
	else
		print_status(response);
	dragonflywharf__status_response__free_unpacked(response, NULL);
	return WHARFCTL_DONE;
}

/* The lowest revision applied by any member that is not dead, as reported by the queried
 * instance. */
static uint64_t lowest_applied_revision(const Dragonflywharf__StatusResponse *response)
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
		dw_fail(DW_INVALID_ARGUMENT, "invalid revision: \"%s\"", text);
		return command_report_failure(context, DW_INVALID_ARGUMENT);
	}
	while (dw_clock_now_us() < deadline_us) {
		Dragonflywharf__StatusResponse *response = NULL;
		enum dw_status status = fetch_status(context, &response);
		uint64_t lowest;

		if (status != DW_OK)
			return command_report_failure(context, status);
		lowest = lowest_applied_revision(response);
		dragonflywharf__status_response__free_unpacked(response, NULL);
		if (lowest >= wanted) {
			printf("revision %" PRIu64 " is in force on all members\n", lowest);
			return WHARFCTL_DONE;
		}
		uv_sleep(WAIT_POLL_MS);
	}
	dw_fail(DW_TIMEOUT, "revision %" PRIu64 " is not in force on all members yet", wanted);
	return command_report_failure(context, DW_TIMEOUT);
}

static enum wharfctl_exit run_usage(struct command_context *context)
{
	Dragonflywharf__UsageRequest request = DRAGONFLYWHARF__USAGE_REQUEST__INIT;
	Dragonflywharf__UsageResponse *response;
	ProtobufCMessage *message = NULL;
	enum dw_status status;

	request.organisation = context->argc > 0 ? (char *)context->argv[0] : "";
	status = operator_client_call(&context->client, "Usage", &request.base,
				      &dragonflywharf__usage_response__descriptor, &message);
	if (status != DW_OK)
		return command_report_failure(context, status);
	response = (Dragonflywharf__UsageResponse *)message;
	if (context->json)
		print_message(message);
	for (size_t i = 0; !context->json && i < response->n_totals; i++) {
		const Dragonflywharf__UsageTotal *total = response->totals[i];

		printf("%-20s %-28s %" PRIu64 " requests, %" PRIu64 " + %" PRIu64
		       " tokens, cost %" PRIu64 " micros\n",
		       total->organisation, total->version, total->requests, total->prompt_tokens,
		       total->completion_tokens, total->cost_micros);
	}
	protobuf_c_message_free_unpacked(message, NULL);
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
	{ "get", 1, 1, "KEY: print an entity and its revision", run_get },
	{ "list", 0, 1, "[PREFIX]: list the keys and revisions of the configuration in force",
	  run_list },
	{ "apply", 1, 1,
	  "FILE: write the entities of a JSON file in order, stopping at the first failure",
	  run_apply },
	{ "withdraw", 1, 1, "MODEL/VERSION: stop sending new requests to a version",
	  command_withdraw },
	{ "live", 1, 1, "MODEL/VERSION: send new requests to a version again", command_live },
	{ "weight", 2, 2, "MODEL/VERSION N: set the relative weight for new sessions",
	  command_weight },
	{ "release", 1, 1, "MODEL/VERSION: end the automatic hold of a version", command_release },
	{ "limit", 2, 3,
	  "UPSTREAM N [COLD]: set the limits of requests in flight, warm and during a cold start",
	  command_limit },
	{ "leave", 1, 1, "UPSTREAM: stop sending new requests to an upstream", command_leave },
	{ "return", 1, 1, "UPSTREAM: send new requests to an upstream again", command_return },
	{ "drain", 1, 1, "FAILURE_DOMAIN: stop sending new requests to a failure domain",
	  command_drain },
	{ "restore", 1, 1, "FAILURE_DOMAIN: send new requests to a failure domain again",
	  command_restore },
	{ "allow", 2, 2, "ORGANISATION MODEL[/VERSION]: let an organisation use a model or version",
	  command_allow },
	{ "forbid", 2, 2, "ORGANISATION MODEL[/VERSION]: revoke a permission", command_forbid },
	{ "status", 0, 0, ": show members, upstreams and versions as seen by one instance",
	  run_status },
	{ "usage", 0, 1, "[ORGANISATION]: print the totals of the usage ledger", run_usage },
	{ "wait", 1, 1, "REVISION: wait until a revision is in force on all members (30 s at most)",
	  run_wait },
	{ "check", 1, 1,
	  "FILE: check a configuration file without a server (exit codes 0: clean, "
	  "1: warnings only, 2: errors)",
	  command_check },
	{ "gateways", 1, GATEWAYS_MAX,
	  "IP:PORT...: show the store's era and the copies of gateways, by their metrics (exit "
	  "code 2: "
	  "one is behind or may not serve)",
	  command_gateways },
	{ "hash-key", 1, 1, "KEY: print the hash of a bearer key, as used in the configuration",
	  run_hash },
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
		fprintf(stderr, "wharfctl: usage: %s %s\n", command->name, command->usage);
		return command_usage_exit(name);
	}
	fprintf(stderr, "wharfctl: unknown command \"%s\"; see --help\n", name);
	return WHARFCTL_USAGE;
}

enum wharfctl_exit command_usage_exit(const char *name)
{
	/* A script must not take a mistyped option for a result of "warnings only". */
	return name && strcmp(name, "check") == 0 ? WHARFCTL_CHECK_ERRORS : WHARFCTL_USAGE;
}

void command_print_list(FILE *out)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name, commands[i].usage);
}
