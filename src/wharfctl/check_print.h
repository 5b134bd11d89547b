/**
 * @file check_print.h
 * Prints the findings of a check.
 */
#ifndef WHARFCTL_CHECK_PRINT_H
#define WHARFCTL_CHECK_PRINT_H

#include <stdio.h>

#include <dragonflywharf/check_report.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Prints one line a finding, "SEVERITY: PATH: KIND: SENTENCE". Control characters of names are
 * printed as question marks. */
void check_print_text(FILE *out, const struct dw_check_report *report);

/** Prints one JSON object with the counts and all findings. @p against may be NULL. */
void check_print_json(FILE *out, const char *path, const char *against,
		      const struct dw_check_report *report);

#ifdef __cplusplus
}
#endif

#endif
