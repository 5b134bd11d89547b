#include "support/raw_fleet.h"

namespace support
{

std::string answer_head(const std::string &status, const std::string &request,
			const std::string &more)
{
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + field_of(request, "Attempt-Id") +
	       "\r\nResponse-Seal: s\r\n" + more + "\r\n";
}

std::string answer_with_length(const std::string &status, const std::string &request,
			       const std::string &body, const std::string &more)
{
	return answer_head(status, request,
			   more + "Content-Length: " + std::to_string(body.size()) + "\r\n") +
	       body;
}

void raw_fleet::register_engine(size_t index, int born_ms, const std::string &state) const
{
	put("servers/e" + std::to_string(index + 1),
	    "{\"Service\":\"app\",\"Address\":\"127.0.0.1:" +
		    std::to_string(engines[index]->port()) +
		    "\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"" + state +
		    "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" + std::to_string(born_ms) +
		    "}");
}

void raw_fleet::start(size_t count, const raw_server::handler &answer)
{
	for (size_t i = 0; i < count; i++) {
		engines.push_back(std::make_unique<raw_server>(answer));
		register_engine(i);
	}
	configure();
	for (size_t i = 0; i < instances.size(); i++)
		launch(i);
	ASSERT_TRUE(wait_for_all());
	for (const auto &each : instances)
		ASSERT_TRUE(wait_until(
			[&] { return each.metric("engines_usable") == (int64_t)count; }));
}

http_answer raw_fleet::ask(size_t instance_index, const std::string &method,
			   const std::string &path, const std::string &attempt_id)
{
	http_headers headers = {
		{ "Attempt-Id",
		  attempt_id.empty() ? "a" + std::to_string(next_attempt++) : attempt_id },
		{ "Deadline-Ms", "2500" },
		{ "Credential", "k1" },
	};
	return http_call(instances[instance_index].caller_port, method, path,
			 method == "POST" ? "{}" : "", headers);
}

} // namespace support
