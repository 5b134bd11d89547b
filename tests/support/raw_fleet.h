/**
 * @file raw_fleet.h
 * Gateways before engines whose answers the test writes byte by byte.
 */
#ifndef TESTS_SUPPORT_RAW_FLEET_H
#define TESTS_SUPPORT_RAW_FLEET_H

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/fleet.h"
#include "support/http.h"
#include "support/raw_server.h"

namespace support
{

/** Head of an answer to a request, signed and with its attempt id; @p more: further lines. */
std::string answer_head(const std::string &status, const std::string &request,
			const std::string &more = "");
/** A whole answer with a length. */
std::string answer_with_length(const std::string &status, const std::string &request,
			       const std::string &body, const std::string &more = "");

/** The engines are e1, e2, ...; each answers with the test's handler. */
struct raw_fleet : testing::Test, fleet {
	std::vector<std::unique_ptr<raw_server>> engines;

	explicit raw_fleet(size_t instance_count = 1) : fleet(instance_count)
	{
	}
	/** Registers an engine's lifetime that began at @p born_ms. */
	void register_engine(size_t index, int born_ms = 5,
			     const std::string &state = "ready") const;
	void start(size_t count, const raw_server::handler &answer);
	http_answer ask(size_t instance_index, const std::string &method, const std::string &path,
			const std::string &attempt_id = "");
};

} // namespace support

#endif
