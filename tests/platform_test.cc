// Tests for the platform adapter: record and header decoders, JSON bodies of the metadata store.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "platform/response_fields.h"
#include "platform/metadata_json.h"
#include "platform/config_record.h"
#include "platform/records.h"
#include "platform/request_fields.h"

namespace
{

const std::string ENGINE_RECORD =
	R"({"Service":"llm","Address":"10.1.2.3:8600","Zone":"a","Version":"v1","Slots":64,)"
	R"("State":"ready","Sequence":4,"ColdRemainingMs":20,"born":123,"Stage":"unified",)"
	R"("Models":[{"Name":"small","Version":1},{"Name":"large","Version":1}]})";

std::string with_replacement(const std::string &text, const std::string &from,
			     const std::string &to = "")
{
	std::string copy = text;
	size_t at = copy.find(from);
	EXPECT_NE(at, std::string::npos) << from;
	return copy.replace(at, from.size(), to);
}

dw_status read_engine(const std::string &text, dw_engine_entry *out)
{
	return record_read_engine("e1", text.data(), text.size(), out);
}

TEST(Records, DecodesEngineRecord)
{
	dw_engine_entry entry{};
	ASSERT_EQ(read_engine(ENGINE_RECORD, &entry), DW_OK);
	EXPECT_STREQ(entry.id, "e1");
	EXPECT_STREQ(entry.service, "llm");
	EXPECT_STREQ(entry.ip, "10.1.2.3");
	EXPECT_EQ(entry.port, 8600);
	EXPECT_STREQ(entry.failure_domain, "a");
	EXPECT_EQ(entry.cold_remaining_ms, 20U);
	EXPECT_EQ(entry.started_at_ms, 123U);
	EXPECT_FALSE(entry.is_draining);
	ASSERT_EQ(entry.model_count, 2U);
	EXPECT_EQ(entry.models[1], dw_model_hash("large"));
}

/* A malformed record, as another program may write it, must not change the last valid value. */
TEST(Records, RejectsMalformedEngineRecord)
{
	const std::vector<std::string> malformed = {
		"",
		"[]",
		"{",
		ENGINE_RECORD.substr(0, ENGINE_RECORD.size() / 2),
		with_replacement(ENGINE_RECORD, R"("Service":"llm",)"),
		with_replacement(ENGINE_RECORD, R"("Zone":"a",)"),
		with_replacement(ENGINE_RECORD, R"("ready")", R"("unknown")"),
		with_replacement(ENGINE_RECORD, R"("ready")", "7"),
		with_replacement(ENGINE_RECORD, "10.1.2.3:8600", "somewhere:8600"),
		with_replacement(ENGINE_RECORD, "10.1.2.3:8600", "10.1.2.3"),
		with_replacement(ENGINE_RECORD, "64", R"("64")"),
		with_replacement(ENGINE_RECORD, "64", "-1"),
		with_replacement(ENGINE_RECORD, "123", R"("x")"),
		with_replacement(ENGINE_RECORD, R"({"Name":"small","Version":1})", "5"),
	};
	for (const std::string &text : malformed) {
		dw_engine_entry entry{};
		entry.slots = 9;
		EXPECT_EQ(read_engine(text, &entry), DW_INVALID_ARGUMENT) << text;
		EXPECT_EQ(entry.slots, 9U) << text;
	}
}

TEST(Records, ParsesKeyKindAndName)
{
	const char *name;
	EXPECT_EQ(record_kind_of("op/config", &name), RECORD_CONFIG);
	EXPECT_EQ(record_kind_of("servers/e1", &name), RECORD_ENGINE);
	EXPECT_STREQ(name, "e1");
	EXPECT_EQ(record_kind_of("op/evacuate/a", &name), RECORD_EVACUATION);
	EXPECT_STREQ(name, "a");
	EXPECT_EQ(record_kind_of("op/rollout/llm", &name), RECORD_ROLLOUT_ORDER);
	EXPECT_EQ(record_kind_of("status/rollout/llm", &name), RECORD_ROLLOUT_STATUS);
	EXPECT_EQ(record_kind_of("wharf/x", &name), RECORD_UNKNOWN);
}

const std::string CONFIG_RECORD =
	R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/x/","Kind":"stream",)"
	R"("TimeoutMs":5000,"TargetLatencyMs":2000,"Priority":1,"Sizes":["s","l"],)"
	R"("TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],)"
	R"("MaxAttempts":3,"Public":false,"Resumable":true,"TargetGapMs":1500}],)"
	R"("Services":[{"Name":"a","HealthPath":"/health","MaxConnections":370,"ColdStartS":3.0,)"
	R"("ColdPerS":11.5,"Engine":{"Slots":64,"KvCapacity":322038,"Stride":6,)"
	R"("Models":[{"Name":"s","Cost":0.017},{"Name":"l","Cost":0.26}]}}],)"
	R"("Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,)"
	R"("IdleTimeoutMs":400},"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":2}]})";

