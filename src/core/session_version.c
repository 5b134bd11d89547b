/**
 * @file session_version.c
 * Selects the model version for a request.
 */
#include <dragonflywharf/session.h>

#include <string.h>

#define RANDOM_BITS 32

/* Inputs of a selection. */
struct selection {
	const struct dw_organisation *organisation;
	const struct dw_model *model;
	const struct dw_version_filter *filter;
};

static bool is_usable(const struct selection *selection, const struct dw_version *version,
		      bool kept)
{
	const struct dw_version_filter *filter = selection->filter;

	if (!version->live || !dw_organisation_allows_version(selection->organisation, version))
		return false;
	return !filter || !filter->accepts || filter->accepts(version, kept, filter->data);
}

static const struct dw_version *find_version(const struct dw_model *model, const char *name)
{
	size_t i;

	for (i = 0; i < model->version_count; i++)
		if (strcmp(model->versions[i]->name, name) == 0)
			return model->versions[i];
	return NULL;
}

static uint64_t weight_of(const struct dw_version *version, bool equal_weights)
{
	return equal_weights ? 1 : version->rollout_weight;
}

static uint64_t total_weight(const struct selection *selection, bool equal_weights)
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < selection->model->version_count; i++)
		if (is_usable(selection, selection->model->versions[i], false))
			total += weight_of(selection->model->versions[i], equal_weights);
	return total;
}

/* Picks a version in proportion to the weights, or with equal weights if all are 0. NULL if no
 * version is usable. */
static const struct dw_version *pick_random(const struct selection *selection, uint64_t random)
{
	bool equal_weights = total_weight(selection, false) == 0;
	uint64_t total = total_weight(selection, equal_weights);
	uint64_t position = ((random >> RANDOM_BITS) * total) >> RANDOM_BITS;
	size_t i;

	for (i = 0; i < selection->model->version_count; i++) {
		const struct dw_version *version = selection->model->versions[i];
		uint64_t weight;

		if (!is_usable(selection, version, false))
			continue;
		weight = weight_of(version, equal_weights);
		if (position < weight)
			return version;
		position -= weight;
	}
	return NULL;
}

static enum dw_status fail_without_version(const struct selection *selection)
{
	size_t i;

	for (i = 0; i < selection->model->version_count; i++)
		if (dw_organisation_allows_version(selection->organisation,
						   selection->model->versions[i]))
			return dw_fail(DW_WITHDRAWN, "no permitted version takes new work");
	return dw_fail(DW_FORBIDDEN, "the organisation may use no version of this model");
}

enum dw_status dw_session_choose_version(const struct dw_ruleset *ruleset, const char *organisation,
					 const char *model, const char *session_version,
					 const struct dw_version_filter *filter, uint64_t random,
					 struct dw_session_choice *choice)
{
	struct selection selection = {
		.organisation = dw_ruleset_organisation(ruleset, organisation),
		.model = dw_ruleset_model(ruleset, model),
		.filter = filter,
	};
	const struct dw_version *kept;

	*choice = (struct dw_session_choice){ 0 };
	if (!selection.organisation || !selection.model)
		return dw_fail(DW_NOT_FOUND, "no such organisation or model");
	kept = session_version ? find_version(selection.model, session_version) : NULL;
	if (kept && is_usable(&selection, kept, true)) {
		choice->version = kept;
		choice->outcome = DW_SESSION_KEPT;
		return DW_OK;
	}
	choice->version = pick_random(&selection, random);
	choice->outcome = session_version ? DW_SESSION_MOVED : DW_SESSION_NEW;
	return choice->version ? DW_OK : fail_without_version(&selection);
}
