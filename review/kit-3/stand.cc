#include "stand.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace stand
{

int front_port;

static const size_t PAGE_ITEMS = 100;
static const int64_t CONNECT_MS = 1000;

static std::string repository;
static std::string folder;
static int ready_port;
static int metrics_port;
static int peer_port;

int64_t now_ms()
{
	static const auto start = std::chrono::steady_clock::now();
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - start)
		.count();
}

void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

static FILE *record_file;
static std::mutex record_lock;

void record_open(const std::string &path)
{
	record_file = fopen(path.c_str(), "w");
}

void record(const std::string &line)
{
	std::lock_guard<std::mutex> guard(record_lock);
	if (!record_file)
		return;
	fprintf(record_file, "%8.3f s  %s\n", (double)now_ms() / 1000, line.c_str());
	fflush(record_file);
}

static bool equals(const std::string &a, const std::string &b)
{
	return strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string message::get(const std::string &name) const
{
	for (const auto &field : fields) {
		if (equals(field.first, name))
			return field.second;
	}
	return "";
}

std::string message::word(int index) const
{
	std::istringstream words(first_line);
	std::string out;
	for (int i = 0; i <= index; i++) {
		if (!(words >> out))
			return "";
	}
	return out;
}

int message::status() const
{
	return atoi(word(1).c_str());
}

connection::~connection()
{
	close(fd);
}

std::unique_ptr<connection> connection::open(const std::string &ip, int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	auto opened = std::make_unique<connection>(fd);
	sockaddr_in address{};
	int on = 1;
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	timeval limit{ CONNECT_MS / 1000, 0 };
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (sockaddr *)&address, sizeof(address)) != 0)
		return nullptr;
	return opened;
}

bool connection::fill(int64_t until_ms)
{
	char bytes[16384];
	pollfd wait{ fd, POLLIN, 0 };
	int64_t left_ms = until_ms - now_ms();
	if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0)
		return false;
	ssize_t len = recv(fd, bytes, sizeof(bytes), 0);
	if (len <= 0)
		return false;
	buffer.append(bytes, (size_t)len);
	return true;
}

static void parse_head(const std::string &head, message &out)
{
	size_t at = head.find("\r\n");
	out.first_line = head.substr(0, at);
	while (at != std::string::npos && at + 2 < head.size()) {
		size_t next = head.find("\r\n", at + 2);
		std::string line = head.substr(at + 2, next - at - 2);
		size_t colon = line.find(':');
		at = next;
		if (colon == std::string::npos)
			continue;
		size_t value = line.find_first_not_of(" \t", colon + 1);
		out.fields.emplace_back(line.substr(0, colon),
					value == std::string::npos ? "" : line.substr(value));
	}
}

bool connection::read(message &out, int64_t timeout_ms)
{
	int64_t until_ms = now_ms() + timeout_ms;
	size_t end;
	out = message();
	while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
		if (!fill(until_ms))
			return false;
	}
	parse_head(buffer.substr(0, end), out);
	buffer.erase(0, end + 4);
	if (equals(out.get("Transfer-Encoding"), "chunked")) {
		for (;;) {
			size_t line;
			while ((line = buffer.find("\r\n")) == std::string::npos) {
				if (!fill(until_ms))
					return true;
			}
			size_t len = strtoul(buffer.c_str(), nullptr, 16);
			while (buffer.size() < line + 2 + len + 2) {
				if (!fill(until_ms))
					return true;
			}
			out.body += buffer.substr(line + 2, len);
			buffer.erase(0, line + 2 + len + 2);
			if (len == 0)
				break;
		}
	} else {
		size_t len = strtoul(out.get("Content-Length").c_str(), nullptr, 10);
		while (buffer.size() < len) {
			if (!fill(until_ms))
				return true;
		}
		out.body = buffer.substr(0, len);
		buffer.erase(0, len);
	}
	out.is_complete = true;
	return true;
}

bool connection::write(const std::string &bytes)
{
	size_t at = 0;
	while (at < bytes.size()) {
		ssize_t len = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
		if (len <= 0)
			return false;
		at += (size_t)len;
	}
	return true;
}

void connection::reset()
{
	linger now{ 1, 0 };
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shut();
}

void connection::shut() const
{
	shutdown(fd, SHUT_RDWR);
}

