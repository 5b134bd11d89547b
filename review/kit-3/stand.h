/**
 * @file stand.h
 * Stand-ins for the cases of the third review: the platform's metadata store, engines and consumers, and the start
 * of the gateways as separate processes. Everything uses loopback addresses and the real clock.
 */
#ifndef REVIEW_KIT_3_STAND_H
#define REVIEW_KIT_3_STAND_H

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand
{

/** Milliseconds on the steady clock since the start of the program. */
int64_t now_ms();
void sleep_ms(int64_t ms);

/** record.txt: one line an event, with its time. */
void record_open(const std::string &path);
void record(const std::string &line);

/** An HTTP message: the words of its first line, its fields and its body. */
struct message {
	std::string first_line;
	std::vector<std::pair<std::string, std::string>> fields;
	std::string body;
	bool is_complete = false;

	/** Value of a field; "" if it is absent. */
	std::string get(const std::string &name) const;
	/** The word of the first line at @p index, from 0. */
	std::string word(int index) const;
	int status() const;
};

/** A TCP connection with a buffer of what was read. */
class connection
{
      public:
	explicit connection(int fd) : fd(fd)
	{
	}
	connection(const connection &) = delete;
	connection &operator=(const connection &) = delete;
	~connection();

	/** Connects within a second; NULL if that fails. */
	static std::unique_ptr<connection> open(const std::string &ip, int port);
	/** Reads one message; false if the connection ends before its head is complete. */
	bool read(message &out, int64_t timeout_ms);
	bool write(const std::string &bytes);
	/** Ends the connection with a reset. */
	void reset();
	/** Wakes up a read in another thread. */
	void shut() const;

      private:
	bool fill(int64_t until_ms);

	int fd;
	std::string buffer;
};

/** Accepts connections and runs a handler for each in a thread of its own. */
class server
{
      public:
	using handler = std::function<void(connection &)>;

	server(std::string ip, int port, handler handle);
	~server();
	/** Refuses new connections and ends the open ones. */
	void stop();

	int port = 0;

      private:
	void accept_all();

	std::string ip;
	handler handle;
	int listener = -1;
	std::atomic<bool> is_stopped{ false };
	std::mutex lock;
	std::vector<connection *> open;
	std::vector<std::thread> threads;
	std::thread acceptor;
};

/** The platform's metadata store. */
class store
{
      public:
	store();
	~store();
	/** Writes as the operator, or an engine, does; @return the revision, which is the acknowledgement. */
	uint64_t put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	/** From now on, watches hear nothing of later changes. */
	void begin_deafness();
	/** Drops the history, cuts the watches that wait, and ends the deafness. */
	void compact();
	/** From now on, no call is answered, and the connections stay open. */
	void go_silent();
	/** Decoded value; "" if there is none. */
	std::string value_of(const std::string &key);
	int port() const
	{
		return listener->port;
	}

      private:
	struct item {
		std::string key;
		std::string value; /* base64 */
		uint64_t revision = 0;
		uint64_t create_revision = 0;
		uint64_t lease = 0;
		bool is_deleted = false;
	};

	void serve(connection &peer);
	std::string answer(const message &request, int &status);
	std::string range(const std::string &prefix, const std::string &after);
	std::string watch(const std::string &prefix, uint64_t after, int64_t wait_ms, int &status);
	std::string transact(const std::string &body, int &status);
	uint64_t put_locked(const std::string &key, const std::string &base64, uint64_t lease);
	static std::string to_json(const item &entry);

	std::mutex lock;
	std::condition_variable changed;
	std::map<std::string, item> items;
	std::vector<item> history;
	uint64_t revision = 10;
	uint64_t compacted_revision = 0;
	uint64_t heard_revision = 0; /* the last one that watches hear of while deaf */
	uint64_t compactions = 0;
	bool is_deaf = false;
	std::atomic<bool> is_silent{ false };
	uint64_t last_lease = 100;
	std::unique_ptr<server> listener;
};

/** An engine. It runs each request that names it in Expect-Instance; @p work answers it. */
class engine
{
      public:
	/** Answers a request that is run; the connection may be ended instead. */
	using work = std::function<void(engine &, connection &, const message &)>;

	engine(std::string id, std::string service, work run);
	/** Its record in the store. */
	std::string entry(const std::string &state = "ready", const std::string &more = "") const;
	/** Answers with the fields that every engine sends. */
	void answer(connection &peer, const message &request, int status, const std::string &body,
		    const std::string &more_fields = "");
	void stop()
	{
		listener.stop();
	}

	std::string id;
	std::string service;
	std::string version = "v1";
	std::string zone = "zone-a";
	int sequence = 1;
	int slots = 6;
	std::atomic<int> running{ 0 };

      private:
	void serve(connection &peer);

	work run;
	server listener;
};

/** A gateway process, started as the deploy file says, with settings like those of a small deployment. */
class gateway
{
      public:
	gateway(const std::string &name, const std::string &ip, const std::string &zone);
	~gateway();
	gateway(const gateway &) = delete;
	gateway &operator=(const gateway &) = delete;
	void start(int store_port);
	void send_signal(int number) const;
	/** Whether its readiness address answers 200. */
	bool is_ready() const;
	bool runs();
	/** Sends SIGKILL and waits for the end. */
	void kill();

	std::string name;
	std::string ip;

      private:
	std::string zone;
	pid_t pid = -1;
};

/** Chooses the ports that all gateways use, each at its own address, and the program and the folders to use. */
bool setup(int argc, char **argv);
extern int front_port;
/** Whether the disruption of the case is to be brought about: unless TROUBLE is 0. */
bool with_trouble();
/** Waits until all gateways are ready; false after 15 s. */
bool wait_ready(const std::vector<std::unique_ptr<gateway>> &gateways);

/** One attempt of a consumer, on a new connection; status 0: no complete answer. */
struct attempt {
	std::string id;
	std::string method = "POST";
	std::string host = "shop.example";
	std::string path;
	std::string key;
	int deadline_ms = 3000;
	std::string body;
	std::string more_fields;
};
std::string new_attempt_id();
message send(const gateway &to, const attempt &request);

std::string base64_encode(const std::string &bytes);
std::string base64_decode(const std::string &text);

} // namespace stand

#endif
