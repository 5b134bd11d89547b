#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include <dragonflywharf/restore_writes.h>

namespace
{

constexpr uint64_t MS = 1000;
/* A write is seen by all instances within this time. */
constexpr uint64_t SEEN_US = 400 * MS;
constexpr int RECORDS = 200;

/* When each instance would write, those that are lost left out. */
std::vector<uint64_t> delays_of(uint32_t members, uint32_t lost_from, uint32_t lost_to,
				std::mt19937_64 &random)
{
	std::vector<uint64_t> delays;
	for (uint32_t rank = 0; rank < members; rank++) {
		dw_view_place place{};
		place.members = members;
		place.readers = dw_view_reader_count(members);
		place.rank = rank;
		uint64_t delay_us = dw_restore_write_delay_us(&place, random());
		if (rank < lost_from || rank >= lost_to)
			delays.push_back(delay_us);
	}
	std::sort(delays.begin(), delays.end());
	return delays;
}

/* Writers of a record: those that don't see the first one's write in time. */
size_t writers(const std::vector<uint64_t> &delays)
{
	return (size_t)(std::lower_bound(delays.begin(), delays.end(), delays[0] + SEEN_US) -
			delays.begin());
}

/* Guards against a burst of the whole fleet: each instance holds the record that the store has lost. */
TEST(RestoreWrites, ARecordHasAFewWriters)
{
	for (uint32_t members : { 1U, 2U, 10U, 100U, 300U, 2100U }) {
		std::mt19937_64 random(members);
		size_t sum = 0;
		for (int i = 0; i < RECORDS; i++) {
			std::vector<uint64_t> delays = delays_of(members, 0, 0, random);
			EXPECT_LT(delays[0], 300 * MS) << "the first reader writes at once";
			EXPECT_LE(writers(delays), 2U) << members;
			sum += writers(delays);
		}
		printf("%u instances: %.2f writers a record\n", members, (double)sum / RECORDS);
	}
}

/* Guards against records that nobody writes, and a burst, if all readers are lost with the restore. */
TEST(RestoreWrites, WithoutReadersOthersWrite)
{
	for (uint32_t members : { 10U, 100U, 300U, 2100U }) {
		std::mt19937_64 random(members);
		uint32_t readers = dw_view_reader_count(members);
		size_t sum = 0;
		size_t most = 0;
		for (int i = 0; i < RECORDS; i++) {
			std::vector<uint64_t> delays = delays_of(members, 0, readers, random);
			EXPECT_LT(delays[0], 3000 * MS);
			sum += writers(delays);
			most = std::max(most, writers(delays));
		}
		EXPECT_LE(most, 6U) << members;
		EXPECT_LE(sum, 3U * RECORDS) << members;
		printf("%u instances without readers: %.2f writers a record, at most %zu\n",
		       members, (double)sum / RECORDS, most);
	}
}

/* Guards against instances that never write, as one after the other is lost: each has its turn. */
TEST(RestoreWrites, EachInstanceHasItsTurn)
{
	std::mt19937_64 random(1);
	std::vector<uint64_t> delays = delays_of(2100, 0, 0, random);
	EXPECT_LT(delays.back(), 14000 * MS);
	dw_view_place unknown{};
	EXPECT_LT(dw_restore_write_delay_us(&unknown, 0), 3000 * MS) << "no place is known yet";
}

} // namespace
