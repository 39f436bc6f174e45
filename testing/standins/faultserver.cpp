#include "standins/faultserver.h"

#include "standins/socketstream.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <set>
#include <stdexcept>
#include <thread>

namespace Catkin
{

namespace
{

using nlohmann::json;

/// Connections kept open by "silent"; the oldest is closed when there are more.
constexpr auto maxHeld = std::size_t{256};
constexpr auto listenBacklog = 256;
constexpr auto maxHistory = std::size_t{1} << 20U;

/// Faults that a stand-in may have beside its own control keys, and the value that turns each off.
const auto faultKeys = std::set<std::string>{
    "down",
    "slow_ms",
    "late_ms",
    "lose_answer",
    "silent",
    "refuse",
    "status",
    "body",
    "oversize_bytes",
    "truncate",
    "trickle_ms",
    "cross",
    "cross_body",
    "shorten",
};

/// Faults of the request that this thread serves.
thread_local auto currentFaults = json{};
thread_local auto currentFate = AnswerFate{};

/// Exchanges of one service route with one status.
struct Traffic
{
    std::int64_t exchanges = 0;
    std::size_t received = 0;
    std::size_t sent = 0;
};

auto trafficMutex = std::mutex{};
auto trafficTable = std::map<std::string, Traffic>{}; ///< of all servers of the process

/// Method, path and status of the request that this thread serves; empty outside service routes.
thread_local auto currentRoute = std::string{};

/// Counts an exchange before its answer goes out, so that whoever has the answer finds it counted.
auto countExchange(const SocketStream &stream) -> void
{
    if (currentRoute.empty()) {
        return;
    }
    const auto lock = std::lock_guard{trafficMutex};
    auto &entry = trafficTable[currentRoute];
    ++entry.exchanges;
    entry.received += stream.received();
}

auto countSent(const SocketStream &stream) -> void
{
    if (!currentRoute.empty()) {
        const auto lock = std::lock_guard{trafficMutex};
        trafficTable[currentRoute].sent += stream.sent();
    }
}

auto trafficText() -> std::string
{
    auto out = json::object();
    const auto lock = std::lock_guard{trafficMutex};
    for (const auto &[route, it] : trafficTable) {
        out[route] = {{"exchanges", it.exchanges}, {"received", it.received}, {"sent", it.sent}};
    }
    return out.dump();
}

auto isOn(const json &faults, const char *key) -> bool
{
    const auto it = faults.find(key);
    return it != faults.end() && !it->is_null() && *it != false && *it != 0;
}

auto millis(const json &faults, const char *key) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds{isOn(faults, key) ? faults[key].get<std::int64_t>() : 0};
}

extern "C" void exitAtOnce(int)
{
    _exit(0);
}

auto exitAtEndOfInput() -> void
{
    std::thread([] {
        auto buf = std::array<char, 256>{};
        while (read(STDIN_FILENO, buf.data(), buf.size()) > 0) { }
        _exit(0);
    }).detach();
}

}

/// Listener that hands each connection's answer to the fate that the handler chose.
class FaultServer::Listener : public httplib::Server
{
public:
    [[nodiscard]] auto connections() const -> int
    {
        return m_connections;
    }

    /// The library listens with a backlog of 5; connections beyond it would wait a second for a repeated SYN.
    auto enlargeBacklog() -> void
    {
        ::listen(svr_sock_, listenBacklog);
    }

private:
    auto process_and_close_socket(socket_t sock) -> bool override
    {
        ++m_connections;
        currentFate = {};
        currentRoute.clear();
        auto stream = SocketStream{sock};
        auto closed = false;
        const auto ok = process_request(stream, true, closed, nullptr);
        countExchange(stream);
        stream.flush(currentFate);
        countSent(stream);
        if (currentFate.hold) {
            hold(sock);
        } else {
            ::shutdown(sock, SHUT_RDWR);
            ::close(sock);
        }
        --m_connections;
        return ok;
    }