TEST(Records, DecodesConfiguration)
{
	dw_catalog *catalog = nullptr;
	ASSERT_EQ(config_record_read(CONFIG_RECORD.data(), CONFIG_RECORD.size(), &catalog), DW_OK);
	EXPECT_EQ(dw_catalog_version(catalog), 7U);
	const dw_route_rule *route = dw_catalog_match(catalog, "h", "/x/1");
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, DW_ROUTE_STREAM);
	EXPECT_TRUE(route->is_resumable);
	EXPECT_FALSE(route->is_public);
	EXPECT_EQ(route->share_count, 2U);
	EXPECT_EQ(route->shares[1].weight, 10U);
	EXPECT_EQ(route->model_count, 2U);
	EXPECT_EQ(route->timeout_ms, 5000U);
	const dw_service_rule *service = dw_catalog_service(catalog, "a");
	ASSERT_NE(service, nullptr);
	EXPECT_EQ(service->batch_slots, 64U);
	EXPECT_EQ(service->cold_start_ms, 3000U);
	EXPECT_DOUBLE_EQ(service->cold_requests_per_s, 11.5);
	EXPECT_DOUBLE_EQ(service->models[1].cost, 0.26);
	EXPECT_EQ(dw_catalog_limits(catalog)->max_body_bytes, 200U);
	ASSERT_NE(dw_catalog_key_owner(catalog, "k2"), nullptr);
	EXPECT_EQ(dw_catalog_key_owner(catalog, "k2")->priority, 2U);
	dw_catalog_release(catalog);
}

/* Guards against an empty list that is read as no list: keys were asked for only while one was left. */
TEST(Records, AnEmptyListOfOrganisationsNeedsKeys)
{
	const std::string organisations = R"([{"Name":"t","ApiKeys":["k1","k2"],"Priority":2}])";
	const std::vector<std::pair<std::string, bool>> rows = {
		{ with_replacement(CONFIG_RECORD, organisations, "[]"), true },
		{ with_replacement(CONFIG_RECORD, organisations, "null"), true },
		{ with_replacement(CONFIG_RECORD, R"(,"Tenants":)" + organisations), false },
	};
	for (const auto &[text, needs_keys] : rows) {
		dw_catalog *catalog = nullptr;
		ASSERT_EQ(config_record_read(text.data(), text.size(), &catalog), DW_OK) << text;
		EXPECT_EQ(dw_catalog_needs_keys(catalog), needs_keys) << text;
		dw_catalog_release(catalog);
	}
}

/* The same for an engine that lists no model: it serves none, and gets no request for one. */
TEST(Records, AnEngineWithAnEmptyListOfModelsServesNone)
{
	const std::string models = R"([{"Name":"small","Version":1},{"Name":"large","Version":1}])";
	const std::vector<std::pair<std::string, bool>> rows = {
		{ ENGINE_RECORD, true },
		{ with_replacement(ENGINE_RECORD, models, "[]"), false },
		{ with_replacement(ENGINE_RECORD, R"(,"Models":)" + models), true },
	};
	for (const auto &[text, has_model] : rows) {
		dw_engine_set *set = dw_engine_set_new();
		dw_engine_entry entry{};
		ASSERT_EQ(read_engine(text, &entry), DW_OK) << text;
		dw_engine_set_put(set, &entry, 1);
		EXPECT_EQ(dw_engine_has_model(dw_engine_set_find(set, "e1"), "large"), has_model)
			<< text;
		dw_engine_set_free(set);
	}
}

