#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include <dragonflywharf/session.h>
#include <dragonflywharf/session_table.h>

#include "support/entities.h"

using namespace dw_test;

namespace
{

constexpr uint64_t kSecond = 1000000;
constexpr uint64_t kNow = 1800000000 * kSecond;

class TokenTest : public ::testing::Test
{
      protected:
	dw_session_keys keys = {};
	dw_session_claims claims = {}, read = {};
	char token[DW_SESSION_TOKEN_BYTES];

	TokenTest()
	{
		memset(keys.current, 7, sizeof(keys.current));
		strcpy(claims.model, "slate");
		strcpy(claims.version, "v1.2");
		claims.issued_us = kNow;
		claims.expires_us = kNow + 60 * kSecond;
		EXPECT_EQ(DW_OK, dw_session_token_create(&keys, "haarlemmerland", &claims, token));
	}

	enum dw_status check(const char *text, const char *organisation = "haarlemmerland",
			     uint64_t now = kNow)
	{
		return dw_session_token_verify(&keys, text, organisation, now, &read);
	}
};

TEST_F(TokenTest, ReturnsItsClaims)
{
	ASSERT_EQ(DW_OK, check(token));
	EXPECT_STREQ("slate", read.model);
	EXPECT_STREQ("v1.2", read.version);
	EXPECT_EQ(claims.issued_us, read.issued_us);
	EXPECT_EQ(claims.expires_us, read.expires_us);
	memset(claims.model, 'm', DW_NAME_MAX_BYTES);
	memset(claims.version, 'v', DW_NAME_MAX_BYTES);
	std::string longest(DW_NAME_MAX_BYTES, 'o');
	ASSERT_EQ(DW_OK, dw_session_token_create(&keys, longest.c_str(), &claims, token));
	EXPECT_LE(strlen(token), 256u);
	EXPECT_EQ(DW_OK, check(token, longest.c_str()));
	EXPECT_STREQ(claims.version, read.version);
}

TEST_F(TokenTest, RejectsForgedTruncatedExpiredAndForeignTokens)
{
	std::string text = token;

	for (size_t i = 0; i < text.size(); i++) {
		std::string forged = text;

		forged[i] = forged[i] == 'A' ? 'B' : 'A';
		EXPECT_EQ(DW_UNAUTHENTICATED, check(forged.c_str())) << "at " << i;
		EXPECT_EQ(DW_UNAUTHENTICATED, check(text.substr(0, i).c_str()))
			<< "truncated at " << i;
	}
	EXPECT_EQ(DW_UNAUTHENTICATED, check((text + "A").c_str()));
	EXPECT_EQ(DW_UNAUTHENTICATED, check(std::string(1000, 'A').c_str()));
	EXPECT_EQ(DW_FORBIDDEN, check(token, "atlas"));
	EXPECT_EQ(DW_OK, check(token, "haarlemmerland", claims.expires_us - 1));
	EXPECT_EQ(DW_STALE, check(token, "haarlemmerland", claims.expires_us));
}

TEST_F(TokenTest, AcceptsThePreviousKeyButNoOlderOne)
{
	memcpy(keys.previous, keys.current, sizeof(keys.previous));
	memset(keys.current, 8, sizeof(keys.current));
	EXPECT_EQ(DW_UNAUTHENTICATED, check(token));
	keys.has_previous = true;
	EXPECT_EQ(DW_OK, check(token));
	memset(keys.previous, 9, sizeof(keys.previous));
	EXPECT_EQ(DW_UNAUTHENTICATED, check(token));
}

class VersionChoiceTest : public ::testing::Test
{
      protected:
	dw_ruleset *ruleset = dw_ruleset_new();
	dw_session_choice choice = {};
	uint64_t revision = 0;

	VersionChoiceTest()
	{
		put(organisation("o", { "m" }));
		put(organisation("p", { "m/v2" }));
		put(organisation("q", {}));
		put(model("m"));
		put(version("m", "v1", true, 3));
		put(version("m", "v2", true, 1));
		put(version("m", "v3", true, 0));
	}

	~VersionChoiceTest() override
	{
		dw_ruleset_free(ruleset);
	}

	void put(const Change &change)
	{
		revision++;
		EXPECT_EQ(DW_OK, apply(ruleset, revision - 1, revision, { at(revision, change) }));
	}

