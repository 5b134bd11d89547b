#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include <dragonflywharf/view_tree.h>

namespace
{

std::vector<dw_view_member> fleet(uint32_t count, uint32_t domains)
{
	std::vector<dw_view_member> members;
	for (uint64_t i = 0; i < count; i++)
		members.push_back({ i * 7919 + 1, i % domains + 100 });
	return members;
}

struct ViewTree : testing::TestWithParam<uint32_t> {
	std::vector<dw_view_member> members = fleet(GetParam(), 6);
	std::map<uint64_t, dw_view_place> places;

	ViewTree()
	{
		for (const auto &member : members) {
			dw_view_place place;
			EXPECT_EQ(dw_view_place_find(members.data(), (uint32_t)members.size(),
						     member.instance_id, &place),
				  members.size());
			places[member.instance_id] = place;
		}
	}
};

/* Two or three instances of the whole fleet read the store, in different failure domains. */
TEST_P(ViewTree, AFewReadTheStore)
{
	std::set<uint64_t> domains;
	uint32_t readers = 0;
	for (const auto &member : members) {
		const dw_view_place &place = places[member.instance_id];
		EXPECT_LE(place.readers, 3U);
		EXPECT_GE(place.readers, 2U);
		if (place.rank >= place.readers)
			continue;
		readers++;
		domains.insert(member.domain_key);
	}
	EXPECT_EQ(readers, dw_view_reader_count(GetParam()));
	EXPECT_EQ(domains.size(), readers);
}

/* Each instance reaches a reader by its preferred sources in a few steps; each serves a few others,
 * and each failure domain takes the records from outside once. */
TEST_P(ViewTree, RecordsPassDownATree)
{
	std::map<uint64_t, uint32_t> children;
	std::map<uint64_t, uint64_t> domain_of;
	uint32_t crossings = 0;
	for (const auto &member : members)
		domain_of[member.instance_id] = member.domain_key;
	for (const auto &member : members) {
		uint64_t at = member.instance_id;
		uint32_t steps = 0;
		if (places[at].rank < places[at].readers)
			continue;
		ASSERT_GT(places[at].source_count, 1U);
		children[places[at].sources[0]]++;
		crossings += domain_of[at] != domain_of[places[at].sources[0]];
		while (places[at].rank >= places[at].readers) {
			EXPECT_LT(places[places[at].sources[0]].rank, places[at].rank);
			at = places[at].sources[0];
			ASSERT_LE(++steps, 5U);
		}
	}
	EXPECT_LE(crossings, 6U);
	for (const auto &[id, count] : children)
		EXPECT_LE(count, DW_VIEW_FANOUT + 3U);
}

TEST_P(ViewTree, SourcesAreOthersAndNamedOnce)
{
	for (const auto &[id, place] : places) {
		std::set<uint64_t> sources(place.sources, place.sources + place.source_count);
		EXPECT_EQ(sources.size(), place.source_count);
		EXPECT_EQ(sources.count(id), 0U);
	}
}

/* When a reader leaves, one takes its part and the others keep theirs. */
TEST_P(ViewTree, AReaderIsReplacedByOne)
{
	std::set<uint64_t> before, after;
	std::vector<dw_view_member> left;
	uint64_t gone = 0;
	for (const auto &[id, place] : places) {
		if (place.rank < place.readers)
			before.insert(id);
	}
	gone = *before.begin();
	for (const auto &member : members) {
		if (member.instance_id != gone)
			left.push_back(member);
	}
	for (const auto &member : left) {
		dw_view_place place;
		dw_view_place_find(left.data(), (uint32_t)left.size(), member.instance_id, &place);
		if (place.rank < place.readers)
			after.insert(member.instance_id);
	}
	EXPECT_EQ(after.size(), before.size());
	before.erase(gone);
	for (uint64_t id : before)
		EXPECT_EQ(after.count(id), 1U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ViewTree, testing::Values(9, 20, 295, 2100));

TEST(ViewTreeSmall, AnInstanceAloneReads)
{
	dw_view_member only = { 5, 1 };
	dw_view_place place;
	EXPECT_EQ(dw_view_place_find(&only, 1, 5, &place), 1U);
	EXPECT_EQ(place.rank, 0U);
	EXPECT_EQ(place.readers, 1U);
	EXPECT_EQ(place.source_count, 0U);
	EXPECT_EQ(dw_view_place_find(&only, 1, 6, &place), 0U) << "not a member";
	EXPECT_EQ(place.rank, 0U);
}

/* In a single failure domain the readers are its first instances. */
TEST(ViewTreeSmall, OneFailureDomain)
{
	auto members = fleet(12, 1);
	uint32_t readers = 0;
	for (const auto &member : members) {
		dw_view_place place;
		dw_view_place_find(members.data(), 12, member.instance_id, &place);
		readers += place.rank < place.readers;
	}
	EXPECT_EQ(readers, 2U);
}

} // namespace
