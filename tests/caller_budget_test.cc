// The account of callers: limits by machine, order of ending, shares of addresses. Load: up to 1,400 connections, as on the
// smallest machine.
#include <gtest/gtest.h>

#include <deque>

#include <dragonflywharf/caller_budget.h>

namespace
{

constexpr uint64_t MIB = 1 << 20;
constexpr uint64_t S = 1000000;
constexpr uint32_t ONE = 1;
constexpr uint32_t OTHER = 2;

struct CallerBudget : testing::Test {
	dw_caller_budget budget{};
	std::deque<dw_caller_account> accounts;
	uint64_t now = 100 * S;

	void limit(uint64_t bytes, uint64_t connections)
	{
		dw_caller_limits_of_machine machine = { 0, 0, bytes, connections };
		dw_caller_budget_set_limits(&budget, &machine);
	}
	dw_caller_account *add(uint32_t address, dw_caller_phase phase = DW_CALLER_READING,
			       uint64_t bytes = 0)
	{
		accounts.emplace_back();
		dw_caller_account *account = &accounts.back();
		dw_caller_budget_add(&budget, account, address, now);
		dw_caller_account_enter(account, phase, now);
		dw_caller_budget_hold(&budget, account, bytes);
		return account;
	}
	void TearDown() override
	{
		for (auto &account : accounts)
			dw_caller_budget_remove(&budget, &account);
		EXPECT_EQ(budget.bytes, 0U);
		EXPECT_EQ(budget.connections, 0U);
		EXPECT_EQ(budget.addresses, nullptr);
	}
};

/* A default that ordinary callers reach would reject them: several hundred at once, each with a body of 55 kB (64 KiB
 * allocated), a head of 4 KiB and the connection's own 4 KiB, all from one address. */
TEST_F(CallerBudget, TheSmallestMachineServesOrdinaryCallersOfOneAddress)
{
	dw_caller_limits_of_machine machine = { 120 * MIB, 3075, 0, 0 };
	dw_caller_budget_set_limits(&budget, &machine);
	EXPECT_LE(budget.max_bytes * 2, 96 * MIB);
	EXPECT_LE(budget.max_connections * 2 + 328, 3075U);
	for (int i = 0; i < 500; i++) {
		ASSERT_EQ(dw_caller_budget_admit(&budget, ONE), DW_CALLER_ACCEPT) << i;
		dw_caller_account *account = add(ONE);
		ASSERT_TRUE(dw_caller_budget_fits(&budget, account, 72 << 10)) << i;
		dw_caller_budget_hold(&budget, account, 72 << 10);
	}
}

/* A single body of the largest size is served on the smallest machine. */
TEST_F(CallerBudget, ALargestBodyFits)
{
	dw_caller_limits_of_machine machine = { 120 * MIB, 3075, 0, 0 };
	dw_caller_budget_set_limits(&budget, &machine);
	EXPECT_TRUE(dw_caller_budget_fits(&budget, add(ONE), 4 * MIB));
}

TEST_F(CallerBudget, TinyOrUnknownMachinesGetTheLeast)
{
	dw_caller_limits_of_machine tiny = { 8 * MIB, 100, 0, 0 };
	dw_caller_limits_of_machine unknown = {};
	dw_caller_budget_set_limits(&budget, &tiny);
	EXPECT_EQ(budget.max_bytes, 16 * MIB);
	EXPECT_EQ(budget.max_connections, 64U);
	dw_caller_budget_set_limits(&budget, &unknown);
	EXPECT_EQ(budget.max_bytes, 48 * MIB);
	EXPECT_EQ(budget.max_connections, 1024U);
}

/* Large bodies that fill their part would otherwise keep out every small request. */
TEST_F(CallerBudget, SmallBodiesFitBesideLargeOnes)
{
	limit(16 * MIB, 100);
	while (dw_caller_budget_fits(&budget, add(ONE), MIB))
		dw_caller_budget_hold(&budget, &accounts.back(), MIB);
	EXPECT_EQ(budget.bytes, 9 * MIB);
	EXPECT_TRUE(dw_caller_budget_fits(&budget, add(ONE), 64 << 10));
}

TEST_F(CallerBudget, OneAddressLeavesAQuarterToOthers)
{
	limit(16 * MIB, 100);
	for (int i = 0; i < 75; i++)
		add(ONE, DW_CALLER_RUNNING, i < 12 ? MIB : 0);
	EXPECT_EQ(dw_caller_budget_admit(&budget, ONE), DW_CALLER_REJECT);
	EXPECT_EQ(dw_caller_budget_admit(&budget, OTHER), DW_CALLER_ACCEPT);
	EXPECT_FALSE(dw_caller_budget_fits(&budget, &accounts.back(), 1000));
	EXPECT_TRUE(dw_caller_budget_fits(&budget, add(OTHER), 1000));
}

TEST_F(CallerBudget, RejectionsAreBoundedToo)
{
	limit(16 * MIB, 80);
	while (dw_caller_budget_admit(&budget, ONE) != DW_CALLER_DROP)
		add(ONE);
	EXPECT_EQ(budget.connections, 98U);
}

/* An engine works on a request that was handed on; ending it would waste that and prove nothing about its run. */
TEST_F(CallerBudget, RequestsThatWereHandedOnAreNeverEnded)
{
	limit(16 * MIB, 10);
	dw_caller_account *running = add(ONE, DW_CALLER_RUNNING, 4 * MIB);
	dw_caller_account *asking = add(ONE);
	now += 1000 * S;
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now), nullptr);
	dw_caller_account_enter(running, DW_CALLER_UNREAD, now);
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now + S), running);
}

