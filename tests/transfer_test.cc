// How long an answer is waited for that arrives in parts.
#include <gtest/gtest.h>

#include <dragonflywharf/transfer.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t START = 5000 * MS;
constexpr uint64_t SILENCE = 700 * MS;

/* When an answer of @p parts, one each @p gap_us, is whole; 0: it was given up. */
uint64_t end_of(uint64_t parts, uint64_t gap_us)
{
	dw_transfer transfer;
	uint64_t now_us = START;
	dw_transfer_start(&transfer, START + SILENCE, START);
	for (uint64_t i = 0; i < parts; i++) {
		now_us += gap_us;
		if (now_us >= transfer.due_us)
			return 0;
		dw_transfer_received(&transfer, SILENCE, now_us);
	}
	return now_us;
}

/* Guards against the incident CONFIG: 0.5 MB over a link of 10 Mbit/s beside other traffic takes
 * longer than the first byte may, and was given up and begun again without end. */
TEST(Transfer, AnAnswerThatKeepsArrivingIsWaitedFor)
{
	EXPECT_EQ(end_of(150, 10 * MS), START + 1500 * MS);
	EXPECT_EQ(end_of(4, 600 * MS), START + 2400 * MS);
}

TEST(Transfer, ASilentOrTricklingAnswerIsGivenUp)
{
	EXPECT_EQ(end_of(1, 700 * MS), 0U);
	EXPECT_EQ(end_of(1000, 100 * MS), 0U) << "2.8 s at most";
}

TEST(Transfer, ADeadlineThatHasPassedOrNeverComesIsKept)
{
	dw_transfer transfer;
	dw_transfer_start(&transfer, START - 1, START);
	EXPECT_EQ(transfer.due_us, START);
	dw_transfer_start(&transfer, UINT64_MAX, START);
	EXPECT_EQ(transfer.due_us, UINT64_MAX);
	EXPECT_EQ(transfer.end_us, UINT64_MAX);
}

} // namespace