static int listen_at(const std::string &ip, int &port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in address{};
	socklen_t len = sizeof(address);
	int on = 1;
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (sockaddr *)&address, sizeof(address)) != 0 || listen(fd, 256) != 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (sockaddr *)&address, &len);
	port = ntohs(address.sin_port);
	return fd;
}

server::server(std::string ip, int port, handler handle)
    : port(port), ip(std::move(ip)), handle(std::move(handle))
{
	listener = listen_at(this->ip, this->port);
	if (listener < 0) {
		fprintf(stderr, "cannot listen on %s:%d\n", this->ip.c_str(), port);
		exit(2);
	}
	acceptor = std::thread([this] { accept_all(); });
}

void server::accept_all()
{
	while (!is_stopped) {
		pollfd wait{ listener, POLLIN, 0 };
		if (poll(&wait, 1, 20) <= 0)
			continue;
		int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
		int on = 1;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		std::lock_guard<std::mutex> guard(lock);
		threads.emplace_back([this, fd] {
			connection peer(fd);
			{
				std::lock_guard<std::mutex> inner(lock);
				open.push_back(&peer);
			}
			if (!is_stopped)
				handle(peer);
			std::lock_guard<std::mutex> inner(lock);
			open.erase(std::find(open.begin(), open.end(), &peer));
		});
	}
}

void server::stop()
{
	if (is_stopped.exchange(true))
		return;
	acceptor.join();
	close(listener);
	std::lock_guard<std::mutex> guard(lock);
	for (connection *peer : open)
		peer->reset();
}

server::~server()
{
	stop();
	for (std::thread &each : threads)
		each.join();
}

std::string base64_encode(const std::string &bytes)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string out;
	for (size_t i = 0; i < bytes.size(); i += 3) {
		size_t left = bytes.size() - i;
		uint32_t word = 0;
		for (size_t k = 0; k < 3; k++)
			word = word << 8 | (k < left ? (uint8_t)bytes[i + k] : 0);
		out += digits[word >> 18];
		out += digits[word >> 12 & 63];
		out += left > 1 ? digits[word >> 6 & 63] : '=';
		out += left > 2 ? digits[word & 63] : '=';
	}
	return out;
}

std::string base64_decode(const std::string &text)
{
	std::string out;
	uint32_t word = 0;
	int bits = 0;
	for (char c : text) {
		int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
			    : c >= 'a' && c <= 'z' ? c - 'a' + 26
			    : c >= '0' && c <= '9' ? c - '0' + 52
			    : c == '+'		   ? 62
			    : c == '/'		   ? 63
						   : -1;
		if (digit < 0)
			continue;
		word = word << 6 | (uint32_t)digit;
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			out += (char)(word >> bits & 255);
		}
	}
	return out;
}

store::store()
{
	listener =
		std::make_unique<server>("127.0.0.1", 0, [this](connection &peer) { serve(peer); });
}

store::~store()
{
	is_silent = false;
	listener->stop();
}

std::string store::to_json(const item &entry)
{
	std::string out =
		"{\"Key\":\"" + entry.key + "\",\"Revision\":" + std::to_string(entry.revision);
	if (entry.is_deleted)
		return out + ",\"Tombstone\":true}";
	return out + ",\"Value\":\"" + entry.value +
	       "\",\"CreateRevision\":" + std::to_string(entry.create_revision) +
	       ",\"Lease\":" + std::to_string(entry.lease) + "}";
}

uint64_t store::put_locked(const std::string &key, const std::string &base64, uint64_t lease)
{
	item &entry = items[key];
	entry.key = key;
	entry.value = base64;
	entry.lease = lease;
	entry.revision = ++revision;
	if (entry.create_revision == 0)
		entry.create_revision = revision;
	history.push_back(entry);
	changed.notify_all();
	return revision;
}

uint64_t store::put(const std::string &key, const std::string &value)
{
	std::lock_guard<std::mutex> guard(lock);
	return put_locked(key, base64_encode(value), 0);
}

void store::remove(const std::string &key)
{
	std::lock_guard<std::mutex> guard(lock);
	if (items.erase(key) == 0)
		return;
	item gone;
	gone.key = key;
	gone.revision = ++revision;
	gone.is_deleted = true;
	history.push_back(gone);
	changed.notify_all();
}

std::string store::value_of(const std::string &key)
{
	std::lock_guard<std::mutex> guard(lock);
	auto found = items.find(key);
	return found == items.end() ? "" : base64_decode(found->second.value);
}

