#include "wharfctl/command_check.h"

#include "wharfctl/check_print.h"
#include "wharfctl/config_file.h"

static bool read_file(const char *path, bool is_in_force, struct config_file *out,
		      struct dw_check_report *report)
{
	struct dw_check_path whole = { .section = DW_CHECK_FILE, .is_in_force = is_in_force };
	char message[512];

	if (config_file_read(path, is_in_force, out, report) == DW_OK)
		return true;
	snprintf(message, sizeof(message), "%.200s: %s", path, dw_last_message());
	dw_check_report_add_detail(report, DW_FINDING_UNREADABLE, whole, message);
	return false;
}

enum wharfctl_exit command_check(struct command_context *context)
{
	const char *path = context->argv[0];
	struct dw_check_report report = { 0 };
	struct dw_check_path whole = { .section = DW_CHECK_FILE };
	struct config_file next = { 0 };
	struct config_file current = { 0 };
	bool is_read = read_file(path, false, &next, &report);

	if (context->against)
		is_read &= read_file(context->against, true, &current, &report);
	if (is_read &&
	    config_file_check(&next, context->against ? &current : NULL, &report) != DW_OK)
		dw_check_report_add_detail(&report, DW_FINDING_UNREADABLE, whole,
					   dw_last_message());
	if (context->json)
		check_print_json(stdout, path, context->against, &report);
	else
		check_print_text(stdout, &report);
	enum wharfctl_exit code = WHARFCTL_DONE;

	if (report.severity_counts[DW_CHECK_ERROR] > 0)
		code = WHARFCTL_CHECK_ERRORS;
	else if (report.severity_counts[DW_CHECK_WARNING] > 0)
		code = WHARFCTL_CHECK_WARNINGS;
	dw_check_report_free(&report);
	config_file_free(&next);
	config_file_free(&current);
	return code;
}
