#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

#include <dragonflywharf/engine_choice.h>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;

dw_prompt prompt_of(uint64_t shared_id, uint32_t shared, uint64_t own_id, uint32_t own)
{
	dw_prompt prompt{};
	prompt.parts[0] = { shared_id, shared };
	prompt.parts[1] = { own_id, own };
	prompt.part_count = 2;
	prompt.tokens_in = shared + own;
	return prompt;
}

struct EngineChoice : testing::Test {
	dw_engine_set *set = dw_engine_set_new();
	dw_choice_request choice{};
	dw_model_speed speed = { 40000 };
	uint64_t random = 1;

	EngineChoice()
	{
		choice.service = "llm";
		choice.model = "m";
		choice.speed = &speed;
		choice.kv_cache_tokens = 300000;
		choice.failure_domain = "a";
		choice.now_us = 100 * SECOND;
	}
	~EngineChoice() override
	{
		dw_engine_set_free(set);
	}
	dw_engine *add(const std::string &id, const char *domain, const char *version = "v1")
	{
		dw_engine_entry entry{};
		snprintf(entry.id, sizeof(entry.id), "%s", id.c_str());
		snprintf(entry.service, sizeof(entry.service), "llm");
		snprintf(entry.failure_domain, sizeof(entry.failure_domain), "%s", domain);
		snprintf(entry.version, sizeof(entry.version), "%s", version);
		entry.slots = 64;
		dw_engine_set_put(set, &entry, 0);
		return dw_engine_set_find(set, id.c_str());
	}
	std::string choose(dw_choice_result expected = DW_CHOICE_FOUND)
	{
		dw_choice_selection chosen{};
		choice.random = random++;
		EXPECT_EQ(dw_engine_choose(set, &choice, &chosen), expected);
		return chosen.engine ? chosen.engine->entry.id : "";
	}
};

/* Requests with the same shared prompt part go to one engine; different parts are distributed. */
TEST_F(EngineChoice, SharedPartsGoToTheSameEngine)
{
	for (int i = 0; i < 12; i++)
		add("e" + std::to_string(i), "a");
	std::map<std::string, int> load;
	for (uint64_t shared_prompt = 1; shared_prompt <= 240; shared_prompt++) {
		std::set<std::string> seen;
		for (uint64_t request = 0; request < 4; request++) {
			dw_prompt prompt = prompt_of(shared_prompt * 7919, 6000,
						     shared_prompt * 1000 + request, 1000);
			choice.prompt = &prompt;
			seen.insert(choose());
		}
		EXPECT_EQ(seen.size(), 1U);
		load[*seen.begin()]++;
	}
	EXPECT_EQ(load.size(), 12U);
	for (const auto &[id, count] : load)
		EXPECT_LT(count, 50) << id;
}

/* Hot key: with a long queue at the home engine, processing the prompt elsewhere is faster. */
TEST_F(EngineChoice, HotPartIsSentElsewhereWhenItsHomeEngineIsBusy)
{
	for (int i = 0; i < 4; i++)
		add("e" + std::to_string(i), "a");
	dw_prompt prompt = prompt_of(77, 6000, 1, 1000);
	choice.prompt = &prompt;
	std::string home = choose();
	for (int i = 0; i < 12; i++)
		dw_engine_sent(dw_engine_set_find(set, home.c_str()), choice.now_us);
	EXPECT_NE(choose(), home);
}

TEST_F(EngineChoice, CachedPartOutweighsTheDistance)
{
	add("near", "a");
	dw_engine *far = add("far", "b");
	dw_prompt prompt = prompt_of(5, 6000, 6, 100);
	prompt.part_count = 1;
	choice.prompt = &prompt;
	EXPECT_EQ(choose(), "near");
	dw_prefix_cache_touch(far->cache, dw_model_hash("m"), &prompt);
	EXPECT_EQ(choose(), "far");
}

TEST_F(EngineChoice, PrefersTheOwnFailureDomainAmongEquals)
{
	add("far", "b");
	add("near", "a");
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(choose(), "near");
}

