#include <gtest/gtest.h>

#include "core/msgpack_check.h"
#include "net/member_codec.h"
#include "net/msgpack_read.h"
#include "net/ruleset_codec.h"
#include "support/entities.h"

using namespace dw_test;

namespace
{

struct Buffer {
	msgpack_sbuffer bytes;
	msgpack_packer packer;

	Buffer()
	{
		msgpack_sbuffer_init(&bytes);
		msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	}

	~Buffer()
	{
		msgpack_sbuffer_destroy(&bytes);
	}
};

dw_member member(uint64_t id)
{
	dw_member out = {};

	out.key = { id, 77 };
	strcpy(out.name, "entry-1");
	strcpy(out.ip, "10.0.0.1");
	out.port = 7000;
	strcpy(out.failure_domain, "haarlem");
	out.state = DW_MEMBER_LEAVING;
	out.leaving = true;
	out.refutation = 3;
	out.applied_revision = UINT64_MAX;
	return out;
}

/* Checks and unpacks the bytes of one msgpack value, then decodes it. */
template <typename Decode> enum dw_status unpack(const char *bytes, size_t len, Decode decode)
{
	msgpack_unpacked unpacked;
	enum dw_status status = DW_INVALID_ARGUMENT;

	if (dw_msgpack_check(reinterpret_cast<const uint8_t *>(bytes), len) != DW_OK)
		return status;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes, len, nullptr) == MSGPACK_UNPACK_SUCCESS)
		status = decode(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

/* Every truncation must be rejected; single-byte changes must be rejected or decode to a message. */
template <typename Decode>
void expect_corruption_handled(const msgpack_sbuffer &encoded, Decode decode)
{
	std::string bytes(encoded.data, encoded.size);

	for (size_t len = 0; len < bytes.size(); len++) {
		/* A copy of the exact size lets AddressSanitizer detect reads beyond its end. */
		std::vector<char> truncated(bytes.begin(), bytes.begin() + static_cast<long>(len));

		EXPECT_EQ(DW_INVALID_ARGUMENT, unpack(truncated.data(), truncated.size(), decode))
			<< len;
	}
	for (size_t at = 0; at < bytes.size(); at += 1 + bytes.size() / 200)
		for (int value = 0; value < 256; value++) {
			std::string changed = bytes;

			changed[at] = static_cast<char>(value);
			enum dw_status status = unpack(changed.data(), changed.size(), decode);
			EXPECT_TRUE(status == DW_OK || status == DW_INVALID_ARGUMENT);
		}
}

/* Found by a fuzz target: an empty string at the end of a message has no bytes to copy. */
TEST(MsgpackRead, AnEmptyStringNeedsNoBytes)
{
	msgpack_object object{};
	char text[4] = "x";

	object.type = MSGPACK_OBJECT_STR;
	EXPECT_TRUE(dw_msgpack_read_string(&object, text, sizeof(text)));
	EXPECT_STREQ(text, "");
}

TEST(MemberCodec, RoundTripsMessagesAndRejectsCorruptedOnes)
{
	dw_member_message sent = {}, received;
	Buffer buffer;

	sent.kind = DW_MEMBER_PING_REQ;
	sent.sequence = UINT64_MAX - 1;
	sent.want_sync = true;
	sent.sender = member(1);
	sent.target = { 5, 6 };
	sent.update_count = DW_MEMBER_UPDATES_MAX;
	for (uint64_t i = 0; i < DW_MEMBER_UPDATES_MAX; i++)
		sent.updates[i] = member(10 + i);
	dw_member_message_pack(&buffer.packer, &sent);
	auto decode = [&](const msgpack_object *object) {
		return dw_member_message_unpack(object, &received);
	};
	ASSERT_EQ(DW_OK, unpack(buffer.bytes.data, buffer.bytes.size, decode));
	EXPECT_EQ(0, memcmp(&sent, &received, sizeof(sent)));
	expect_corruption_handled(buffer.bytes, decode);
}

TEST(RulesetCodec, TransfersSnapshotAndDeltaAndRejectsCorruptedMessages)
{
	dw_ruleset *from = dw_ruleset_new(), *to = dw_ruleset_new();
	auto pack_changes = [&](Buffer *buffer) {
		dw_ruleset_delta delta = {};
		std::vector<dw_ruleset_item> items;
		auto changes = items_since(from, dw_ruleset_revision(to), &delta.snapshot);

		for (const auto &change : changes)
			items.push_back(change.item());
		delta.from_revision = dw_ruleset_revision(to);
		delta.to_revision = dw_ruleset_revision(from);
		delta.items = items.data();
		delta.count = items.size();
		dw_ruleset_delta_pack(&buffer->packer, &delta);
	};
	auto decode = [&](const msgpack_object *object) {
		dw_ruleset_delta delta;
		dw_ruleset_result result;
		enum dw_status status = dw_ruleset_delta_unpack(object, &delta);

		if (status)
			return status;
		if (delta.snapshot)
			dw_ruleset_apply_snapshot(to, delta.to_revision, delta.items, delta.count,
						  &result);
		else
			dw_ruleset_apply_delta(to, delta.from_revision, delta.to_revision,
					       delta.items, delta.count, &result);
		dw_ruleset_delta_clear(&delta);
		return status;
	};
	Buffer first, second;

	EXPECT_EQ(DW_OK, apply_snapshot(from, 5, { at(2, model("a")), at(5, model("b")) }));
	pack_changes(&first);
	EXPECT_EQ(DW_OK, unpack(first.bytes.data, first.bytes.size, decode));
	EXPECT_NE(nullptr, dw_ruleset_model(to, "a"));
	EXPECT_EQ(DW_OK, apply(from, 5, 7, { { "model/a", 6, true, "" }, at(7, model("c")) }));
	pack_changes(&second);
	EXPECT_EQ(DW_OK, unpack(second.bytes.data, second.bytes.size, decode));
	EXPECT_EQ(nullptr, dw_ruleset_model(to, "a"));
	EXPECT_EQ(dw_ruleset_digest(from), dw_ruleset_digest(to));
	expect_corruption_handled(second.bytes, decode);
	dw_ruleset_free(from);
	dw_ruleset_free(to);
}

} // namespace
