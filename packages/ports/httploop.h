#pragma once

/// HTTP/1.1 exchanges over many kept connections, all served by one thread.
///
/// @code
///   auto loop = Catkin::HttpLoop{"worker-calls"};
///   loop.post([&] {
///       channel = loop.open("10.0.0.7:8524");
///       channel.exchange({.method = "GET", .path = "/v1/items", .timeout = Catkin::Millis{500}},
///                        [](Catkin::Result<Catkin::HttpReply> reply) { ... });
///   });
///   loop.stop();
/// @endcode
///
/// A connection costs a socket and a few hundred bytes, no thread. Everything but the constructor, post(), postAfter() and stop() belongs
/// to the loop's thread, and so do all callbacks; they must not block.

#include "ports/httpclient.h"

#include <functional>
#include <memory>
#include <string>

namespace Catkin
{

/// A kept connection to one address; it is opened by the first exchange and after each that failed. One exchange at a time.
class HttpLoopChannel
{
public:
    using Callback = std::function<void(Result<HttpReply>)>;

    /// Begins an exchange.
    /// @param call its address and TLS settings are not used
    /// @param callback is called exactly once with the reply whatever its status, or an error as httpExchange() has it, unless close()
    /// or HttpLoop::stop() comes before
    auto exchange(const HttpCall &call, Callback callback) -> void;

    /// Drops the connection and the exchange under way, whose callback is not called.
    auto close() -> void;

    struct Impl;

private:
    friend class HttpLoop;
    std::shared_ptr<Impl> m_impl;
};

class HttpLoop
{
public:
    /// Starts the thread.
    /// @param name of the thread; a literal
    explicit HttpLoop(const char *name);
    ~HttpLoop();
    HttpLoop(const HttpLoop &) = delete;
    auto operator=(const HttpLoop &) -> HttpLoop & = delete;

    /// @return a channel that does not connect yet.
    auto open(const std::string &address) -> HttpLoopChannel;

    /// Runs @p task on the loop's thread; any thread may call. Dropped after stop().
    auto post(std::function<void()> task) -> void;
    /// Like post(), not before @p delay has passed.
    auto postAfter(Millis delay, std::function<void()> task) -> void;

    /// Drops every connection and waiting task and ends the thread; not to be called from it.
    auto stop() -> void;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