TEST_F(EngineChoice, EvacuatedRemovedAndTriedEnginesAreExcluded)
{
	add("a1", "a");
	add("b1", "b");
	dw_domain_list evacuated{};
	dw_domain_list_set(&evacuated, "a", true);
	choice.evacuated = &evacuated;
	EXPECT_EQ(choose(), "b1");
	choice.tried[0] = "b1";
	choice.tried_count = 1;
	choose(DW_CHOICE_ALL_TRIED);
	choice.tried_count = 0;
	dw_engine_set_remove(set, "b1", 0, choice.now_us);
	choose(DW_CHOICE_ALL_EVACUATED);
	dw_engine_set_remove(set, "a1", 0, choice.now_us);
	dw_domain_list_clear(&evacuated);
	choose(DW_CHOICE_NO_ENGINE);
}

/* After a failure domain returns, the engines are cold: each gets at most its share per second. */
TEST_F(EngineChoice, LimitsTheRateOfAColdEngine)
{
	dw_engine *cold = add("cold", "a");
	dw_engine_cold_start_reported(cold, 5000, choice.now_us);
	choice.cold_rate_limit = { true, 21, 9, 1 };
	int sends = 0;
	for (int step = 0; step < 300; step++) {
		dw_choice_selection chosen{};
		choice.now_us += 10 * MS;
		if (dw_engine_choose(set, &choice, &chosen) != DW_CHOICE_FOUND)
			continue;
		dw_engine_sent(cold, choice.now_us);
		sends++;
		EXPECT_LE(dw_engine_sends_last_second(cold, choice.now_us), 2U);
	}
	EXPECT_GE(sends, 5);
	EXPECT_LE(sends, 6);
}

/* 120 instances share an engine with a limit of 21 requests per second, and a hash selects those
 * that may send. The rates of 90 of them must together stay within the limit. */
TEST_F(EngineChoice, ManyInstancesShareTheRateOfAColdEngine)
{
	for (int engine = 0; engine < 50; engine++) {
		std::string id = "engine-" + std::to_string(engine);
		uint32_t sum = 0;
		for (uint64_t instance = 0; instance < 90; instance++) {
			dw_cold_rate_limit limit = { true, 21, 120, instance * 0x9e3779b97f4a7c15 };
			sum += dw_cold_rate_limit_per_instance(&limit, id.c_str());
		}
		EXPECT_LE(sum, 21U) << id;
	}
	dw_cold_rate_limit few = { true, 21, 9, 5 };
	EXPECT_EQ(dw_cold_rate_limit_per_instance(&few, "e"), 2U);
}

TEST_F(EngineChoice, EjectedEngineIsUsedOnlyIfNoOtherIsLeft)
{
	dw_engine *bad = add("bad", "a");
	bad->ejected_until_us = choice.now_us + SECOND;
	EXPECT_EQ(choose(), "bad");
	add("good", "b");
	EXPECT_EQ(choose(), "good");
}

TEST_F(EngineChoice, RequiresOrAvoidsAVersion)
{
	add("old", "a", "v1");
	add("new", "b", "v2");
	choice.required_version = "v2";
	EXPECT_EQ(choose(), "new");
	choice.required_version = nullptr;
	choice.excluded_version = "v2";
	EXPECT_EQ(choose(), "old");
}

/* A subset has few engines, and they are the same for every instance and failure domain. */
TEST_F(EngineChoice, SubsetIsTheSameForAllInstances)
{
	for (int i = 0; i < 10; i++)
		add("e" + std::to_string(i), i % 2 ? "a" : "b");
	std::set<std::string> seen;
	choice.subset_permille = 200;
	for (int i = 0; i < 200; i++) {
		choice.failure_domain = i % 2 ? "a" : "b";
		seen.insert(choose());
	}
	EXPECT_LE(seen.size(), 2U);
	choice.subset_permille = 1;
	seen.clear();
	for (int i = 0; i < 50; i++)
		seen.insert(choose());
	EXPECT_EQ(seen.size(), 1U);
}

/* Processing a long prompt delays the output tokens of the other requests on that engine, so long
 * answers go to a few engines, which are less attractive for long prompts. */
