#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include <dragonflywharf/route.h>

namespace
{

constexpr uint64_t kNow = 100'000'000;
constexpr uint64_t kSeed = 20261204;

/** Upstreams of equal speed, with permits, spread over @p domains failure domains; none is cold. */
struct Upstreams {
	std::vector<dw_upstream_load> loads;
	std::vector<dw_route_candidate> candidates;
	dw_route_policy policy = dw_route_policy_default();
	dw_route_request request = {};
	std::mt19937_64 random{ kSeed };

	Upstreams(size_t count, uint32_t domains) : loads(count), candidates(count)
	{
		for (size_t i = 0; i < count; i++) {
			loads[i] = {};
			loads[i].slots = 8;
			candidates[i] = {};
			candidates[i].upstream_id = 1000 + i;
			candidates[i].failure_domain = i % domains;
			candidates[i].limit = 16;
			candidates[i].permits = 16;
			candidates[i].load = &loads[i];
		}
		request.now_us = kNow;
		request.prompt_tokens = 500;
		request.output_tokens = 100;
	}

	enum dw_status choose(dw_route_choice *out)
	{
		request.random = random();
		return dw_route_choose(&policy, &request, candidates.data(), candidates.size(),
				       out);
	}

	size_t chosen()
	{
		dw_route_choice choice;

		EXPECT_EQ(choose(&choice), DW_OK) << dw_last_message();
		return choice.index;
	}

