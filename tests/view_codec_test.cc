#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include <dragonflywharf/store_revision.h>

#include "net/view_codec.h"

namespace
{

struct ViewCodec : testing::Test {
	dw_view_log *log = dw_view_log_new();
	msgpack_sbuffer bytes;
	view_answer answer{};

	ViewCodec()
	{
		msgpack_sbuffer_init(&bytes);
		put("a", "one", 3);
		put("b", "", 5);
		dw_view_record gone{};
		gone.key = "c";
		gone.revision = 7;
		gone.deleted = true;
		dw_view_log_put(log, &gone, 1);
		answer.revision = 7;
		answer.hops = 2;
		answer.held_us = 200;
		answer.has_proof = true;
		answer.age_us = 100;
	}
	~ViewCodec() override
	{
		msgpack_sbuffer_destroy(&bytes);
		dw_view_log_free(log);
	}
	void put(const std::string &key, const std::string &value, uint64_t revision)
	{
		dw_view_record record{};
		record.key = key.c_str();
		record.value = (const uint8_t *)value.c_str();
		record.value_len = value.size();
		record.revision = revision;
		dw_view_log_put(log, &record, 1);
	}
	void pack(uint64_t after)
	{
		msgpack_packer packer;
		msgpack_sbuffer_clear(&bytes);
		msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
		view_answer_pack(&packer, &answer, log, after);
	}
	dw_status unpack(view_answer *out, size_t len) const
	{
		return view_answer_unpack((const uint8_t *)bytes.data, len, out);
	}
};

TEST_F(ViewCodec, ChangesArrive)
{
	view_answer out;
	pack(4);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	EXPECT_EQ(out.revision, 7U);
	EXPECT_EQ(out.hops, 2U);
	EXPECT_EQ(out.held_us, 200U);
	EXPECT_TRUE(out.has_proof);
	EXPECT_EQ(out.age_us, 100U);
	EXPECT_FALSE(out.had_outage);
	EXPECT_FALSE(out.has_gap);
	ASSERT_EQ(out.record_count, 2U);
	EXPECT_STREQ(out.records[0].key, "b");
	EXPECT_STREQ((const char *)out.records[0].value, "");
	EXPECT_FALSE(out.records[0].deleted);
	EXPECT_STREQ(out.records[1].key, "c");
	EXPECT_TRUE(out.records[1].deleted);
	view_answer_free(&out);
}

TEST_F(ViewCodec, ASnapshotHasWhatExists)
{
	view_answer out;
	answer.is_snapshot = true;
	answer.had_outage = true;
	answer.store_back_us = 9;
	answer.has_gap = true;
	answer.gap_from_us = 40;
	answer.gap_until_us = 30;
	pack(0);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	EXPECT_TRUE(out.is_snapshot);
	EXPECT_EQ(out.store_back_us, 9U);
	EXPECT_TRUE(out.has_gap);
	EXPECT_EQ(out.gap_from_us, 40U);
	EXPECT_EQ(out.gap_until_us, 30U);
	ASSERT_EQ(out.record_count, 2U);
	EXPECT_EQ(std::string((const char *)out.records[0].value, out.records[0].value_len), "one");
	view_answer_free(&out);
}

/* Guards against changes over a gap that arrive as all changes. */
TEST_F(ViewCodec, TheKindOfTheRecordsArrives)
{
	const bool kinds[][2] = { { false, false }, { true, false }, { false, true } };
	for (const auto &kind : kinds) {
		view_answer out;
		answer.is_snapshot = kind[0];
		answer.is_over_gap = kind[1];
		pack(4);
		ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
		EXPECT_EQ(out.is_snapshot, kind[0]);
		EXPECT_EQ(out.is_over_gap, kind[1]);
		view_answer_free(&out);
	}
}

/* Guards against a kept record that arrives as one that the store shows, or not at all. */
TEST_F(ViewCodec, KeptRecordsArriveWhateverTheirRevision)
{
	view_answer out;
	uint64_t over = dw_revision_make(2, 5);
	dw_view_log_keep(log, dw_view_log_find(log, "a"), over);
	dw_view_log_keep(log, dw_view_log_find(log, "c"), over);
	answer.revision = over;
	pack(4);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	ASSERT_EQ(out.record_count, 2U) << "not asked for: b and c only";
	view_answer_free(&out);
	answer.with_kept = true;
	for (uint64_t after : { UINT64_C(4), over }) {
		pack(after);
		ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
		ASSERT_EQ(out.record_count, after == 4 ? 3U : 2U);
		EXPECT_STREQ(out.records[0].key, "a");
		EXPECT_EQ(out.records[0].revision, 3U);
		EXPECT_EQ(out.records[0].kept_over, over);
		const dw_view_record &last = out.records[out.record_count - 1];
		EXPECT_STREQ(last.key, "c");
		EXPECT_TRUE(last.deleted);
		EXPECT_EQ(last.kept_over, over);
		view_answer_free(&out);
	}
	answer.is_snapshot = true;
	pack(0);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	ASSERT_EQ(out.record_count, 3U) << "with the deletion that is kept";
	EXPECT_EQ(out.records[1].kept_over, 0U);
	EXPECT_TRUE(out.records[2].deleted);
	view_answer_free(&out);
}

/* Guards against a kept value that is packed against one that the receiver needn't have. */
TEST_F(ViewCodec, AKeptValueNeedsNoBase)
{
	const uint8_t packed[] = { 1, 2, 3 };
	dw_view_record large{};
	view_answer out;
	large.key = "d";
	large.value = (const uint8_t *)"large";
	large.value_len = 5;
	large.revision = 9;
	large.packed = packed;
	large.packed_len = sizeof(packed);
	large.base_revision = 6;
	large.kept_over = dw_revision_make(2, 5);
	dw_view_log_put(log, &large, 1);
	answer.with_kept = true;
	pack(7);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	EXPECT_EQ(out.records[out.record_count - 1].value_len, 5U);
	EXPECT_EQ(out.records[out.record_count - 1].packed, nullptr);
	view_answer_free(&out);
}

/* A packed value is sent to those who have its base, and as it is to the others. */
TEST_F(ViewCodec, APackedValueIsSentToThoseWhoHaveItsBase)
{
	const uint8_t packed[] = { 1, 2, 3 };
	dw_view_record large{};
	view_answer out;
	large.key = "d";
	large.value = (const uint8_t *)"large";
	large.value_len = 5;
	large.revision = 9;
	large.packed = packed;
	large.packed_len = sizeof(packed);
	large.base_revision = 6;
	dw_view_log_put(log, &large, 1);
	answer.revision = 9;
	for (uint64_t after : { 7, 6, 5 }) {
		pack(after);
		ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
		const dw_view_record &last = out.records[out.record_count - 1];
		EXPECT_STREQ(last.key, "d");
		EXPECT_FALSE(last.deleted);
		EXPECT_EQ(last.packed_len, after >= 6 ? 3U : 0U) << after;
		EXPECT_EQ(last.base_revision, after >= 6 ? 6U : 0U);
		EXPECT_EQ(last.value_len, after >= 6 ? 0U : 5U);
		view_answer_free(&out);
	}
	answer.is_snapshot = true;
	pack(7);
	ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
	EXPECT_EQ(out.records[out.record_count - 1].value_len, 5U);
	view_answer_free(&out);
}

/* Guards against an instance that started after a key was deleted, and takes it for a new one when a copy of the store
 * shows it: deletions of before arrive with their last values. */
TEST_F(ViewCodec, RecentDeletionsArriveIfAskedFor)
{
	view_answer out;
	dw_view_record gone{};
	gone.key = "a";
	gone.revision = 8;
	gone.deleted = true;
	dw_view_log_put(log, &gone, 100);
	answer.revision = 8;
	for (bool is_snapshot : { false, true }) {
		answer.is_snapshot = is_snapshot;
		for (uint64_t since_us : { 0, 101, 100 }) {
			answer.deleted_since_us = since_us;
			pack(8);
			ASSERT_EQ(unpack(&out, bytes.size), DW_OK);
			bool is_told = false;
			for (size_t i = 0; i < out.record_count; i++) {
				const dw_view_record &record = out.records[i];
				if (strcmp(record.key, "a") != 0)
					continue;
				is_told = true;
				EXPECT_TRUE(record.deleted);
				EXPECT_EQ(std::string((const char *)record.last_value,
						      record.last_len),
					  "one");
			}
			EXPECT_EQ(is_told, since_us == 100) << since_us;
			view_answer_free(&out);
		}
	}
}

/* One malformed message doesn't take the process down, and nothing is read beyond its end. */
TEST_F(ViewCodec, MalformedAnswersAreRefused)
{
	view_answer out;
	answer.has_gap = true;
	answer.gap_from_us = 30;
	answer.gap_until_us = 40;
	pack(0);
	EXPECT_NE(unpack(&out, bytes.size), DW_OK) << "a gap that ends before it begins";
	answer.has_gap = false;
	pack(0);
	for (size_t len = 0; len < bytes.size; len++)
		EXPECT_NE(unpack(&out, len), DW_OK) << len;
	std::string valid(bytes.data, bytes.size);
	for (size_t i = 0; i < valid.size() * 256; i++) {
		std::string changed = valid;
		changed[i / 256] = (char)(i % 256);
		if (view_answer_unpack((const uint8_t *)changed.data(), changed.size(), &out) ==
		    DW_OK)
			view_answer_free(&out);
	}
	const uint8_t no_key[] = { 0x9c, 0x04, 0x01, 0x01, 0x00, 0x00, 0x00, 0xc0, 0xc0, 0xc0,
				   0xc0, 0x91, 0x95, 0xa0, 0x01, 0xc4, 0x00, 0x00, 0xc0, 0x01 };
	EXPECT_NE(view_answer_unpack(no_key, sizeof(no_key), &out), DW_OK);
	for (uint8_t version : { 0x00, 0x01, 0x02, 0x03, 0x05 }) {
		const uint8_t other_version[] = { 0x9c, version, 0x01, 0x01, 0x00, 0x00, 0x00,
						  0xc0, 0xc0,	 0xc0, 0xc0, 0x90, 0x01 };
		EXPECT_NE(view_answer_unpack(other_version, sizeof(other_version), &out), DW_OK);
	}
	const uint8_t endless_array[] = { 0x9c, 0x04, 0x01, 0x01, 0x00, 0x00, 0x00, 0xc0,
					  0xc0, 0xc0, 0xc0, 0xdd, 0xff, 0xff, 0xff, 0xff };
	EXPECT_NE(view_answer_unpack(endless_array, sizeof(endless_array), &out), DW_OK);
}

} // namespace
