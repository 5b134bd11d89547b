/** Support for tests of the configuration check: findings as text. */
#ifndef TESTS_SUPPORT_FINDINGS_H
#define TESTS_SUPPORT_FINDINGS_H

#include <sstream>
#include <string>

#include "platform/config_path.h"

/** Frees the report and returns a line for each finding, such as
 * "e Routes[0] (chat).TimeoutMs kind subject other detail value/bound". */
inline std::string take_findings(dw_check_report *report)
{
	std::ostringstream out;
	for (size_t i = 0; i < report->count; i++) {
		const dw_finding &finding = report->findings[i];
		char path[200];
		config_path_write(&finding.path, path, sizeof(path));
		out << dw_check_severity_name(finding.severity)[0] << ' ' << path << ' '
		    << dw_finding_kind_name(finding.kind);
		for (const char *text : { finding.subject, finding.other, finding.detail })
			if (text)
				out << ' ' << text;
		if (finding.has_numbers)
			out << ' ' << finding.value << '/' << finding.bound;
		out << '\n';
	}
	dw_check_report_free(report);
	return out.str();
}

#endif
