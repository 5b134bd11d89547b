#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <dragonflywharf/rollout.h>

#include "core/msgpack_check.h"
#include "net/rollout_codec.h"

namespace
{

constexpr uint64_t kVersion = 11;
constexpr uint64_t kModel = 1;
constexpr uint64_t kSeed = 4242;

using Rollout = std::unique_ptr<dw_rollout, decltype(&dw_rollout_free)>;

Rollout make(uint64_t instance, dw_rollout_policy policy = dw_rollout_policy_default())
{
	Rollout rollout(dw_rollout_new(&policy, { instance, 1000 + instance }), dw_rollout_free);

	EXPECT_EQ(dw_rollout_set_version(rollout.get(), kVersion, kModel, 1), DW_OK);
	return rollout;
}

bool count(const Rollout &rollout, bool bad)
{
	bool newly_held = false;

	EXPECT_EQ(dw_rollout_count_answer(rollout.get(), kVersion,
					  bad ? DW_ROLLOUT_BAD : DW_ROLLOUT_GOOD, &newly_held),
		  DW_OK);
	return newly_held;
}

dw_rollout_totals totals(const Rollout &rollout)
{
	dw_rollout_totals out = {};

	EXPECT_EQ(dw_rollout_get_totals(rollout.get(), kVersion, &out), DW_OK);
	return out;
}

void send(const Rollout &from, const Rollout &to)
{
	dw_rollout_message message;
	uint64_t held[4];

	while (dw_rollout_collect(from.get(), &message))
		dw_rollout_merge(to.get(), &message, held, 4);
}

void send_all(const Rollout &from, const Rollout &to)
{
	dw_rollout_message message;
	uint64_t cursor = 0;
	uint64_t held[4];

	while (dw_rollout_collect_all(from.get(), &cursor, &message))
		dw_rollout_merge(to.get(), &message, held, 4);
}

dw_rollout_message entry_of(uint64_t instance, uint64_t incarnation, uint64_t answers, uint64_t bad,
			    uint64_t order = 1)
{
	dw_rollout_message message = {};

	message.entry_count = 1;
	message.entries[0] = { kVersion, order, { instance, incarnation }, answers, bad, 0 };
	return message;
}

/* Random losses, doubles, crossings and relays: at the end all know the same sums. */
TEST(Rollout, CountersConvergeWhateverIsLostOrDoubled)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		std::mt19937_64 random(seed);
		std::vector<Rollout> all;
		std::vector<dw_rollout_message> under_way;
		uint64_t answers = 0;

		for (uint64_t i = 0; i < 5; i++)
			all.push_back(make(i + 1));
		for (int step = 0; step < 300; step++) {
			const Rollout &one = all[random() % all.size()];
			dw_rollout_message message;
			uint64_t held[4];

			switch (random() % 3) {
			case 0:
				count(one, random() % 40 == 0);
				answers++;
				break;
			case 1:
				if (dw_rollout_collect(one.get(), &message) && random() % 3)
					under_way.push_back(message);
				break;
			default:
				if (!under_way.empty())
					dw_rollout_merge(one.get(),
							 &under_way[random() % under_way.size()],
							 held, 4);
			}
			ASSERT_LE(totals(one).answers, answers) << "seed " << seed;
		}
		for (const auto &one : all) {
			for (const auto &other : all)
				send_all(other, one);
		}
		for (const auto &one : all)
			send_all(all[0], one);
		for (const auto &one : all)
			ASSERT_EQ(totals(one).answers, answers) << "seed " << seed;
	}
}

/* Good roll-outs at the baseline rate, over 8 instances that exchange now and then: any instance's
 * hold counts. 10,000 roll-outs of 800 answers, at most 1 in 1,000 held. */
