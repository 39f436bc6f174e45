#include "lateproxy.h"

namespace Catkin::Review
{

namespace
{

constexpr auto address = "127.0.0.1";
constexpr auto threads = std::size_t{12};
constexpr auto startPath = "/v1/run-start";
constexpr auto type = "application/json";
constexpr auto readSeconds = 5;

/// Closes the connection without a whole answer.
auto breakOff(httplib::Response &response) -> void
{
    response.set_content_provider(1, type, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

}

LateProxy::LateProxy(int targetPort)
    : m_target(targetPort)
{
    m_server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
    m_server.set_keep_alive_timeout(1);
    m_server.Post(".*", [this](const httplib::Request &request, httplib::Response &response) { pass(request, response); });
    m_port = m_server.bind_to_any_port(address);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

LateProxy::~LateProxy()
{
    m_server.stop();
    m_thread.join();
}

auto LateProxy::port() const -> int
{
    return m_port;
}

auto LateProxy::keepStarts(bool isKept) -> void
{
    m_isKept = isKept;
}

auto LateProxy::kept() -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return m_orders.size();
}

auto LateProxy::pass(const httplib::Request &request, httplib::Response &response) -> void
{
    if (m_isKept && request.path == startPath) {
        const auto lock = std::lock_guard{m_mutex};
        m_orders.push_back({.body = request.body, .arrivedAt = std::chrono::steady_clock::now()});
        breakOff(response);
        return;
    }
    auto client = httplib::Client{address, m_target};
    client.set_read_timeout(readSeconds, 0);
    const auto reply = client.Post(request.path, request.body, type);
    if (!reply) {
        breakOff(response);
        return;
    }
    response.status = reply->status;
    response.set_content(reply->body, type);
}

auto LateProxy::deliver() -> std::vector<long>
{
    const auto lock = std::lock_guard{m_mutex};
    auto out = std::vector<long>{};
    for (const auto &it : m_orders) {
        auto client = httplib::Client{address, m_target};
        (void)client.Post(startPath, it.body, type);
        out.push_back(static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - it.arrivedAt).count()));
    }
    m_orders.clear();
    return out;
}

}
