#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <dragonflywharf/admission.h>

namespace
{

constexpr uint64_t kSecond = 1'000'000;

using Admission = std::unique_ptr<dw_admission, decltype(&dw_admission_free)>;

Admission make(size_t capacity = 1024)
{
	return Admission(dw_admission_new(capacity), dw_admission_free);
}

dw_admission_entry entry_of(uint64_t organisation, uint32_t priority, uint64_t deadline_us,
			    uint64_t service_us = kSecond, uint32_t pool = 0)
{
	return { organisation, priority, pool, deadline_us, service_us, nullptr, 0 };
}

enum dw_status push(const Admission &admission, const dw_admission_entry &entry,
		    uint64_t now_us = 0, dw_admission_handle *handle = nullptr)
{
	dw_admission_handle own;

	return dw_admission_push(admission.get(), now_us, &entry, handle ? handle : &own);
}

/* Compares random pushes, cancels and pops of one organisation with a plain sorted list. */
TEST(Admission, AgreesWithANaiveSortForOneOrganisation)
{
	struct Row {
		int priority;
		uint64_t deadline_us;
		dw_admission_handle handle;
	};

	for (uint64_t seed = 1; seed <= 100; seed++) {
		std::mt19937_64 random(seed);
		Admission admission = make(64);
		std::vector<Row> reference;

		for (int step = 0; step < 2000; step++) {
			if (random() % 5 < 3) {
				auto priority = (enum dw_admission_priority)(random() % 3);
				uint64_t deadline_us = random() % 3 ? 1 + random() % 1000 : 0;
				dw_admission_handle handle;
				enum dw_status status =
					push(admission, entry_of(1, priority, deadline_us, 0), 0,
					     &handle);

				ASSERT_EQ(status, reference.size() < 64 ? DW_OK : DW_OVERLOADED);
				if (status)
					continue;
				uint64_t key = deadline_us ? deadline_us : UINT64_MAX;
				auto position = std::upper_bound(
					reference.begin(), reference.end(), Row{ priority, key, 0 },
					[](const Row &a, const Row &b) {
						return std::tie(a.priority, a.deadline_us) <
						       std::tie(b.priority, b.deadline_us);
					});
				reference.insert(position, { priority, key, handle });
			} else if (random() % 4 == 0 && !reference.empty()) {
				size_t index = random() % reference.size();

				ASSERT_EQ(dw_admission_cancel(admission.get(),
							      reference[index].handle),
					  DW_OK);
				ASSERT_EQ(dw_admission_cancel(admission.get(),
							      reference[index].handle),
					  DW_NOT_FOUND);
				reference.erase(reference.begin() + (long)index);
			} else {
				dw_admission_entry entry;
				dw_admission_handle handle = 0;
				enum dw_status status = dw_admission_pop(
					admission.get(), DW_ADMISSION_ALL_POOLS, &entry, &handle);

				ASSERT_EQ(status, reference.empty() ? DW_NOT_FOUND : DW_OK);
				if (status)
					continue;
				ASSERT_EQ(handle, reference.front().handle)
					<< "seed " << seed << " step " << step;
				reference.erase(reference.begin());
			}
			ASSERT_EQ(dw_admission_waiting(admission.get()), reference.size());
		}
	}
}

std::map<uint64_t, int> count_pops(const Admission &admission, int count)
{
	std::map<uint64_t, int> pop_counts;
	dw_admission_entry entry;
	dw_admission_handle handle;

	for (int i = 0; i < count; i++) {
		if (dw_admission_pop(admission.get(), DW_ADMISSION_ALL_POOLS, &entry, &handle))
			break;
		pop_counts[entry.organisation_id]++;
		dw_admission_finished(admission.get(), entry.organisation_id, entry.pool, 0);
	}
	return pop_counts;
}

TEST(Admission, SharesByWeightBetweenALargeAndManySmallOrganisations)
{
	Admission admission = make(2000);

	dw_admission_set_organisation(admission.get(), 1, 2, 0);
	for (int i = 0; i < 1000; i++)
		ASSERT_EQ(push(admission, entry_of(1, DW_ADMISSION_NORMAL, 1 + i, 1)), DW_OK);
	for (uint64_t small = 2; small <= 5; small++) {
		for (int i = 0; i < 50; i++)
			ASSERT_EQ(push(admission, entry_of(small, DW_ADMISSION_NORMAL, 0)), DW_OK);
	}
	auto pop_counts = count_pops(admission, 120);

	/*
	 * An organisation is charged by service time: 1 us per request for the large one, 1 s for
	 * the others.
	 */
	EXPECT_GE(pop_counts[1], 100);
	Admission even = make(2000);

	dw_admission_set_organisation(even.get(), 1, 2, 0);
	for (int i = 0; i < 1000; i++)
		ASSERT_EQ(push(even, entry_of(1, DW_ADMISSION_NORMAL, 0)), DW_OK);
	for (uint64_t small = 2; small <= 5; small++) {
		for (int i = 0; i < 50; i++)
			ASSERT_EQ(push(even, entry_of(small, DW_ADMISSION_NORMAL, 0)), DW_OK);
	}
	pop_counts = count_pops(even, 120);
	EXPECT_NEAR(pop_counts[1], 40, 2);
	for (uint64_t small = 2; small <= 5; small++)
		EXPECT_NEAR(pop_counts[small], 20, 2);
	/*
	 * An organisation that arrives late gets its share from now on: it neither catches up nor
	 * waits for the others.
	 */
	for (int i = 0; i < 50; i++)
		ASSERT_EQ(push(even, entry_of(9, DW_ADMISSION_NORMAL, 0)), DW_OK);
	EXPECT_NEAR(count_pops(even, 35)[9], 5, 1);
}

TEST(Admission, HigherPriorityGoesFirstOverAllOrganisations)
{
	Admission admission = make();
	dw_admission_entry entry;
	dw_admission_handle handle;

	push(admission, entry_of(1, DW_ADMISSION_LOW, 10 * kSecond));
	push(admission, entry_of(2, DW_ADMISSION_NORMAL, 0));
	push(admission, entry_of(3, DW_ADMISSION_HIGH, 0));
	for (uint64_t organisation : { 3, 2, 1 }) {
		ASSERT_EQ(
			dw_admission_pop(admission.get(), DW_ADMISSION_ALL_POOLS, &entry, &handle),
			DW_OK);
		EXPECT_EQ(entry.organisation_id, organisation);
	}
}

TEST(Admission, AFullPoolOrOrganisationDoesNotBlockTheOthers)
{
	Admission admission = make();
	dw_admission_entry entry;
	dw_admission_handle handle;

	dw_admission_set_organisation(admission.get(), 1, 1, 2);
	for (int i = 0; i < 4; i++)
		push(admission, entry_of(1, DW_ADMISSION_HIGH, 0));
	push(admission, entry_of(2, DW_ADMISSION_LOW, 0, kSecond, 3));
	ASSERT_EQ(dw_admission_pop(admission.get(), 1ULL << 3, &entry, &handle), DW_OK);
	EXPECT_EQ(entry.organisation_id, 2U);
	EXPECT_EQ(dw_admission_pop(admission.get(), 1ULL << 3, &entry, &handle), DW_NOT_FOUND);
	ASSERT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_OK);
	ASSERT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_OK);
	EXPECT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_NOT_FOUND)
		<< "the organisation has two requests in flight, its limit";
	dw_admission_finished(admission.get(), 1, 0, kSecond);
	EXPECT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_OK);
}

