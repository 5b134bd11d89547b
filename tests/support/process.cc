#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace support
{

using steady = std::chrono::steady_clock;

static constexpr int EXEC_FAILED = 127;
static constexpr int POLL_PERIOD_US = 1000;

[[noreturn]] static void run_child(const char *path, char *const *arguments, int output,
				   const char *error_path, pid_t parent)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(EXEC_FAILED);
	dup2(output, STDOUT_FILENO);
	if (*error_path) {
		int fd = open(error_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

		if (fd >= 0)
			dup2(fd, STDERR_FILENO);
	}
	execv(path, arguments);
	_exit(EXEC_FAILED);
}

process::process(const std::string &program, const std::vector<std::string> &arguments,
		 const std::string &error_path)
{
	std::string path = std::string(WHARF_BIN_DIR) + "/" + program;
	std::vector<char *> argv{ const_cast<char *>(path.c_str()) };
	pid_t parent = getpid();
	int ends[2];

	for (const std::string &argument : arguments)
		argv.push_back(const_cast<char *>(argument.c_str()));
	argv.push_back(nullptr);
	if (pipe2(ends, O_CLOEXEC) != 0)
		throw std::runtime_error("cannot create a pipe for " + program);
	pid_ = fork();
	if (pid_ == 0)
		run_child(path.c_str(), argv.data(), ends[1], error_path.c_str(), parent);
	close(ends[1]);
	output_ = ends[0];
	if (pid_ < 0) {
		close(output_);
		throw std::runtime_error("cannot start a process for " + program);
	}
	reader_ = std::thread([this] { read_output(); });
}

process::~process()
{
	kill();
	reader_.join();
	close(output_);
}

void process::read_output()
{
	std::string partial;
	char buffer[4096];
	ssize_t got;

	while ((got = read(output_, buffer, sizeof(buffer))) > 0) {
		partial.append(buffer, static_cast<size_t>(got));
		std::lock_guard<std::mutex> guard(mutex_);
		for (size_t end; (end = partial.find('\n')) != std::string::npos;) {
			lines_.push_back(partial.substr(0, end));
			partial.erase(0, end + 1);
		}
		changed_.notify_all();
	}
	std::lock_guard<std::mutex> guard(mutex_);
	output_ended_ = true;
	changed_.notify_all();
}

std::string process::wait_line(const std::string &prefix, int timeout_ms)
{
	steady::time_point deadline = steady::now() + std::chrono::milliseconds(timeout_ms);
	std::unique_lock<std::mutex> lock(mutex_);
	size_t next = 0;

	for (;;) {
		for (; next < lines_.size(); next++)
			if (lines_[next].compare(0, prefix.size(), prefix) == 0)
				return lines_[next].substr(prefix.size());
		if (output_ended_)
			return "";
		if (changed_.wait_until(lock, deadline) == std::cv_status::timeout)
			return "";
	}
}

uint16_t process::wait_listening(int timeout_ms)
{
	std::string address = wait_line("listening ", timeout_ms);
	size_t colon = address.rfind(':');

	if (colon == std::string::npos)
		return 0;
	return static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
}

std::vector<std::string> process::lines()
{
	std::lock_guard<std::mutex> guard(mutex_);

	return lines_;
}

void process::signal(int number)
{
	if (!end_.ended)
		::kill(pid_, number);
}

process_end process::wait(int timeout_ms)
{
	steady::time_point deadline = steady::now() + std::chrono::milliseconds(timeout_ms);
	int status = 0;

	while (!end_.ended) {
		pid_t got = waitpid(pid_, &status, WNOHANG);

		if (got == pid_) {
			end_.ended = true;
			if (WIFEXITED(status))
				end_.exit_code = WEXITSTATUS(status);
			else
				end_.signal = WTERMSIG(status);
		} else if (got < 0 || steady::now() >= deadline) {
			break;
		} else {
			usleep(POLL_PERIOD_US);
		}
	}
	/* The last output of the ended process may still be in the pipe. */
	if (end_.ended) {
		std::unique_lock<std::mutex> guard(mutex_);

		changed_.wait_until(guard, deadline, [this] { return output_ended_; });
	}
	return end_;
}

process_end process::terminate(int timeout_ms)
{
	signal(SIGTERM);
	return wait(timeout_ms);
}

process_end process::kill()
{
	signal(SIGKILL);
	return wait();
}

bool wait_until(const std::function<bool()> &condition, int timeout_ms)
{
	steady::time_point deadline = steady::now() + std::chrono::milliseconds(timeout_ms);

	while (!condition()) {
		if (steady::now() >= deadline)
			return false;
		usleep(POLL_PERIOD_US);
	}
	return true;
}

} // namespace support