static std::string decode_query(const std::string &text)
{
	std::string out;
	for (size_t i = 0; i < text.size(); i++) {
		if (text[i] == '%' && i + 2 < text.size()) {
			out += (char)strtol(text.substr(i + 1, 2).c_str(), nullptr, 16);
			i += 2;
		} else {
			out += text[i];
		}
	}
	return out;
}

static std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find('?');
	while (at != std::string::npos) {
		size_t next = target.find('&', at + 1);
		std::string pair = target.substr(at + 1, next - at - 1);
		if (pair.compare(0, name.size() + 1, name + "=") == 0)
			return decode_query(pair.substr(name.size() + 1));
		at = next;
	}
	return "";
}

static bool has_prefix(const std::string &text, const std::string &prefix)
{
	return text.compare(0, prefix.size(), prefix) == 0;
}

std::string store::range(const std::string &prefix, const std::string &after)
{
	std::lock_guard<std::mutex> guard(lock);
	std::string list;
	size_t count = 0;
	bool has_more = false;
	for (const auto &pair : items) {
		if (!has_prefix(pair.first, prefix) || pair.first <= after)
			continue;
		if (count == PAGE_ITEMS) {
			has_more = true;
			break;
		}
		list += (count++ > 0 ? "," : "") + to_json(pair.second);
	}
	return "{\"Items\":[" + list + "],\"HasMore\":" + (has_more ? "true" : "false") +
	       ",\"StoreRevision\":" + std::to_string(revision) + "}";
}

void store::begin_deafness()
{
	std::lock_guard<std::mutex> guard(lock);
	is_deaf = true;
	heard_revision = revision;
}

void store::compact()
{
	std::lock_guard<std::mutex> guard(lock);
	is_deaf = false;
	history.clear();
	compacted_revision = revision;
	compactions++;
	changed.notify_all();
}

void store::go_silent()
{
	is_silent = true;
}

/* The status is 410 for a history that was dropped, and 0 for a watch that is cut. */
std::string store::watch(const std::string &prefix, uint64_t after, int64_t wait_ms, int &status)
{
	std::unique_lock<std::mutex> guard(lock);
	int64_t until_ms = now_ms() + wait_ms;
	uint64_t began_with = compactions;
	if (after < compacted_revision) {
		status = 410;
		return "{}";
	}
	for (;;) {
		uint64_t last = is_deaf ? heard_revision : revision;
		std::string list;
		if (compactions != began_with) {
			status = 0;
			return "";
		}
		for (const item &entry : history) {
			if (entry.revision > after && entry.revision <= last &&
			    has_prefix(entry.key, prefix))
				list += (list.empty() ? "" : ",") + to_json(entry);
		}
		int64_t left_ms = until_ms - now_ms();
		if (!list.empty() || left_ms <= 0)
			return "{\"events\":[" + list +
			       "],\"StoreRevision\":" + std::to_string(last) + "}";
		changed.wait_for(guard, std::chrono::milliseconds(left_ms));
	}
}

/* The text of a JSON string that begins behind the quote at @p at, which is moved behind it. */
static std::string json_string(const std::string &body, size_t &at)
{
	std::string out;
	for (; at < body.size() && body[at] != '"'; at++) {
		if (body[at] == '\\')
			at++;
		out += body[at];
	}
	return out;
}

/* The values of a field within a part of the body, in their order. */
static std::vector<std::string> json_values(const std::string &body, size_t from, size_t to,
					    const std::string &name)
{
	std::vector<std::string> out;
	std::string quoted = "\"" + name + "\":";
	for (size_t at = body.find(quoted, from); at != std::string::npos && at < to;
	     at = body.find(quoted, at)) {
		at += quoted.size();
		if (body[at] == '"')
			out.push_back(json_string(body, ++at));
		else
			out.push_back(std::to_string(strtoull(body.c_str() + at, nullptr, 10)));
	}
	return out;
}

