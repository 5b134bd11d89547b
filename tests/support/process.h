/**
 * @file process.h
 * Starts the project's programs for process tests and kills them when the test ends.
 */
#ifndef TESTS_SUPPORT_PROCESS_H
#define TESTS_SUPPORT_PROCESS_H

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace support
{

/** How a process ended. */
struct process_end {
	bool ended = false; /**< false: it still ran when the wait's timeout passed */
	int exit_code = -1; /**< -1 if a signal ended it */
	int signal = 0; /**< 0 if it exited */
};

/**
 * One child process. The kernel kills it when the test's process ends; the destructor kills and reaps
 * it. Its standard output is collected line by line; its standard error goes to the test's standard error,
 * or is appended to the file @p error_path.
 */
class process
{
      public:
	/** Starts WHARF_BIN_DIR/@p program. */
	process(const std::string &program, const std::vector<std::string> &arguments,
		const std::string &error_path = "");
	~process();
	process(const process &) = delete;
	process &operator=(const process &) = delete;

	/** Waits for a line of standard output that begins with @p prefix and returns the rest of it;
	 * empty if the process ended or @p timeout_ms passed first. */
	std::string wait_line(const std::string &prefix, int timeout_ms = 10000);

	/** Waits for "listening IP:PORT" and returns the port; 0 on failure. */
	uint16_t wait_listening(int timeout_ms = 10000);

	/** All lines received from standard output so far. */
	std::vector<std::string> lines();

	/** Sends a signal; does nothing once the process has been reaped. */
	void signal(int number);

	/** Waits until the process ends and its output is read; a repeated call returns the same
	 * result. */
	process_end wait(int timeout_ms = 10000);

	/** Sends SIGTERM, then calls wait(). */
	process_end terminate(int timeout_ms = 10000);

	/** Sends SIGKILL, then calls wait(). */
	process_end kill();

	pid_t pid() const
	{
		return pid_;
	}

      private:
	void read_output();

	pid_t pid_ = -1;
	int output_ = -1;
	process_end end_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::vector<std::string> lines_;
	bool output_ended_ = false;
	std::thread reader_;
};

/** Polls until @p condition holds; false if @p timeout_ms passes first. */
bool wait_until(const std::function<bool()> &condition, int timeout_ms = 10000);

} // namespace support

#endif