TEST(Rollout, HoldsAGoodVersionLessOftenThanStated)
{
	constexpr int kInstances = 8;
	dw_rollout_policy policy = dw_rollout_policy_default();
	std::mt19937 random(kSeed);
	std::bernoulli_distribution bad(0.05);
	int alarms = 0;

	policy.instances = kInstances;
	for (int run = 0; run < 10'000; run++) {
		std::vector<Rollout> all;
		bool held = false;

		for (uint64_t i = 1; i <= kInstances; i++)
			all.push_back(make(i, policy));
		for (int i = 0; i < 800 && !held; i++) {
			held = count(all[i % kInstances], bad(random));
			if (i % 64 == 0)
				send(all[i / 64 % kInstances], all[(i / 64 + 1) % kInstances]);
		}
		for (auto &one : all)
			held |= dw_rollout_is_held(one.get(), kVersion);
		alarms += held;
	}
	std::cout << "false alarms: " << alarms << " of 10000, seed " << kSeed << "\n";
	EXPECT_LE(alarms, 10);
}

/* Bad answers over all instances until the version is held, after a good time of @p good. */
int bad_until_held(std::mt19937 &random, double rate, int good)
{
	Rollout one = make(1);
	std::bernoulli_distribution usual(0.03);
	std::bernoulli_distribution worse(rate);
	int bad_count = 0;

	for (int i = 0; i < good; i++)
		count(one, usual(random));
	for (int i = 0; i < 100'000; i++) {
		bool bad = worse(random);

		bad_count += bad;
		if (count(one, bad))
			return bad_count;
	}
	return INT32_MAX;
}

TEST(Rollout, HoldsABadVersionAfterFewBadAnswersAlsoLate)
{
	std::mt19937 random(kSeed);
	const struct {
		double rate;
		int good;
		int at_most; /* in 9 of 10 runs */
	} cases[] = { { 0.9, 0, 6 },
		      { 0.5, 0, 12 },
		      { 0.9, 3000, 12 },
		      { 0.5, 3000, 22 },
		      { 0.25, 1000, 50 } };

	for (const auto &item : cases) {
		std::vector<int> runs;

		for (int i = 0; i < 200; i++)
			runs.push_back(bad_until_held(random, item.rate, item.good));
		std::sort(runs.begin(), runs.end());
		std::cout << "bad rate " << item.rate << " after " << item.good << " good: median "
			  << runs[100] << ", 9 in 10 within " << runs[180] << "\n";
		EXPECT_LE(runs[180], item.at_most) << item.rate << " after " << item.good;
	}
}

