/**
 * @file usage_batch.h
 * The codec of usage records, in the store's batches and in messages between peers.
 *
 * A batch is one msgpack array: [version, [record, ...]], a record being [id low, id high,
 * organisation, model, version, prompt tokens, completion tokens, cost, finished at].
 */
#ifndef WHARF_CORE_USAGE_BATCH_H
#define WHARF_CORE_USAGE_BATCH_H

#include <msgpack.h>

#include <dragonflywharf/ledger.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DW_USAGE_BATCH_VERSION 1
#define DW_USAGE_BATCH_MAX_BYTES 1000000
/** Upper bound of one encoded record. */
#define DW_USAGE_RECORD_MAX_BYTES 260

/** @return 0, or negative if the packer's buffer failed. */
int dw_usage_record_pack(msgpack_packer *packer, const struct dw_usage_record *record);

/** Reads one record; names that are too long or hold a NUL are refused. */
bool dw_usage_record_read(const msgpack_object *object, struct dw_usage_record *record);

#ifdef __cplusplus
}
#endif

#endif
