#include <string.h>

#include <dragonflywharf/ruleset.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static const char *const keys[] = {
	"organisation/a", "model/a", "version/a/a", "upstream/a", "service/a", "failure_domain/a",
};

/* A value of the store under each key, read as the request path would. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_ruleset *ruleset = dw_ruleset_new();
	struct dw_ruleset_item items[sizeof(keys) / sizeof(keys[0])];
	const struct dw_organisation *organisation;
	struct dw_ruleset_result result;
	size_t count = sizeof(keys) / sizeof(keys[0]);

	for (size_t i = 0; i < count; i++)
		items[i] = (struct dw_ruleset_item){
			.key = keys[i],
			.mod_revision = 1,
			.bytes = bytes,
			.len = len,
		};
	dw_ruleset_apply_delta(ruleset, 0, 1, items, count, &result);
	organisation = dw_ruleset_organisation(ruleset, "a");
	if (organisation)
		dw_ruleset_service_permitted(ruleset, "a", "a");
	dw_ruleset_version_permitted(ruleset, "a", "a", "a");
	dw_ruleset_upstream_is_usable(ruleset, "a", false);
	dw_ruleset_free(ruleset);
	return 0;
}