std::string store::transact(const std::string &body, int &status)
{
	std::lock_guard<std::mutex> guard(lock);
	size_t conditions = body.find("\"ExpectedRevision\":");
	size_t puts = body.find("\"Puts\":");
	size_t removals = body.find("\"Remove\":");
	auto keys = json_values(body, conditions, puts, "Key");
	auto revisions = json_values(body, conditions, puts, "Revision");
	auto put_keys = json_values(body, puts, removals, "Key");
	auto values = json_values(body, puts, removals, "Value");
	auto leases = json_values(body, puts, removals, "Lease");
	std::string current;
	bool is_met = true;
	for (size_t i = 0; i < keys.size(); i++) {
		item missing;
		missing.key = keys[i];
		auto found = items.find(keys[i]);
		const item &entry = found == items.end() ? missing : found->second;
		is_met &= i < revisions.size() &&
			  entry.revision == strtoull(revisions[i].c_str(), nullptr, 10);
		current += (i > 0 ? "," : "") + to_json(entry);
	}
	if (!is_met) {
		status = 412;
		return "{\"Items\":[" + current + "]}";
	}
	for (size_t i = 0; i < put_keys.size() && i < values.size(); i++)
		put_locked(put_keys[i], values[i],
			   i < leases.size() ? strtoull(leases[i].c_str(), nullptr, 10) : 0);
	return "{\"Revision\":" + std::to_string(revision) + "}";
}

std::string store::answer(const message &request, int &status)
{
	std::string target = request.word(1);
	std::string path = target.substr(0, target.find('?'));
	status = 200;
	if (path == "/dragonflywharf/kv-range")
		return range(query(target, "PathPrefix"), query(target, "After"));
	if (path == "/dragonflywharf/kv-watch")
		return watch(query(target, "PathPrefix"),
			     strtoull(query(target, "After").c_str(), nullptr, 10),
			     atoll(query(target, "WaitMs").c_str()), status);
	if (path == "/dragonflywharf/kv-txn")
		return transact(request.body, status);
	if (path == "/dragonflywharf/kv-lease") {
		auto ttl = json_values(request.body, 0, request.body.size(), "TtlMs");
		std::lock_guard<std::mutex> guard(lock);
		return "{\"Lease\":" + std::to_string(++last_lease) +
		       ",\"TtlMs\":" + (ttl.empty() ? "1000" : ttl[0]) + "}";
	}
	if (has_prefix(path, "/dragonflywharf/kv-keep/"))
		return "{\"TtlMs\":60000}";
	status = 404;
	return "{}";
}

void store::serve(connection &peer)
{
	message request;
	while (peer.read(request, 60000)) {
		int status;
		std::string body = answer(request, status);
		while (is_silent)
			sleep_ms(20);
		if (status == 0)
			return;
		if (!peer.write("HTTP/1.1 " + std::to_string(status) +
				" X\r\nContent-Type: application/json\r\nContent-Length: " +
				std::to_string(body.size()) + "\r\n\r\n" + body))
			return;
	}
}

engine::engine(std::string id, std::string service, work run)
    : id(std::move(id)), service(std::move(service)), run(std::move(run)),
      listener("127.0.0.1", 0, [this](connection &peer) { serve(peer); })
{
}

std::string engine::entry(const std::string &state, const std::string &more) const
{
	return "{\"Service\":\"" + service +
	       "\",\"Address\":\"127.0.0.1:" + std::to_string(listener.port) + "\",\"Zone\":\"" +
	       zone + "\",\"Version\":\"" + version + "\",\"Slots\":" + std::to_string(slots) +
	       ",\"State\":\"" + state +
	       "\",\"ColdRemainingMs\":0,\"Sequence\":" + std::to_string(sequence) +
	       ",\"born\":1700000000000" + more + "}";
}