/* Rating before release must start after two or three bad answers, yet stay rare when all is well. */
TEST(Rollout, WatchesEarlyAndSeldomInVain)
{
	std::mt19937 random(kSeed);
	std::bernoulli_distribution usual(0.04);
	std::bernoulli_distribution worse(0.6);
	Rollout good = make(1);
	int watched = 0;
	std::vector<int> runs;

	for (int i = 0; i < 50'000; i++) {
		count(good, usual(random));
		watched += dw_rollout_is_watched(good.get(), kVersion);
	}
	std::cout << "watched in vain: " << watched << " of 50000 answers\n";
	EXPECT_LE(watched, 50'000 / 10);
	for (int run = 0; run < 200; run++) {
		Rollout one = make(1);
		int bad_count = 0;

		for (int i = 0; i < 1000; i++)
			count(one, usual(random));
		while (!dw_rollout_is_watched(one.get(), kVersion)) {
			bool bad = worse(random);

			bad_count += bad;
			count(one, bad);
		}
		runs.push_back(bad_count);
	}
	std::sort(runs.begin(), runs.end());
	EXPECT_LE(runs[180], 3);
}

TEST(Rollout, PoolsTheEvidenceOfAllInstances)
{
	std::vector<Rollout> all;
	int bad = 0;

	for (uint64_t i = 1; i <= 8; i++)
		all.push_back(make(i));
	for (; bad < 100; bad++) {
		if (count(all[bad % 8], true))
			break;
		send(all[bad % 8], all[(bad + 1) % 8]);
	}
	EXPECT_LE(bad, 6) << "one at each instance is enough";
	/* An instance that never runs the version holds on what the others tell. */
	Rollout idle = make(99);
	uint64_t newly[4];
	size_t held_count = 0;
	for (uint64_t i = 1; i <= 8; i++) {
		dw_rollout_message message = entry_of(i, i, 1, 1);

		held_count += dw_rollout_merge(idle.get(), &message, newly, 4);
	}
	EXPECT_EQ(held_count, 1U);
	EXPECT_TRUE(dw_rollout_is_held(idle.get(), kVersion));
	for (size_t i = 0; i < all.size(); i++)
		send(all[(bad + i) % 8], all[(bad + i + 1) % 8]);
	for (const auto &one : all)
		EXPECT_TRUE(dw_rollout_is_held(one.get(), kVersion));
}

TEST(Rollout, OnlyALaterReleaseOrderEndsAHold)
{
	Rollout one = make(1);
	Rollout stale = make(2);

	for (int i = 0; i < 20; i++)
		count(one, true);
	ASSERT_TRUE(dw_rollout_is_held(one.get(), kVersion));
	send(one, stale);
	ASSERT_TRUE(dw_rollout_is_held(stale.get(), kVersion));
	EXPECT_EQ(dw_rollout_set_version(one.get(), kVersion, kModel, 0), DW_STALE);
	EXPECT_EQ(dw_rollout_set_version(one.get(), kVersion, kModel, 1), DW_OK);
	EXPECT_TRUE(dw_rollout_is_held(one.get(), kVersion));
	EXPECT_EQ(dw_rollout_set_version(one.get(), kVersion, kModel, 2), DW_OK);
	EXPECT_FALSE(dw_rollout_is_held(one.get(), kVersion));
	EXPECT_EQ(totals(one).answers, 0U);
	/* What a peer still says of the old order changes nothing. */
	send_all(stale, one);
	EXPECT_FALSE(dw_rollout_is_held(one.get(), kVersion));
	EXPECT_EQ(totals(one).answers, 0U);
	/* A hold of the new order reaches the stale peer before the configuration does. */
	for (int i = 0; i < 20; i++)
		count(one, true);
	send(one, stale);
	EXPECT_EQ(dw_rollout_set_version(stale.get(), kVersion, kModel, 2), DW_OK);
	EXPECT_TRUE(dw_rollout_is_held(stale.get(), kVersion));
}

TEST(Rollout, TheOtherVersionsRateRaisesTheBaseline)
{
	Rollout one = make(1);
	std::mt19937 random(kSeed);
	std::bernoulli_distribution bad(0.3);
	bool held = false;

	ASSERT_EQ(dw_rollout_set_version(one.get(), 12, kModel, 0), DW_OK);
	ASSERT_EQ(dw_rollout_set_version(one.get(), 13, kModel + 1, 0), DW_OK);
	dw_rollout_message other = {};
	other.entry_count = 1;
	other.entries[0] = { 12, 0, { 9, 9 }, 4000, 1200, 0 };
	/* The other version was at this rate for long: hold only what is worse. */
	dw_rollout_policy policy = dw_rollout_policy_default();
	policy.baseline_permille = 300;
	Rollout lenient(dw_rollout_new(&policy, { 1, 1 }), dw_rollout_free);
	dw_rollout_set_version(lenient.get(), 12, kModel, 0);
	dw_rollout_set_version(lenient.get(), kVersion, kModel, 1);
	uint64_t newly[4];
	dw_rollout_merge(lenient.get(), &other, newly, 4);
	for (int i = 0; i < 1000 && !held; i++)
		held = count(lenient, bad(random));
	EXPECT_FALSE(held);
	for (int i = 0; i < 400 && !held; i++)
		held = count(one, bad(random));
	EXPECT_TRUE(held) << "by the stated baseline alone";
}

TEST(Rollout, StaysBoundedAndCountsNoMemberTwice)
{
	dw_rollout_policy policy = dw_rollout_policy_default();

	policy.members_max = 16;
	policy.versions_max = 2;
	Rollout one = make(1, policy);
	uint64_t held[4];

	count(one, false);
	for (uint64_t i = 0; i < 100; i++) {
		dw_rollout_message message = entry_of(100 + i, 5000 + i, 10, 0);

		dw_rollout_merge(one.get(), &message, held, 4);
	}
	EXPECT_EQ(totals(one).answers, 1001U);
	/* A dropped member is told of again. */
	for (uint64_t i = 0; i < 100; i++) {
		dw_rollout_message message = entry_of(100 + i, 5000 + i, 10, 0);

		dw_rollout_merge(one.get(), &message, held, 4);
	}
	EXPECT_EQ(totals(one).answers, 1001U);
	EXPECT_EQ(dw_rollout_set_version(one.get(), 50, kModel, 0), DW_OK);
	EXPECT_EQ(dw_rollout_set_version(one.get(), 51, kModel, 0), DW_TOO_LARGE);
	dw_rollout_remove_version(one.get(), 50);
	EXPECT_EQ(dw_rollout_set_version(one.get(), 51, kModel, 0), DW_OK);
	/* Unsound, own, unknown and other orders' counters are left out. */
	dw_rollout_message unsound = entry_of(900, 9000, 5, 6);
	dw_rollout_message own = entry_of(1, 1001, 500, 500);
	dw_rollout_message later = entry_of(901, 9001, 5, 5, 7);
	dw_rollout_merge(one.get(), &unsound, held, 4);
	dw_rollout_merge(one.get(), &own, held, 4);
	dw_rollout_merge(one.get(), &later, held, 4);
	EXPECT_EQ(totals(one).answers, 1001U);
	EXPECT_EQ(totals(one).bad, 0U);
}

std::string encoded(const dw_rollout_message &message)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	dw_rollout_encode(&message, &packer);
	std::string bytes(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

enum dw_status decoded(const std::string &bytes, dw_rollout_message *out)
{
	msgpack_unpacked value;
	size_t used = 0;
	enum dw_status status = DW_INVALID_ARGUMENT;

	/* As the mesh does before it unpacks. */
	if (dw_msgpack_check((const uint8_t *)bytes.data(), bytes.size()) != DW_OK)
		return status;
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, bytes.data(), bytes.size(), &used) ==
	    MSGPACK_UNPACK_SUCCESS)
		status = dw_rollout_decode(&value.data, out);
	msgpack_unpacked_destroy(&value);
	return status;
}

