#include <dragonflywharf/fingerprint.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/*
 * Chains the hashes of the parts: the boundaries between parts then affect the result, and no
 * streaming state has to be allocated.
 */
struct dw_fingerprint dw_fingerprint_of(const struct dw_fingerprint_part *parts, size_t count)
{
	struct dw_fingerprint chained = { 0 };

	for (size_t i = 0; i < count; i++) {
		XXH128_hash_t part =
			XXH3_128bits(parts[i].bytes ? parts[i].bytes : "", parts[i].len);
		uint64_t words[4] = { chained.low, chained.high, part.low64, part.high64 };
		XXH128_hash_t combined = XXH3_128bits(words, sizeof(words));

		chained.low = combined.low64;
		chained.high = combined.high64;
	}
	return chained;
}

struct dw_fingerprint dw_fingerprint_strings(const char *first, const char *second)
{
	struct dw_fingerprint_part parts[] = {
		{ first, strlen(first) },
		{ second, strlen(second) },
	};

	return dw_fingerprint_of(parts, 2);
}

struct dw_fingerprint dw_fingerprint_request(const char *organisation, const char *path,
					     const void *body, size_t body_len)
{
	struct dw_fingerprint_part parts[] = {
		{ organisation, strlen(organisation) },
		{ path, strlen(path) },
		{ body, body_len },
	};

	return dw_fingerprint_of(parts, 3);
}

void dw_fingerprint_text(struct dw_fingerprint fingerprint, char out[DW_FINGERPRINT_TEXT_BYTES])
{
	snprintf(out, DW_FINGERPRINT_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64, fingerprint.high,
		 fingerprint.low);
}

bool dw_fingerprint_parse(const char *text, struct dw_fingerprint *out)
{
	char high[17] = "";

	if (strlen(text) != DW_FINGERPRINT_TEXT_BYTES - 1 ||
	    strspn(text, "0123456789abcdef") != DW_FINGERPRINT_TEXT_BYTES - 1)
		return false;
	memcpy(high, text, sizeof(high) - 1);
	out->high = strtoull(high, NULL, 16);
	out->low = strtoull(text + sizeof(high) - 1, NULL, 16);
	return true;
}
