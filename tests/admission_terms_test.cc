#include <gtest/gtest.h>

#include <dragonflywharf/admission_floor.h>
#include <dragonflywharf/admission_terms.h>
#include <dragonflywharf/organisation_usage.h>
#include <dragonflywharf/rendezvous.h>
#include <dragonflywharf/service_capacity.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t NOW_US = 100 * SECOND;

dw_admission_terms terms_of(uint32_t target_ms, uint64_t deadline_us, uint64_t lead_us,
			    bool is_after_start = false)
{
	dw_route_rule route{};
	route.target_latency_ms = target_ms;
	dw_admission_request request{};
	request.route = &route;
	request.arrived_at_us = NOW_US;
	request.deadline_us = deadline_us;
	request.lead_us = lead_us;
	request.is_after_start = is_after_start;
	return dw_admission_terms_of(&request, NOW_US);
}

TEST(AdmissionTerms, TheOrganisationsPriorityGoesBeforeTheRoutes)
{
	dw_route_rule route{};
	dw_organisation_rule organisation{};
	route.priority = 7;
	EXPECT_EQ(dw_admission_priority_of(&route, nullptr), 7U);
	EXPECT_EQ(dw_admission_priority_of(&route, &organisation), 7U) << "it has none of its own";
	organisation.has_priority = true;
	EXPECT_EQ(dw_admission_priority_of(&route, &organisation), 2U);
	organisation.priority = UINT32_MAX;
	EXPECT_EQ(dw_admission_priority_of(&route, &organisation), 9U);
	route.priority = UINT32_MAX;
	EXPECT_EQ(dw_admission_priority_of(&route, nullptr), 9U);
}

/* Guards against waits that end after the request could still have been answered. */
TEST(AdmissionTerms, ARequestWaitsWhileItCanBeInTimeAndNeverPastItsDeadline)
{
	EXPECT_EQ(terms_of(2000, NOW_US + 6 * SECOND, 300 * MS).wait_until_us, NOW_US + 1700 * MS);
	EXPECT_EQ(terms_of(120, NOW_US + SECOND, 50 * MS).wait_until_us, NOW_US + 250 * MS);
	EXPECT_EQ(terms_of(120, NOW_US + SECOND, 50 * MS).in_time_until_us, NOW_US + 70 * MS);
	EXPECT_EQ(terms_of(120, NOW_US + 150 * MS, 50 * MS).wait_until_us, NOW_US + 100 * MS);
	EXPECT_EQ(terms_of(120, NOW_US + 3 * SECOND, 50 * MS, true).wait_until_us, NOW_US + SECOND);
	EXPECT_EQ(terms_of(0, NOW_US + SECOND, 0).in_time_until_us, 0U);
	EXPECT_LT(terms_of(120, NOW_US + 10 * MS, 50 * MS).wait_until_us, NOW_US);
}

TEST(AdmissionTerms, TheWaitForTheFirstConfigurationLeavesHalfOfTheTime)
{
	EXPECT_EQ(dw_admission_first_config_until_us(NOW_US, 0), NOW_US + 1500 * MS);
	EXPECT_EQ(dw_admission_first_config_until_us(NOW_US, NOW_US + SECOND), NOW_US + 500 * MS);
	EXPECT_EQ(dw_admission_first_config_until_us(NOW_US, NOW_US - 1), NOW_US);
}

dw_service_capacity capacity_of(uint32_t running, uint32_t waiting, uint64_t age_us)
{
	dw_engine engine{};
	dw_service_capacity capacity{};
	engine.load = { running, waiting, 6, NOW_US - age_us, 0 };
	dw_service_capacity_add(&capacity, &engine, NOW_US);
	return capacity;
}

/* Guards against instances that all act on an old report. */
TEST(ServiceCapacity, AReportLosesWeightWithItsAge)
{
	dw_service_capacity fresh = capacity_of(6, 24, 0);
	dw_service_capacity old = capacity_of(6, 24, 900 * MS);
	dw_service_capacity expired = capacity_of(6, 24, SECOND);
	EXPECT_FALSE(dw_service_capacity_has_room(&fresh, DW_CAPACITY_FAVOURED, 999));
	EXPECT_TRUE(dw_service_capacity_has_room(&old, DW_CAPACITY_FAVOURED, 0));
	EXPECT_FALSE(dw_service_capacity_has_room(&old, DW_CAPACITY_YIELDING, 999));
	EXPECT_TRUE(dw_service_capacity_has_room(&expired, DW_CAPACITY_LATE, 0));
	EXPECT_EQ(expired.free_slots, 6U) << "nothing is known: as without reports";
}

TEST(ServiceCapacity, InstancesShareWhatTheEnginesComplete)
{
	dw_service_capacity busy = capacity_of(6, 0, 0);
	dw_service_capacity none{};
	EXPECT_EQ(dw_service_capacity_interval_us(&busy, 60 * MS, 72), 720 * MS);
	EXPECT_EQ(dw_service_capacity_interval_us(&busy, 60 * MS, 0), 10 * MS);
	EXPECT_LE(dw_service_capacity_interval_us(&busy, UINT64_MAX, UINT32_MAX), SECOND);
	EXPECT_EQ(dw_service_capacity_interval_us(&none, 60 * MS, 72), 0U);
}

TEST(AdmissionFloor, APriorityServedLessThanAQuarterAsOftenIsStarving)
{
	dw_admission_floor floor{};
	for (int i = 0; i < 200; i++) {
		dw_admission_floor_served(&floor, 0);
		i % 10 ? dw_admission_floor_refused(&floor, 5)
		       : dw_admission_floor_served(&floor, 5);
	}
	EXPECT_EQ(dw_admission_floor_starving(&floor), 1U << 5);
	EXPECT_TRUE(dw_admission_floor_has_more_urgent(&floor, 5));
	EXPECT_FALSE(dw_admission_floor_has_more_urgent(&floor, 0));
	for (int i = 0; i < 100; i++)
		dw_admission_floor_served(&floor, 5);
	EXPECT_EQ(dw_admission_floor_starving(&floor), 0U);
}

TEST(OrganisationUsage, OneThatSendsSeveralTimesTheMeanIsOverUntilOthersCatchUp)
{
	dw_organisation_usage usage{};
	uint64_t heavy = dw_rendezvous_score(1, 0);
	for (int i = 0; i < 200; i++) {
		dw_organisation_usage_sent(&usage, dw_rendezvous_score(1, i % 24));
		if (i % 8 == 0)
			dw_organisation_usage_sent(&usage, heavy);
	}
	EXPECT_TRUE(dw_organisation_usage_is_over(&usage, heavy));
	EXPECT_FALSE(dw_organisation_usage_is_over(&usage, dw_rendezvous_score(1, 5)));
	for (int i = 0; i < 1000; i++)
		dw_organisation_usage_sent(&usage, dw_rendezvous_score(1, i % 24));
	EXPECT_FALSE(dw_organisation_usage_is_over(&usage, heavy));
}

} // namespace
