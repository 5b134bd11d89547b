#include <gtest/gtest.h>

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

TEST(Quarantine, OneCrashSeenByManyCountsOnceAndExpires)
{
	Quarantine quarantine;
	dw_quarantine_evidence evidence = { POISON, 5, 1, 10 * SECOND };
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

TEST(QuarantineCodec, DecodesWhatItEncodedAndRejectsTruncatedMessages)
{
	dw_quarantine_evidence evidence_list[2] = { { POISON, 1, 2, 3 },
						    { POISON, 4, 5, UINT64_MAX } };
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
