/**
 * @file session_version.c
 * The choice of a request's version.
 */
#include <dragonflywharf/session.h>

#include <string.h>

#define RANDOM_BITS 32

/* What a choice depends on. */
struct version_choice {
	const struct dw_organisation *organisation;
	const struct dw_model *model;
	const struct dw_version_filter *filter;
};

static bool is_open(const struct version_choice *choice, const struct dw_version *version,
		    bool kept)
{
	const struct dw_version_filter *filter = choice->filter;

	if (!version->live || !dw_organisation_allows_version(choice->organisation, version))
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

static uint64_t weight_of(const struct dw_version *version, bool equal)
{
	return equal ? 1 : version->rollout_weight;
}

static uint64_t total_weight(const struct version_choice *choice, bool equal)
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < choice->model->version_count; i++)
		if (is_open(choice, choice->model->versions[i], false))
			total += weight_of(choice->model->versions[i], equal);
	return total;
}

/* A draw below the total falls into one version's part of it; NULL if the total is 0. */
static const struct dw_version *draw(const struct version_choice *choice, uint64_t random)
{
	bool equal = total_weight(choice, false) == 0;
	uint64_t total = total_weight(choice, equal);
	uint64_t at = ((random >> RANDOM_BITS) * total) >> RANDOM_BITS;
	size_t i;

	for (i = 0; i < choice->model->version_count; i++) {
		const struct dw_version *version = choice->model->versions[i];
		uint64_t weight;

		if (!is_open(choice, version, false))
			continue;
		weight = weight_of(version, equal);
		if (at < weight)
			return version;
		at -= weight;
	}
	return NULL;
}

static enum dw_status no_version(const struct version_choice *choice)
{
	size_t i;

	for (i = 0; i < choice->model->version_count; i++)
		if (dw_organisation_allows_version(choice->organisation,
						   choice->model->versions[i]))
			return dw_fail(DW_WITHDRAWN, "no permitted version takes new work");
	return dw_fail(DW_FORBIDDEN, "the organisation may use no version of this model");
}

enum dw_status dw_session_choose_version(const struct dw_ruleset *ruleset, const char *organisation,
					 const char *model, const char *session_version,
					 const struct dw_version_filter *filter, uint64_t random,
					 struct dw_session_choice *choice)
{
	struct version_choice among = {
		.organisation = dw_ruleset_organisation(ruleset, organisation),
		.model = dw_ruleset_model(ruleset, model),
		.filter = filter,
	};
	const struct dw_version *kept;

	*choice = (struct dw_session_choice){ 0 };
	if (!among.organisation || !among.model)
		return dw_fail(DW_NOT_FOUND, "no such organisation or model");
	kept = session_version ? find_version(among.model, session_version) : NULL;
	if (kept && is_open(&among, kept, true)) {
		choice->version = kept;
		choice->outcome = DW_SESSION_KEPT;
		return DW_OK;
	}
	choice->version = draw(&among, random);
	choice->outcome = session_version ? DW_SESSION_MOVED : DW_SESSION_NEW;
	return choice->version ? DW_OK : no_version(&among);
}