TEST(Admission, RefusesEarlyWhatCannotFinishAndOnlyThat)
{
	Admission admission = make();
	dw_admission_entry entry;
	dw_admission_handle handle;

	dw_admission_set_pool(admission.get(), 0, 2);
	ASSERT_EQ(push(admission, entry_of(1, DW_ADMISSION_NORMAL, kSecond / 2)), DW_TIMEOUT);
	for (int i = 0; i < 2; i++) {
		ASSERT_EQ(push(admission, entry_of(1, DW_ADMISSION_NORMAL, 2 * kSecond)), DW_OK);
		ASSERT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_OK);
	}
	for (int i = 0; i < 8; i++)
		ASSERT_EQ(push(admission, entry_of(1, DW_ADMISSION_NORMAL, 60 * kSecond)), DW_OK);
	/*
	 * 8 s of queued work and the remaining half of 2 s in flight, on 2 slots: 4.5 s until it
	 * starts.
	 */
	dw_admission_entry last = entry_of(1, DW_ADMISSION_NORMAL, 61 * kSecond);
	EXPECT_NEAR((double)dw_admission_expected_wait_us(admission.get(), &last), 4.5e6, 1e5);
	/*
	 * An entry with an earlier deadline, a higher priority or of another organisation waits
	 * less.
	 */
	last.deadline_us = 50 * kSecond;
	EXPECT_LT(dw_admission_expected_wait_us(admission.get(), &last), kSecond);
	last = entry_of(2, DW_ADMISSION_NORMAL, 61 * kSecond);
	EXPECT_LT(dw_admission_expected_wait_us(admission.get(), &last), 2 * kSecond);
	last = entry_of(1, DW_ADMISSION_HIGH, 61 * kSecond);
	EXPECT_LT(dw_admission_expected_wait_us(admission.get(), &last), kSecond);
	EXPECT_EQ(push(admission, entry_of(1, DW_ADMISSION_LOW, 5 * kSecond)), DW_TIMEOUT);
	EXPECT_EQ(push(admission, entry_of(1, DW_ADMISSION_LOW, 6 * kSecond)), DW_OK);
}

