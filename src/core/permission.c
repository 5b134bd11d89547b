/**
 * @file permission.c
 * What an organisation may use.
 */
#include <dragonflywharf/ruleset.h>

#include <string.h>

#define VERSION_REFERENCE_BYTES (2 * DW_NAME_MAX_BYTES + 2)

/* Binary search in texts sorted by strcmp(). */
static bool contains(const char *const *texts, size_t count, const char *text)
{
	size_t low = 0, high = count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(texts[middle], text);

		if (order == 0)
			return true;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return false;
}

static bool allows(const struct dw_organisation *organisation, const char *text)
{
	return contains(organisation->allowed, organisation->allowed_count, text);
}

bool dw_organisation_allows_version(const struct dw_organisation *organisation,
				    const struct dw_version *version)
{
	char reference[VERSION_REFERENCE_BYTES];
	size_t model_len = strlen(version->model);

	if (allows(organisation, "*") || allows(organisation, version->model))
		return true;
	memcpy(reference, version->model, model_len);
	reference[model_len] = '/';
	memcpy(reference + model_len + 1, version->name, strlen(version->name) + 1);
	return allows(organisation, reference);
}

bool dw_organisation_allows_model(const struct dw_organisation *organisation,
				  const struct dw_model *model)
{
	size_t i;

	for (i = 0; i < model->version_count; i++)
		if (dw_organisation_allows_version(organisation, model->versions[i]))
			return true;
	return allows(organisation, "*") || allows(organisation, model->name);
}

enum dw_status dw_ruleset_version_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *model,
					    const char *version)
{
	const struct dw_organisation *caller = dw_ruleset_organisation(ruleset, organisation);
	const struct dw_version *found = dw_ruleset_version(ruleset, model, version);

	if (!caller)
		return dw_fail(DW_FORBIDDEN, "unknown organisation");
	if (!found)
		return dw_fail(DW_NOT_FOUND, "no such version");
	if (!dw_organisation_allows_version(caller, found))
		return dw_fail(DW_FORBIDDEN, "the organisation may not use this version");
	if (!found->live)
		return dw_fail(DW_WITHDRAWN, "the version is withdrawn");
	return DW_OK;
}

enum dw_status dw_ruleset_service_permitted(const struct dw_ruleset *ruleset,
					    const char *organisation, const char *service)
{
	const struct dw_organisation *caller = dw_ruleset_organisation(ruleset, organisation);

	if (!caller)
		return dw_fail(DW_FORBIDDEN, "unknown organisation");
	if (!dw_ruleset_service(ruleset, service))
		return dw_fail(DW_NOT_FOUND, "no such service");
	if (contains(caller->allowed_services, caller->allowed_service_count, "*") ||
	    contains(caller->allowed_services, caller->allowed_service_count, service))
		return DW_OK;
	return dw_fail(DW_FORBIDDEN, "the organisation may not call this service");
}

bool dw_service_path_idempotent(const struct dw_service *service, const char *path)
{
	return contains(service->idempotent_paths, service->idempotent_path_count, path);
}
