#include "support/entities.h"

namespace dw_test
{

namespace
{

Change pack(Dragonflywharf__Entity &entity)
{
	Change change;
	char key[DW_ENTITY_KEY_BYTES];

	entity.change_id = const_cast<char *>("change");
	dw_entity_key(&entity, key);
	change.key = key;
	change.bytes.resize(dragonflywharf__entity__get_packed_size(&entity));
	dragonflywharf__entity__pack(&entity, reinterpret_cast<uint8_t *>(&change.bytes[0]));
	return change;
}

char *to_c_string(const std::string &from)
{
	return const_cast<char *>(from.c_str());
}

std::vector<char *> to_c_strings(const std::vector<std::string> &from)
{
	std::vector<char *> out;

	for (const auto &one : from)
		out.push_back(to_c_string(one));
	return out;
}

std::vector<dw_ruleset_item> to_items(const std::vector<Change> &changes)
{
	std::vector<dw_ruleset_item> out;

	for (const auto &change : changes)
		out.push_back(change.item());
	return out;
}

} // namespace

Change organisation(const std::string &name, std::vector<std::string> allowed,
		    std::vector<std::string> services, std::vector<std::string> hashes)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Organisation one = DRAGONFLYWHARF__ORGANISATION__INIT;
	auto allowed_strings = to_c_strings(allowed), service_strings = to_c_strings(services);
	std::vector<ProtobufCBinaryData> data;

	for (auto &hash : hashes)
		data.push_back({ hash.size(), reinterpret_cast<uint8_t *>(&hash[0]) });
	one.name = to_c_string(name);
	one.n_allowed = allowed_strings.size();
	one.allowed = allowed_strings.data();
	one.n_allowed_services = service_strings.size();
	one.allowed_services = service_strings.data();
	one.n_key_hashes = data.size();
	one.key_hashes = data.data();
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION;
	entity.organisation = &one;
	return pack(entity);
}

Change model(const std::string &name, std::vector<std::string> cascade)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Model one = DRAGONFLYWHARF__MODEL__INIT;
	auto cascade_strings = to_c_strings(cascade);

	one.name = to_c_string(name);
	one.n_cascade = cascade_strings.size();
	one.cascade = cascade_strings.data();
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_MODEL;
	entity.model = &one;
	return pack(entity);
}

Change version(const std::string &model, const std::string &name, bool live, uint32_t weight)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Version one = DRAGONFLYWHARF__VERSION__INIT;

	one.model = to_c_string(model);
	one.name = to_c_string(name);
	one.state = live ? DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE
			 : DRAGONFLYWHARF__VERSION_STATE__VERSION_WITHDRAWN;
	one.rollout_weight = weight;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_VERSION;
	entity.version = &one;
	return pack(entity);
}

Change upstream(const UpstreamSpec &spec)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Upstream one = DRAGONFLYWHARF__UPSTREAM__INIT;
	auto serves = to_c_strings(spec.serves);

	if (!spec.service.empty())
		serves.clear();

	one.name = to_c_string(spec.name);
	one.kind = spec.service.empty() ? DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_MODEL_ENGINE
					: DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_SERVICE;
	one.ip = to_c_string(spec.ip);
	one.port = spec.port;
	one.failure_domain = to_c_string(spec.failure_domain);
	one.n_serves = serves.size();
	one.serves = serves.data();
	one.service = to_c_string(spec.service);
	one.limit = spec.limit;
	one.cold_limit = spec.cold_limit;
	one.state = spec.leaving ? DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_LEAVING
				 : DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM;
	entity.upstream = &one;
	return pack(entity);
}

Change service(const std::string &name, std::vector<std::string> paths)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Service one = DRAGONFLYWHARF__SERVICE__INIT;
	auto path_strings = to_c_strings(paths);

	one.name = to_c_string(name);
	one.n_idempotent_paths = path_strings.size();
	one.idempotent_paths = path_strings.data();
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_SERVICE;
	entity.service = &one;
	return pack(entity);
}

Change failure_domain(const std::string &name, bool in_service)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__FailureDomain one = DRAGONFLYWHARF__FAILURE_DOMAIN__INIT;

	one.name = to_c_string(name);
	one.state = in_service ? DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE
			       : DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_FAILURE_DOMAIN;
	entity.failure_domain = &one;
	return pack(entity);
}

Change at(uint64_t revision, Change change)
{
	change.revision = revision;
	return change;
}

enum dw_status apply(dw_ruleset *ruleset, uint64_t from, uint64_t to,
		     const std::vector<Change> &changes, dw_ruleset_result *result)
{
	dw_ruleset_result unused;
	auto list = to_items(changes);

	return dw_ruleset_apply_delta(ruleset, from, to, list.data(), list.size(),
				      result ? result : &unused);
}

enum dw_status apply_snapshot(dw_ruleset *ruleset, uint64_t to, const std::vector<Change> &changes,
			      dw_ruleset_result *result)
{
	dw_ruleset_result unused;
	auto list = to_items(changes);

	return dw_ruleset_apply_snapshot(ruleset, to, list.data(), list.size(),
					 result ? result : &unused);
}

std::vector<Change> items_since(const dw_ruleset *ruleset, uint64_t since, bool *snapshot)
{
	std::vector<Change> out;

	dw_ruleset_items_since(
		ruleset, since,
		[](const dw_ruleset_item *item, void *data) {
			static_cast<std::vector<Change> *>(data)->push_back(
				{ item->key, item->mod_revision, item->deleted,
				  std::string(reinterpret_cast<const char *>(item->bytes),
					      item->len) });
		},
		&out, snapshot);
	return out;
}

} // namespace dw_test