    auto hold(socket_t sock) -> void
    {
        const auto lock = std::lock_guard{m_mutex};
        m_held.push_back(sock);
        if (m_held.size() > maxHeld) {
            ::close(m_held.front());
            m_held.pop_front();
        }
    }

    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::deque<socket_t> m_held;
};

auto monotonicMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

auto badRequest(httplib::Response &res, const std::string &text) -> void
{
    res.status = 400;
    res.set_content(json{{"error", text}}.dump(), "application/json");
}

auto unchanged(const std::string &tag, const httplib::Request &req, httplib::Response &res) -> bool
{
    const auto header = "W/\"" + tag + "\"";
    res.set_header("ETag", header);
    if (req.get_header_value("If-None-Match") != header) {
        return false;
    }
    res.status = 304;
    return true;
}

FaultServer::FaultServer(std::size_t threads)
    : m_listener(std::make_unique<Listener>())
    , m_refuse([](const httplib::Request &, httplib::Response &res) { res.status = 503; })
{
    m_listener->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    m_listener->set_payload_max_length(std::size_t{16} << 20U);
    m_listener->Post("/control", [this](const httplib::Request &req, httplib::Response &res) { control(req, res); });
    onControlRead("traffic", trafficText);
    m_listener->Get("/control/history", [this](const httplib::Request &, httplib::Response &res) { history(res); });
}

FaultServer::~FaultServer() = default;

auto FaultServer::route(const std::string &method, const std::string &pattern, Handler handler) -> void
{
    auto wrapped = [this, handler = std::move(handler)](const httplib::Request &req, httplib::Response &res) { handle(handler, req, res); };
    if (method == "GET") {
        m_listener->Get(pattern, std::move(wrapped));
    } else {
        m_listener->Post(pattern, std::move(wrapped));
    }
}

auto FaultServer::onControl(const std::string &key, Control control) -> void
{
    m_controls[key] = std::move(control);
}

auto FaultServer::onRefuse(Handler handler) -> void
{
    m_refuse = std::move(handler);
}

auto FaultServer::beforeHistory(std::function<void()> prepare) -> void
{
    m_prepare = std::move(prepare);
}

auto FaultServer::connections() const -> int
{
    return m_listener->connections();
}

auto FaultServer::fault(const std::string &key) const -> json
{
    return isOn(currentFaults, key.c_str()) ? currentFaults[key] : json{};
}

auto FaultServer::record(json event) -> void
{
    if (!event.contains("time_ms")) {
        event["time_ms"] = monotonicMs();
    }
    const auto lock = std::lock_guard{m_mutex};
    if (m_historyFile.is_open()) {
        m_historyFile << event.dump(-1, ' ', false, json::error_handler_t::replace) << std::endl;
    }
    m_history.push_back(std::move(event));
    if (m_history.size() > maxHistory) {
        m_history.pop_front();
    }
}

auto FaultServer::takeFaults(const httplib::Request &req) -> json
{
    const auto lock = std::lock_guard{m_mutex};
    if (m_faults.contains("only") && (req.method + " " + req.path).find(m_faults["only"].get<std::string>()) == std::string::npos) {
        return json::object();
    }
    auto taken = m_faults;
    if (m_faults.contains("times")) {
        const auto left = m_faults["times"].get<int>() - 1;
        if (left > 0) {
            m_faults["times"] = left;
        } else {
            m_faults = json::object();
        }
    }
    return taken;
}