dw_catalog *read_config(const std::string &text)
{
	dw_catalog *catalog = nullptr;
	EXPECT_EQ(config_record_read(text.data(), text.size(), &catalog), DW_OK) << text;
	return catalog;
}

TEST(Records, RejectsAConfigurationThatIsUnreadableAsAWhole)
{
	const std::vector<std::string> malformed = {
		"null",
		CONFIG_RECORD.substr(0, CONFIG_RECORD.size() - 5),
		with_replacement(CONFIG_RECORD, R"("Version":7,)"),
		with_replacement(CONFIG_RECORD, R"("Version":7,)", R"("Version":"7",)"),
		with_replacement(CONFIG_RECORD, R"("Version":7,)", R"("Version":-7,)"),
	};
	for (const std::string &text : malformed) {
		dw_catalog *catalog = nullptr;
		EXPECT_EQ(config_record_read(text.data(), text.size(), &catalog),
			  DW_INVALID_ARGUMENT)
			<< text;
		EXPECT_EQ(catalog, nullptr);
	}
}

/* Guards against a configuration that isn't applied, with the keys that it takes away, because one part of it
 * can't be read; and against a part that can't be read and decides something. A message without the part's path
 * sends the operator through the whole file. */
TEST(Records, APartThatIsUnreadableFailsClosedAndTheRestIsInForce)
{
	enum effect { ROUTE_REFUSED, ROUTES_UNCERTAIN, SERVICE_REFUSED, KEYS_UNCERTAIN, NONE };
	struct row {
		std::string text;
		std::string defect;
		effect expected;
	};
	const std::string split =
		R"("TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}])";
	const std::vector<row> rows = {
		{ with_replacement(CONFIG_RECORD, R"("stream")", R"("unknown")"),
		  "Routes[0] (r): Kind: expected safe, unsafe or stream, found unknown",
		  ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, "5000", R"("5000")"), "Routes[0] (r): TimeoutMs",
		  ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, "5000", "-5"), "Routes[0] (r): TimeoutMs",
		  ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Service":"b",)"),
		  "Routes[0] (r): TrafficSplit", ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, split, R"("TrafficSplit":{})"),
		  "Routes[0] (r): TrafficSplit: expected a list", ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Sizes":["s","l"])", R"("Sizes":["s",5])"),
		  "Routes[0] (r): Sizes", ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Sizes":["s","l"])", R"("Sizes":"s")"),
		  "Routes[0] (r): Sizes: expected a list", ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Name":"r",)"), "Routes[0]: route without",
		  ROUTE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("/x/")", R"("x")"), "Routes[0] (r): route r",
		  ROUTES_UNCERTAIN },
		{ with_replacement(CONFIG_RECORD, R"("Host":"h")", R"("Host":7)"),
		  "Routes[0] (r): route r", ROUTES_UNCERTAIN },
		{ with_replacement(CONFIG_RECORD, "370", R"("x")"), "Services[0] (a): MaxConn",
		  SERVICE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Slots":64)", R"("Slots":{})"),
		  "Services[0] (a): Slots", SERVICE_REFUSED },
		{ with_replacement(CONFIG_RECORD, R"("Cost":0.26)", R"("Cost":"x")"),
		  "Models[1] (l): expected Name and Cost", NONE },
		{ with_replacement(CONFIG_RECORD, R"("k2")", "2"),
		  "Tenants[0] (t): ApiKeys: ", KEYS_UNCERTAIN },
		{ with_replacement(CONFIG_RECORD, R"("k2")", R"("k1")"), "Tenants[0] (t): a key of",
		  NONE },
		{ with_replacement(CONFIG_RECORD, R"("Name":"t")", R"("Name":7)"),
		  "Tenants[0]: an organisation has no name", KEYS_UNCERTAIN },
		{ with_replacement(CONFIG_RECORD, R"(["k1","k2"])", R"("k1")"),
		  "Tenants[0] (t): ApiKeys: expected a list", KEYS_UNCERTAIN },
		{ with_replacement(CONFIG_RECORD, ":300", R"(:"300")"), "Limits: HeaderTimeoutMs",
		  NONE },
	};
	for (const row &each : rows) {
		dw_catalog *catalog = read_config(each.text);
		ASSERT_NE(catalog, nullptr);
		EXPECT_EQ(dw_catalog_defect_count(catalog), 1U) << each.text;
		ASSERT_NE(dw_catalog_defect(catalog, 0), nullptr) << each.text;
		EXPECT_EQ(std::string(dw_catalog_defect(catalog, 0)).rfind(each.defect, 0), 0U)
			<< dw_catalog_defect(catalog, 0);
		const dw_route_rule *route = dw_catalog_match(catalog, "h", "/x/1");
		EXPECT_EQ(route == nullptr, each.expected == ROUTES_UNCERTAIN) << each.text;
		EXPECT_EQ(dw_catalog_are_routes_incomplete(catalog),
			  each.expected == ROUTES_UNCERTAIN)
			<< each.text;
		EXPECT_EQ(route && route->is_unreadable, each.expected == ROUTE_REFUSED)
			<< each.text;
		const dw_service_rule *service = dw_catalog_service(catalog, "a");
		ASSERT_NE(service, nullptr) << each.text;
		EXPECT_EQ(service->is_unreadable, each.expected == SERVICE_REFUSED) << each.text;
		EXPECT_TRUE(dw_catalog_needs_keys(catalog)) << each.text;
		EXPECT_EQ(dw_catalog_are_keys_incomplete(catalog), each.expected == KEYS_UNCERTAIN)
			<< each.text;
		EXPECT_EQ(dw_catalog_limits(catalog)->idle_timeout_ms, 400U) << each.text;
		EXPECT_EQ(dw_catalog_key_owner(catalog, "k3"), nullptr);
		dw_catalog_release(catalog);
	}
	const std::string limits =
		R"({"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,)"
		R"("IdleTimeoutMs":400})";
	dw_catalog *unlimited = read_config(with_replacement(CONFIG_RECORD, limits, "5"));
	EXPECT_STREQ(dw_catalog_defect(unlimited, 0), "Limits: expected an object");
	EXPECT_GT(dw_catalog_limits(unlimited)->max_body_bytes, 0U) << "the default holds";
	dw_catalog_release(unlimited);
	dw_catalog *whole = read_config(CONFIG_RECORD);
	EXPECT_EQ(dw_catalog_defect_count(whole), 0U);
	dw_catalog_release(whole);
}

