#include <gtest/gtest.h>

#include <string>

#include <dragonflywharf/event_order.h>

namespace
{

/* Engines number their events as they like, as long as the ids grow: guards against a stream that is broken
 * off at an id that isn't the next number, and against a repeated event. */
TEST(EventOrder, PassesGrowingIdsAndDetectsRepeatedEvents)
{
	dw_event_order order{};
	EXPECT_EQ(dw_event_order_check(&order, 1), DW_EVENT_PASS);
	EXPECT_EQ(dw_event_order_check(&order, 2), DW_EVENT_PASS);
	EXPECT_EQ(dw_event_order_check(&order, 2), DW_EVENT_REPEATED);
	EXPECT_EQ(dw_event_order_check(&order, 1), DW_EVENT_REPEATED);
	EXPECT_EQ(dw_event_order_check(&order, 4), DW_EVENT_PASS);
	EXPECT_EQ(dw_event_order_check(&order, 3), DW_EVENT_REPEATED);
	EXPECT_EQ(dw_event_order_check(&order, 4), DW_EVENT_REPEATED);
	EXPECT_EQ(dw_event_order_check(&order, UINT64_MAX), DW_EVENT_PASS);
	EXPECT_EQ(dw_event_order_check(&order, UINT64_MAX), DW_EVENT_REPEATED);
}

TEST(EventOrder, ResumedStreamContinuesAfterTheLastEvent)
{
	dw_event_order order = { true, 12 };
	EXPECT_EQ(dw_event_order_check(&order, 12), DW_EVENT_REPEATED);
	EXPECT_EQ(dw_event_order_check(&order, 16), DW_EVENT_PASS);
	EXPECT_EQ(dw_event_order_check(&order, 13), DW_EVENT_REPEATED);
}

TEST(EventOrder, FindsTheIdInAnyLine)
{
	uint64_t id = 0;
	std::string event = "weight-versions: 2\nid: 41\ndata: id: 9\n\n";
	EXPECT_TRUE(dw_event_parse_id(event.data(), event.size(), &id));
	EXPECT_EQ(id, 41U);
	event = "data: x\n\n";
	EXPECT_FALSE(dw_event_parse_id(event.data(), event.size(), &id));
	event = "id: x\n\n";
	EXPECT_FALSE(dw_event_parse_id(event.data(), event.size(), &id));
}

} // namespace

TEST(EventOrder, AnIdThatIsTooLargeIsNone)
{
	uint64_t id = 0;
	const std::string largest = "id: 18446744073709551615\n";
	const std::string larger = "id: 18446744073709551617\n";
	EXPECT_TRUE(dw_event_parse_id(largest.data(), largest.size(), &id));
	EXPECT_EQ(id, UINT64_MAX);
	EXPECT_FALSE(dw_event_parse_id(larger.data(), larger.size(), &id)) << "not 1";
}
