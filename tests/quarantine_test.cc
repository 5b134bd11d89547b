#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <dragonflywharf/quarantine.h>

#include "net/quarantine_codec.h"

namespace
{

constexpr uint64_t SECOND = 1000000;
const dw_fingerprint POISON = { 13, 13 };

struct Quarantine {
	std::unique_ptr<dw_quarantine, void (*)(dw_quarantine *)> own{ nullptr,
								       dw_quarantine_free };

	explicit Quarantine(dw_quarantine_options options = dw_quarantine_default_options())
	{
		dw_quarantine *created = nullptr;
		EXPECT_EQ(dw_quarantine_new(&created, &options), DW_OK);
		own.reset(created);
	}
	dw_quarantine *get() const
	{
		return own.get();
	}
};

/*
 * A poison request arrives repeatedly, at any instance, while evidence between instances is
 * delayed.
 */
struct Simulation {
	std::mt19937_64 random;
	std::vector<Quarantine> instances;
	std::deque<std::pair<size_t, dw_quarantine_evidence>> network;
	std::vector<uint64_t> incarnations;
	int crashes = 0;

	Simulation(uint64_t seed, size_t count) : random(seed), instances(count), incarnations(8, 1)
	{
	}

	void run(dw_quarantine *own, uint64_t now_us)
	{
		for (uint32_t retries = 0;; retries++) {
			uint64_t upstream = random() % incarnations.size();
			if (!dw_quarantine_may_run(own, POISON, upstream, nullptr, 0, now_us))
				return;
			dw_quarantine_crashed(own, upstream, incarnations[upstream]++, &POISON, 1,
					      now_us);
			crashes++;
			if (!dw_quarantine_may_retry(own, POISON, retries, now_us))
				return;
		}
	}

	void send(size_t from, uint64_t now_us)
	{
		dw_quarantine_evidence evidence;
		while (dw_quarantine_next_evidence(instances[from].get(), now_us, &evidence)) {
			for (size_t to = 0; to < instances.size(); to++) {
				if (to != from)
					network.push_back({ to, evidence });
			}
		}
	}

	void deliver(uint64_t now_us)
	{
		auto [to, evidence] = network.front();
		network.pop_front();
		dw_quarantine_merge(instances[to].get(), &evidence, now_us);
		send(to, now_us);
	}
};

TEST(Quarantine, BoundsTheUpstreamsThatCrash)
{
	for (uint64_t seed = 1; seed <= 500; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Simulation with_slow_network(seed, 2 + seed % 7);
		Simulation with_fast_network(seed, 2 + seed % 7);
		for (uint64_t i = 0; i < 200; i++) {
			size_t index =
				with_slow_network.random() % with_slow_network.instances.size();
			uint64_t now_us = SECOND + i;
			with_slow_network.run(with_slow_network.instances[index].get(), now_us);
			with_slow_network.send(index, now_us);
			if (with_slow_network.random() % 2 && !with_slow_network.network.empty())
				with_slow_network.deliver(now_us);
			with_fast_network.run(with_fast_network.instances[index].get(), now_us);
			with_fast_network.send(index, now_us);
			while (!with_fast_network.network.empty())
				with_fast_network.deliver(now_us);
		}
		ASSERT_LE(with_fast_network.crashes, 2)
			<< "the evidence arrived before the next request";
		ASSERT_LE(with_slow_network.crashes, 2 * (int)with_slow_network.instances.size());
		for (const Quarantine &quarantine : with_fast_network.instances)
			ASSERT_EQ(dw_quarantine_check(quarantine.get(), POISON, 2 * SECOND),
				  DW_QUARANTINED);
	}
}

/* Callers that leave their request before its engine ends. */
TEST(Quarantine, AbandonedRunsQuarantineToo)
{
	Quarantine quarantine;
	dw_quarantine_evidence first = { POISON, 5, 1, 10 * SECOND, true };
	dw_quarantine_evidence second = { POISON, 6, 1, 10 * SECOND, true };

	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &first, SECOND));
	EXPECT_TRUE(dw_quarantine_is_suspect(quarantine.get(), POISON, SECOND));
	EXPECT_TRUE(
		dw_quarantine_merge(quarantine.get(), &second, SECOND + DW_QUARANTINE_TOGETHER_US));
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 2 * SECOND), DW_QUARANTINED);
}

/* Engines that end at the same moment for a reason of their own: a caller that left two of them, one
 * after the other, is innocent. */