/* Guards against a list or number that is one above what was thought of, and a configuration that isn't applied
 * for that. */
TEST(Records, ListsAndNumbersOfAnyLengthAreRead)
{
	std::string names, costs, shares;
	for (int i = 0; i < 300; i++) {
		std::string comma = i > 0 ? "," : "";
		names += comma + "\"m" + std::to_string(i) + "\"";
		costs += comma + "{\"Name\":\"m" + std::to_string(i) +
			 "\",\"Cost\":" + std::to_string(i) + "}";
		shares += comma + "{\"Service\":\"s" + std::to_string(i) + "\",\"Weight\":1}";
	}
	std::string text = with_replacement(CONFIG_RECORD, R"(["s","l"])", "[" + names + "]");
	text = with_replacement(text, R"([{"Name":"s","Cost":0.017},{"Name":"l","Cost":0.26}])",
				"[" + costs + "]");
	text = with_replacement(text,
				R"([{"Service":"a","Weight":90},{"Service":"b","Weight":10}])",
				"[" + shares + "]");
	text = with_replacement(text, "5000", "99999999999");
	text = with_replacement(text, "370", "1e300");
	text = with_replacement(text, "322038", "18446744073709551615");
	text = with_replacement(text, R"("ColdStartS":3.0)", R"("ColdStartS":1e300)");
	dw_catalog *catalog = read_config(text);
	ASSERT_NE(catalog, nullptr);
	EXPECT_EQ(dw_catalog_defect_count(catalog), 0U) << dw_catalog_defect(catalog, 0);
	const dw_route_rule *route = dw_catalog_match(catalog, "h", "/x/1");
	ASSERT_NE(route, nullptr);
	ASSERT_EQ(route->model_count, 300U);
	EXPECT_STREQ(route->models[299], "m299");
	ASSERT_EQ(route->share_count, 300U);
	EXPECT_STREQ(dw_route_pick_service(route, 299), "s299");
	EXPECT_EQ(route->timeout_ms, 24U * 3600 * 1000);
	const dw_service_rule *service = dw_catalog_service(catalog, "a");
	ASSERT_EQ(service->model_count, 300U);
	EXPECT_DOUBLE_EQ(service->models[299].cost, 299);
	EXPECT_EQ(service->max_connections, 1000000U);
	EXPECT_EQ(service->kv_cache_tokens, UINT32_MAX);
	EXPECT_EQ(service->cold_start_ms, 24U * 3600 * 1000);
	dw_catalog_release(catalog);
}