/* The newest of two fast callers must not push out the other. */
TEST_F(CallerBudget, OnlyStalledOnesAreEndedTheLongestFirst)
{
	limit(16 * MIB, 10);
	dw_caller_account *a = add(ONE, DW_CALLER_READING, MIB);
	now += S / 2;
	dw_caller_account *b = add(ONE, DW_CALLER_READING, MIB);
	dw_caller_account *asking = add(ONE);
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now), nullptr);
	now += S;
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now), a);
	dw_caller_account_move(a, 4096, now);
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now), b);
	EXPECT_EQ(dw_caller_budget_connection_to_end(&budget, ONE, now), b);
}

TEST_F(CallerBudget, ATrickleIsNoProgress)
{
	limit(16 * MIB, 10);
	dw_caller_account *a = add(ONE, DW_CALLER_READING, MIB);
	dw_caller_account *asking = add(ONE);
	for (int i = 0; i < 100; i++)
		dw_caller_account_move(a, 40, now += S / 10);
	EXPECT_EQ(dw_caller_budget_memory_to_end(&budget, asking, now), a);
}

/* Otherwise a crowd at one address ends the quiet connections of all others. */
TEST_F(CallerBudget, AnAddressWithMostOfItIsEndedFirst)
{
	limit(16 * MIB, 10);
	dw_caller_account *quiet = add(OTHER, DW_CALLER_IDLE);
	now += S;
	for (int i = 0; i < 6; i++)
		add(ONE, DW_CALLER_IDLE);
	now += S;
	EXPECT_NE(dw_caller_budget_connection_to_end(&budget, 3, now), quiet);
	EXPECT_EQ(dw_caller_budget_connection_to_end(&budget, 3, now)->address, ONE);
}

TEST_F(CallerBudget, AnAddressAtItsShareEndsOnlyItsOwn)
{
	limit(16 * MIB, 8);
	dw_caller_account *quiet = add(OTHER, DW_CALLER_IDLE);
	for (int i = 0; i < 6; i++)
		add(ONE, DW_CALLER_RUNNING);
	now += 9 * S;
	EXPECT_EQ(dw_caller_budget_connection_to_end(&budget, ONE, now), nullptr);
	EXPECT_EQ(dw_caller_budget_connection_to_end(&budget, 3, now), quiet);
}

TEST_F(CallerBudget, HugeLengthsDoNotOverflow)
{
	limit(16 * MIB, 8);
	EXPECT_FALSE(
		dw_caller_budget_fits(&budget, add(ONE, DW_CALLER_READING, 1), UINT64_MAX - 1));
}

TEST_F(CallerBudget, ATransferHasADeadlineThatGrowsWithItsBytes)
{
	EXPECT_EQ(dw_caller_transfer_deadline_us(S, 0), 31 * S);
	EXPECT_EQ(dw_caller_transfer_deadline_us(S, 4 * MIB), 31 * S + 1024 * S);
}

} // namespace
