/**
 * @file check.h
 * Checks the invariants of docs/INVARIANTS.md over a time line.
 */
#ifndef WHARF_TIMELINE_CHECK_H
#define WHARF_TIMELINE_CHECK_H

#include "wharf-timeline/timeline.h"

/** Checks a sorted time line, prints each violation and returns their number. */
size_t timeline_check(const struct timeline *timeline, FILE *out);

#endif
