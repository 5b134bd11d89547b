#include <gtest/gtest.h>

#include <dragonflywharf/graceful_shutdown.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t START = 1000 * MS;
const dw_graceful_shutdown STOP = { START, START + 7360 * MS };

bool admits(dw_route_kind kind, uint64_t after_ms, uint64_t timeout_ms)
{
	uint64_t now_us = START + after_ms * MS;
	return dw_graceful_shutdown_accepts(&STOP, kind, now_us + timeout_ms * MS, now_us);
}

/* Instances stopped in turn while they answer: a stream that came late was cut at the end. */
TEST(PlannedStop, WhatCantBeFinishedIsRefused)
{
	EXPECT_TRUE(admits(DW_ROUTE_STREAM, 500, 20000)) << "the balancer hasn't noticed yet";
	EXPECT_FALSE(admits(DW_ROUTE_STREAM, 3400, 20000));
	EXPECT_TRUE(admits(DW_ROUTE_STREAM, 3400, 3000)) << "its limit ends before the stop";
	EXPECT_TRUE(admits(DW_ROUTE_SAFE, 5000, 20000));
	EXPECT_FALSE(admits(DW_ROUTE_UNSAFE, 7000, 1500));
}

TEST(PlannedStop, ARunningInstanceTakesAll)
{
	dw_graceful_shutdown running{};
	EXPECT_TRUE(dw_graceful_shutdown_accepts(&running, DW_ROUTE_STREAM, UINT64_MAX, START));
}

} // namespace
