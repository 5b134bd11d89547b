#include <gtest/gtest.h>

#include <string>

#include <dragonflywharf/catalog.h>

namespace
{

dw_route_rule route(const char *name, const char *host, const char *prefix)
{
	dw_route_rule rule{};
	rule.name = name;
	rule.host = host;
	rule.path_prefix = prefix;
	static const dw_route_share share = { "service", 1 };
	rule.shares = &share;
	rule.share_count = 1;
	rule.max_attempts = 1;
	return rule;
}

struct Catalog : testing::Test {
	dw_catalog *catalog = nullptr;

	void SetUp() override
	{
		ASSERT_EQ(dw_catalog_new(&catalog, 7), DW_OK);
	}
	void TearDown() override
	{
		dw_catalog_release(catalog);
	}
	void add(const char *name, const char *host, const char *prefix)
	{
		dw_route_rule rule = route(name, host, prefix);
		ASSERT_EQ(dw_catalog_add_route(catalog, &rule), DW_OK);
	}
	std::string match(const char *host, const char *path)
	{
		const dw_route_rule *rule = dw_catalog_match(catalog, host, path);
		return rule ? rule->name : "";
	}
};

TEST_F(Catalog, MatchesTheLongestPrefixOfTheHost)
{
	add("short", "a.example", "/x/");
	add("long", "a.example", "/x/y/");
	add("other", "b.example", "/x/y/z/");
	EXPECT_EQ(match("a.example", "/x/y/z/1"), "long");
	EXPECT_EQ(match("a.example", "/x/z"), "short");
	EXPECT_EQ(match("A.Example", "/x/z"), "short");
	EXPECT_EQ(match("a.example", "/x"), "");
	EXPECT_EQ(match("c.example", "/x/y/"), "");
}

TEST_F(Catalog, RejectsIncompleteRoutes)
{
	dw_route_rule rule = route("r", "h", "x/");
	EXPECT_EQ(dw_catalog_add_route(catalog, &rule), DW_INVALID_ARGUMENT);
	rule = route("r", "h", "/x");
	EXPECT_EQ(dw_catalog_add_route(catalog, &rule), DW_INVALID_ARGUMENT);
	rule = route("r", nullptr, "/x/");
	EXPECT_EQ(dw_catalog_add_route(catalog, &rule), DW_INVALID_ARGUMENT);
	rule = route("r", "h", "/x/");
	rule.share_count = 0;
	EXPECT_EQ(dw_catalog_add_route(catalog, &rule), DW_INVALID_ARGUMENT);
	EXPECT_EQ(dw_catalog_route_count(catalog), 0U);
}

TEST_F(Catalog, FindsTheOrganisationOfAKey)
{
	dw_organisation_rule organisation = { "workshop", true, 2 };
	EXPECT_FALSE(dw_catalog_needs_keys(catalog));
	ASSERT_EQ(dw_catalog_add_organisation(catalog, &organisation), DW_OK);
	ASSERT_EQ(dw_catalog_add_key(catalog, "workshop", "k1"), DW_OK);
	EXPECT_EQ(dw_catalog_add_key(catalog, "workshop", "k1"), DW_CONFLICT);
	EXPECT_EQ(dw_catalog_add_key(catalog, "nobody", "k2"), DW_NOT_FOUND);
	EXPECT_TRUE(dw_catalog_needs_keys(catalog));
	ASSERT_NE(dw_catalog_key_owner(catalog, "k1"), nullptr);
	EXPECT_STREQ(dw_catalog_key_owner(catalog, "k1")->name, "workshop");
	EXPECT_EQ(dw_catalog_key_owner(catalog, "k2"), nullptr);
}

/* Guards against requests that run for one of two organisations, whichever comes first. */
TEST_F(Catalog, AKeyOfTwoOrganisationsBelongsToNone)
{
	dw_organisation_rule first = { "first", false, 0 };
	dw_organisation_rule second = { "second", false, 0 };
	ASSERT_EQ(dw_catalog_add_organisation(catalog, &first), DW_OK);
	ASSERT_EQ(dw_catalog_add_organisation(catalog, &second), DW_OK);
	ASSERT_EQ(dw_catalog_add_key(catalog, "first", "k"), DW_OK);
	EXPECT_EQ(dw_catalog_add_key(catalog, "second", "k"), DW_CONFLICT);
	EXPECT_EQ(dw_catalog_key_owner(catalog, "k"), nullptr);
	EXPECT_EQ(dw_catalog_add_key(catalog, "first", "k"), DW_CONFLICT);
	EXPECT_EQ(dw_catalog_key_owner(catalog, "k"), nullptr);
}

/* Guards against requests that a shorter prefix takes because the right route can't be read. */
TEST_F(Catalog, AnUnreadableRouteKeepsItsPlace)
{
	add("short", "h", "/x/");
	dw_route_rule rule{};
	rule.name = "long";
	rule.host = "h";
	rule.path_prefix = "/x/y/";
	rule.is_unreadable = true;
	ASSERT_EQ(dw_catalog_add_route(catalog, &rule), DW_OK);
	EXPECT_EQ(match("h", "/x/y/1"), "long");
	EXPECT_EQ(match("h", "/x/1"), "short");
}

/* Guards against a configuration whose list of organisations is empty, and that asks for no key. */
TEST_F(Catalog, NeedsKeysWithoutAnyOrganisationIfAskedTo)
{
	dw_catalog_require_keys(catalog);
	EXPECT_TRUE(dw_catalog_needs_keys(catalog));
	EXPECT_EQ(dw_catalog_key_owner(catalog, ""), nullptr);
}

TEST_F(Catalog, SplitsRequestsByWeight)
{
	dw_route_rule rule = route("r", "h", "/x/");
	dw_route_share shares[] = { { "first", 90 }, { "second", 10 } };
	rule.shares = shares;
	rule.share_count = 2;
	int second = 0;
	for (uint64_t hash = 0; hash < 1000; hash++)
		second += std::string(dw_route_pick_service(&rule, hash)) == "second";
	EXPECT_EQ(second, 100);
	shares[0].weight = shares[1].weight = 0;
	EXPECT_STREQ(dw_route_pick_service(&rule, 5), "first");
}

/* Guards against a check that names the wrong entry, as routes are sorted and the lists reversed. */
TEST_F(Catalog, IterationReturnsEveryEntryOnce)
{
	add("short", "h", "/x/");
	add("long", "h", "/x/y/");
	std::string routes, names;
	size_t index = 0;
	for (size_t i = 0; const dw_route_rule *rule = dw_catalog_route_at(catalog, i, &index); i++)
		routes += rule->name + std::to_string(index) + " ";
	EXPECT_EQ(routes, "long1 short0 ");
	for (const char *name : { "a", "b" }) {
		dw_service_rule service{};
		dw_organisation_rule owner = { name, false, 0 };
		service.name = name;
		ASSERT_EQ(dw_catalog_add_service(catalog, &service), DW_OK);
		ASSERT_EQ(dw_catalog_add_organisation(catalog, &owner), DW_OK);
		ASSERT_EQ(dw_catalog_add_key(catalog, name, name), DW_OK);
	}
	for (auto *s = dw_catalog_next_service(catalog, nullptr); s;
	     s = dw_catalog_next_service(catalog, s))
		names += s->name;
	for (auto *o = dw_catalog_next_organisation(catalog, nullptr); o;
	     o = dw_catalog_next_organisation(catalog, o))
		names += o->name;
	for (auto *k = dw_catalog_next_key(catalog, nullptr); k;
	     k = dw_catalog_next_key(catalog, k))
		names += std::string(k->value) + k->owner->name;
	EXPECT_EQ(names, "babaaabb");
}

TEST_F(Catalog, ReferenceKeepsTheCatalogueAlive)
{
	add("r", "h", "/x/");
	dw_catalog *reference = dw_catalog_retain(catalog);
	dw_catalog_release(catalog);
	EXPECT_EQ(dw_catalog_version(reference), 7U);
	EXPECT_EQ(match("h", "/x/1"), "r");
}

} // namespace