TEST(RolloutCodec, CarriesAMessageWholeAndNeverTakesAMalformedOne)
{
	std::mt19937_64 random(kSeed);
	dw_rollout_message message = entry_of(7, 8, 1'000'000, 30, 5);
	dw_rollout_message back = {};

	message.entries[0].errors = 4;
	message.hold_count = 1;
	message.holds[0] = { UINT64_MAX, 9 };
	std::string bytes = encoded(message);
	ASSERT_EQ(decoded(bytes, &back), DW_OK);
	EXPECT_EQ(encoded(back), bytes);
	message.entries[0].bad = 1'000'000;
	EXPECT_EQ(decoded(encoded(message), &back), DW_INVALID_ARGUMENT) << "unsound counters";
	EXPECT_EQ(back.entry_count, 0U);
	/* What is still taken after damage is sound. */
	for (int i = 0; i < 20'000; i++) {
		std::string damaged = bytes.substr(0, 1 + random() % bytes.size());

		damaged[random() % damaged.size()] = (char)random();
		if (decoded(damaged, &back))
			continue;
		ASSERT_LE(back.entry_count, (uint32_t)DW_ROLLOUT_MESSAGE_ENTRIES);
		for (uint32_t j = 0; j < back.entry_count; j++)
			ASSERT_LE(back.entries[j].bad + back.entries[j].errors,
				  back.entries[j].answers);
	}
}

} // namespace
