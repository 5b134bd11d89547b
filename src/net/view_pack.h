/**
 * @file view_pack.h
 * Packs the large values of a copy of the store's records, so that instances can pass them on, and
 * unpacks them against the receiver's copy.
 */
#ifndef WHARF_NET_VIEW_PACK_H
#define WHARF_NET_VIEW_PACK_H

#include <dragonflywharf/status.h>
#include <dragonflywharf/view_log.h>

#include "base/bytes.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Packs the value of a record that is about to be put into @p log, against the one that is there. A
 * small value is left as it is.
 * @param memory holds what the record then refers to
 */
void view_record_pack(const struct dw_view_log *log, struct dw_view_record *record,
		      struct bytes *memory);

/**
 * Unpacks the value of a packed record that another instance passed on.
 * @param max_len most bytes of a value
 * @param memory holds what the record then refers to
 * @return DW_STALE if @p log doesn't have the value that it refers to; the errors of value_unpack()
 */
enum dw_status view_record_unpack(const struct dw_view_log *log, struct dw_view_record *record,
				  size_t max_len, struct bytes *memory);

#ifdef __cplusplus
}
#endif

#endif
