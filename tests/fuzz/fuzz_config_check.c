/**
 * @file fuzz_config_check.c
 * Fuzzes "wharfctl check": reading, rules, comparison and printing of arbitrary files.
 *
 * The first byte selects raw bytes or edits of a valid file, since random bytes seldom get past the
 * JSON parser. Edits are groups of three bytes: position (big-endian) and new byte.
 */
#include <stdlib.h>
#include <string.h>

#include "wharfctl/check_print.h"
#include "wharfctl/config_file.h"

#define EDIT_BYTES 3

static const char platform_file[] =
	"{\"Version\":7,\"Routes\":[{\"Name\":\"a\",\"Host\":\"h\",\"PathPrefix\":\"/a/\","
	"\"Kind\":\"stream\",\"TimeoutMs\":900,\"TargetGapMs\":90,\"MaxAttempts\":2,"
	"\"Sizes\":[\"s\",\"l\"],\"TrafficSplit\":[{\"Service\":\"x\",\"Weight\":9},"
	"{\"Service\":\"y\",\"Weight\":1}]},{\"Name\":\"b\",\"Host\":\"h\",\"PathPrefix\":\"/b/\","
	"\"Kind\":\"safe\",\"Service\":\"y\"}],\"Services\":[{\"Name\":\"x\",\"ColdStartS\":3,"
	"\"Engine\":{\"Slots\":4,\"Stride\":6,\"Models\":[{\"Name\":\"s\",\"Cost\":1},"
	"{\"Name\":\"l\",\"Cost\":2}]}},{\"Name\":\"y\"}],\"Limits\":{\"MaxBodyBytes\":100},"
	"\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\",\"l\"]},{\"Name\":\"u\","
	"\"ApiKeys\":[\"m\"],\"Priority\":1}]}";

static const char entities_file[] =
	"{\"entities\":[{\"failure_domain\":{\"name\":\"a\"}},{\"model\":{\"name\":\"m\","
	"\"cascade\":[\"n\"]}},{\"model\":{\"name\":\"n\"}},{\"version\":{\"model\":\"m\","
	"\"name\":\"1\"}},{\"upstream\":{\"name\":\"e\",\"ip\":\"10.0.0.1\",\"port\":90,"
	"\"failure_domain\":\"a\",\"serves\":[\"m/1\"],\"limit\":3,\"cold_limit\":2}},"
	"{\"organisation\":{\"name\":\"o\",\"key_hashes\":[],\"allowed\":[\"m\",\"m/1\",\"*\"]}}]}";

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static char *edit(const char *valid, size_t valid_len, const uint8_t *bytes, size_t len)
{
	char *text = malloc(valid_len);

	if (!text)
		abort();
	memcpy(text, valid, valid_len);
	for (size_t i = 0; i + EDIT_BYTES <= len; i += EDIT_BYTES)
		text[((size_t)bytes[i] << 8 | bytes[i + 1]) % valid_len] = (char)bytes[i + 2];
	return text;
}

static void print(const struct dw_check_report *report)
{
	char *text = NULL;
	size_t len = 0;
	size_t lines = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		abort();
	check_print_text(out, report);
	fclose(out);
	for (size_t i = 0; i < len; i++)
		lines += text[i] == '\n';
	if (lines != report->count)
		abort();
	free(text);
	out = open_memstream(&text, &len);
	if (!out)
		abort();
	check_print_json(out, "f", "g", report);
	fclose(out);
	free(text);
}

static void check(const char *text, size_t len, const char *other, size_t other_len)
{
	struct dw_check_report report = { 0 };
	struct dw_check_report same = { 0 };
	struct config_file next, current;
	bool is_read = config_file_parse(text, len, false, &next, &report) == DW_OK;
	bool is_other_read = config_file_parse(other, other_len, true, &current, &report) == DW_OK;

	if (!is_read && !*dw_last_message())
		abort();
	if (is_read)
		config_file_check(&next, is_other_read ? &current : NULL, &report);
	if (is_read && is_other_read)
		config_file_check(&current, &next, &report);
	/* Nothing differs between a file and itself. */
	if (is_read && next.catalog)
		dw_config_compare(&next.index, &next.index, &same);
	else if (is_read)
		dw_entity_set_compare(&next.set, &next.set, &same);
	if (same.count > 0)
		abort();
	print(&report);
	dw_check_report_free(&same);
	dw_check_report_free(&report);
	config_file_free(&next);
	config_file_free(&current);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const char *valid;
	size_t valid_len;
	char *text;

	if (len == 0)
		return 0;
	if (bytes[0] % 3 == 0) {
		check((const char *)bytes + 1, len - 1, (const char *)bytes + 1, len - 1);
		return 0;
	}
	valid = bytes[0] % 3 == 1 ? platform_file : entities_file;
	valid_len = strlen(valid);
	text = edit(valid, valid_len, bytes + 1, len - 1);
	check(text, valid_len, valid, valid_len);
	free(text);
	return 0;
}
