/**
 * @file entities.h
 * Builds configuration changes with packed entities, and applies them to rulesets.
 */
#ifndef WHARF_TESTS_ENTITIES_H
#define WHARF_TESTS_ENTITIES_H

#include <string>
#include <vector>

#include <dragonflywharf/ruleset.h>

namespace dw_test
{

/** Change of one key; owns its bytes. */
struct Change {
	std::string key;
	uint64_t revision = 0;
	bool deleted = false;
	std::string bytes;

	dw_ruleset_item item() const
	{
		return { key.c_str(), revision, deleted,
			 reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size() };
	}
};

struct UpstreamSpec {
	std::string name = "e1";
	std::vector<std::string> serves = { "m/v1" };
	std::string service;
	std::string failure_domain = "haarlem";
	uint32_t limit = 8;
	uint32_t cold_limit = 1;
	bool leaving = false;
	std::string ip = "127.0.0.1";
	uint32_t port = 9000;
};

Change organisation(const std::string &name, std::vector<std::string> allowed,
		    std::vector<std::string> services = {}, std::vector<std::string> hashes = {});
Change model(const std::string &name, std::vector<std::string> cascade = {});
Change version(const std::string &model, const std::string &name, bool live = true,
	       uint32_t weight = 1);
Change upstream(const UpstreamSpec &spec);
Change service(const std::string &name, std::vector<std::string> paths = {});
Change failure_domain(const std::string &name, bool in_service = true);

/** Returns the change with its store revision set. */
Change at(uint64_t revision, Change change);

/** Applies the changes as one delta. */
enum dw_status apply(dw_ruleset *ruleset, uint64_t from, uint64_t to,
		     const std::vector<Change> &changes, dw_ruleset_result *result = nullptr);
/** Applies the changes as a snapshot. */
enum dw_status apply_snapshot(dw_ruleset *ruleset, uint64_t to, const std::vector<Change> &changes,
			      dw_ruleset_result *result = nullptr);

/** Returns the changes that would be sent to a peer that is complete up to @p since. */
std::vector<Change> items_since(const dw_ruleset *ruleset, uint64_t since, bool *snapshot);

} // namespace dw_test

#endif