/* The same for an engine's entry: one that said it leaves stayed in use. */
TEST(Records, AnEngineOfManyModelsIsRead)
{
	std::string models;
	for (int i = 0; i < 9; i++)
		models += std::string(i > 0 ? "," : "") + "{\"Name\":\"m" + std::to_string(i) +
			  "\",\"Version\":1}";
	std::string text = with_replacement(
		ENGINE_RECORD, R"([{"Name":"small","Version":1},{"Name":"large","Version":1}])",
		"[" + models + "]");
	dw_engine_entry entry{};
	ASSERT_EQ(read_engine(with_replacement(text, R"("ready")", R"("draining")"), &entry),
		  DW_OK);
	EXPECT_TRUE(entry.is_draining);
	EXPECT_EQ(entry.model_count, 9U);
	EXPECT_EQ(entry.models[8], dw_model_hash("m8"));
}

TEST(Records, RolloutOrderAndStatus)
{
	std::string text = R"({"Service":"a","Target":"v2","DurationS":24.5})";
	dw_shift_order order{};
	ASSERT_EQ(record_read_rollout_order(text.data(), text.size(), &order), DW_OK);
	EXPECT_STREQ(order.target_version, "v2");
	EXPECT_EQ(order.duration_us, 24500000U);
	char written[200];
	size_t len = record_write_rollout_status(DW_SHIFT_ROLLED_BACK, "a", "v2", written,
						 sizeof(written));
	dw_shift_state state = DW_SHIFT_NONE;
	char target[DW_ENGINE_TEXT_BYTES];
	ASSERT_EQ(record_read_rollout_status(written, len, &state, target), DW_OK);
	EXPECT_EQ(state, DW_SHIFT_ROLLED_BACK);
	EXPECT_STREQ(target, "v2");
	text = R"({"State":"unknown","Target":"v2"})";
	EXPECT_EQ(record_read_rollout_status(text.data(), text.size(), &state, target),
		  DW_INVALID_ARGUMENT);
}

struct HeadBuilder {
	http_head head{};

	HeadBuilder(std::initializer_list<http_field> fields, const char *method = "POST")
	{
		head.method = method;
		head.target = "/x?y";
		for (const http_field &field : fields)
			head.fields[head.field_count++] = field;
	}
};

TEST(RequestFields, DecodesHeaders)
{
	HeadBuilder request({ { "Host", "h" },
			      { "Attempt-Id", "a1" },
			      { "Deadline-Ms", "2500" },
			      { "Credential", "k" },
			      { "Token-Usage", "1460,80" },
			      { "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" },
			      { "Last-Event-Id", "12" },
			      { "Model", "*" } });
	request_fields fields;
	ASSERT_EQ(request_fields_read(&request.head, &fields), DW_OK);
	EXPECT_EQ(fields.time_left_ms, 2500U);
	EXPECT_EQ(fields.prompt.tokens_in, 1460U);
	EXPECT_EQ(fields.prompt.tokens_out_max, 80U);
	ASSERT_EQ(fields.prompt.part_count, 2U);
	EXPECT_EQ(fields.prompt.parts[0].id, 0x5c1e07a2U);
	EXPECT_EQ(fields.prompt.parts[1].tokens, 410U);
	EXPECT_TRUE(fields.is_resumed);
	EXPECT_EQ(fields.last_event_id, 12U);
}

