// Checks of the project's own entities, read as for `wharfctl apply`: one row for each rule.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/findings.h"
#include "wharfctl/config_file.h"

namespace
{

const std::string KEY(64, '0');
const std::string BASE =
	R"({"entities":[{"failure_domain":{"name":"a"}},{"model":{"name":"small"}},)"
	R"({"model":{"name":"large","cascade":["small"]}},)"
	R"({"version":{"model":"small","name":"1","cost_micros_per_1k_tokens":100}},)"
	R"({"version":{"model":"large","name":"1","cost_micros_per_1k_tokens":900}},)"
	R"({"upstream":{"name":"e1","ip":"10.0.0.11","port":9000,"failure_domain":"a",)"
	R"("serves":["small/1","large/1"],"limit":32,"cold_limit":2}},)"
	R"({"service":{"name":"booking"}},)"
	R"({"upstream":{"name":"b1","kind":"UPSTREAM_SERVICE","ip":"10.0.0.21","port":9100,)"
	R"("failure_domain":"a","service":"booking","limit":16}},)"
	R"({"organisation":{"name":"north","key_hashes":[")" +
	KEY + R"("],"allowed":["large","small/1"],"allowed_services":["booking"]}}]})";

std::string edited(const std::string &from, const std::string &to)
{
	std::string text = BASE;
	size_t at = text.find(from);
	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

std::string check(const std::string &next, const std::string *current = nullptr)
{
	dw_check_report report{};
	config_file files[2];

	EXPECT_EQ(config_file_parse(next.data(), next.size(), false, &files[0], &report), DW_OK);
	if (current) {
		EXPECT_EQ(config_file_parse(current->data(), current->size(), true, &files[1],
					    &report),
			  DW_OK);
	}
	EXPECT_EQ(config_file_check(&files[0], current ? &files[1] : nullptr, &report), DW_OK);
	std::string findings = take_findings(&report);
	config_file_free(&files[0]);
	if (current)
		config_file_free(&files[1]);
	return findings;
}

TEST(EntitySetCheck, EachRuleFindsItsFault)
{
	const struct {
		std::string from, to, findings;
	} rows[] = {
		{ R"("limit":16)", R"("limit":0)",
		  "e entities[7] (upstream/b1) entity_invalid limit: must be 1 to 100000, is 0\n"
		  "w entities[6] (service/booking) without_upstreams\n" },
		{ R"({"service":{"name":"booking"}})", R"({"service":{"nam":"booking"}})",
		  "e entities[6] entity_invalid nam: unknown field of Service\n"
		  "w entities[7] (upstream/b1) reference_unknown service/booking\n"
		  "w entities[8] (organisation/north) reference_unknown service/booking\n" },
		{ R"({"failure_domain":{"name":"a"}},)",
		  R"({"failure_domain":{"name":"a"}},{"failure_domain":{"name":"a"}},)",
		  "e entities[1] (failure_domain/a) entity_repeated 0/0\n" },
		{ R"("name":"a"})", R"("name":"a"},"model":{"name":"x"})",
		  "e entities[0] entity_invalid model: Entity has another kind already\n"
		  "w entities[5] (upstream/e1) reference_unknown failure_domain/a\n"
		  "w entities[7] (upstream/b1) reference_unknown failure_domain/a\n" },
		{ R"(["small"])", R"(["tiny"])",
		  "w entities[2] (model/large).cascade reference_unknown model/tiny\n" },
		{ R"("small/1",)", R"("small/2",)",
		  "w entities[3] (version/small/1) without_upstreams\n"
		  "w entities[5] (upstream/e1) reference_unknown version/small/2\n" },
		{ R"("limit":32)", R"("limit":32,"state":"UPSTREAM_LEAVING")",
		  "w entities[3] (version/small/1) without_upstreams\n"
		  "w entities[4] (version/large/1) without_upstreams\n" },
		{ R"("name":"1","cost_micros_per_1k_tokens":900)",
		  R"("name":"1","state":"VERSION_WITHDRAWN")",
		  "w entities[2] (model/large) model_without_versions\n" },
		{ ":900", ":90",
		  "w entities[2] (model/large).cascade cost_falls small large 100/90\n" },
		{ "\"" + KEY + "\"", "", "w entities[8] (organisation/north) without_keys\n" },
		{ R"("allowed":["large","small/1"],"allowed_services":["booking"])", "\"weight\":1",
		  "w entities[8] (organisation/north) without_permissions\n" },
		{ R"("small/1"],"allowed_s)", R"("tiny/1"],"allowed_s)",
		  "w entities[8] (organisation/north) reference_unknown version/tiny/1\n" },
		{ R"({"service":{)",
		  R"({"organisation":{"name":"south","key_hashes":[")" + KEY +
			  R"("],"allowed":["*"]}},{"service":{)",
		  "e entities[9] (organisation/north) key_shared organisation/south\n" },
	};

	EXPECT_EQ(check(BASE), "");
	for (const auto &row : rows)
		EXPECT_EQ(check(edited(row.from, row.to)), row.findings) << row.to;
}