TEST(Quarantine, EnginesThatEndTogetherCountOnceForAbandonedRuns)
{
	Quarantine quarantine;

	for (uint64_t i = 0; i < 5; i++) {
		dw_quarantine_evidence piece = { POISON, 5 + i, 1, 600 * SECOND, true };
		EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &piece, SECOND + i));
	}
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 2 * SECOND), DW_OK);
	EXPECT_EQ(dw_quarantine_suspect_count(quarantine.get(), 2 * SECOND), 1U);
	EXPECT_EQ(dw_quarantine_clear(quarantine.get(), POISON, DW_SPREAD_EVERYWHERE, 2 * SECOND),
		  5U);
	EXPECT_FALSE(dw_quarantine_is_suspect(quarantine.get(), POISON, 2 * SECOND));
}

/* One of them was still waiting: only the others count with it. */
TEST(Quarantine, ARunInProgressCountsBesideAnAbandonedOne)
{
	Quarantine quarantine;
	dw_quarantine_evidence first = { POISON, 5, 1, 600 * SECOND, true };
	dw_quarantine_evidence second = { POISON, 6, 1, 600 * SECOND, false };
	dw_quarantine_evidence third = { POISON, 7, 1, 600 * SECOND, false };

	dw_quarantine_merge(quarantine.get(), &first, SECOND);
	dw_quarantine_merge(quarantine.get(), &second, SECOND);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, SECOND), DW_OK);
	dw_quarantine_merge(quarantine.get(), &third, SECOND);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, SECOND), DW_QUARANTINED);
}

/* The same crash, seen with an abandoned run here and one in progress there. */
TEST(Quarantine, ARunInProgressConfirmsAnAbandonedOne)
{
	Quarantine quarantine;
	dw_quarantine_evidence weak = { POISON, 5, 1, 600 * SECOND, true };
	dw_quarantine_evidence strong = { POISON, 5, 1, 600 * SECOND, false };
	dw_quarantine_evidence out[4];

	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &weak, SECOND));
	EXPECT_EQ(dw_quarantine_take_news(quarantine.get(), false, DW_SPREAD_EVERYWHERE, 1, SECOND,
					  out, 4),
		  0U);
	EXPECT_EQ(dw_quarantine_take_news(quarantine.get(), true, DW_SPREAD_EVERYWHERE, 1, SECOND,
					  out, 4),
		  1U);
	EXPECT_TRUE(out[0].is_abandoned);
	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &strong, SECOND));
	EXPECT_FALSE(dw_quarantine_merge(quarantine.get(), &strong, SECOND));
	EXPECT_FALSE(dw_quarantine_merge(quarantine.get(), &weak, SECOND));
	EXPECT_EQ(dw_quarantine_take_news(quarantine.get(), true, DW_SPREAD_EVERYWHERE, 2, SECOND,
					  out, 4),
		  0U);
	EXPECT_EQ(dw_quarantine_take_news(quarantine.get(), false, DW_SPREAD_EVERYWHERE, 2, SECOND,
					  out, 4),
		  1U);
	EXPECT_EQ(dw_quarantine_suspect_count(quarantine.get(), SECOND), 1U);
}

TEST(Quarantine, OneCrashSeenByManyCountsOnceAndExpires)
{
	Quarantine quarantine;
	dw_quarantine_evidence evidence = { POISON, 5, 1, 10 * SECOND, false };
	dw_fingerprint other = { 1, 1 };

	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &evidence, SECOND));
	EXPECT_FALSE(dw_quarantine_merge(quarantine.get(), &evidence, SECOND));
	EXPECT_TRUE(dw_quarantine_is_suspect(quarantine.get(), POISON, SECOND));
	EXPECT_FALSE(dw_quarantine_may_run(quarantine.get(), POISON, 5, nullptr, 0, SECOND));
	EXPECT_FALSE(dw_quarantine_may_run(quarantine.get(), POISON, 6, &POISON, 1, SECOND));
	EXPECT_TRUE(dw_quarantine_may_run(quarantine.get(), POISON, 6, &other, 1, SECOND));
	evidence.upstream_id = 6;
	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &evidence, 2 * SECOND));
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 3 * SECOND), DW_QUARANTINED);
	EXPECT_EQ(dw_quarantine_count(quarantine.get(), 3 * SECOND), 1u);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 11 * SECOND), DW_OK);
	EXPECT_FALSE(dw_quarantine_is_suspect(quarantine.get(), POISON, 12 * SECOND));
}