TEST(RequestFields, RejectsMalformedHeaders)
{
	request_fields fields;
	for (const char *value : { "", "x", "-5", "5x", "99999999999999999999" }) {
		HeadBuilder request({ { "Attempt-Id", "a" }, { "Deadline-Ms", value } });
		EXPECT_EQ(request_fields_read(&request.head, &fields), DW_INVALID_ARGUMENT)
			<< value;
	}
	for (const char *value : { "1", "a,b", "1,", ",1" }) {
		HeadBuilder request({ { "Attempt-Id", "a" }, { "Token-Usage", value } });
		EXPECT_EQ(request_fields_read(&request.head, &fields), DW_INVALID_ARGUMENT)
			<< value;
	}
	HeadBuilder none({ { "Host", "h" } });
	EXPECT_EQ(request_fields_read(&none.head, &fields), DW_INVALID_ARGUMENT);
	HeadBuilder twice({ { "Attempt-Id", "a" }, { "attempt-id", "b" } });
	EXPECT_EQ(request_fields_read(&twice.head, &fields), DW_INVALID_ARGUMENT);
}

/*
 * Guards against forged gateway fields: a caller may send fields that engines trust as the
 * gateway's, such as Tenant or Expect-Instance, and must not get them through.
 */
TEST(RequestFields, GatewayFieldsReplaceCallerFields)
{
	HeadBuilder request({ { "Host", "h" },
			      { "Attempt-Id", "a1" },
			      { "Credential", "secret" },
			      { "Tenant", "other" },
			      { "Hold", "h1" },
			      { "Pin-Ms", "9" },
			      { "Kv-Backup", "1.1.1.1:1" },
			      { "Kv-From", "1.1.1.1:1/x" },
			      { "Kv-Fetch", "1.1.1.1:1" },
			      { "Expect-Instance", "x" },
			      { "Request-Urgency", "0" },
			      { "Deadline-Ms", "99999" },
			      { "Model", "*" },
			      { "Connection", "keep-alive, X-Own, Attempt-Id" },
			      { "X-Own", "1" },
			      { "X-Kept", "2" },
			      { "Transfer-Encoding", "chunked" } });
	engine_request fields = { "e1", "org", "small", 1200, 3, true, 7 };
	bytes out{};
	engine_request_write(&out, &request.head, "body", 4, &fields);
	std::string text(out.data, out.len);
	bytes_free(&out);
	EXPECT_EQ(text,
		  "POST /x?y HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nX-Kept: 2\r\n"
		  "Deadline-Ms: 1200\r\nExpect-Instance: e1\r\nTenant: org\r\nModel: small\r\n"
		  "Request-Urgency: 3\r\nLast-Event-Id: 7\r\nContent-Length: 4\r\n\r\nbody");
}

TEST(ResponseFields, DecodesHeaders)
{
	HeadBuilder response({ { "Attempt-Id", "a1" },
			       { "Response-Seal", "s" },
			       { "Server-Load", "3,1,8" },
			       { "Cold-Ms", "700" },
			       { "Confidence", "82" } });
	response_fields fields;
	response.head.status = 200;
	response_fields_read(&response.head, &fields);
	EXPECT_TRUE(fields.is_signed);
	EXPECT_FALSE(fields.is_not_executed);
	EXPECT_TRUE(fields.has_load);
	EXPECT_EQ(fields.waiting, 1U);
	EXPECT_EQ(fields.slots, 8U);
	EXPECT_EQ(fields.cold_remaining_ms, 700U);
	EXPECT_EQ(fields.confidence, 82U);
	response.head.status = 421;
	response_fields_read(&response.head, &fields);
	EXPECT_TRUE(fields.is_wrong_engine);
}

