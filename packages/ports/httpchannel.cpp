#include "ports/httpchannel.h"

#include "ports/httprequest.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

namespace Catkin
{

namespace
{

auto toError(httplib::Error error, bool expired, bool tooLong) -> Error
{
    const auto text = httplib::to_string(error);
    if (error == httplib::Error::Connection || error == httplib::Error::BindIPAddress || error == httplib::Error::ConnectionTimeout) {
        return failure(ErrorCode::NotSent, "no connection: " + text);
    }
    if (tooLong) {
        return failure(ErrorCode::Limit, "the answer is longer than accepted");
    }
    if (expired) {
        return failure(ErrorCode::Timeout, "no complete answer in time");
    }
    return failure(ErrorCode::Unknown, "the exchange broke off: " + text);
}

}

struct HttpChannel::Impl
{
    std::string address;
    std::unique_ptr<httplib::Client> client;
    std::string error; // why the address cannot be used
};

HttpChannel::HttpChannel(std::string address)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->address = std::move(address);
    const auto parts = splitAddress(m_impl->address);
    if (!parts) {
        m_impl->error = parts.error().message;
        return;
    }
    m_impl->client = std::make_unique<httplib::Client>(parts.value().first, parts.value().second);
    m_impl->client->set_keep_alive(true);
    m_impl->client->set_tcp_nodelay(true);
    m_impl->client->set_decompress(false);
}

HttpChannel::~HttpChannel() = default;

auto HttpChannel::exchange(const HttpCall &call) -> Result<HttpReply>
{
    if (!m_impl->client) {
        return failure(ErrorCode::InvalidInput, m_impl->error);
    }
    if (call.timeout.count() <= 0) {
        return failure(ErrorCode::NotSent, "no time left for the exchange");
    }
    auto &client = *m_impl->client;
    client.set_connection_timeout(std::clamp(call.connectTimeout, Millis{1}, call.timeout));
    client.set_read_timeout(call.stallTimeout.count() > 0 ? std::min(call.stallTimeout, call.timeout) : call.timeout);
    client.set_write_timeout(call.timeout);
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    auto request = toRequest(call);
    auto reply = HttpReply{};
    auto tooLong = false;
    // The library's timeout begins anew with each part of a body.
    request.content_receiver = [&](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        tooLong = reply.body.size() + n > call.maxBody;
        if (!tooLong) {
            reply.body.append(data, n);
        }
        return !tooLong && std::chrono::steady_clock::now() < deadline;
    };
    auto result = client.send(request);
    if (!result) {
        const auto error = toError(result.error(), std::chrono::steady_clock::now() >= deadline, tooLong);
        client.stop();
        return error;
    }
    reply.status = result->status;
    for (const auto &[name, value] : result->headers) {
        reply.headers[lowerCase(name)] = value;
    }
    return reply;
}

auto HttpChannel::interrupt() -> void
{
    if (m_impl->client) {
        m_impl->client->stop();
    }
}

struct HttpChannelPool::Impl
{
    std::string address;
    std::mutex mutex;
    std::vector<std::unique_ptr<HttpChannel>> idle;
};

HttpChannelPool::HttpChannelPool(std::string address)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->address = std::move(address);
}

HttpChannelPool::~HttpChannelPool() = default;

auto HttpChannelPool::exchange(const HttpCall &call) -> Result<HttpReply>
{
    auto channel = std::unique_ptr<HttpChannel>{};
    {
        const auto lock = std::lock_guard{m_impl->mutex};
        if (!m_impl->idle.empty()) {
            channel = std::move(m_impl->idle.back());
            m_impl->idle.pop_back();
        }
    }
    if (!channel) {
        channel = std::make_unique<HttpChannel>(m_impl->address);
    }
    auto reply = channel->exchange(call);
    // A channel that failed says nothing about the others, but a silent path usually hits them all; dropping it is cheap.
    if (reply) {
        const auto lock = std::lock_guard{m_impl->mutex};
        m_impl->idle.push_back(std::move(channel));
    }
    return reply;
}

}
