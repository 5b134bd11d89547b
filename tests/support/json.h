/**
 * @file json.h
 * Looks up single values in JSON documents.
 */
#ifndef TESTS_SUPPORT_JSON_H
#define TESTS_SUPPORT_JSON_H

#include <cstdint>
#include <string>
#include <vector>

namespace support
{

/** The number at a path of field names and array indices; 0 if there is none. */
int64_t json_number(const std::string &text, const std::vector<std::string> &path);

/** The string at a path, or the value's JSON if it isn't a string; "" if there is none. */
std::string json_string(const std::string &text, const std::vector<std::string> &path);

} // namespace support

#endif