TEST(Admission, ExpiresEntriesThatCanNoLongerFinishInTime)
{
	Admission admission = make();
	dw_admission_entry entry;
	dw_admission_handle handle;

	push(admission, entry_of(1, DW_ADMISSION_NORMAL, 0));
	push(admission, entry_of(1, DW_ADMISSION_NORMAL, 5 * kSecond));
	push(admission, entry_of(1, DW_ADMISSION_NORMAL, 3 * kSecond));
	EXPECT_EQ(dw_admission_next_expiry_us(admission.get()), 2 * kSecond + 1);
	EXPECT_EQ(dw_admission_expire(admission.get(), 2 * kSecond, &entry, &handle), DW_NOT_FOUND);
	ASSERT_EQ(dw_admission_expire(admission.get(), 3 * kSecond, &entry, &handle), DW_OK);
	EXPECT_EQ(entry.deadline_us, 3 * kSecond);
	EXPECT_EQ(dw_admission_expire(admission.get(), 3 * kSecond, &entry, &handle), DW_NOT_FOUND);
	EXPECT_EQ(dw_admission_next_expiry_us(admission.get()), 4 * kSecond + 1);
	ASSERT_EQ(dw_admission_expire(admission.get(), 9 * kSecond, &entry, &handle), DW_OK);
	EXPECT_EQ(dw_admission_expire(admission.get(), 9 * kSecond, &entry, &handle), DW_NOT_FOUND);
	EXPECT_EQ(dw_admission_waiting(admission.get()), 1U);
}

/* Guards against a request that is late in any case and takes the place of one that can still be in time. */
TEST(Admission, AnEntryInTimeGoesBeforeALateOneOfItsPriority)
{
	Admission admission = make();
	dw_admission_entry late = entry_of(1, DW_ADMISSION_NORMAL, 10 * kSecond, 1);
	dw_admission_entry in_time = entry_of(2, DW_ADMISSION_NORMAL, 20 * kSecond, 1);
	dw_admission_entry urgent = entry_of(3, DW_ADMISSION_HIGH, 30 * kSecond, 1);
	dw_admission_entry entry;
	dw_admission_handle handle;

	late.in_time_until_us = urgent.in_time_until_us = kSecond;
	in_time.in_time_until_us = 3 * kSecond;
	for (const auto &each : { late, in_time, urgent })
		ASSERT_EQ(push(admission, each), DW_OK);
	dw_admission_mark_late(admission.get(), 2 * kSecond);
	for (uint64_t organisation : { 3, 2, 1 }) {
		ASSERT_EQ(dw_admission_pop(admission.get(), 1, &entry, &handle), DW_OK);
		EXPECT_EQ(entry.organisation_id, organisation);
	}
}

/* Guards against one entry that can't be sent and keeps the others of its pool from being tried. */
TEST(Admission, ASkippedEntryIsFoundAgainInTheNextRound)
{
	Admission admission = make();
	dw_admission_entry entry;
	dw_admission_handle first;
	dw_admission_handle handle;

	push(admission, entry_of(1, 9, kSecond, 1));
	push(admission, entry_of(2, 9, 2 * kSecond, 1));
	ASSERT_EQ(dw_admission_peek(admission.get(), 1, 1 << 8, &entry, &first), DW_NOT_FOUND);
	ASSERT_EQ(dw_admission_peek(admission.get(), 1, 1 << 9, &entry, &first), DW_OK);
	dw_admission_skip(admission.get(), first);
	ASSERT_EQ(dw_admission_peek(admission.get(), 1, 1 << 9, &entry, &handle), DW_OK);
	EXPECT_NE(handle, first);
	EXPECT_EQ(dw_admission_take(admission.get(), handle), DW_OK);
	EXPECT_EQ(dw_admission_peek(admission.get(), 1, 1 << 9, &entry, &handle), DW_NOT_FOUND);
	dw_admission_begin_round(admission.get());
	ASSERT_EQ(dw_admission_peek(admission.get(), 1, 1 << 9, &entry, &handle), DW_OK);
	EXPECT_EQ(handle, first);
	EXPECT_EQ(dw_admission_pool_waiting(admission.get(), 0), 1U);
}

} // namespace