TEST(Quarantine, AFullTableEvictsSuspectsFirst)
{
	dw_quarantine_options options = dw_quarantine_default_options();
	options.max_fingerprints = 8;
	Quarantine quarantine(options);

	dw_quarantine_crashed(quarantine.get(), 1, 1, &POISON, 1, SECOND);
	dw_quarantine_crashed(quarantine.get(), 2, 1, &POISON, 1, SECOND);
	for (uint64_t i = 0; i < 100; i++) {
		dw_fingerprint innocent = { i, 0 };
		dw_quarantine_crashed(quarantine.get(), 3, i, &innocent, 1, SECOND + i);
	}
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 2 * SECOND), DW_QUARANTINED);
}

/* An innocent request: its evidence is withdrawn, and comes again late from another instance. */
TEST(Quarantine, WithdrawnEvidenceDoesntCountAgain)
{
	Quarantine quarantine;
	dw_quarantine_evidence first = { POISON, 5, 1, 10 * SECOND, false };
	dw_quarantine_evidence second = { POISON, 6, 1, 10 * SECOND, false };

	dw_quarantine_merge(quarantine.get(), &first, SECOND);
	dw_quarantine_merge(quarantine.get(), &second, SECOND);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, SECOND), DW_QUARANTINED);
	EXPECT_EQ(dw_quarantine_clear(quarantine.get(), POISON, DW_SPREAD_EVERYWHERE, SECOND), 2U);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, SECOND), DW_OK);
	EXPECT_FALSE(dw_quarantine_merge(quarantine.get(), &first, 2 * SECOND));
	EXPECT_FALSE(dw_quarantine_is_suspect(quarantine.get(), POISON, 2 * SECOND));
	dw_quarantine_evidence third = { POISON, 7, 1, 10 * SECOND, false };
	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &third, 2 * SECOND))
		<< "a crash since then counts";
	EXPECT_TRUE(dw_quarantine_is_suspect(quarantine.get(), POISON, 2 * SECOND));
	EXPECT_EQ(dw_quarantine_suspect_count(quarantine.get(), 2 * SECOND), 1U);
}

/* The withdrawal overtakes the evidence. */
TEST(Quarantine, AWithdrawalThatComesFirstCounts)
{
	Quarantine quarantine;
	dw_quarantine_evidence withdrawn = { POISON, 5, 1, 0, false };
	dw_quarantine_evidence crash = { POISON, 5, 1, 10 * SECOND, false };

	EXPECT_TRUE(dw_quarantine_merge(quarantine.get(), &withdrawn, SECOND));
	EXPECT_FALSE(dw_quarantine_merge(quarantine.get(), &crash, SECOND));
	EXPECT_FALSE(dw_quarantine_is_suspect(quarantine.get(), POISON, SECOND));
}

/* The order in which crashes and withdrawals arrive makes no difference in the end. */
TEST(Quarantine, InstancesAgreeWhateverTheOrder)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		std::mt19937_64 random(seed);
		std::vector<dw_quarantine_evidence> news;
		for (uint64_t upstream = 1; upstream <= 2; upstream++)
			news.push_back({ POISON, upstream, 1, 10 * SECOND, false });
		if (seed % 2 == 0)
			news.push_back({ POISON, 1, 1, 0, false });
		Quarantine a;
		Quarantine b;
		for (Quarantine *each : { &a, &b }) {
			std::shuffle(news.begin(), news.end(), random);
			for (const auto &piece : news)
				dw_quarantine_merge(each->get(), &piece, SECOND);
		}
		EXPECT_EQ(dw_quarantine_check(a.get(), POISON, SECOND),
			  dw_quarantine_check(b.get(), POISON, SECOND))
			<< seed;
		EXPECT_EQ(dw_quarantine_is_suspect(a.get(), POISON, SECOND), seed % 2 == 0) << seed;
	}
}

/* News go out at once, and again, as messages may be lost; what came from others only where it has to
 * be passed on. */