auto FaultServer::handle(const Handler &handler, const httplib::Request &req, httplib::Response &res) -> void
{
    currentFaults = takeFaults(req);
    currentRoute = req.method + " " + req.path;
    const auto &faults = currentFaults;
    std::this_thread::sleep_for(millis(faults, "slow_ms"));
    const auto losesAnswer = isOn(faults, "lose_answer");
    currentFate.hold = isOn(faults, "silent");
    currentFate.close = !currentFate.hold && (losesAnswer || isOn(faults, "down"));
    currentFate.truncate = isOn(faults, "truncate");
    currentFate.trickle = millis(faults, "trickle_ms");
    if ((currentFate.hold && !losesAnswer) || isOn(faults, "down")) {
        return;
    }
    if (isOn(faults, "refuse")) {
        m_refuse(req, res);
        res.status = isOn(faults, "status") ? faults["status"].get<int>() : res.status;
        return;
    }
    handler(req, res);
    std::this_thread::sleep_for(millis(faults, "late_ms"));
    if (isOn(faults, "status")) {
        res.status = faults["status"].get<int>();
    }
    if (faults.contains("body")) {
        res.body = faults["body"].get<std::string>();
    }
    if (isOn(faults, "oversize_bytes")) {
        res.body.append(faults["oversize_bytes"].get<std::size_t>(), ' ');
    }
    currentRoute += " " + std::to_string(res.status == -1 ? 200 : res.status);
}

auto FaultServer::applyControl(const std::string &key, const json &value) -> void
{
    const auto own = m_controls.find(key);
    if (own != m_controls.end()) {
        own->second(value);
        return;
    }
    const auto lock = std::lock_guard{m_mutex};
    if (key == "reset") {
        m_faults = json::object();
    } else if (key == "times") {
        m_faults[key] = value.get<int>();
    } else if (key == "only" || key == "body") {
        m_faults[key] = value.get<std::string>();
    } else if (faultKeys.count(key) == 0) {
        throw std::invalid_argument("unknown key '" + key + "'");
    } else if (!value.is_boolean() && !value.is_number_unsigned()) {
        throw std::invalid_argument("'" + key + "' is neither a boolean nor a number from 0");
    } else {
        m_faults[key] = value;
    }
}

auto FaultServer::control(const httplib::Request &req, httplib::Response &res) -> void
{
    const auto body = json::parse(req.body, nullptr, false);
    if (!body.is_object()) {
        badRequest(res, "the body is not a JSON object");
        return;
    }
    try {
        // "reset" comes first, so that one call can replace all faults.
        if (body.contains("reset")) {
            applyControl("reset", body["reset"]);
        }
        for (const auto &[key, value] : body.items()) {
            if (key != "reset") {
                applyControl(key, value);
            }
        }
        res.set_content("{}", "application/json");
    } catch (const std::exception &e) {
        badRequest(res, e.what());
    }
}

auto FaultServer::history(httplib::Response &res) -> void
{
    if (m_prepare) {
        m_prepare();
    }
    const auto lock = std::lock_guard{m_mutex};
    const auto events = json{{"now_ms", monotonicMs()}, {"events", m_history}};
    res.set_content(events.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

auto FaultServer::onControlRead(const std::string &path, std::function<std::string()> text) -> void
{
    m_listener->Get("/control/" + path,
                    [text = std::move(text)](const httplib::Request &, httplib::Response &res) { res.set_content(text(), "application/json"); });
}

auto FaultServer::bind(const FaultServerOptions &options) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, exitAtOnce);
    if (!options.historyFile.empty()) {
        m_historyFile.open(options.historyFile, std::ios::app);
    }
    auto port = options.port;
    if (port == 0) {
        port = m_listener->bind_to_any_port("127.0.0.1");
    } else if (!m_listener->bind_to_port("127.0.0.1", port)) {
        port = -1;
    }
    if (port <= 0) {
        std::fprintf(stderr, "cannot bind port %d\n", options.port);
        return port;
    }
    m_listener->enlargeBacklog();
    m_port = port;
    return port;
}

auto FaultServer::serve() -> void
{
    m_listener->listen_after_bind();
}

auto FaultServer::start(const FaultServerOptions &options) -> int
{
    if (options.exitOnEof) {
        exitAtEndOfInput();
    }
    std::printf("listening %d\n", m_port);
    std::fflush(stdout);
    serve();
    return 0;
}

auto FaultServer::run(const FaultServerOptions &options) -> int
{
    return bind(options) <= 0 ? 1 : start(options);
}

}
