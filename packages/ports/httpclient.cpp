#include "ports/httpclient.h"

#include <arpa/inet.h>
#include <httplib.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Catkin
{

namespace
{

constexpr auto maxPort = 65535;

auto isIpAddress(const std::string &text) -> bool
{
    auto buf = std::array<unsigned char, sizeof(in6_addr)>{};
    return inet_pton(AF_INET, text.c_str(), buf.data()) == 1 || inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

auto toError(httplib::Error error, bool tooLong) -> Error
{
    const auto text = httplib::to_string(error);
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        return failure(ErrorCode::NotSent, "no connection: " + text);
    case httplib::Error::Canceled:
        return tooLong ? failure(ErrorCode::Limit, "the answer is longer than accepted") : failure(ErrorCode::Timeout, "no complete answer in time");
    case httplib::Error::Read:
        return failure(ErrorCode::Timeout, "no complete answer in time: " + text);
    default:
        return failure(ErrorCode::Unknown, "the exchange broke off: " + text);
    }
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

}

auto splitAddress(const std::string &address) -> Result<std::pair<std::string, int>>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return failure(ErrorCode::InvalidInput, "address '" + address + "' is not of the form ip:port");
    }
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    auto port = 0;
    const auto *const end = address.data() + address.size();
    const auto [ptr, ec] = std::from_chars(address.data() + colon + 1, end, port);
    if (ec != std::errc{} || ptr != end || port < 0 || port > maxPort) {
        return failure(ErrorCode::InvalidInput, "address '" + address + "' has no valid port");
    }
    if (!isIpAddress(host)) {
        return failure(ErrorCode::InvalidInput, "address '" + address + "' does not start with an IP number");
    }
    return std::make_pair(host, port);
}

auto httpExchange(const HttpCall &call) -> Result<HttpReply>
{
    auto parts = splitAddress(call.address);
    if (!parts) {
        return parts.error();
    }
    auto client = httplib::Client(parts.value().first, parts.value().second);
    client.set_connection_timeout(call.connectTimeout);
    client.set_read_timeout(call.timeout);
    client.set_write_timeout(call.timeout);
    client.set_tcp_nodelay(true);

    auto request = httplib::Request{};
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    if (!call.body.empty()) {
        request.set_header("Content-Type", call.contentType);
    }
    for (const auto &[name, value] : call.headers) {
        request.set_header(name, value);
    }

    // The read timeout restarts with every byte, so a peer that trickles its answer is cut off by this total deadline.
    const auto deadline = std::chrono::steady_clock::now() + call.connectTimeout + call.timeout;
    auto reply = HttpReply{};
    auto tooLong = false;
    request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        tooLong = reply.body.size() + n > call.maxBody;
        if (tooLong || std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        reply.body.append(data, n);
        return true;
    };

    auto result = client.send(request);
    if (!result) {
        return toError(result.error(), tooLong);
    }
    reply.status = result->status;
    for (const auto &[name, value] : result->headers) {
        reply.headers[lowerCase(name)] = value;
    }
    return reply;
}

}
