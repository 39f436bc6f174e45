#pragma once

/// HTTP server of the stand-ins: service routes with fault switches, a control path and a history.
///
/// @code
///   auto server = Catkin::FaultServer{16};
///   server.route("GET", "/v1/health", [](const httplib::Request &, httplib::Response &res) { res.set_content("{}", "application/json"); });
///   server.onControl("leaving", [&](const nlohmann::json &value) { leaving = value.get<bool>(); });
///   return server.run({.port = 0});
/// @endcode
///
/// `POST /control` takes a JSON object; docs/standins.md lists the switches. `GET /control/history` returns the
/// recorded events, `GET /control/traffic` the bytes of the service routes, summed over all servers of the process. Faults apply to service routes only, so a
/// faulty stand-in can always be repaired.

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Catkin
{

/// @return milliseconds of the machine's monotonic clock, comparable between processes of one machine.
auto monotonicMs() -> std::int64_t;

struct FaultServerOptions
{
    int port = 0; ///< 0 lets the operating system choose
    bool exitOnEof = false; ///< exit when standard input reaches its end
    std::string historyFile; ///< events are also appended here, one JSON object a line; empty for none
};

class FaultServer
{
public:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;
    using Control = std::function<void(const nlohmann::json &)>;

    /// @param threads size of the pool; one thread serves one connection
    explicit FaultServer(std::size_t threads);
    ~FaultServer();
    FaultServer(const FaultServer &) = delete;
    auto operator=(const FaultServer &) -> FaultServer & = delete;

    /// Adds a service route.
    /// @param method "GET" or "POST"
    /// @param pattern regular expression of the path
    auto route(const std::string &method, const std::string &pattern, Handler handler) -> void;

    /// Adds a key of `POST /control`; @p control may throw nlohmann::json::exception or std::invalid_argument for a bad value.
    auto onControl(const std::string &key, Control control) -> void;

    /// Sets what a request gets while the switch "refuse" is on; status 503 unless set.
    auto onRefuse(Handler handler) -> void;

    /// @return a per-request fault of the request that the calling thread serves; null when it is off.
    [[nodiscard]] auto fault(const std::string &key) const -> nlohmann::json;

    /// Appends an event; adds "time_ms" by monotonicMs() unless @p event has it.
    auto record(nlohmann::json event) -> void;

    /// Sets a function that runs before the history is read, to record what became due meanwhile.
    auto beforeHistory(std::function<void()> prepare) -> void;

    /// @return the number of connections being served.
    [[nodiscard]] auto connections() const -> int;

    /// Binds the port.
    /// @return the port; 0 or less when it could not be bound
    auto bind(const FaultServerOptions &options) -> int;

    /// Serves on the bound port until the process ends.
    auto serve() -> void;

    /// Prints `listening <port>` for the bound port and serves until the process ends.
    auto start(const FaultServerOptions &options) -> int;

    /// Binds and starts.
    /// @return 1 when the port could not be bound
    auto run(const FaultServerOptions &options) -> int;

    /// Adds a path below /control that answers with the JSON text that @p text returns.
    auto onControlRead(const std::string &path, std::function<std::string()> text) -> void;

private:
    class Listener;

    auto handle(const Handler &handler, const httplib::Request &req, httplib::Response &res) -> void;
    auto takeFaults(const httplib::Request &req) -> nlohmann::json;
    auto control(const httplib::Request &req, httplib::Response &res) -> void;
    auto applyControl(const std::string &key, const nlohmann::json &value) -> void;
    auto history(httplib::Response &res) -> void;

    std::unique_ptr<Listener> m_listener;
    mutable std::mutex m_mutex;
    nlohmann::json m_faults = nlohmann::json::object();
    std::map<std::string, Control> m_controls;
    std::deque<nlohmann::json> m_history;
    std::ofstream m_historyFile;
    int m_port = 0;
    std::function<void()> m_prepare;
    Handler m_refuse;
};

/// Sets the entity tag of an answer, and status 304 without a body if the request names the same tag.
/// @return whether the answer is complete with that
auto unchanged(const std::string &tag, const httplib::Request &req, httplib::Response &res) -> bool;

/// Answers with status 400 and {"error": text}.
auto badRequest(httplib::Response &res, const std::string &text) -> void;

}