TEST(Quarantine, NewsAreSentAFewTimes)
{
	Quarantine quarantine;
	dw_quarantine_evidence out[8];
	dw_quarantine_evidence passed_on = { { 4, 4 }, 9, 1, 10 * SECOND, false };
	dw_quarantine_evidence leaf = { { 5, 5 }, 9, 1, 10 * SECOND, false };
	uint32_t own = 0;
	uint32_t relayed = 0;

	dw_quarantine_crashed(quarantine.get(), 5, 1, &POISON, 1, SECOND);
	dw_quarantine_merge_scoped(quarantine.get(), &passed_on, DW_SPREAD_IN_DOMAIN, SECOND);
	dw_quarantine_merge_scoped(quarantine.get(), &leaf, DW_SPREAD_NOWHERE, SECOND);
	for (uint32_t round = 50; round < 100; round++) {
		own += dw_quarantine_take_news(quarantine.get(), false, DW_SPREAD_TO_DOMAINS, round,
					       SECOND, out, 8);
		relayed += dw_quarantine_take_news(quarantine.get(), false, DW_SPREAD_IN_DOMAIN,
						   round, SECOND, out, 8);
		EXPECT_EQ(dw_quarantine_take_news(quarantine.get(), false, DW_SPREAD_EVERYWHERE,
						  round, SECOND, out, 8),
			  0U)
			<< "once in a round";
	}
	EXPECT_EQ(own, (uint32_t)DW_QUARANTINE_SENDS);
	EXPECT_EQ(relayed, 2U * DW_QUARANTINE_SENDS);
}

/* Thirty engines end at once, each with 64 requests, and a caller invents requests beside other crashes:
 * memory is bounded, and what is quarantined stays so. */
TEST(Quarantine, ManyCrashesAtOnceAreBounded)
{
	Quarantine quarantine;
	dw_quarantine_evidence out[26];
	uint64_t sent = 0;

	dw_quarantine_crashed(quarantine.get(), 1, 1, &POISON, 1, SECOND);
	dw_quarantine_crashed(quarantine.get(), 2, 1, &POISON, 1, SECOND);
	for (uint64_t i = 0; i < 30 * 64; i++) {
		dw_fingerprint innocent = { i, 2 };
		dw_quarantine_crashed(quarantine.get(), 10 + i / 64, 1, &innocent, 1, SECOND);
	}
	EXPECT_EQ(dw_quarantine_suspect_count(quarantine.get(), SECOND), 30U * 64);
	for (uint32_t round = 1; round < 60; round++) {
		size_t count;
		while ((count = dw_quarantine_take_news(quarantine.get(), false,
							DW_SPREAD_EVERYWHERE, round, SECOND, out,
							26)) > 0)
			sent += count;
	}
	EXPECT_EQ(sent, DW_QUARANTINE_SENDS * (30U * 64 + 2));
	for (uint64_t i = 0; i < 10000; i++) {
		dw_fingerprint invented = { i, 3 };
		dw_quarantine_crashed(quarantine.get(), 100, i, &invented, 1, 2 * SECOND + i);
	}
	EXPECT_LT(dw_quarantine_suspect_count(quarantine.get(), 3 * SECOND),
		  dw_quarantine_default_options().max_fingerprints);
	EXPECT_EQ(dw_quarantine_check(quarantine.get(), POISON, 3 * SECOND), DW_QUARANTINED);
}

TEST(Fingerprint, IsReadFromItsText)
{
	char text[DW_FINGERPRINT_TEXT_BYTES];
	dw_fingerprint read{};

	dw_fingerprint_text({ 0x123, UINT64_MAX }, text);
	ASSERT_TRUE(dw_fingerprint_parse(text, &read));
	EXPECT_TRUE(dw_fingerprint_equal(read, { 0x123, UINT64_MAX }));
	for (const char *bad :
	     { "", "12", "xx000000000000000000000000000000", "000000000000000000000000000000000" })
		EXPECT_FALSE(dw_fingerprint_parse(bad, &read)) << bad;
}

TEST(QuarantineCodec, DecodesWhatItEncodedAndRejectsTruncatedMessages)
{
	dw_quarantine_evidence evidence_list[2] = { { POISON, 1, 2, 3, false },
						    { POISON, 4, 5, UINT64_MAX, false } };
	dw_quarantine_evidence read[DW_QUARANTINE_MESSAGE_ENTRIES];
	msgpack_sbuffer buffer;
	size_t count;

	msgpack_sbuffer_init(&buffer);
	ASSERT_EQ(dw_quarantine_message_encode(evidence_list, 2, &buffer), DW_OK);
	const uint8_t *bytes = (const uint8_t *)buffer.data;
	ASSERT_EQ(dw_quarantine_message_decode(bytes, buffer.size, read, &count), DW_OK);
	ASSERT_EQ(count, 2u);
	EXPECT_EQ(read[1].remaining_us, UINT64_MAX);
	EXPECT_TRUE(dw_fingerprint_equal(read[0].fingerprint, POISON));
	for (size_t len = 0; len < buffer.size; len++)
		EXPECT_EQ(dw_quarantine_message_decode(bytes, len, read, &count),
			  DW_INVALID_ARGUMENT);
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
