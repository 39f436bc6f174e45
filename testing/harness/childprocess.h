#pragma once

/// A child process of a test, addressed by its process id only.
///
/// @code
///   auto worker = Catkin::ChildProcess::start({Catkin::binaryPath("worker_standin"), "--exit-on-eof"});
///   auto port = worker.value()->waitListening();
///   worker.value()->signal(SIGSTOP);
/// @endcode
///
/// The destructor kills the process and waits for it. The child's standard input is a pipe that closes when the test
/// ends, however it ends; children started with --exit-on-eof then exit as well.

#include "util/outcome.h"
#include "util/units.h"

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

class ChildProcess
{
public:
    /// @param command path of the program and its arguments
    /// @param errorFile file that gets standard error; empty to inherit it
    /// @return the process; ErrorCode::Internal when it could not be started
    static auto start(const std::vector<std::string> &command, const std::string &errorFile = {}) -> Result<std::unique_ptr<ChildProcess>>;

    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    /// Reads the next line of standard output.
    /// @return the line without its end; ErrorCode::Timeout, or ErrorCode::Unavailable at the end of the output
    auto readLine(Millis timeout) -> Result<std::string>;

    /// Waits for the line `listening <port>`.
    /// @return the port; the errors of readLine, and ErrorCode::Protocol for another line
    auto waitListening(Millis timeout = Millis{10000}) -> Result<int>;

    /// @return the port found by waitListening.
    [[nodiscard]] auto port() const -> int;
    /// @return "127.0.0.1:" and the port found by waitListening.
    [[nodiscard]] auto address() const -> std::string;

    /// Sends a signal; does nothing once the process has ended.
    auto signal(int number) -> void;

    /// Closes the child's standard input.
    auto closeInput() -> void;

    /// @return the wait status as of waitpid(2); nothing when the process still runs after @p timeout
    auto waitExit(Millis timeout) -> std::optional<int>;

    [[nodiscard]] auto pid() const -> pid_t;

private:
    ChildProcess() = default;

    pid_t m_pid = -1;
    int m_input = -1;
    int m_output = -1;
    int m_port = 0;
    std::string m_buf;
    std::optional<int> m_exit;
};

/// @return the path of a program of this build.
auto binaryPath(const std::string &name) -> std::string;

/// Starts a stand-in on a free port and waits until it listens.
/// @param name "platform_standin", "executor_standin" or "worker_standin"
/// @param arguments further options
/// @return the process; the errors of ChildProcess
auto startStandin(const std::string &name, const std::vector<std::string> &arguments = {}) -> Result<std::unique_ptr<ChildProcess>>;

/// Sends a JSON object to `POST /control` of a stand-in.
/// @return success, or an error with the stand-in's explanation
auto control(const ChildProcess &standin, const std::string &json) -> Result<void>;

/// @return the JSON text of `GET /control/history` of a stand-in.
auto fetchHistory(const ChildProcess &standin) -> Result<std::string>;

/// @param path below /control, such as "traffic"
/// @return the JSON text of a path that stand-ins offer for reading.
auto readControl(const ChildProcess &standin, const std::string &path) -> Result<std::string>;

}
