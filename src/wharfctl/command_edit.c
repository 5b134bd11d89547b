#include "wharfctl/command_edit.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include <dragonflywharf/entity.h>

#include "wharfctl/proto_json.h"

#define CHANGE_ID_BYTES 33 /* 16 random bytes in hexadecimal, and the null byte */
#define DECIMAL_BASE 10

typedef enum dw_status (*entity_edit_fn)(Dragonflywharf__Entity *entity, const char *const *argv);

static enum wharfctl_exit exit_code_of(enum dw_status status)
{
	switch (status) {
	case DW_OK:
		return WHARFCTL_DONE;
	case DW_NOT_FOUND:
		return WHARFCTL_NOT_FOUND;
	case DW_CONFLICT:
		return WHARFCTL_CONFLICT;
	case DW_UNAVAILABLE:
	case DW_TIMEOUT:
	case DW_UPSTREAM_FAILED:
		return WHARFCTL_UNREACHABLE;
	default:
		return WHARFCTL_REFUSED;
	}
}

enum wharfctl_exit command_report_failure(struct command_context *context, enum dw_status status)
{
	if (context->json)
		printf("{\"status\":\"%s\"}\n", dw_status_name(status));
	fprintf(stderr, "wharfctl: %s: %s\n", dw_status_name(status), dw_last_message());
	return exit_code_of(status);
}

static void make_change_id(char out[CHANGE_ID_BYTES])
{
	uint8_t random[(CHANGE_ID_BYTES - 1) / 2];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(out, CHANGE_ID_BYTES, random, sizeof(random));
}

static enum wharfctl_exit print_put(struct command_context *context, const char *key,
				    const Dragonflywharf__PutResponse *response)
{
	static const struct {
		const char *name;
		enum wharfctl_exit exit;
	} outcomes[] = {
		[DRAGONFLYWHARF__PUT_OUTCOME__PUT_DONE] = { "done", WHARFCTL_DONE },
		[DRAGONFLYWHARF__PUT_OUTCOME__PUT_CONFLICT] = { "conflict", WHARFCTL_CONFLICT },
		[DRAGONFLYWHARF__PUT_OUTCOME__PUT_UNKNOWN] = { "unknown", WHARFCTL_UNKNOWN },
		[DRAGONFLYWHARF__PUT_OUTCOME__PUT_REFUSED] = { "refused", WHARFCTL_REFUSED },
	};
	size_t outcome = (size_t)response->outcome;

	if (outcome >= sizeof(outcomes) / sizeof(outcomes[0]))
		outcome = DRAGONFLYWHARF__PUT_OUTCOME__PUT_UNKNOWN;
	if (context->json)
		printf("{\"key\":\"%s\",\"outcome\":\"%s\",\"revision\":%" PRIu64 "}\n", key,
		       outcomes[outcome].name, response->revision);
	else
		printf("%s: %s at revision %" PRIu64 "%s%s\n", key, outcomes[outcome].name,
		       response->revision, response->message[0] ? ": " : "", response->message);
	return outcomes[outcome].exit;
}

enum wharfctl_exit command_put_entity(struct command_context *context,
				      Dragonflywharf__Entity *entity, uint64_t expected_revision)
{
	Dragonflywharf__PutRequest request = DRAGONFLYWHARF__PUT_REQUEST__INIT;
	ProtobufCMessage *message = NULL;
	char change_id[CHANGE_ID_BYTES];
	char key[DW_ENTITY_KEY_BYTES] = "";
	enum wharfctl_exit code;
	enum dw_status status;

	make_change_id(change_id);
	request.entity = entity;
	request.expected_revision = expected_revision;
	request.change_id = change_id;
	dw_entity_key(entity, key);
	status = operator_client_call(&context->client, "Put", &request.base,
				      &dragonflywharf__put_response__descriptor, &message);
	if (status != DW_OK)
		return command_report_failure(context, status);
	code = print_put(context, key, (Dragonflywharf__PutResponse *)message);
	protobuf_c_message_free_unpacked(message, NULL);
	return code;
}

enum dw_status command_get_entity(struct command_context *context, const char *key,
				  Dragonflywharf__GetResponse **out)
{
	Dragonflywharf__GetRequest request = DRAGONFLYWHARF__GET_REQUEST__INIT;
	ProtobufCMessage *message = NULL;
	enum dw_status status;

	request.key = (char *)key;
	status = operator_client_call(&context->client, "Get", &request.base,
				      &dragonflywharf__get_response__descriptor, &message);
	*out = (Dragonflywharf__GetResponse *)message;
	if (status == DW_OK && !(*out)->entity) {
		protobuf_c_message_free_unpacked(message, NULL);
		return dw_fail(DW_INTERNAL, "the server cannot decode the entity %s", key);
	}
	return status;
}

static enum wharfctl_exit edit_entity(struct command_context *context, const char *kind,
				      entity_edit_fn apply_edit)
{
	Dragonflywharf__GetResponse *found = NULL;
	char key[DW_ENTITY_KEY_BYTES];
	enum wharfctl_exit code;
	enum dw_status status;

	snprintf(key, sizeof(key), "%s/%s", kind, context->argv[0]);
	status = command_get_entity(context, key, &found);
	if (status != DW_OK)
		return command_report_failure(context, status);
	status = apply_edit(found->entity, context->argv);
	if (status != DW_OK)
		code = command_report_failure(context, status);
	else
		code = command_put_entity(context, found->entity, found->revision);
	dragonflywharf__get_response__free_unpacked(found, NULL);
	return code;
}