TEST(EntitySetCheck, EachChangeIsNamedWithItsEffect)
{
	const struct {
		std::string from, to, findings;
	} rows[] = {
		{ R"("limit":32,"cold_limit":2)", R"("limit":31,"cold_limit":1)",
		  "w entities[5] (upstream/e1).limit upstream_limit_lowered 31/32\n"
		  "w entities[5] (upstream/e1).cold_limit upstream_limit_lowered 1/2\n" },
		{ KEY, std::string(64, '1'),
		  "w entities[8] (organisation/north) keys_removed 1/0\n" },
		{ R"("large","small/1"],)", R"("large"],"max_in_flight":5,)",
		  "w entities[8] (organisation/north) permission_removed small/1\n"
		  "w entities[8] (organisation/north).max_in_flight lowered 5/0\n" },
		{ R"("small","name":"1",)", R"("small","name":"1","rollout_weight":3,)",
		  "n entities[3] (version/small/1).rollout_weight changed 3/0\n" },
		{ R"("small","name":"1",)", R"("small","name":"1","state":"VERSION_WITHDRAWN",)",
		  "w entities[1] (model/small) model_without_versions\n"
		  "w entities[3] (version/small/1) version_withdrawn\n" },
		{ R"("small/1","large/1")", R"("large/1")",
		  "w entities[3] (version/small/1) without_upstreams\n"
		  "w entities[5] (upstream/e1) upstream_drops_version small/1\n"
		  "w entities[3] (version/small/1) version_loses_upstreams\n" },
		{ R"("limit":16)", R"("limit":16,"state":"UPSTREAM_LEAVING")",
		  "w entities[6] (service/booking) without_upstreams\n"
		  "w entities[7] (upstream/b1) upstream_leaves\n" },
		{ R"("name":"booking")", R"("name":"booking","idempotent_paths":["/x"])",
		  "n entities[6] (service/booking) entity_changed\n" },
	};

	EXPECT_EQ(check(BASE, &BASE), "");
	for (const auto &row : rows)
		EXPECT_EQ(check(edited(row.from, row.to), &BASE), row.findings) << row.to;
}

/* The lowest cost of a model's versions counts, the last entry of a key, and no change's id. */
TEST(EntitySetCheck, RepeatedValuesAreNotFindingsOfTheirOwn)
{
	const std::string dear = R"({"version":{"model":"small","name":"0",)"
				 R"("cost_micros_per_1k_tokens":5000}},{"version":)";
	std::string in_force = edited(R"("limit":32,)", R"("limit":31,)");
	std::string engine = BASE.substr(BASE.find(R"({"upstream")"));

	engine = engine.substr(0, engine.find(R"(,{"service")"));
	engine.replace(engine.find(":32"), 3, ":40");
	in_force.replace(in_force.size() - 2, 2, "," + engine + "]}");
	EXPECT_EQ(check(edited(R"({"version":)", dear)),
		  "w entities[3] (version/small/0) without_upstreams\n");
	EXPECT_EQ(check(edited(KEY, KEY + "\",\"" + KEY)), "");
	EXPECT_EQ(check(edited(R"({"service":{)", R"({"change_id":"c","service":{)"), &BASE), "");
	EXPECT_EQ(check(BASE, &in_force),
		  "w entities[5] (upstream/e1).limit upstream_limit_lowered 32/40\n");
}

/* "apply" writes only what the file lists: a part of the configuration refers to entities in force,
 * and those that it doesn't list stay. */
TEST(EntitySetCheck, APartIsCheckedTogetherWithWhatIsInForce)
{
	std::string part =
		R"({"entities":[{"failure_domain":{"name":"a","state":"DOMAIN_DRAINED"}},)"
		R"({"version":{"model":"large","name":"2"}}]})";

	EXPECT_EQ(check(part, &BASE),
		  "w entities[1] (version/large/2) without_upstreams\n"
		  "w entities[0] (failure_domain/a) domain_drained\n"
		  "n entities[1] (version/large/2) added\n"
		  "w in force: entities[3] (version/small/1) version_loses_upstreams\n"
		  "w in force: entities[4] (version/large/1) version_loses_upstreams\n");
	EXPECT_EQ(check(part), "w entities[1] (version/large/2) reference_unknown model/large\n"
			       "w entities[1] (version/large/2) without_upstreams\n");
}

} // namespace
