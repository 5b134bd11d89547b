// Checks of a configuration of the gateway: one row for each rule, with all findings it must give.
// A rule that finds nothing lets an operator write an entry that never matches; one that finds too
// much makes the exit code useless.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <dragonflywharf/config_check.h>

#include "platform/config_record.h"
#include "platform/records.h"
#include "support/findings.h"

namespace
{

const std::string BASE =
	R"({"Version":7,"Routes":[{"Name":"chat","Host":"h","PathPrefix":"/chat/","Kind":"stream",)"
	R"("TimeoutMs":9000,"TargetLatencyMs":2000,"TargetGapMs":900,"MaxAttempts":2,)"
	R"("Resumable":true,"Priority":1,"Sizes":["s","l"],"TrafficSplit":[)"
	R"({"Service":"llm","Weight":90},{"Service":"new","Weight":10}]},)"
	R"({"Name":"book","Host":"h","PathPrefix":"/book/","Kind":"unsafe","Service":"plain"}],)"
	R"("Services":[{"Name":"llm","HealthPath":"/hz","MaxConnections":70,"ColdStartS":3,)"
	R"("ColdPerS":5,"Engine":{"Slots":64,"KvCapacity":1000,"Stride":6,)"
	R"("Models":[{"Name":"s","Cost":0.25},{"Name":"l","Cost":0.5}]}},)"
	R"({"Name":"new","Engine":{"Slots":32,"Models":[{"Name":"s"},{"Name":"l"}]}},)"
	R"({"Name":"plain"}],"Limits":{"MaxHeaderBytes":8000,"MaxBodyBytes":90000,)"
	R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":5000},)"
	R"("Tenants":[{"Name":"north","ApiKeys":["k1","k2"],"Priority":1},)"
	R"({"Name":"south","ApiKeys":["k3"]}]})";

using edits = std::vector<std::pair<std::string, std::string>>;

std::string edited(const edits &list)
{
	std::string text = BASE;
	for (const auto &[from, to] : list) {
		size_t at = text.find(from);
		EXPECT_NE(at, std::string::npos) << from;
		text.replace(at, from.size(), to);
	}
	return text;
}

struct checked {
	dw_catalog *catalog = nullptr;
	dw_check_index index{};
	explicit checked(const std::string &text)
	{
		EXPECT_EQ(config_record_read(text.data(), text.size(), &catalog), DW_OK)
			<< dw_last_message();
		dw_check_index_init(&index, catalog);
	}
	~checked()
	{
		dw_check_index_free(&index);
		dw_catalog_release(catalog);
	}
};

std::string check(const std::string &text)
{
	checked file(text);
	dw_check_report report{};
	dw_config_check(&file.index, &report);
	return take_findings(&report);
}

std::string compare(const std::string &next, const std::string &current)
{
	checked next_file(next), current_file(current);
	dw_check_report report{};
	dw_config_compare(&next_file.index, &current_file.index, &report);
	return take_findings(&report);
}

TEST(ConfigCheck, ACleanConfigurationHasNoFindings)
{
	EXPECT_EQ(check(BASE), "");
	EXPECT_EQ(compare(BASE, BASE), "");
}

/* Limits that are just met are no contradiction. */
TEST(ConfigCheck, BoundsThatJustHoldAreNoFindings)
{
	EXPECT_EQ(check(edited({ { "9000,", "2000," }, { ":900,", ":2000," } })), "");
	EXPECT_EQ(check(edited({ { "8000", "32" }, { "90000", "32" }, { "5000}", "3000}" } })), "");
	EXPECT_EQ(check(edited({ { ":70,", ":64," }, { ":1000,", ":6," }, { "0.25", "0.5" } })),
		  "");
	EXPECT_EQ(check(edited({ { "/book/", "/chat/b/" }, { ":70,", ":0," } })), "");
	EXPECT_EQ(check(edited({ { "9000,", "0," }, { R"("ColdStartS":3,)", "" } })), "");
}

/* Found by fuzz_config_check: of a model that is listed twice, the second cost looked like a change. */
TEST(ConfigCompare, ARepeatedModelIsNoChange)
{
	std::string twice =
		edited({ { R"({"Name":"l","Cost":0.5})", R"({"Name":"s","Cost":9})" } });
	EXPECT_EQ(compare(twice, twice), "");
}

TEST(ConfigCheck, EachRuleFindsItsFault)
{
	const std::string tail =
		R"(,{"Name":"tail","Host":"H","PathPrefix":"/chat/","Kind":"safe",)"
		R"("Service":"plain"}],"Services")";
	const struct {
		edits changes;
		std::string findings;
	} rows[] = {
		{ { { R"(],"Services")", tail } }, "e Routes[2] (tail) route_shadowed chat 0/0\n" },
		{ { { R"("Service":"plain")", R"("Service":"llm")" }, { R"(],"Services")", tail } },
		  "e Routes[2] (tail) route_shadowed chat 0/0\nw Services[2] (plain) "
		  "service_unused\n" },
		{ { { "/book/", "/bo?k/" } },
		  "e Routes[1] (book).PathPrefix prefix_never_matches /bo?k/\n" },
		{ { { "/book/", "/" + std::string(2047, 'b') + "/" }, { "8000", "9000" } },
		  "e Routes[1] (book).PathPrefix prefix_never_matches /" + std::string(2047, 'b') +
			  "/\n" },
		{ { { R"("book")", R"("chat")" } }, "w Routes[1] (chat) name_repeated 0/0\n" },
		{ { { R"({"Name":"plain"})", R"({"Name":"plain"},{"Name":"plain"})" } },
		  "e Services[2] (plain) service_shadowed 3/0\n" },
		{ { { R"("Service":"plain")", R"("Service":"plan")" } },
		  "e Routes[1] (book).TrafficSplit service_unknown plan\n"
		  "w Services[2] (plain) service_unused\n" },
		{ { { R"(["s","l"])", R"(["s","m"])" } },
		  "e Routes[0] (chat).Sizes model_unknown m llm\n"
		  "e Routes[0] (chat).Sizes model_unknown m new\n" },
		{ { { R"({"Name":"plain"})", R"({"Name":"plain","Engine":{"Slots":1}})" } },
		  "w Routes[1] (book).Sizes service_without_models plain\n" },
		{ { { ":10}", ":0}" } }, "w Services[1] (new) service_unused\n" },
		{ { { ":10}", ":0}" }, { ":90}", ":0}" } },
		  "w Routes[0] (chat).TrafficSplit weights_zero llm\n"
		  "w Services[1] (new) service_unused\n" },
		{ { { R"("k3")", "" } }, "w Tenants[1] (south).ApiKeys without_keys\n" },
		{ { { R"("south")", R"("north")" } }, "w Tenants[1] (north) name_repeated 0/0\n" },
		{ { { "9000,", "1999," } },
		  "w Routes[0] (chat).TimeoutMs timeout_under_target 1999/2000\n" },
		{ { { ":900,", ":9001," } },
		  "w Routes[0] (chat).TimeoutMs timeout_under_gap 9000/9001\n" },
		{ { { R"("Resumable":true)", R"("Resumable":false)" } },
		  "w Routes[0] (chat).MaxAttempts attempts_not_idempotent 2/1\n" },
		{ { { R"("unsafe")", R"("unsafe","MaxAttempts":3)" } },
		  "w Routes[1] (book).MaxAttempts attempts_not_idempotent 3/1\n" },
		{ { { "8000", "0" } }, "e Limits.MaxHeaderBytes limit_zero\n" },
		{ { { "90000", "0" } }, "e Limits.MaxBodyBytes limit_zero\n" },
		{ { { "3000", "0" } }, "e Limits.HeaderTimeoutMs limit_zero\n" },
		{ { { "5000}", "0}" } }, "e Limits.IdleTimeoutMs limit_zero\n" },
		{ { { "8000", "31" } },
		  "e Limits.MaxHeaderBytes header_limit_under_route chat 31/32\n"
		  "e Limits.MaxHeaderBytes header_limit_under_route book 31/32\n" },
		{ { { "90000", "7999" } },
		  "w Limits.MaxBodyBytes body_limit_under_header 7999/8000\n" },
		{ { { "5000}", "2999}" } },
		  "w Limits.IdleTimeoutMs idle_under_header_timeout 2999/3000\n" },
		{ { { R"("ColdPerS":5)", R"("ColdPerS":0)" } },
		  "w Services[0] (llm).ColdPerS cold_rate_zero 3000/0\n" },
		{ { { ":70,", ":63," } },
		  "w Services[0] (llm).MaxConnections connections_under_slots 63/64\n" },
		{ { { ":1000,", ":5," } },
		  "e Services[0] (llm).Engine.KvCapacity cache_under_event 5/6\n" },
		{ { { "0.25", "0.75" } }, "w Routes[0] (chat).Sizes cost_falls s l 0.75/0.5\n" },
	};

	for (const auto &row : rows)
		EXPECT_EQ(check(edited(row.changes)), row.findings);
	EXPECT_EQ(check(R"({"Version":1})"), "e  no_routes\n");
}

TEST(ConfigCompare, EachChangeIsNamedWithItsEffect)
{
	const std::string book =
		R"(,{"Name":"book","Host":"h","PathPrefix":"/book/","Kind":"unsafe","Service":"plain"})";
	const std::string north = R"({"Name":"north","ApiKeys":["k1","k2"],"Priority":1},)";
	const struct {
		edits changes; /**< of the new file; the reverse direction is checked too */
		std::string findings, reverse;
	} rows[] = {
		{ { { book, "" } },
		  "w in force: Routes[1] (book) route_removed\n"
		  "w Services[2] (plain) service_loses_routes\n",
		  "n Routes[1] (book) added\n" },
		{ { { "/book/", "/" } },
		  "w in force: Routes[1] (book) route_removed book\nn Routes[1] (book) added\n",
		  "w in force: Routes[1] (book) route_removed\nn Routes[1] (book) added\n" },
		{ { { R"("Service":"plain")", R"("Service":"llm")" } },
		  "w Routes[1] (book).TrafficSplit route_leaves_service plain llm\n"
		  "n Routes[1] (book).TrafficSplit route_joins_service llm 100/0\n"
		  "w Services[2] (plain) service_loses_routes\n",
		  "w Routes[1] (book).TrafficSplit route_leaves_service llm plain\n"
		  "n Routes[1] (book).TrafficSplit route_joins_service plain 100/0\n" },
		{ { { ":90}", ":30}" } },
		  "n Routes[0] (chat).TrafficSplit share_changed llm 75/90\n"
		  "n Routes[0] (chat).TrafficSplit share_changed new 25/10\n",
		  "n Routes[0] (chat).TrafficSplit share_changed llm 90/75\n"
		  "n Routes[0] (chat).TrafficSplit share_changed new 10/25\n" },
		{ { { R"(["s","l"])", R"(["s"])" } },
		  "w Routes[0] (chat).Sizes model_removed l\n",
		  "n Routes[0] (chat).Sizes model_added l\n" },
		{ { { R"(["s","l"])", R"(["l","s"])" } },
		  "n Routes[0] (chat).Sizes changed\n",
		  "n Routes[0] (chat).Sizes changed\n" },
		{ { { "9000,", "8000," } },
		  "w Routes[0] (chat).TimeoutMs lowered 8000/9000\n",
		  "n Routes[0] (chat).TimeoutMs raised 9000/8000\n" },
		{ { { "9000,", "0," } },
		  "n Routes[0] (chat).TimeoutMs changed 0/9000\n",
		  "n Routes[0] (chat).TimeoutMs changed 9000/0\n" },
		{ { { R"("Kind":"unsafe")", R"("Kind":"safe")" } },
		  "w Routes[1] (book).Kind kind_changed safe unsafe\n",
		  "w Routes[1] (book).Kind kind_changed unsafe safe\n" },
		{ { { R"("Kind":"unsafe")", R"("Kind":"unsafe","Public":true)" } },
		  "w Routes[1] (book).Public made_public\n",
		  "w Routes[1] (book).Public no_longer_public\n" },
		{ { { R"("Resumable":true)", R"("Resumable":false)" } },
		  "w Routes[0] (chat).Resumable no_longer_resumable\n",
		  "n Routes[0] (chat).Resumable changed\n" },
		{ { { R"("ColdPerS":5)", R"("ColdPerS":0)" } },
		  "n Services[0] (llm).ColdPerS raised 0/5\n",
		  "w Services[0] (llm).ColdPerS lowered 5/0\n" },
		{ { { R"("Slots":64)", R"("Slots":60)" }, { "0.25", "0.125" } },
		  "w Services[0] (llm).Engine.Slots lowered 60/64\n"
		  "n Services[0] (llm).Engine.Models.Cost changed 0.125/0.25\n",
		  "n Services[0] (llm).Engine.Slots raised 64/60\n"
		  "n Services[0] (llm).Engine.Models.Cost changed 0.25/0.125\n" },
		{ { { R"({"Name":"s","Cost":0.25},)", "" } },
		  "w Services[0] (llm).Engine.Models model_removed s\n",
		  "n Services[0] (llm).Engine.Models model_added s\n" },
		{ { { R"(,{"Name":"plain"})", "" } },
		  "w in force: Services[2] (plain) removed\n",
		  "n Services[2] (plain) added\n" },
		{ { { R"("k1","k2")", R"("k1")" } },
		  "w Tenants[0] (north).ApiKeys keys_removed 1/0\n",
		  "n Tenants[0] (north).ApiKeys keys_added 1/0\n" },
		{ { { R"("k1","k2")", R"("k1")" }, { R"("k3")", R"("k3","k2")" } },
		  "w Tenants[0] (north).ApiKeys keys_moved south 1/0\n",
		  "w Tenants[1] (south).ApiKeys keys_moved north 1/0\n" },
		{ { { north, "" } },
		  "w in force: Tenants[0] (north) organisation_removed 2/0\n",
		  "n Tenants[0] (north) added\n" },
		{ { { north, "" }, { R"({"Name":"south","ApiKeys":["k3"]})", "" } },
		  "w in force: Tenants[0] (north) organisation_removed 2/0\n"
		  "w in force: Tenants[1] (south) organisation_removed 1/0\nw  no_keys_left\n",
		  "n Tenants[0] (north) added\nn Tenants[1] (south) added\n" },
		{ { { R"(,"Tenants":[)" + north + R"({"Name":"south","ApiKeys":["k3"]}])", "" } },
		  "w in force: Tenants[0] (north) organisation_removed 2/0\n"
		  "w in force: Tenants[1] (south) organisation_removed 1/0\nw  keys_not_needed\n",
		  "n Tenants[0] (north) added\nn Tenants[1] (south) added\n" },
		{ { { R"("Priority":1})", R"("Priority":3})" } },
		  "n Tenants[0] (north).Priority changed 3/1\n",
		  "n Tenants[0] (north).Priority changed 1/3\n" },
		{ { { "8000", "7000" } },
		  "w Limits.MaxHeaderBytes lowered 7000/8000\n",
		  "n Limits.MaxHeaderBytes raised 8000/7000\n" },
	};

	for (const auto &row : rows) {
		std::string next = edited(row.changes);
		std::string newer_base = edited({ { ":7,", ":9," } });
		next.replace(next.find(":7,"), 3, ":8,");
		EXPECT_EQ(compare(next, BASE), row.findings);
		EXPECT_EQ(compare(newer_base, next), row.reverse) << next;
	}
}

/* Entries without effect must neither hide a change nor look like one. */
TEST(ConfigCompare, EntriesWithoutEffectAreNoChange)
{
	const std::string shadowed = R"(,{"Name":"x","Host":"H","PathPrefix":"/chat/",)"
				     R"("Kind":"safe","Service":"plain"}],"Services")";
	const std::string with_shadowed = edited({ { R"(],"Services")", shadowed } });
	const std::string split = R"({"Service":"llm","Weight":90},{"Service":"new","Weight":10})";
	const std::string halves =
		R"({"Service":"llm","Weight":45},{"Service":"llm","Weight":45},)";
	const std::string plain = R"(,{"Name":"plain"})";
	const std::string south = R"(,{"Name":"south","ApiKeys":["k3"]})";
	const std::string other_south = R"(,{"Name":"south","ApiKeys":["k4"]})";
	auto newer = [](edits list) {
		list.push_back({ ":7,", ":8," });
		return edited(list);
	};

	EXPECT_EQ(compare(newer({}), with_shadowed), "");
	EXPECT_EQ(compare(newer({ { R"(],"Services")", shadowed } }), BASE), "");
	EXPECT_EQ(compare(newer({ { R"("Service":"plain")", R"("Service":"llm")" },
				  { R"(],"Services")", shadowed } }),
			  BASE),
		  "w Routes[1] (book).TrafficSplit route_leaves_service plain llm\n"
		  "n Routes[1] (book).TrafficSplit route_joins_service llm 100/0\n"
		  "w Services[2] (plain) service_loses_routes\n");
	EXPECT_EQ(compare(newer({ { R"("/book/")", R"("/b/")" }, { R"("/chat/")", R"("/b/")" } }),
			  R"({"Version":1})")
			  .find("Routes[1]"),
		  std::string::npos);
	EXPECT_EQ(compare(newer({ { R"("Host":"h")", R"("Host":"H")" } }), BASE), "");
	std::string twice = halves + R"({"Service":"new","Weight":30})";
	EXPECT_EQ(compare(newer({ { split, twice } }), BASE),
		  "n Routes[0] (chat).TrafficSplit share_changed llm 75/90\n"
		  "n Routes[0] (chat).TrafficSplit share_changed new 25/10\n");
	EXPECT_EQ(compare(newer({ { split, R"({"Service":"new","Weight":1})" } }),
			  edited({ { split, twice } })),
		  "w Routes[0] (chat).TrafficSplit route_leaves_service llm new\n"
		  "n Routes[0] (chat).TrafficSplit share_changed new 100/25\n"
		  "w Services[0] (llm) service_loses_routes\n");
	EXPECT_EQ(compare(newer({ { plain, "" } }), edited({ { plain, plain + plain } })),
		  "w in force: Services[3] (plain) removed\n");
	EXPECT_EQ(compare(newer({ { south, "" } }), edited({ { south, south + other_south } })),
		  "w in force: Tenants[1] (south) organisation_removed 2/0\n");
	EXPECT_EQ(compare(newer({ { R"("k1","k2")", "" }, { R"("k3")", R"("k3","k1","k2")" } }),
			  BASE),
		  "w Tenants[0] (north).ApiKeys keys_moved south 2/0\n");
}

/* Instances ignore a version that isn't newer, so the change would silently not happen. */
TEST(ConfigCompare, TheVersionMustBeNewer)
{
	EXPECT_EQ(compare(edited({ { "8000", "9000" } }), BASE),
		  "n Limits.MaxHeaderBytes raised 9000/8000\ne Version version_not_newer 7/7\n");
	EXPECT_EQ(compare(edited({ { ":7,", ":6," } }), BASE), "e Version version_not_newer 6/7\n");
	EXPECT_EQ(compare(edited({ { ":7,", ":8," } }), BASE), "");
}

} // namespace