static enum dw_status parse_count(const char *text, uint32_t *out)
{
	char *end;
	unsigned long number = strtoul(text, &end, DECIMAL_BASE);

	if (*text < '0' || *text > '9' || *end != '\0' || number > UINT32_MAX)
		return dw_fail(DW_INVALID_ARGUMENT, "invalid number: \"%s\"", text);
	*out = (uint32_t)number;
	return DW_OK;
}

static enum dw_status set_version_withdrawn(Dragonflywharf__Entity *entity, const char *const *argv)
{
	(void)argv;
	entity->version->state = DRAGONFLYWHARF__VERSION_STATE__VERSION_WITHDRAWN;
	return DW_OK;
}

static enum dw_status set_version_live(Dragonflywharf__Entity *entity, const char *const *argv)
{
	(void)argv;
	entity->version->state = DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE;
	return DW_OK;
}

static enum dw_status set_weight(Dragonflywharf__Entity *entity, const char *const *argv)
{
	return parse_count(argv[1], &entity->version->rollout_weight);
}

/* Raising release_order ends every automatic hold that was placed under a lower value. */
static enum dw_status increment_release_order(Dragonflywharf__Entity *entity,
					      const char *const *argv)
{
	(void)argv;
	entity->version->release_order++;
	return DW_OK;
}

static enum dw_status set_limit(Dragonflywharf__Entity *entity, const char *const *argv)
{
	enum dw_status status = parse_count(argv[1], &entity->upstream->limit);

	if (status == DW_OK && argv[2])
		status = parse_count(argv[2], &entity->upstream->cold_limit);
	return status;
}

static enum dw_status set_upstream_leaving(Dragonflywharf__Entity *entity, const char *const *argv)
{
	(void)argv;
	entity->upstream->state = DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_LEAVING;
	return DW_OK;
}

static enum dw_status set_upstream_in_service(Dragonflywharf__Entity *entity,
					      const char *const *argv)
{
	(void)argv;
	entity->upstream->state = DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE;
	return DW_OK;
}

static enum dw_status set_domain_drained(Dragonflywharf__Entity *entity, const char *const *argv)
{
	(void)argv;
	entity->failure_domain->state = DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED;
	return DW_OK;
}

static enum dw_status set_domain_in_service(Dragonflywharf__Entity *entity, const char *const *argv)
{
	(void)argv;
	entity->failure_domain->state = DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE;
	return DW_OK;
}

static enum dw_status add_allowed(Dragonflywharf__Entity *entity, const char *const *argv)
{
	Dragonflywharf__Organisation *organisation = entity->organisation;
	size_t count = organisation->n_allowed;
	char **allowed = realloc(organisation->allowed, (count + 1) * sizeof(*allowed));

	if (!allowed)
		return dw_fail(DW_NO_MEMORY, "out of memory");
	organisation->allowed = allowed;
	allowed[count] = strdup(argv[1]);
	organisation->n_allowed = count + 1;
	return DW_OK;
}

static enum dw_status remove_allowed(Dragonflywharf__Entity *entity, const char *const *argv)
{
	Dragonflywharf__Organisation *organisation = entity->organisation;
	size_t kept = 0;

	for (size_t i = 0; i < organisation->n_allowed; i++) {
		if (strcmp(organisation->allowed[i], argv[1]) == 0)
			free(organisation->allowed[i]);
		else
			organisation->allowed[kept++] = organisation->allowed[i];
	}
	if (kept == organisation->n_allowed)
		return dw_fail(DW_NOT_FOUND, "\"%s\" is not on the list of allowed models",
			       argv[1]);
	organisation->n_allowed = kept;
	return DW_OK;
}

enum wharfctl_exit command_withdraw(struct command_context *context)
{
	return edit_entity(context, "version", set_version_withdrawn);
}

enum wharfctl_exit command_live(struct command_context *context)
{
	return edit_entity(context, "version", set_version_live);
}

enum wharfctl_exit command_weight(struct command_context *context)
{
	return edit_entity(context, "version", set_weight);
}

enum wharfctl_exit command_release(struct command_context *context)
{
	return edit_entity(context, "version", increment_release_order);
}

enum wharfctl_exit command_limit(struct command_context *context)
{
	return edit_entity(context, "upstream", set_limit);
}

enum wharfctl_exit command_leave(struct command_context *context)
{
	return edit_entity(context, "upstream", set_upstream_leaving);
}

enum wharfctl_exit command_return(struct command_context *context)
{
	return edit_entity(context, "upstream", set_upstream_in_service);
}

enum wharfctl_exit command_drain(struct command_context *context)
{
	return edit_entity(context, "failure_domain", set_domain_drained);
}

enum wharfctl_exit command_restore(struct command_context *context)
{
	return edit_entity(context, "failure_domain", set_domain_in_service);
}

enum wharfctl_exit command_allow(struct command_context *context)
{
	return edit_entity(context, "organisation", add_allowed);
}

enum wharfctl_exit command_forbid(struct command_context *context)
{
	return edit_entity(context, "organisation", remove_allowed);
}