	std::string choose(const char *who, const char *session, uint64_t random = 0,
			   const dw_version_filter *filter = nullptr)
	{
		enum dw_status status = dw_session_choose_version(ruleset, who, "m", session,
								  filter, random, &choice);

		return status ? dw_status_name(status) : choice.version->name;
	}
};

TEST_F(VersionChoiceTest, KeepsTheSessionsVersionRegardlessOfWeights)
{
	for (uint64_t i = 0; i < 100; i++) {
		EXPECT_EQ("v3", choose("o", "v3", i << 57));
		EXPECT_EQ(DW_SESSION_KEPT, choice.outcome);
	}
}

TEST_F(VersionChoiceTest, MovesSessionsOffWithdrawnVersions)
{
	put(version("m", "v1", false, 3));
	EXPECT_EQ("v2", choose("o", "v1"));
	EXPECT_EQ(DW_SESSION_MOVED, choice.outcome);
	EXPECT_EQ("v2", choose("p", "v3"));
	EXPECT_EQ(DW_SESSION_MOVED, choice.outcome);
	put(version("m", "v2", false, 1));
	EXPECT_EQ("v3", choose("o", nullptr))
		<< "a version with weight 0 is used if no other is left";
	EXPECT_EQ("withdrawn", choose("p", "v2"));
	EXPECT_EQ("forbidden", choose("q", nullptr));
	EXPECT_EQ("not_found", choose("unknown", nullptr));
}

TEST_F(VersionChoiceTest, FollowsWeightsAndTheFilter)
{
	std::mt19937_64 random(5);
	int first = 0;
	dw_version_filter held = {};

	for (int i = 0; i < 4000; i++) {
		std::string name = choose("o", nullptr, random());

		EXPECT_NE("v3", name);
		first += name == "v1";
	}
	EXPECT_EQ(DW_SESSION_NEW, choice.outcome);
	EXPECT_NEAR(3000, first, 120);
	held.accepts = [](const dw_version *version, bool kept, void *) {
		return kept || strcmp(version->name, "v1") != 0;
	};
	for (int i = 0; i < 100; i++)
		EXPECT_EQ("v2", choose("o", nullptr, random(), &held));
	EXPECT_EQ("v1", choose("o", "v1", 0, &held));
}

dw_session_entry entry(const char *session, const char *version, uint32_t moves, uint64_t assigned,
		       uint64_t member)
{
	dw_session_entry out = {};

	out.id = dw_session_id_make("o", "m", session);
	strcpy(out.version, version);
	out.moves = moves;
	out.assigned_us = assigned;
	out.member = { member, 1 };
	return out;
}

TEST(SessionTable, MergesToTheSameEntryInAnyOrder)
{
	std::vector<dw_session_entry> entries = {
		entry("s", "v1", 0, 20, 1), entry("s", "v2", 0, 10, 2), entry("s", "v3", 0, 10, 1),
		entry("s", "v4", 1, 40, 1), entry("s", "v5", 1, 30, 3),
	};
	std::vector<size_t> order = { 0, 1, 2, 3, 4 };

	do {
		dw_session_table *table = dw_session_table_new(4, kSecond);

		for (size_t i : order)
			dw_session_table_merge(table, &entries[i], 0);
		EXPECT_STREQ("v5", dw_session_table_get(table, entries[0].id, 1)->version);
		EXPECT_EQ(1u, dw_session_table_count(table));
		dw_session_table_free(table);
	} while (std::next_permutation(order.begin(), order.end()));
}

TEST(SessionTable, IsBoundedAndExpires)
{
	dw_session_table *table = dw_session_table_new(2, 10);
	dw_session_entry a = entry("a", "v", 0, 1, 1), b = entry("b", "v", 0, 1, 1),
			 c = entry("c", "v", 0, 1, 1);

	dw_session_table_merge(table, &a, 0);
	dw_session_table_merge(table, &b, 1);
	EXPECT_NE(nullptr, dw_session_table_get(table, a.id, 2));
	dw_session_table_merge(table, &c, 3);
	EXPECT_EQ(nullptr, dw_session_table_get(table, b.id, 4))
		<< "the least recently used entry must be evicted";
	EXPECT_NE(nullptr, dw_session_table_get(table, a.id, 4));
	EXPECT_EQ(1u, dw_session_table_expire(table, 13, 10));
	EXPECT_EQ(nullptr, dw_session_table_get(table, a.id, 14));
	EXPECT_EQ(0u, dw_session_table_count(table));
	dw_session_table_free(table);
}

TEST(SessionTable, IdDependsOnEveryPart)
{
	auto hash = [](const char *o, const char *m, const char *s) {
		return dw_session_id_hash(dw_session_id_make(o, m, s));
	};

	EXPECT_NE(hash("ab", "c", "s"), hash("a", "bc", "s"));
	EXPECT_NE(hash("a", "m", "s"), hash("b", "m", "s"));
	EXPECT_EQ(hash("a", "m", "s"), hash("a", "m", "s"));
}

} // namespace
