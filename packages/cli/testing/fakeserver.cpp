#include "cli/testing/fakeserver.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>

namespace Catkin::Cli
{

struct FakeServer::State
{
    httplib::Server server;
    int port = 0;
    std::mutex mutex;
    std::vector<FakeReply> script;
    std::vector<FakeCall> calls;

    auto handle(const httplib::Request &request, httplib::Response &response) -> void
    {
        const auto guard = std::lock_guard(mutex);
        const auto &reply = script.at(std::min(calls.size(), script.size() - 1));
        calls.push_back({request.method, request.target, request.body, request.get_header_value("Authorization")});
        response.status = reply.status;
        if (reply.broken) {
            response.set_content_provider(1000, "application/json", [](size_t, size_t, httplib::DataSink &) { return false; });
        } else {
            response.set_content(reply.body, "application/json");
        }
    }
};

FakeServer::FakeServer(std::vector<FakeReply> script)
    : m_state(std::make_unique<State>())
{
    m_state->script = std::move(script);
    const auto handler = [state = m_state.get()](const httplib::Request &request, httplib::Response &response) { state->handle(request, response); };
    m_state->server.Get(".*", handler).Post(".*", handler).Put(".*", handler).Delete(".*", handler);
    m_state->port = m_state->server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([state = m_state.get()] { state->server.listen_after_bind(); });
    while (!m_state->server.is_running()) {
        std::this_thread::yield(); // stop() has no effect before the server runs
    }
}

FakeServer::~FakeServer()
{
    m_state->server.stop();
    m_thread.join();
}

auto FakeServer::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_state->port);
}

auto FakeServer::calls() const -> std::vector<FakeCall>
{
    const auto guard = std::lock_guard(m_state->mutex);
    return m_state->calls;
}

}