TEST_F(EngineChoice, LongAnswersShareFewEnginesUnlessTheseAreBusy)
{
	for (int i = 0; i < 12; i++)
		add("e" + std::to_string(i), "a");
	std::set<std::string> seen;
	std::set<std::string> engines_of_prompts;
	for (uint64_t request = 1; request <= 60; request++) {
		dw_prompt prompt = prompt_of(request * 131, 170, request, 540);
		choice.prompt = &prompt;
		choice.is_long_answer = true;
		seen.insert(choose());
		dw_prompt long_prompt = prompt_of(request * 977, 6300, request, 2900);
		choice.prompt = &long_prompt;
		choice.is_long_answer = false;
		engines_of_prompts.insert(choose());
	}
	EXPECT_LE(seen.size(), 2U);
	EXPECT_GE(engines_of_prompts.size(), 10U);
	dw_engine *busy = dw_engine_set_find(set, seen.begin()->c_str());
	for (int i = 0; i < 10; i++)
		dw_engine_sent(busy, choice.now_us);
	dw_prompt prompt = prompt_of(5, 170, 6, 540);
	choice.prompt = &prompt;
	choice.is_long_answer = true;
	EXPECT_NE(choose(), busy->entry.id) << "a busy engine must not be preferred";
}

TEST_F(EngineChoice, LearnsSpeedDespiteQueueingTimes)
{
	dw_model_speed learnt{};
	std::mt19937_64 random(5);
	for (int i = 0; i < 300; i++) {
		uint64_t queue_us = random() % 3 == 0 ? random() % SECOND : 0;
		dw_model_speed_learn(&learnt, 2000, 2000 * 20 + queue_us);
	}
	EXPECT_GT(learnt.us_per_1000_tokens, 15000U);
	EXPECT_LT(learnt.us_per_1000_tokens, 40000U);
}

/* A request that may crash its engine, sent again through many instances. */
struct SuspectChoice : EngineChoice {
	SuspectChoice()
	{
		choice.model = nullptr;
		choice.suspect_key = 4711;
		for (int i = 1; i <= 3; i++)
			add("e" + std::to_string(i), i == 1 ? "a" : "b");
	}
};

/* All instances send it to the same engine, wherever they are and whatever loads they know. */
TEST_F(SuspectChoice, AllInstancesChooseTheSameEngine)
{
	std::string first = choose();
	for (const char *domain : { "a", "b", "c" }) {
		choice.failure_domain = domain;
		dw_engine_set_find(set, first.c_str())->awaiting_response += 5;
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(choose(), first);
	}
	std::set<std::string> chosen;
	for (uint64_t key = 1; key < 60; key++) {
		choice.suspect_key = key;
		chosen.insert(choose());
	}
	EXPECT_EQ(chosen.size(), 3U) << "different requests are distributed";
}

TEST_F(SuspectChoice, NeverAtTheLastEngine)
{
	dw_engine_process_ended(dw_engine_set_find(set, "e1"), choice.now_us);
	EXPECT_NE(choose(), "e1");
	dw_engine_set_remove(set, "e2", 0, choice.now_us);
	choose(DW_CHOICE_LAST_ENGINE);
	dw_engine_process_ended(dw_engine_set_find(set, "e3"), choice.now_us);
	choose(DW_CHOICE_ALL_EJECTED);
	choice.suspect_key = 0;
	EXPECT_NE(choose(), "") << "other requests try engines that have failed";
}

/* Engines that asked for a pause, or said that they leave, are none that other requests can use. */
TEST_F(SuspectChoice, NeverAtTheLastEngineBesidePausesAndLeaving)
{
	dw_engine_pause_requested(dw_engine_set_find(set, "e1"), choice.now_us + SECOND,
				  choice.now_us);
	EXPECT_NE(choose(), "e1");
	dw_engine_set_find(set, "e2")->says_it_leaves = true;
	choose(DW_CHOICE_LAST_ENGINE);
	dw_engine_pause_requested(dw_engine_set_find(set, "e3"), choice.now_us + SECOND,
				  choice.now_us);
	choose(DW_CHOICE_PAUSED);
}

