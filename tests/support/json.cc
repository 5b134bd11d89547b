#include "support/json.h"

#include <cstdlib>

#include <json-c/json.h>

namespace support
{

static struct json_object *find(struct json_object *object, const std::vector<std::string> &path)
{
	for (const std::string &step : path) {
		if (json_object_is_type(object, json_type_array))
			object = json_object_array_get_idx(object,
							   std::strtoul(step.c_str(), nullptr, 10));
		else if (!json_object_object_get_ex(object, step.c_str(), &object))
			return nullptr;
	}
	return object;
}

int64_t json_number(const std::string &text, const std::vector<std::string> &path)
{
	struct json_object *root = json_tokener_parse(text.c_str());
	int64_t number = json_object_get_int64(find(root, path));

	json_object_put(root);
	return number;
}

std::string json_string(const std::string &text, const std::vector<std::string> &path)
{
	struct json_object *root = json_tokener_parse(text.c_str());
	struct json_object *found = find(root, path);
	std::string string = found ? json_object_get_string(found) : "";

	json_object_put(root);
	return string;
}

} // namespace support
