/**
 * @file usage_batch.h
 * Encoding of usage records, in batches in the store and in messages between peers.
 *
 * A batch is a msgpack array [version, [record, ...]]. A record is the array [id low, id high,
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
/** Upper bound on the size of one encoded record. */
#define DW_USAGE_RECORD_MAX_BYTES 260

/** Encodes a record. @return 0, or negative if the packer's buffer couldn't grow. */
int dw_usage_record_pack(msgpack_packer *packer, const struct dw_usage_record *record);

/** Decodes a record. @return false if it is malformed or a name is too long or contains a NUL. */
bool dw_usage_record_read(const msgpack_object *object, struct dw_usage_record *record);

#ifdef __cplusplus
}
#endif

#endif
