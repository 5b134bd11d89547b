#include "support/platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/http.h"

namespace support
{

uint16_t free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address{};
	socklen_t len = sizeof(address);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (sockaddr *)&address, sizeof(address));
	getsockname(fd, (sockaddr *)&address, &len);
	close(fd);
	return ntohs(address.sin_port);
}

static std::string escape_json(const std::string &text)
{
	std::string out;
	for (char c : text) {
		if (c == '"' || c == '\\')
			out += '\\';
		out += c;
	}
	return out;
}

void backend::inject_fault(const std::string &body) const
{
	http_call(port, "POST", "/admin/fault", body);
}

int64_t backend::read_stat(const std::string &name) const
{
	std::string text = http_call(port, "GET", "/admin/stats").body;
	size_t at = text.find("\"" + name + "\":");
	return at == std::string::npos ? -1 : atoll(text.c_str() + at + name.size() + 3);
}

void platform::put(const std::string &key, const std::string &value) const
{
	http_call(store_port, "POST", "/admin/put",
		  "{\"key\":\"" + key + "\",\"value\":\"" + escape_json(value) + "\"}");
}

void platform::remove(const std::string &key) const
{
	http_call(store_port, "POST", "/admin/delete", "{\"key\":\"" + key + "\"}");
}

std::string platform::read_range(const std::string &prefix) const
{
	return http_call(store_port, "GET", "/dragonflywharf/kv-range?PathPrefix=" + prefix).body;
}

void platform::inject_store_fault(const std::string &body) const
{
	http_call(store_port, "POST", "/admin/fault", body);
}

void platform::register_backend(const backend &b, const std::string &id, const std::string &state,
				const std::string &version_name) const
{
	put("servers/" + id, "{\"Service\":\"app\",\"Address\":\"127.0.0.1:" +
				     std::to_string(b.port) + "\",\"Zone\":\"a\",\"Version\":\"" +
				     version_name + "\",\"Slots\":64,\"State\":\"" + state +
				     "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":5}");
}

backend &platform::add_backend(const std::string &id)
{
	auto added = std::make_unique<backend>();
	restart_backend(*added, id);
	backends.push_back(std::move(added));
	return *backends.back();
}

void platform::restart_backend(backend &b, const std::string &id)
{
	std::vector<std::string> arguments{ "--port=" + std::to_string(b.port), "--id=" + id,
					    event_ms };
	arguments.insert(arguments.end(), backend_arguments.begin(), backend_arguments.end());
	b.id = id;
	b.server = std::make_unique<process>("standin_backend", arguments);
	b.port = b.server->wait_listening();
	register_backend(b, id);
}

std::string platform::route(const std::string &name, const std::string &kind, int attempts,
			    const std::string &more) const
{
	return "{\"Name\":\"" + name + "\",\"Host\":\"127.0.0.1\",\"PathPrefix\":\"/" + name +
	       "/\",\"Kind\":\"" + kind +
	       "\",\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":1,"
	       "\"Service\":\"app\",\"MaxAttempts\":" +
	       std::to_string(attempts) + ",\"Public\":false" + more + "}";
}

void platform::configure(const std::string &keys)
{
	version += 3;
	put("op/config",
	    "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + route("look", "safe", 2) +
		    "," + route("book", "unsafe", 1) + "," +
		    route("chat", "stream", 3, ",\"Resumable\":true,\"TargetGapMs\":1500") +
		    more_routes +
		    "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\"}],"
		    "\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":" +
		    std::to_string(max_body_bytes) +
		    ",\"HeaderTimeoutMs\":2000,\"IdleTimeoutMs\":" +
		    std::to_string(idle_timeout_ms) +
		    "},\"Tenants\":[{"
		    "\"Name\":\"workshop\",\"ApiKeys\":[" +
		    keys + "]}]}");
}

int64_t platform::sum_stat(const std::string &name) const
{
	int64_t sum = 0;
	for (const auto &b : backends)
		sum += b->read_stat(name);
	return sum;
}

} // namespace support
