#include <dragonflywharf/rendezvous.h>

#include <xxhash.h>

uint64_t dw_rendezvous_score(uint64_t key, uint64_t member_id)
{
	return XXH3_64bits_withSeed(&key, sizeof(key), member_id);
}

uint64_t dw_rendezvous_key(const char *text, size_t len)
{
	return XXH64(text, len, 0);
}
