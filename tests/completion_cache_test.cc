#include <gtest/gtest.h>

#include <memory>

#include <dragonflywharf/completion_cache.h>

namespace
{

constexpr uint64_t SECOND = 1000000;

/* A request that ended well a moment ago doesn't crash engines of that version; of another one it may. */
TEST(CompletionCache, KnowsRequestVersionAndTime)
{
	auto cache = std::make_unique<dw_completion_cache>();
	dw_fingerprint request = { 5, 6 };

	EXPECT_FALSE(dw_completion_cache_has(cache.get(), request, "v1", 0));
	dw_completion_cache_add(cache.get(), request, "v1", 10 * SECOND);
	EXPECT_TRUE(dw_completion_cache_has(cache.get(), request, "v1", 10 * SECOND));
	EXPECT_FALSE(dw_completion_cache_has(cache.get(), request, "v1", 10 * SECOND + 1));
	EXPECT_FALSE(dw_completion_cache_has(cache.get(), request, "v2", 0));
	EXPECT_FALSE(dw_completion_cache_has(cache.get(), { 6, 5 }, "v1", 0));
}

TEST(CompletionCache, ManyRequestsNeverPassForOthers)
{
	auto cache = std::make_unique<dw_completion_cache>();

	for (uint64_t i = 0; i < 5 * DW_COMPLETION_CACHE_ENTRIES; i++)
		dw_completion_cache_add(cache.get(), { i, 1 }, "v1", SECOND);
	for (uint64_t i = 0; i < 5 * DW_COMPLETION_CACHE_ENTRIES; i++)
		EXPECT_FALSE(dw_completion_cache_has(cache.get(), { i, 2 }, "v1", 0));
	EXPECT_TRUE(dw_completion_cache_has(cache.get(), { 5 * DW_COMPLETION_CACHE_ENTRIES - 1, 1 },
					    "v1", 0));
}

} // namespace
