#pragma once

/// A kept-alive HTTP connection to one address, for callers that make many exchanges with the same peer.
///
/// @code
///   auto channel = Catkin::HttpChannel{"10.0.0.7:8524"};
///   auto reply = channel.exchange({.method = "GET", .path = "/v1/items", .timeout = Catkin::Millis{500}});
/// @endcode
///
/// One thread at a time. A failed exchange closes the connection, since an answer that is still under way could
/// otherwise be taken for that of the next exchange; the next call opens a new one.

#include "ports/httpclient.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Catkin
{

class HttpChannel
{
public:
    explicit HttpChannel(std::string address);
    ~HttpChannel();
    HttpChannel(const HttpChannel &) = delete;
    auto operator=(const HttpChannel &) -> HttpChannel & = delete;

    /// @param call its address and TLS settings are not used
    /// @return the reply whatever its status, or an error as httpExchange() has it.
    auto exchange(const HttpCall &call) -> Result<HttpReply>;

    /// Breaks an exchange that another thread is waiting in. May be called from any thread.
    auto interrupt() -> void;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// A few channels to one address, shared by any number of threads; each exchange takes an idle one.
class HttpChannelPool
{
public:
    explicit HttpChannelPool(std::string address);
    ~HttpChannelPool();
    HttpChannelPool(const HttpChannelPool &) = delete;
    auto operator=(const HttpChannelPool &) -> HttpChannelPool & = delete;

    /// @return as HttpChannel::exchange().
    auto exchange(const HttpCall &call) -> Result<HttpReply>;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
