/**
 * @file fuzz_settings.c
 * Fuzzes the settings parser: the input is parsed as a settings file.
 */
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"

struct target {
	char name[DW_SETTINGS_TEXT_BYTES];
	char text[DW_SETTINGS_TEXT_BYTES];
	uint64_t number;
	uint8_t key[DW_SETTINGS_KEY_BYTES];
	struct dw_endpoint endpoint;
	struct dw_endpoint_list endpoints;
};

static const struct dw_setting table[] = {
	{ "name", DW_SETTING_NAME, offsetof(struct target, name), true, 0, 0, NULL },
	{ "text", DW_SETTING_TEXT, offsetof(struct target, text), false, 0, 0, "x" },
	{ "number", DW_SETTING_INTEGER, offsetof(struct target, number), false, 1, 9, "5" },
	{ "key", DW_SETTING_KEY, offsetof(struct target, key), false, 0, 0, NULL },
	{ "endpoint", DW_SETTING_ENDPOINT, offsetof(struct target, endpoint), false, 0, 0, NULL },
	{ "endpoints", DW_SETTING_ENDPOINTS, offsetof(struct target, endpoints), false, 0, 0,
	  NULL },
	{ NULL, DW_SETTING_TEXT, 0, false, 0, 0, NULL },
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct target target;
	char *text = calloc(1, size + 1);
	FILE *errors = fopen("/dev/null", "w");

	if (!text || !errors)
		abort();
	memcpy(text, data, size);
	memset(&target, 0, sizeof(target));
	dw_settings_parse("fuzz", text, table, &target, errors);
	fclose(errors);
	free(text);
	return 0;
}
