#include <gtest/gtest.h>

#include <dragonflywharf/prefix_cache.h>

namespace
{

dw_prompt prompt_of(std::initializer_list<dw_prompt_part> parts)
{
	dw_prompt prompt{};
	for (const dw_prompt_part &part : parts) {
		prompt.parts[prompt.part_count++] = part;
		prompt.tokens_in += part.tokens;
	}
	return prompt;
}

struct PrefixCache : testing::Test {
	dw_prefix_cache *cache = dw_prefix_cache_new(1000);

	~PrefixCache() override
	{
		dw_prefix_cache_free(cache);
	}
};

TEST_F(PrefixCache, PartCountsOnlyIfAllPartsBeforeItAreCached)
{
	dw_prompt stored = prompt_of({ { 1, 100 }, { 2, 50 } });
	dw_prompt other = prompt_of({ { 9, 100 }, { 2, 50 } });
	dw_prefix_cache_touch(cache, 7, &stored);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &stored), 150U);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &other), 0U);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 8, &stored), 0U) << "another model";
}

/* Guards against callers whose prompts have many short parts, and fill the memory. */
TEST_F(PrefixCache, KeepsABoundedNumberOfPartsHoweverShort)
{
	for (uint64_t i = 1; i <= 3 * DW_PREFIX_CACHE_PARTS_MAX; i++) {
		dw_prompt prompt = prompt_of({ { i, 0 } });
		dw_prefix_cache_touch(cache, 7, &prompt);
	}
	EXPECT_EQ(dw_prefix_cache_part_count(cache), (size_t)DW_PREFIX_CACHE_PARTS_MAX);
}

TEST_F(PrefixCache, EvictsTheLeastRecentlyUsedParts)
{
	dw_prompt first = prompt_of({ { 1, 400 } });
	dw_prompt second = prompt_of({ { 2, 400 } });
	dw_prompt third = prompt_of({ { 3, 400 } });
	dw_prefix_cache_touch(cache, 7, &first);
	dw_prefix_cache_touch(cache, 7, &second);
	dw_prefix_cache_touch(cache, 7, &first);
	dw_prefix_cache_touch(cache, 7, &third);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &first), 400U);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &second), 0U);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &third), 400U);
}

TEST_F(PrefixCache, EvictsThePartsOfAPromptFromItsEnd)
{
	dw_prompt two_parts = prompt_of({ { 1, 400 }, { 2, 400 } });
	dw_prompt next = prompt_of({ { 3, 400 } });
	dw_prefix_cache_touch(cache, 7, &two_parts);
	dw_prefix_cache_touch(cache, 7, &next);
	EXPECT_EQ(dw_prefix_cache_cached_tokens(cache, 7, &two_parts), 400U);
}

} // namespace