/* "-1" was 49 days of cold start, a load of four billion, the highest confidence. */
TEST(ResponseFields, MalformedNumbersSayNothing)
{
	for (const char *text :
	     { "-1", "+1", " 1", "1x", "0x10", "", "99999999999999999999", "1,2" }) {
		std::string load = std::string(text) + ",1,8";
		HeadBuilder response({ { "Attempt-Id", "a1" },
				       { "Cold-Ms", text },
				       { "Confidence", text },
				       { "Server-Load", load.c_str() } });
		response_fields fields;
		response_fields_read(&response.head, &fields);
		if (strcmp(text, "1,2") == 0) {
			/* A list: its first number is taken; in the load it makes a fourth figure. */
			EXPECT_TRUE(fields.has_load);
			EXPECT_EQ(fields.slots, 1U);
			EXPECT_EQ(fields.pace_percent, 8U);
			continue;
		}
		EXPECT_FALSE(fields.has_load) << text;
		EXPECT_EQ(fields.cold_remaining_ms, 0U) << text;
		EXPECT_FALSE(fields.has_confidence) << text;
	}
}

/* Guards against a load report that is lost because of a figure that was added later. */
TEST(ResponseFields, FiguresBeyondThoseOfTheLoadDoNotHideIt)
{
	const struct {
		const char *text;
		uint32_t pace_percent;
	} cases[] = { { "3,1,8", 0 },	    { "3,1,8,250", 250 }, { "3,1,8,250,7", 250 },
		      { "3,1,8,x", 0 },	    { "3,1,8,", 0 },	  { "3,1,8,-5", 0 },
		      { "3,1,8,99999", 0 }, { "3,1,8,100x", 0 } };
	for (const auto &each : cases) {
		HeadBuilder response({ { "Server-Load", each.text } });
		response_fields fields;
		response_fields_read(&response.head, &fields);
		EXPECT_TRUE(fields.has_load) << each.text;
		EXPECT_EQ(fields.slots, 8U) << each.text;
		EXPECT_EQ(fields.pace_percent, each.pace_percent) << each.text;
	}
}

/* An engine that leaves, and one that wants a pause: both in whatever spelling they come. */
TEST(ResponseFields, ReadsWhatEnginesSayOfThemselves)
{
	response_fields fields;
	HeadBuilder response({ { "Server-Leaving", "1" }, { "Retry-After", "1.25" } });
	response.head.status = 503;
	response_fields_read(&response.head, &fields);
	EXPECT_TRUE(fields.is_leaving);
	EXPECT_EQ(fields.pause_us, 1250000U);
	response.head.status = 429;
	response_fields_read(&response.head, &fields);
	EXPECT_TRUE(fields.is_leaving);
	EXPECT_EQ(fields.pause_us, 0U) << "a pause is asked for with 503 only";
	HeadBuilder repeated({ { "Server-Leaving", "0" },
			       { "Retry-After", "2" },
			       { "Retry-After", "x" },
			       { "retry-after", "0.000001" } });
	repeated.head.status = 503;
	response_fields_read(&repeated.head, &fields);
	EXPECT_FALSE(fields.is_leaving);
	EXPECT_EQ(fields.pause_us, 2000000U) << "the longest holds";
	EXPECT_TRUE(fields.has_bad_pause);
	HeadBuilder huge(
		{ { "Retry-After", "340282366920938463463374607431768211456.9999999999" } });
	huge.head.status = 503;
	response_fields_read(&huge.head, &fields);
	EXPECT_EQ(fields.pause_us, 3600000000U);
}

/* A double holds integers up to 2^53; a lease has an id of any size. */
TEST(MetadataJson, KeepsLargeNumbers)
{
	std::string text = R"({"Lease":9007199254740993,"TtlMs":1000})";
	uint64_t lease = 0;
	uint64_t ttl_ms = 0;
	ASSERT_EQ(metadata_lease_read(text.data(), text.size(), &lease, &ttl_ms), DW_OK);
	EXPECT_EQ(lease, 9007199254740993U);
	text += " \n";
	EXPECT_EQ(metadata_lease_read(text.data(), text.size(), &lease, &ttl_ms), DW_OK);
	text += "{}";
	EXPECT_NE(metadata_lease_read(text.data(), text.size(), &lease, &ttl_ms), DW_OK)
		<< "text after the object";
}

