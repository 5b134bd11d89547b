#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/metadata_json.h"
#include "platform/config_record.h"
#include "platform/records.h"

#define PARSER_COUNT 5

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void read_list(const char *text, size_t len)
{
	struct metadata_list list = { 0 };

	if (metadata_list_read(text, len, &list) != DW_OK && (list.count != 0 || list.events))
		abort();
	for (size_t i = 0; i < list.count; i++) {
		if (!list.events[i].entry.key ||
		    (!list.events[i].deleted && !list.events[i].entry.value))
			abort();
	}
	metadata_list_free(&list);
}

static void read_config(const char *text, size_t len)
{
	struct dw_catalog *catalog = NULL;

	if ((config_record_read(text, len, &catalog) == DW_OK) != (catalog != NULL))
		abort();
	if (catalog)
		dw_catalog_match(catalog, "h", "/x/");
	dw_catalog_release(catalog);
}

static void read_engine(const char *text, size_t len)
{
	struct dw_engine_entry entry;

	if (record_read_engine("e", text, len, &entry) == DW_OK &&
	    (entry.port == 0 || !*entry.service || entry.model_count > DW_ENGINE_MODELS_MAX))
		abort();
}

/* The first byte selects the record type that the rest is decoded as. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const char *text = (const char *)bytes + 1;
	char target[DW_ENGINE_TEXT_BYTES];
	struct dw_shift_order order;
	enum dw_shift_state state;

	if (len == 0)
		return 0;
	switch (bytes[0] % PARSER_COUNT) {
	case 0:
		read_config(text, len - 1);
		break;
	case 1:
		read_engine(text, len - 1);
		break;
	case 2:
		record_read_rollout_order(text, len - 1, &order);
		break;
	case 3:
		record_read_rollout_status(text, len - 1, &state, target);
		break;
	default:
		read_list(text, len - 1);
		break;
	}
	return 0;
}