void engine::answer(connection &peer, const message &request, int status, const std::string &body,
		    const std::string &more_fields)
{
	peer.write("HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " +
		   request.get("Attempt-Id") + "\r\nServer-Load: " + std::to_string(running) +
		   ",0," + std::to_string(slots) + "\r\n" + more_fields +
		   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void engine::serve(connection &peer)
{
	message request;
	while (peer.read(request, 15000) && request.is_complete) {
		if (request.get("Attempt-Id").empty()) {
			answer(peer, request, 200, "", "Instance-Id: " + id + "\r\n");
			continue;
		}
		if (request.get("Expect-Instance") != id) {
			answer(peer, request, 421, "", "Instance-Id: " + id + "\r\n");
			continue;
		}
		running++;
		run(*this, peer, request);
		running--;
	}
}

gateway::gateway(const std::string &name, const std::string &ip, const std::string &zone)
    : name(name), ip(ip), zone(zone)
{
}

gateway::~gateway()
{
	kill();
}

/* The settings as the platform fills them in from the template, with the bounds of a small deployment. */
static std::string settings_text(const gateway &each, const std::string &zone, int store_port)
{
	auto at = [&](int port) { return "\"" + each.ip + ":" + std::to_string(port) + "\""; };
	return "{\"change_applied_ms\":2000,\"config_applied_ms\":2000,\"evacuated_ms\":5000,"
	       "\"rolled_back_ms\":5000,\"revocation_ms\":5000,\"keys_fail_closed\":true,"
	       "\"stop_timeout_s\":8,\"retry_window_s\":10,\"retry_ratio\":0.9,"
	       "\"retry_slack\":56,\"cold_overshoot\":1.5,\"cold_slack\":5,"
	       "\"rollout_share\":0.15,\"rollout_slack\":30,\"session_timeout_s\":5,"
	       "\"place_by_cost\":true,\"machine_memory_mb\":260,\"machine_descriptors\":4100,"
	       "\"seeds\":[\"127.0.46.1:1\",\"127.0.46.2:1\"],\"store\":\"127.0.0.1:" +
	       std::to_string(store_port) +
	       "\",\"store_writes_per_s\":400,\"store_reads_per_s\":2000,\"peer_address\":" +
	       at(peer_port) + ",\"metrics_address\":" + at(metrics_port) +
	       ",\"caller_address\":" + at(front_port) +
	       ",\"readiness_address\":" + at(ready_port) + ",\"failure_domain\":\"" + zone +
	       "\",\"instance\":\"" + each.name + "\"}";
}

void gateway::start(int store_port)
{
	std::string settings = folder + "/" + name + ".json";
	std::string log = folder + "/" + name + ".log";
	std::string program = "target/wharf-gateway";
	std::ofstream(settings) << settings_text(*this, zone, store_port);
	pid = fork();
	if (pid != 0) {
		record("started " + name + " (target/wharf-gateway --settings " + name + ".json)");
		return;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(out, 1);
	dup2(out, 2);
	if (chdir(repository.c_str()) == 0)
		execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
	_exit(127);
}

void gateway::send_signal(int number) const
{
	if (pid > 0)
		::kill(pid, number);
}

bool gateway::runs()
{
	if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
		pid = -1;
	return pid > 0;
}

void gateway::kill()
{
	if (pid <= 0)
		return;
	::kill(pid, SIGKILL);
	waitpid(pid, nullptr, 0);
	pid = -1;
}

bool gateway::is_ready() const
{
	auto peer = connection::open(ip, ready_port);
	message response;
	return peer && peer->write("GET /dragonflywharf/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
	       peer->read(response, 1000) && response.status() == 200;
}

bool wait_ready(const std::vector<std::unique_ptr<gateway>> &gateways)
{
	int64_t until_ms = now_ms() + 15000;
	for (const auto &each : gateways) {
		while (!each->is_ready()) {
			if (now_ms() > until_ms || !each->runs())
				return false;
			sleep_ms(50);
		}
	}
	return true;
}

bool with_trouble()
{
	const char *text = getenv("TROUBLE");
	return !text || strcmp(text, "0") != 0;
}

static int free_port()
{
	int port = 0;
	int fd = listen_at("0.0.0.0", port);
	close(fd);
	return port;
}

bool setup(int argc, char **argv)
{
	if (argc != 4) {
		fprintf(stderr, "usage: %s REPOSITORY TEMPORARY_FOLDER RECORD\n", argv[0]);
		return false;
	}
	now_ms();
	repository = argv[1];
	folder = argv[2];
	record_open(argv[3]);
	front_port = free_port();
	ready_port = free_port();
	metrics_port = free_port();
	peer_port = free_port();
	return access((repository + "/target/wharf-gateway").c_str(), X_OK) == 0;
}

std::string new_attempt_id()
{
	static std::atomic<uint32_t> next{ 1 };
	char text[24];
	snprintf(text, sizeof(text), "%08x%08x", (uint32_t)getpid(), next++);
	return text;
}

message send(const gateway &to, const attempt &request)
{
	message response;
	auto peer = connection::open(to.ip, front_port);
	if (!peer)
		return response;
	peer->write(request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
		    "\r\nAttempt-Id: " + request.id +
		    "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) +
		    "\r\nCredential: " + request.key + "\r\n" + request.more_fields +
		    "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
		    request.body);
	peer->read(response, request.deadline_ms + 1000);
	return response;
}

} // namespace stand
