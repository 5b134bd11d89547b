#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include <dragonflywharf/retry_window.h>

namespace
{

constexpr uint64_t SECOND = 1000000;
const dw_retry_window_options OPTIONS = { 10 * SECOND, 900, 3 };

size_t count_within(const std::deque<uint64_t> &times, uint64_t from_us, uint64_t to_us)
{
	size_t count = 0;
	for (uint64_t at : times)
		count += at > from_us && at <= to_us;
	return count;
}

/*
 * Guards against a retry storm: a window may have at most 90% as many retries as requests, plus 3.
 * The requests counted are those of that window, of the one before it or of the one half a window
 * earlier, whichever are most.
 */
TEST(RetryWindow, NoWindowHasMoreRetriesThanAllowed)
{
	std::mt19937_64 random(3);
	dw_retry_window window{};
	std::deque<uint64_t> requests;
	std::deque<uint64_t> retries;
	uint64_t now_us = 100 * SECOND;
	for (int i = 0; i < 20000; i++) {
		now_us += random() % (SECOND / 20);
		if (random() % 3 == 0) {
			dw_retry_window_request(&window, &OPTIONS, now_us);
			requests.push_back(now_us);
		} else if (dw_retry_window_take(&window, &OPTIONS, now_us)) {
			retries.push_back(now_us);
		}
		while (!requests.empty() && requests.front() + 20 * SECOND <= now_us)
			requests.pop_front();
		while (!retries.empty() && retries.front() + 10 * SECOND <= now_us)
			retries.pop_front();
		size_t max_requests = 0;
		for (uint64_t offset_us : { uint64_t{ 0 }, 5 * SECOND, 10 * SECOND })
			max_requests =
				std::max(max_requests,
					 count_within(requests, now_us - offset_us - 10 * SECOND,
						      now_us - offset_us));
		ASSERT_LE(retries.size() * 10, max_requests * 9 + 30) << "seed 3, step " << i;
	}
}

TEST(RetryWindow, AllowsRetriesAgainAsTheWindowMoves)
{
	dw_retry_window window{};
	uint64_t now_us = 50 * SECOND;
	EXPECT_EQ(dw_retry_window_remaining(&window, &OPTIONS, now_us), 3U);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(dw_retry_window_take(&window, &OPTIONS, now_us));
	EXPECT_FALSE(dw_retry_window_take(&window, &OPTIONS, now_us));
	EXPECT_FALSE(dw_retry_window_take(&window, &OPTIONS, now_us + 9 * SECOND));
	EXPECT_TRUE(dw_retry_window_take(&window, &OPTIONS, now_us + 11 * SECOND));
}

} // namespace

/* A fleet whose slack is smaller than the number of instances still uses all of it, and never more. */
TEST(RetrySlack, PartsAddUpToTheSlack)
{
	for (uint32_t instances : { 1U, 9U, 383U, 700U, 2730U }) {
		for (uint64_t slack : { 0U, 33U, 58U, 630U }) {
			uint64_t sum = 0;
			for (uint32_t rank = 0; rank < instances; rank++)
				sum += dw_retry_slack_part(slack, instances, rank);
			EXPECT_EQ(sum, slack) << instances;
		}
	}
	EXPECT_EQ(dw_retry_slack_part(630, 4096, UINT32_MAX), 0U);
	EXPECT_EQ(dw_retry_slack_part(630, 0, 0), 630U);
}
