// Large values on their way between instances: small, complete, and only against the right base.
#include <gtest/gtest.h>

#include <string>

#include "net/value_codec.h"
#include "net/view_pack.h"

namespace
{

constexpr size_t MAX_LEN = 32U << 20;

/* A configuration of @p routes routes, of which one has changed @p change times. */
std::string configuration(int routes, int change)
{
	std::string text = "{\"Version\":" + std::to_string(1000 + change) + ",\"Routes\":[";
	for (int i = 0; i < routes; i++)
		text += "{\"Name\":\"r" + std::to_string(i * 7919 % 100003) +
			"\",\"Host\":\"site.example\",\"PathPrefix\":\"/p" +
			std::to_string(i * 104729 % 1000003) +
			"/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":" +
			std::to_string(i == routes / 2 ? 500 + change : 500) +
			",\"Priority\":1,\"Service\":\"app\",\"MaxAttempts\":2},";
	return text + "{}]}";
}

struct instance {
	dw_view_log *log = dw_view_log_new();

	~instance()
	{
		dw_view_log_free(log);
	}
	/* As read from the store. */
	void read(const std::string &value, uint64_t revision)
	{
		bytes memory{};
		dw_view_record record{};
		record.key = "config";
		record.value = (const uint8_t *)value.c_str();
		record.value_len = value.size();
		record.revision = revision;
		view_record_pack(log, &record, &memory);
		ASSERT_TRUE(dw_view_log_put(log, &record, 1));
		bytes_free(&memory);
	}
	dw_status receive(const instance &from)
	{
		bytes memory{};
		dw_view_record record = *dw_view_log_find(from.log, "config");
		record.value = nullptr;
		record.value_len = 0;
		dw_status status = view_record_unpack(log, &record, MAX_LEN, &memory);
		if (status == DW_OK) {
			EXPECT_TRUE(dw_view_log_put(log, &record, 1));
		}
		bytes_free(&memory);
		return status;
	}
	std::string value() const
	{
		const dw_view_record *record = dw_view_log_find(log, "config");
		return std::string((const char *)record->value, record->value_len);
	}
	const dw_view_record *record() const
	{
		return dw_view_log_find(log, "config");
	}
};

/* Guards against the incident CONFIG: each change of a configuration of 1,450 routes was read from
 * the store by each instance, 0.5 MB over links of 10 Mbit/s. */
TEST(ViewPack, AChangeOfALargeConfigurationIsSmallAndPassedOnFromInstanceToInstance)
{
	instance reader;
	instance relay;
	instance last;
	reader.read(configuration(1450, 0), 10);
	ASSERT_EQ(relay.receive(reader), DW_OK);
	ASSERT_EQ(last.receive(relay), DW_OK);
	for (int change = 1; change <= 3; change++) {
		uint64_t revision = 10 + (uint64_t)change;
		reader.read(configuration(1450, change), revision);
		EXPECT_LT(reader.record()->packed_len, 4096U);
		EXPECT_TRUE(dw_view_log_is_small(reader.log, revision - 1));
		ASSERT_EQ(relay.receive(reader), DW_OK);
		ASSERT_EQ(last.receive(relay), DW_OK);
		EXPECT_EQ(last.value(), configuration(1450, change));
		EXPECT_EQ(last.record()->revision, revision);
	}
}

TEST(ViewPack, AChangeIsNotAppliedToAnotherValueThanItsBase)
{
	instance reader;
	instance late;
	instance other;
	reader.read(configuration(1450, 0), 10);
	ASSERT_EQ(late.receive(reader), DW_OK);
	other.read(configuration(1400, 1), 11);
	reader.read(configuration(1450, 1), 11);
	reader.read(configuration(1450, 2), 12);
	EXPECT_EQ(late.receive(reader), DW_STALE);
	EXPECT_EQ(late.value(), configuration(1450, 0));
	EXPECT_FALSE(dw_view_record_is_packed_for(reader.record(), 10));
	EXPECT_TRUE(dw_view_record_is_packed_for(reader.record(), 11));
	/* The same revision with other bytes can't be; the checksum shows it all the same. */
	EXPECT_EQ(other.receive(reader), DW_INVALID_ARGUMENT);
	EXPECT_EQ(other.value(), configuration(1400, 1));
}

TEST(ViewPack, AFirstLargeValueNeedsNoBaseAndASmallOneIsLeftAsItIs)
{
	instance reader;
	instance late;
	reader.read(configuration(1450, 0), 10);
	EXPECT_EQ(reader.record()->base_revision, 0U);
	EXPECT_TRUE(dw_view_record_is_packed_for(reader.record(), 0));
	ASSERT_EQ(late.receive(reader), DW_OK);
	EXPECT_EQ(late.value(), configuration(1450, 0));
	reader.read(configuration(40, 1), 11);
	EXPECT_EQ(reader.record()->packed, nullptr);
}

/* A deleted key, and a value that follows it, have no base. */
TEST(ViewPack, AValueAfterADeletionHasNoBase)
{
	instance reader;
	dw_view_record gone{};
	gone.key = "config";
	gone.revision = 11;
	gone.deleted = true;
	reader.read(configuration(1450, 0), 10);
	ASSERT_TRUE(dw_view_log_put(reader.log, &gone, 1));
	EXPECT_EQ(reader.record()->packed, nullptr);
	reader.read(configuration(1450, 1), 12);
	EXPECT_EQ(reader.record()->base_revision, 0U);
}

TEST(ValueCodec, ValuesThatAreTooLongCutOrSpoiltAreRefused)
{
	std::string value(100000, 'x');
	bytes packed{};
	bytes out{};
	value_bytes none{};
	ASSERT_EQ(value_pack({ (const uint8_t *)value.data(), value.size() }, none, &packed),
		  DW_OK);
	auto unpack = [&](size_t len, size_t max) {
		out.len = 0;
		return value_unpack({ (const uint8_t *)packed.data, len }, none, max, &out);
	};
	EXPECT_EQ(unpack(packed.len, value.size()), DW_OK);
	EXPECT_EQ(unpack(packed.len, value.size() - 1), DW_TOO_LARGE);
	for (size_t len = 0; len < packed.len; len++)
		EXPECT_NE(unpack(len, value.size()), DW_OK) << len;
	for (size_t at = 0; at < packed.len; at++) {
		packed.data[at] ^= 0x40;
		dw_status status = unpack(packed.len, value.size());
		if (status == DW_OK) {
			EXPECT_EQ(std::string(out.data, out.len), value) << at;
		}
		packed.data[at] ^= 0x40;
	}
	bytes_free(&packed);
	bytes_free(&out);
}

} // namespace