/* An engine in trouble asks for a pause: nothing is sent to it until its end. */
TEST_F(SuspectChoice, PausedEnginesAreChosenAfterTheirPauseOnly)
{
	choice.suspect_key = 0;
	EXPECT_EQ(dw_engine_pause_end_us(set, &choice), UINT64_MAX);
	dw_engine_pause_requested(dw_engine_set_find(set, "e1"), choice.now_us + 2 * SECOND,
				  choice.now_us);
	for (choice.random = 1; choice.random < 40; choice.random++)
		EXPECT_NE(choose(), "e1");
	dw_engine_pause_requested(dw_engine_set_find(set, "e2"), choice.now_us + 3 * SECOND,
				  choice.now_us);
	dw_engine_pause_requested(dw_engine_set_find(set, "e3"), choice.now_us + 4 * SECOND,
				  choice.now_us);
	dw_engine_pause_requested(dw_engine_set_find(set, "e1"), choice.now_us + SECOND,
				  choice.now_us);
	choose(DW_CHOICE_PAUSED);
	EXPECT_EQ(dw_engine_pause_end_us(set, &choice), choice.now_us + 2 * SECOND)
		<< "a later request for a shorter pause doesn't end it";
	choice.now_us += 2 * SECOND;
	EXPECT_EQ(choose(), "e1");
	dw_engine_set_find(set, "e1")->says_it_leaves = true;
	choose(DW_CHOICE_PAUSED);
}

/* A service of one engine has no other that could be kept for other requests. */
TEST_F(SuspectChoice, TheOnlyEngineOfAServiceIsUsed)
{
	choice.service = "other";
	dw_engine_entry entry{};
	snprintf(entry.id, sizeof(entry.id), "only");
	snprintf(entry.service, sizeof(entry.service), "other");
	dw_engine_set_put(set, &entry, 0);
	EXPECT_EQ(choose(), "only");
	choice.service = "none";
	choose(DW_CHOICE_NO_ENGINE);
}

/* Two suspects don't run on one engine: if it ends, one of them would be taken for the cause. */
TEST_F(SuspectChoice, BesideNoOtherSuspect)
{
	std::string first = choose();
	dw_engine_set_find(set, first.c_str())->suspects_in_flight = 1;
	std::string second = choose();
	EXPECT_NE(second, first);
	dw_engine_set_find(set, second.c_str())->suspects_in_flight = 1;
	choose();
	for (const char *id : { "e1", "e2", "e3" })
		dw_engine_set_find(set, id)->suspects_in_flight = 1;
	choose(DW_CHOICE_BESIDE_SUSPECTS);
}

/* Requests with the same suspicious part run on one engine: if it ends, one engine is lost for all. */
TEST_F(SuspectChoice, BesideSuspectsWithTheSameKey)
{
	std::string first = choose();
	dw_engine *engine = dw_engine_set_find(set, first.c_str());
	engine->suspects_in_flight = 1;
	engine->suspect_key = choice.suspect_key;
	EXPECT_EQ(choose(), first);
	engine->suspect_key++;
	EXPECT_NE(choose(), first);
	choice.may_run_beside_suspects = true;
	EXPECT_EQ(choose(), first);
}

/* Guards against a watched request that ends the last engine, and one that finds none though its service
 * has only two. */
TEST_F(SuspectChoice, WatchedRequestsSpareTheLastOfThreeEngines)
{
	EXPECT_TRUE(dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_WATCHED, DW_CHOICE_FULL));
	EXPECT_FALSE(
		dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_WATCHED, DW_CHOICE_LAST_ENGINE));
	EXPECT_TRUE(dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_SPARING, DW_CHOICE_FULL));
	EXPECT_FALSE(
		dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_SPARING, DW_CHOICE_LAST_ENGINE));
	EXPECT_FALSE(dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_STRICT, DW_CHOICE_FULL));
	choice.service = "pair";
	for (const char *id : { "p1", "p2" }) {
		dw_engine_entry entry{};
		snprintf(entry.id, sizeof(entry.id), "%s", id);
		snprintf(entry.service, sizeof(entry.service), "pair");
		dw_engine_set_put(set, &entry, 0);
	}
	EXPECT_TRUE(
		dw_choice_may_run_anywhere(set, &choice, DW_CHOICE_WATCHED, DW_CHOICE_LAST_ENGINE));
}

} // namespace
