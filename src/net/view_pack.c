#include "net/view_pack.h"

#include <inttypes.h>

#include <dragonflywharf/store_revision.h>

#include "net/value_codec.h"

/* Smaller values fit into the exchange as they are. */
#define PACK_MIN_BYTES (16U << 10)

void view_record_pack(const struct dw_view_log *log, struct dw_view_record *record,
		      struct bytes *memory)
{
	const struct dw_view_record *known = dw_view_log_find(log, record->key);
	struct value_bytes value = { record->value, record->value_len };
	struct value_bytes base = { 0 };

	if (record->deleted || record->packed || record->value_len < PACK_MIN_BYTES ||
	    (known && known->revision >= record->revision))
		return;
	if (known && !known->deleted)
		base = (struct value_bytes){ known->value, known->value_len };
	/* Without memory the value is passed on as it is, or read from the store. */
	if (value_pack(value, base, memory) != DW_OK)
		return;
	record->packed = (const uint8_t *)memory->data;
	record->packed_len = memory->len;
	record->base_revision = base.len > 0 ? known->revision : 0;
}

enum dw_status view_record_unpack(const struct dw_view_log *log, struct dw_view_record *record,
				  size_t max_len, struct bytes *memory)
{
	const struct dw_view_record *known = dw_view_log_find(log, record->key);
	struct value_bytes packed = { record->packed, record->packed_len };
	struct value_bytes base = { 0 };
	enum dw_status status;

	if (record->base_revision > 0) {
		/* The same value may be known from another era; a checksum shows a wrong one. */
		if (!known || known->deleted ||
		    dw_revision_number(known->revision) !=
			    dw_revision_number(record->base_revision))
			return dw_fail(DW_STALE,
				       "%s: the change refers to revision %" PRIu64
				       ", revision %" PRIu64 " is known",
				       record->key, record->base_revision,
				       known ? known->revision : 0);
		base = (struct value_bytes){ known->value, known->value_len };
	}
	status = value_unpack(packed, base, max_len, memory);
	if (status != DW_OK)
		return status;
	record->value = (const uint8_t *)memory->data;
	record->value_len = memory->len;
	return DW_OK;
}