TEST(MetadataJson, DecodesEventsAndTombstones)
{
	std::string body =
		R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412,"CreateRevision":400,)"
		R"("Lease":7},{"Key":"b","Revision":413,"Tombstone":true}],"StoreRevision":415})";
	metadata_list list{};
	ASSERT_EQ(metadata_list_read(body.data(), body.size(), &list), DW_OK);
	EXPECT_EQ(list.revision, 415U);
	ASSERT_EQ(list.count, 2U);
	EXPECT_EQ(std::string((const char *)list.events[0].entry.value,
			      list.events[0].entry.value_len),
		  "node-1");
	EXPECT_EQ(list.events[0].entry.lease_id, 7U);
	EXPECT_TRUE(list.events[1].deleted);
	metadata_list_free(&list);
}

TEST(MetadataJson, RejectsMalformedResponses)
{
	for (const char *body : {
		     "",
		     "[]",
		     R"({"events":[{"Key":"a"}],"StoreRevision":1})",
		     R"({"events":[{"Key":"a","Value":"?","Revision":1,"CreateRevision":1}]})",
		     R"({"events":[5],"StoreRevision":1})",
		     R"({"Items":[{"Key":"a","Value":"bm9k","Revision":"x"}]})",
	     }) {
		metadata_list list{};
		EXPECT_NE(metadata_list_read(body, strlen(body), &list), DW_OK) << body;
		EXPECT_EQ(list.count, 0U);
	}
}

/* Guards against one odd item that keeps all others from the instances that follow the list. */
TEST(MetadataJson, OneItemThatCantBeReadDoesntHideTheOthers)
{
	std::string deep(100000, '[');
	for (const std::string &odd :
	     { std::string("5"), std::string("null"), std::string(R"({"Key":"x"})"),
	       std::string(R"({"Key":"x","Value":"?","Revision":1,"CreateRevision":1})"),
	       std::string(R"({"Key":"x","Value":"bm9k","Revision":-1,"CreateRevision":1})"),
	       std::string(R"({"Key":"x","Value":"bm9k","Revision":1e400,"CreateRevision":1})"),
	       std::string(R"({"Key":7,"Value":{},"Revision":[],"CreateRevision":1})") }) {
		std::string body = R"({"Items":[)" + odd +
				   R"(,{"Key":"a","Value":"bm9kZS0x","Revision":412,)"
				   R"("CreateRevision":400},)" +
				   odd + R"(],"StoreRevision":415})";
		metadata_list list{};
		ASSERT_EQ(metadata_list_read(body.data(), body.size(), &list), DW_OK) << odd;
		EXPECT_EQ(list.count, 1U) << odd;
		EXPECT_EQ(list.unreadable, 2U) << odd;
		EXPECT_STREQ(list.events[0].entry.key, "a");
		EXPECT_EQ(list.events[0].entry.lease_id, 0U);
		metadata_list_free(&list);
	}
	std::string nested = R"({"Items":[)" + deep + R"(],"StoreRevision":415})";
	metadata_list list{};
	EXPECT_NE(metadata_list_read(nested.data(), nested.size(), &list), DW_OK);
}

TEST(MetadataJson, EncodesConditionalPut)
{
	struct dw_store_put put {
	};
	put.key = "k";
	put.value = (const uint8_t *)"node-1";
	put.value_len = 6;
	put.expected_revision = 3;
	char *body = metadata_put_body(&put);
	EXPECT_STREQ(body, R"({"ExpectedRevision":[{"Key":"k","Revision":3}],)"
			   R"("Puts":[{"Key":"k","Value":"bm9kZS0x","Lease":0}],"Remove":[]})");
	free(body);
}

} // namespace
