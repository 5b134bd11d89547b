/**
 * @file record_kinds.h
 * The kinds of evidence that are kept in records of the store (quarantine_records.h): against requests
 * and against parts of prompts.
 *
 * Of a crash under a request, a third integer, 1, says that its run had been given up before. Of a crash
 * under a part: hash of a request with it that ran there, or 0 for more than are kept (the crash has an entry for
 * each), hash of the engine's version or 0, milliseconds from the crash to the write, and 1 if requests with the
 * part had ended well lately.
 */
#ifndef GATEWAY_RECORD_KINDS_H
#define GATEWAY_RECORD_KINDS_H

#include <dragonflywharf/part_quarantine.h>
#include <dragonflywharf/quarantine.h>

#include "wharf-gateway/quarantine_records.h"

/** Evidence: struct dw_quarantine. */
extern const struct quarantine_record_kind request_record_kind;
/** Evidence: struct dw_part_quarantine. */
extern const struct quarantine_record_kind part_record_kind;

struct dw_quarantine_evidence request_record_evidence(struct dw_fingerprint request,
						      const struct quarantine_record_crash *crash);
struct dw_part_news part_record_news(struct dw_fingerprint part,
				     const struct quarantine_record_crash *crash);

#endif
