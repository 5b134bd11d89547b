#include <gtest/gtest.h>

#include <dragonflywharf/session_pins.h>

TEST(SessionPins, ASessionIsKnownForItsTime)
{
	dw_session_pins *pins = dw_session_pins_new();
	dw_session_pins_record(pins, "llm", "s", "v1", 100);
	EXPECT_STREQ(dw_session_pins_find(pins, "llm", "s", 50), "v1");
	EXPECT_EQ(dw_session_pins_find(pins, "llm", "s", 101), nullptr);
	EXPECT_EQ(dw_session_pins_find(pins, "other", "s", 0), nullptr);
	dw_session_pins_record(pins, "llm", "s", "v2", 200);
	EXPECT_STREQ(dw_session_pins_find(pins, "llm", "s", 150), "v2");
	EXPECT_EQ(dw_session_pins_count(pins), 1U);
	dw_session_pins_expire(pins, 201);
	EXPECT_EQ(dw_session_pins_count(pins), 0U);
	dw_session_pins_free(pins);
}
