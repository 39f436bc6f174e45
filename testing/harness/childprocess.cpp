#include "harness/childprocess.h"

#include "harness/poll.h"
#include "ports/httpclient.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstring>
#include <string_view>

namespace Catkin
{

namespace
{

constexpr auto listeningPrefix = std::string_view{"listening "};
constexpr auto exitPollInterval = Millis{5};
constexpr auto controlTimeout = Millis{10000};
constexpr auto historyBytes = std::size_t{256} << 20U;

struct Pipe
{
    int readEnd = -1;
    int writeEnd = -1;
};

/// The ends are close-on-exec: a child that inherited another child's input would keep it open.
auto makePipe(Pipe &out) -> bool
{
    auto fds = std::array<int, 2>{};
    if (pipe2(fds.data(), O_CLOEXEC) != 0) {
        return false;
    }
    out = {.readEnd = fds[0], .writeEnd = fds[1]};
    return true;
}

auto spawn(const std::vector<std::string> &command, const std::string &errorFile, int input, int output, pid_t &pid) -> int
{
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, input, STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    if (!errorFile.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    auto argv = std::vector<char *>{};
    for (const auto &it : command) {
        argv.push_back(const_cast<char *>(it.c_str()));
    }
    argv.push_back(nullptr);
    const auto ec = posix_spawn(&pid, command.front().c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return ec;
}

}

auto ChildProcess::start(const std::vector<std::string> &command, const std::string &errorFile) -> Result<std::unique_ptr<ChildProcess>>
{
    auto input = Pipe{};
    auto output = Pipe{};
    if (command.empty() || !makePipe(input) || !makePipe(output)) {
        return failure(ErrorCode::Internal, "no command, or no pipe for the child process");
    }
    auto child = std::unique_ptr<ChildProcess>(new ChildProcess);
    const auto ec = spawn(command, errorFile, input.readEnd, output.writeEnd, child->m_pid);
    close(input.readEnd);
    close(output.writeEnd);
    child->m_input = input.writeEnd;
    child->m_output = output.readEnd;
    if (ec != 0) {
        child->m_pid = -1;
        return failure(ErrorCode::Internal, command.front() + " cannot be started: " + std::strerror(ec));
    }
    return child;
}

ChildProcess::~ChildProcess()
{
    closeInput();
    if (m_output >= 0) {
        close(m_output);
    }
    if (m_pid > 0 && !m_exit) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

auto ChildProcess::readLine(Millis timeout) -> Result<std::string>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (auto end = m_buf.find('\n'); end == std::string::npos; end = m_buf.find('\n')) {
        const auto left = std::chrono::duration_cast<Millis>(deadline - std::chrono::steady_clock::now());
        auto fds = pollfd{.fd = m_output, .events = POLLIN, .revents = 0};
        if (left.count() <= 0 || ::poll(&fds, 1, static_cast<int>(left.count())) == 0) {
            return failure(ErrorCode::Timeout, "no line from the child process in time");
        }
        auto chunk = std::array<char, 1024>{};
        const auto n = read(m_output, chunk.data(), chunk.size());
        if (n <= 0) {
            return failure(ErrorCode::Unavailable, "the child process has closed its output");
        }
        m_buf.append(chunk.data(), static_cast<std::size_t>(n));
    }
    const auto end = m_buf.find('\n');
    auto line = m_buf.substr(0, end);
    m_buf.erase(0, end + 1);
    return line;
}

auto ChildProcess::waitListening(Millis timeout) -> Result<int>
{
    auto line = readLine(timeout);
    if (!line) {
        return line.error();
    }
    const auto &text = line.value();
    if (text.rfind(listeningPrefix, 0) != 0) {
        return failure(ErrorCode::Protocol, "the child process wrote '" + text + "'");
    }
    const auto *const end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data() + listeningPrefix.size(), end, m_port);
    if (ec != std::errc{} || ptr != end) {
        return failure(ErrorCode::Protocol, "the child process wrote '" + text + "'");
    }
    return m_port;
}

auto ChildProcess::port() const -> int
{
    return m_port;
}

auto ChildProcess::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_port);
}

auto ChildProcess::signal(int number) -> void
{
    // A process that has been waited for may have passed its id on to another process.
    if (m_pid > 0 && !m_exit) {
        kill(m_pid, number);
    }
}

auto ChildProcess::closeInput() -> void
{
    if (m_input >= 0) {
        close(m_input);
        m_input = -1;
    }
}

auto ChildProcess::waitExit(Millis timeout) -> std::optional<int>
{
    const auto tries = static_cast<int>(timeout / exitPollInterval) + 1;
    eventually(
        [&] {
            auto status = 0;
            if (!m_exit && waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_exit = status;
            }
            return m_exit.has_value();
        },
        {.tries = tries, .interval = exitPollInterval});
    return m_exit;
}

auto ChildProcess::pid() const -> pid_t
{
    return m_pid;
}

auto binaryPath(const std::string &name) -> std::string
{
    return std::string(CATKIN_BINARY_DIR) + "/" + name;
}

auto startStandin(const std::string &name, const std::vector<std::string> &arguments) -> Result<std::unique_ptr<ChildProcess>>
{
    auto command = std::vector<std::string>{binaryPath(name), "--port", "0", "--exit-on-eof"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    auto child = ChildProcess::start(command);
    if (child) {
        const auto port = child.value()->waitListening();
        if (!port) {
            return port.error();
        }
    }
    return child;
}

auto control(const ChildProcess &standin, const std::string &json) -> Result<void>
{
    const auto reply = httpExchange({.address = standin.address(), .method = "POST", .path = "/control", .body = json, .timeout = controlTimeout});
    if (!reply) {
        return reply.error();
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::InvalidInput, "control: " + reply.value().body);
    }
    return success();
}

auto readControl(const ChildProcess &standin, const std::string &path) -> Result<std::string>
{
    auto reply = httpExchange({.address = standin.address(), .method = "GET", .path = "/control/" + path, .timeout = controlTimeout, .maxBody = historyBytes});
    if (!reply) {
        return reply.error();
    }
    return std::move(reply.value().body);
}

auto fetchHistory(const ChildProcess &standin) -> Result<std::string>
{
    return readControl(standin, "history");
}

}