	double share_of(size_t index, int draws = 20000)
	{
		int hits = 0;

		for (int i = 0; i < draws; i++)
			hits += chosen() == index;
		return (double)hits / draws;
	}
};

TEST(UpstreamLoad, AddsOwnRequestsToTheReportedOnesOfOthers)
{
	dw_upstream_load load = {};

	load.slots = 8;
	dw_upstream_load_sent(&load, kNow);
	dw_upstream_load_sent(&load, kNow);
	dw_upstream_load_sent(&load, kNow + 600'000);
	/* The report was made 300 ms after the first two sends and arrives later: 7 in flight, 2 of
	 * them this instance's. */
	dw_upstream_load_report(&load, kNow + 300'000, 5, 2);
	EXPECT_EQ(dw_upstream_load_estimate(&load, kNow + 300'000, 1), 3U + 5U);
	/* An older report that arrives afterwards is ignored. */
	dw_upstream_load_report(&load, kNow + 200'000, 8, 90);
	EXPECT_EQ(dw_upstream_load_estimate(&load, kNow + 300'000, 1), 8U);
	/* A stale report is ignored: each other instance is assumed to have as many as this one. */
	EXPECT_EQ(dw_upstream_load_estimate(&load, kNow + 60'000'000, 1), 3U);
	EXPECT_EQ(dw_upstream_load_estimate(&load, kNow + 60'000'000, 4), 12U);
	dw_upstream_load_ended(&load, kNow + 700'000, nullptr);
	EXPECT_EQ(dw_upstream_load_estimate(&load, kNow + 300'000, 1), 7U);
}

TEST(UpstreamLoad, LearnsSpeedAndAddsQueueingTime)
{
	dw_upstream_load load = {};
	dw_load_sample sample = { 1000, 101, 100'000, 1'100'000, 0 };

	load.slots = 8;
	for (int i = 0; i < 40; i++) {
		dw_upstream_load_sent(&load, kNow);
		dw_upstream_load_ended(&load, kNow, &sample);
	}
	EXPECT_NEAR((double)load.us_per_token, 10'000, 100);
	EXPECT_NEAR((double)dw_upstream_load_expected_us(&load, 0, 1000, 100), 1'100'000, 20'000);
	EXPECT_GT(dw_upstream_load_expected_us(&load, 7, 0, 100),
		  dw_upstream_load_expected_us(&load, 0, 0, 100));
	EXPECT_GT(dw_upstream_load_expected_us(&load, 16, 0, 100),
		  dw_upstream_load_expected_us(&load, 7, 0, 100) + 1'000'000);
}

/* With random candidates, never chooses one that was tried, has no permit or is reserved for
 * isolation, nor a suspect one while another is left. */
TEST(Route, ChoosesOnlyEligibleCandidates)
{
	std::mt19937_64 random(kSeed);

	for (int round = 0; round < 20000; round++) {
		Upstreams upstreams(1 + random() % 12, 3);
		std::vector<uint64_t> tried;
		bool any_left = false;
		bool any_permit = false;
		bool any_not_suspect = false;
		dw_route_choice choice;

		upstreams.random.seed(round);
		upstreams.request.affinity = random() % 2 ? random() | 1 : 0;
		for (auto &candidate : upstreams.candidates) {
			candidate.permits = random() % 3;
			candidate.cold = random() % 4 == 0;
			candidate.suspect = random() % 4 == 0;
			candidate.isolation = random() % 6 == 0;
			candidate.limit = 1 + random() % 4;
			dw_upstream_load &load =
				upstreams.loads[&candidate - &upstreams.candidates[0]];
			load.in_flight = random() % 6;
			if (random() % 4 == 0)
				tried.push_back(candidate.upstream_id);
			bool left = !candidate.isolation &&
				    (tried.empty() || tried.back() != candidate.upstream_id);
			any_left |= left;
			any_permit |= left && candidate.permits;
			any_not_suspect |= left && candidate.permits && !candidate.suspect;
		}
		upstreams.request.tried = tried.data();
		upstreams.request.tried_count = tried.size();
		enum dw_status status = upstreams.choose(&choice);

		ASSERT_EQ(status, any_permit ? DW_OK
				  : any_left ? DW_OVERLOADED
					     : DW_UNAVAILABLE)
			<< "round " << round;
		if (status == DW_UNAVAILABLE) {
			ASSERT_EQ(choice.index, DW_ROUTE_NONE);
			continue;
		}
		const dw_route_candidate &taken = upstreams.candidates[choice.index];

		ASSERT_FALSE(taken.isolation) << "round " << round;
		ASSERT_TRUE(status == DW_OVERLOADED || taken.permits) << "round " << round;
		ASSERT_TRUE(status == DW_OVERLOADED || !taken.suspect || !any_not_suspect)
			<< "round " << round;
		for (uint64_t id : tried)
			ASSERT_NE(id, taken.upstream_id) << "round " << round;
	}
}

TEST(Route, SuspectedRequestGoesToAnIsolationOrIdleUpstream)
{
	Upstreams upstreams(6, 3);
	dw_route_choice choice;

	upstreams.request.crash_suspect = true;
	for (auto &load : upstreams.loads)
		load.in_flight = 3;
	upstreams.loads[4].in_flight = 0;
	EXPECT_EQ(upstreams.chosen(), 4U);
	upstreams.candidates[2].isolation = true;
	ASSERT_EQ(upstreams.choose(&choice), DW_OK);
	EXPECT_EQ(choice.index, 2U);
	EXPECT_EQ(choice.reason, DW_ROUTE_ISOLATED);
}

TEST(Route, ConversationStaysWithItsCachedPrefixWithinTheLoadBound)
{
	std::map<size_t, int> homes;

	for (uint64_t conversation = 1; conversation <= 400; conversation++) {
		Upstreams upstreams(12, 4);

		upstreams.request.affinity = dw_route_affinity(
			7, reinterpret_cast<const char *>(&conversation), sizeof(conversation));
		size_t home = upstreams.chosen();

		homes[home]++;
		for (uint32_t domain = 0; domain < 4; domain++) {
			upstreams.request.failure_domain = domain;
			ASSERT_EQ(upstreams.chosen(), home);
		}
		upstreams.loads[home].in_flight = 15;
		ASSERT_NE(upstreams.chosen(), home) << "load is above the bound";
		for (auto &load : upstreams.loads)
			load.in_flight = 14;
		ASSERT_EQ(upstreams.chosen(), home) << "all are equally loaded";
	}
	/* The bound applies even if the cached prefix would still make this one the fastest. */
	Upstreams upstreams(12, 4);

	upstreams.request.affinity = 77;
	upstreams.request.prompt_tokens = 20'000;
	upstreams.request.cached_tokens = 19'000;
	size_t home = upstreams.chosen();

	for (auto &load : upstreams.loads)
		load.in_flight = 2;
	ASSERT_EQ(upstreams.chosen(), home);
	upstreams.loads[home].in_flight = 6;
	EXPECT_NE(upstreams.chosen(), home);
	EXPECT_EQ(homes.size(), 12U);
	for (auto &home : homes)
		EXPECT_LT(home.second, 400 / 12 * 2);
}

TEST(Route, PrefersTheOwnFailureDomainByLinkCost)
{
	Upstreams upstreams(8, 4);
	std::vector<uint32_t> cost((size_t)DW_ROUTE_DOMAINS_MAX * DW_ROUTE_DOMAINS_MAX, 0);

	double even = upstreams.share_of(0) + upstreams.share_of(4);

	for (uint32_t other = 1; other < 4; other++)
		cost[other] = 50'000;
	upstreams.policy.link_cost_us = cost.data();
	EXPECT_GT(upstreams.share_of(0) + upstreams.share_of(4), 1.5 * even);
	/* A more expensive link is used once the queues in the own failure domain are long. */
	upstreams.loads[0].in_flight = upstreams.loads[4].in_flight = 15;
	EXPECT_LT(upstreams.share_of(0) + upstreams.share_of(4), even);
}

TEST(Route, ShareOfAReturningUpstreamRises)
{
	Upstreams upstreams(4, 4);
	double usual = upstreams.share_of(0);

	dw_slow_start_begin(&upstreams.candidates[0].slow_start, kNow, kNow + 10'000'000);
	EXPECT_LT(upstreams.share_of(0), usual / 8);
	upstreams.request.now_us = kNow + 5'000'000;
	double half = upstreams.share_of(0);
	EXPECT_GT(half, usual / 4);
	EXPECT_LT(half, usual * 3 / 4);
	upstreams.request.now_us = kNow + 10'000'000;
	EXPECT_NEAR(upstreams.share_of(0), usual, 0.02);
	/* If no other candidate has a permit, the slow start is ignored. */
	upstreams.request.now_us = kNow;
	for (size_t i = 1; i < 4; i++)
		upstreams.candidates[i].permits = 0;
	EXPECT_EQ(upstreams.chosen(), 0U);
}

/* Nine instances with the same old report must not all send to the least loaded upstream in it. */
TEST(Route, InstancesWithTheSameStaleReportSpreadTheirRequests)
{
	std::vector<int> sent(12, 0);

	for (int instance = 0; instance < 9; instance++) {
		Upstreams upstreams(12, 4);

		upstreams.policy.instances = 9;
		upstreams.random.seed(instance);
		for (size_t i = 0; i < 12; i++)
			dw_upstream_load_report(&upstreams.loads[i], kNow - 500'000, i ? 4 : 3, 0);
		for (int i = 0; i < 8; i++) {
			size_t index = upstreams.chosen();

			sent[index]++;
			dw_upstream_load_sent(&upstreams.loads[index], kNow);
		}
	}
	for (int count : sent)
		EXPECT_LE(count, 12) << "mean: 6";
}

TEST(Route, RejectsMalformedCandidates)
{
	Upstreams upstreams(2, 1);
	dw_route_choice choice;

	upstreams.candidates[1].load = nullptr;
	EXPECT_EQ(upstreams.choose(&choice), DW_INVALID_ARGUMENT);
	upstreams.candidates[1].load = &upstreams.loads[1];
	upstreams.candidates[1].failure_domain = DW_ROUTE_DOMAINS_MAX;
	EXPECT_EQ(upstreams.choose(&choice), DW_INVALID_ARGUMENT);
	Upstreams large(DW_ROUTE_CANDIDATES_MAX + 1, 1);
	EXPECT_EQ(large.choose(&choice), DW_INVALID_ARGUMENT);
}

} // namespace
