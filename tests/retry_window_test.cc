#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include <dragonflywharf/retry_window.h>

namespace
{

constexpr uint64_t SECOND = 1000000;
const dw_retry_window_options OPTIONS = { 10 * SECOND, 900, 3 };

size_t within(const std::deque<uint64_t> &times, uint64_t from_us, uint64_t to_us)
{
	size_t count = 0;
	for (uint64_t at : times)
		count += at > from_us && at <= to_us;
	return count;
}

/* Storm of retries: in no window are there more repeats than the stated part of the requests of that
 * window, the one before it or the one half a window before it. */
TEST(RetryWindow, NoWindowHoldsMoreRepeatsThanAllowed)
{
	std::mt19937_64 random(3);
	dw_retry_window window{};
	std::deque<uint64_t> requests;
	std::deque<uint64_t> repeats;
	uint64_t now_us = 100 * SECOND;
	for (int i = 0; i < 20000; i++) {
		now_us += random() % (SECOND / 20);
		if (random() % 3 == 0) {
			dw_retry_window_request(&window, &OPTIONS, now_us);
			requests.push_back(now_us);
		} else if (dw_retry_window_take(&window, &OPTIONS, now_us)) {
			repeats.push_back(now_us);
		}
		while (!requests.empty() && requests.front() + 20 * SECOND <= now_us)
			requests.pop_front();
		while (!repeats.empty() && repeats.front() + 10 * SECOND <= now_us)
			repeats.pop_front();
		size_t most = 0;
		for (uint64_t back : { uint64_t{ 0 }, 5 * SECOND, 10 * SECOND })
			most = std::max(
				most, within(requests, now_us - back - 10 * SECOND, now_us - back));
		ASSERT_LE(repeats.size() * 10, most * 9 + 30) << "seed 3, step " << i;
	}
}

TEST(RetryWindow, ItsRoomComesBackWithTime)
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
