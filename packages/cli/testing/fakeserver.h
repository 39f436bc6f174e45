#pragma once

/// An entry instance that answers from a script, in the test's own process.
///
/// @code
///   auto server = FakeServer{{{.status = 503, .body = R"({"result":"not_run"})"}, {.body = R"({"result":"answer"})"}}};
///   run({"request", "-a", server.address(), ...}, env);
///   CHECK(server.calls().size() == 2);
/// @endcode

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Catkin::Cli
{

struct FakeReply
{
    int status = 200;
    std::string body = "{}";
    bool broken = false; ///< the connection ends in the middle of the answer
};

struct FakeCall
{
    std::string method;
    std::string path; ///< with its query
    std::string body;
    std::string authorization;
};

class FakeServer
{
public:
    /// @param script one reply for each call; the last one is repeated
    explicit FakeServer(std::vector<FakeReply> script);
    ~FakeServer();
    FakeServer(const FakeServer &) = delete;
    FakeServer(FakeServer &&) = delete;
    auto operator=(const FakeServer &) -> FakeServer & = delete;
    auto operator=(FakeServer &&) -> FakeServer & = delete;

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto calls() const -> std::vector<FakeCall>;

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::thread m_thread;
};

}
