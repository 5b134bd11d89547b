#include <random>

#include <gtest/gtest.h>

#include "net/member_codec.h"
#include "net/ruleset_codec.h"
#include "support/entities.h"

using namespace dw_test;

namespace
{

struct Buffer {
	msgpack_sbuffer bytes;

	Buffer()
	{
		msgpack_sbuffer_init(&bytes);
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

/* Every cut and many changes of single bytes must end in a typed error or a whole message. */
template <typename Decode> void mangle(const msgpack_sbuffer &whole, Decode decode)
{
	std::string bytes(whole.data, whole.size);
	std::mt19937 random(9);

	for (size_t len = 0; len < bytes.size(); len++) {
		/* A copy of exact size, so that a sanitizer sees reads beyond it. */
		std::vector<char> cut(bytes.begin(), bytes.begin() + static_cast<long>(len));

		EXPECT_EQ(DW_INVALID_ARGUMENT, decode(cut.data(), cut.size())) << "cut at " << len;
	}
	EXPECT_EQ(DW_INVALID_ARGUMENT, decode((bytes + "x").data(), bytes.size() + 1));
	for (int i = 0; i < 5000; i++) {
		std::string changed = bytes;

		changed[random() % changed.size()] = static_cast<char>(random());
		enum dw_status status = decode(changed.data(), changed.size());
		EXPECT_TRUE(status == DW_OK || status == DW_INVALID_ARGUMENT);
	}
}

TEST(MemberCodec, KeepsMessagesAndRefusesMangledOnes)
{
	dw_member_message sent = {}, got;
	Buffer buffer;

	sent.kind = DW_MEMBER_PING_REQ;
	sent.sequence = UINT64_MAX - 1;
	sent.want_sync = true;
	sent.sender = member(1);
	sent.target = { 5, 6 };
	sent.update_count = 3;
	for (uint64_t i = 0; i < 3; i++)
		sent.updates[i] = member(10 + i);
	dw_member_codec_encode(&sent, &buffer.bytes);
	ASSERT_EQ(DW_OK, dw_member_codec_decode(buffer.bytes.data, buffer.bytes.size, &got));
	EXPECT_EQ(0, memcmp(&sent, &got, sizeof(sent)));
	mangle(buffer.bytes, [&](const char *bytes, size_t len) {
		return dw_member_codec_decode(bytes, len, &got);
	});
	std::string large(DW_MEMBER_MESSAGE_MAX_BYTES + 1, '\0');
	EXPECT_EQ(DW_TOO_LARGE, dw_member_codec_decode(large.data(), large.size(), &got));
}

TEST(MemberCodec, LargestMessageFits)
{
	dw_member_message sent = {}, got;
	Buffer buffer;

	sent.sender = member(1);
	memset(sent.sender.name, 'n', DW_NAME_MAX_BYTES);
	memset(sent.sender.failure_domain, 'd', DW_NAME_MAX_BYTES);
	sent.update_count = DW_MEMBER_UPDATES_MAX;
	for (auto &update : sent.updates)
		update = sent.sender;
	dw_member_codec_encode(&sent, &buffer.bytes);
	EXPECT_EQ(DW_OK, dw_member_codec_decode(buffer.bytes.data, buffer.bytes.size, &got));
}

TEST(RulesetCodec, PeerBootsCatchesUpAndRefusesMangledMessages)
{
	dw_ruleset *from = dw_ruleset_new(), *to = dw_ruleset_new();
	dw_ruleset_message message;
	dw_ruleset_result result;
	auto pull = [&](dw_ruleset_message_kind expected) {
		Buffer asked, answer;

		dw_ruleset_codec_encode_pull(to, &asked.bytes);
		ASSERT_EQ(DW_OK,
			  dw_ruleset_codec_decode(asked.bytes.data, asked.bytes.size, &message));
		EXPECT_EQ(DW_RULESET_PULL, message.kind);
		dw_ruleset_codec_encode_since(from, message.from_revision, &answer.bytes);
		dw_ruleset_message_release(&message);
		ASSERT_EQ(DW_OK,
			  dw_ruleset_codec_decode(answer.bytes.data, answer.bytes.size, &message));
		EXPECT_EQ(expected, message.kind);
		EXPECT_EQ(DW_OK, dw_ruleset_message_apply(&message, to, &result));
		EXPECT_EQ(message.digest, dw_ruleset_digest(to));
		dw_ruleset_message_release(&message);
	};

	EXPECT_EQ(DW_OK, apply_snapshot(from, 5, { at(2, model("a")), at(5, model("b")) }));
	pull(DW_RULESET_SNAPSHOT);
	EXPECT_EQ(DW_OK, apply(from, 5, 7, { { "model/a", 6, true, "" }, at(7, model("c")) }));
	pull(DW_RULESET_DELTA);
	EXPECT_EQ(nullptr, dw_ruleset_model(to, "a"));
	EXPECT_NE(nullptr, dw_ruleset_model(to, "c"));
	Buffer whole;
	dw_ruleset_codec_encode_since(from, 5, &whole.bytes);
	mangle(whole.bytes, [&](const char *bytes, size_t len) {
		enum dw_status status = dw_ruleset_codec_decode(bytes, len, &message);

		dw_ruleset_message_release(&message);
		return status;
	});
	dw_ruleset_free(from);
	dw_ruleset_free(to);
}

} // namespace
