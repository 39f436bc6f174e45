#pragma once

/// A server for one test that speaks TLS, answers every connection with given bytes and counts the bytes of requests.
///
/// @code
///   auto peer = Catkin::TlsPeer{certificates.issue("server", {.ip = "127.0.0.1"}), {.answer = "HTTP/1.1 200 OK\r\n\r\n"}};
///   call("https://" + peer.address());
///   CHECK(peer.requestBytes() == 0);
/// @endcode

#include "ports/tls.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace Catkin
{

struct TlsPeerOptions
{
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    bool announceEnd = true; ///< whether the end is announced before the connection is closed
    bool stall = false; ///< the connection stays open without an answer until the client closes it
};

class TlsPeer
{
public:
    TlsPeer(const TlsFiles &files, TlsPeerOptions options);
    ~TlsPeer();
    TlsPeer(const TlsPeer &) = delete;
    auto operator=(const TlsPeer &) -> TlsPeer & = delete;

    /// @return "https://127.0.0.1:" and the port.
    [[nodiscard]] auto address() const -> std::string;
    /// @return bytes of requests that were read on all connections that have ended.
    [[nodiscard]] auto requestBytes() const -> std::size_t;
    /// @return connections that have ended.
    [[nodiscard]] auto connections() const -> int;

private:
    auto run() -> void;
    auto serve(int sock) -> void;

    std::shared_ptr<TlsCredentials> m_credentials;
    TlsPeerOptions m_options;
    int m_listener;
    std::atomic<std::size_t> m_requestBytes{0};
    std::atomic<int> m_connections{0};
    std::thread m_thread;
};

}
