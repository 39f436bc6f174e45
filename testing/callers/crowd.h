#pragma once

/// Many connections of misbehaving callers, all served by one thread.
///
/// @code
///   auto crowd = Catkin::Crowd{{.ip = "127.0.0.1", .port = 8521}};
///   crowd.add(240, {.text = request, .slowFrom = 100});
///   crowd.begin();
/// @endcode
///
/// The connections stay open until the crowd is destroyed, unless the peer closes them; none is opened again.

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Catkin
{

struct CrowdAddress
{
    std::string ip;
    int port = 0;
};

/// What one caller sends, and how.
struct CallerPattern
{
    std::shared_ptr<const std::string> text; ///< the caller sends nothing after it and keeps the connection open
    std::size_t piece = std::size_t{64} << 10U; ///< bytes sent at most in one turn
    std::size_t slowFrom = std::string::npos; ///< from this offset on one byte is sent every slowInterval
    bool readsSlowly = false; ///< reads one byte every slowInterval; otherwise nothing is read
    std::size_t repeats = 1; ///< how often the text is sent
};

class Crowd
{
public:
    explicit Crowd(CrowdAddress address);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    auto operator=(const Crowd &) -> Crowd & = delete;

    /// Adds callers; only before begin().
    auto add(int callers, const CallerPattern &pattern) -> void;
    /// Connects and sends until the crowd is destroyed.
    auto begin() -> void;
    /// @return callers whose connection was opened and not closed by the peer.
    [[nodiscard]] auto open() const -> int;
    /// @return bytes that all callers have sent.
    [[nodiscard]] auto sent() const -> std::size_t;

private:
    struct Caller
    {
        CallerPattern pattern;
        int fd = -1;
        std::size_t sent = 0;
        bool isClosed = false;
    };

    auto run() -> void;
    auto connect(Caller &caller) const -> void;
    auto turn(Caller &caller, bool isSlowTurn) -> void;

    CrowdAddress m_address;
    std::vector<Caller> m_callers;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_open{0};
    std::atomic<std::size_t> m_sent{0};
    std::thread m_thread;
};

}
