#include <dragonflywharf/fingerprint.h>

#include <string.h>

#include <xxhash.h>

/* Each part enters as its hash, so the parts' borders matter and no state is allocated. */
struct dw_fingerprint dw_fingerprint_of(const struct dw_fingerprint_part *parts, size_t count)
{
	struct dw_fingerprint sum = { 0 };

	for (size_t i = 0; i < count; i++) {
		XXH128_hash_t part =
			XXH3_128bits(parts[i].bytes ? parts[i].bytes : "", parts[i].len);
		uint64_t words[4] = { sum.low, sum.high, part.low64, part.high64 };
		XXH128_hash_t both = XXH3_128bits(words, sizeof(words));

		sum.low = both.low64;
		sum.high = both.high64;
	}
	return sum;
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
