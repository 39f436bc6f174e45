#include "ports/httpclient.h"

#include "ports/deadlinestream.h"
#include "ports/httprequest.h"
#include "util/printable.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace Catkin
{

namespace
{

constexpr auto maxPort = 65535;
constexpr auto tlsScheme = std::string_view{"https://"};

/// Bytes of a reply beside its body: header, and the framing of chunks.
constexpr auto maxOverhead = std::size_t{64} << 10U;

auto isAddress(int family, const std::string &text) -> bool
{
    auto buf = std::array<unsigned char, sizeof(in6_addr)>{};
    return inet_pton(family, text.c_str(), buf.data()) == 1;
}

/// Client whose exchange as a whole keeps one deadline and one size limit. With TLS, the handshake is made where the library hands over
/// the connected socket, before it writes the first byte of the request, so that a failed handshake is known to have sent nothing.
class DeadlineClient : public httplib::ClientImpl
{
public:
    DeadlineClient(const std::string &host, int port, std::chrono::steady_clock::time_point deadline, std::size_t maxBytes)
        : httplib::ClientImpl(host, port)
        , m_deadline(deadline)
        , m_maxBytes(maxBytes)
    {
    }

    /// @param handshakeTimeout for the handshake alone, within the deadline
    auto useTls(const HttpTls &tls, const std::string &host, Millis handshakeTimeout) -> void
    {
        m_context = tls.credentials->current();
        m_expected = tls.name.empty() ? host : tls.name;
        m_handshakeTimeout = handshakeTimeout;
    }

    /// @return why no request byte was sent although the connection was made; empty if that did not happen.
    [[nodiscard]] auto handshakeError() const -> const std::string &
    {
        return m_handshakeError;
    }

    /// @return what TLS says about a broken exchange; may be empty.
    [[nodiscard]] auto brokenReason() const -> const std::string &
    {
        return m_brokenReason;
    }

    [[nodiscard]] auto timedOut() const -> bool
    {
        return m_timedOut;
    }

    [[nodiscard]] auto tooLong() const -> bool
    {
        return m_tooLong;
    }

private:
    auto process_socket(const Socket &socket, std::function<bool(httplib::Stream &)> callback) -> bool override
    {
        if (!m_context) {
            return exchange(socket.sock, nullptr, callback);
        }
        auto tls = TlsConnection{socket.sock, m_context, TlsRole::Client, m_expected};
        if (const auto done = tls.handshake(std::min(m_deadline, std::chrono::steady_clock::now() + m_handshakeTimeout)); !done) {
            m_handshakeError = done.error().message;
            return false;
        }
        const auto ok = exchange(socket.sock, &tls, callback);
        m_brokenReason = tls.failureReason();
        tls.close();
        return ok;
    }

    auto exchange(socket_t sock, TlsConnection *tls, const std::function<bool(httplib::Stream &)> &callback) -> bool
    {
        auto stream = DeadlineStream{sock, m_deadline, m_maxBytes, tls};
        const auto ok = callback(stream);
        m_timedOut = stream.timedOut();
        m_tooLong = stream.tooLong();
        return ok;
    }

    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_maxBytes;
    bool m_timedOut = false;
    bool m_tooLong = false;
    std::shared_ptr<ssl_ctx_st> m_context; // null for plain text
    std::string m_expected;
    Millis m_handshakeTimeout{0};
    std::string m_handshakeError;
    std::string m_brokenReason;
};

auto toError(httplib::Error error, bool tooLong, const DeadlineClient &client) -> Error
{
    if (!client.handshakeError().empty()) {
        return failure(ErrorCode::NotSent, "no TLS connection: " + client.handshakeError());
    }
    const auto text = httplib::to_string(error);
    if (error == httplib::Error::Connection || error == httplib::Error::BindIPAddress || error == httplib::Error::ConnectionTimeout) {
        return failure(ErrorCode::NotSent, "no connection: " + text);
    }
    if (tooLong || client.tooLong()) {
        return failure(ErrorCode::Limit, "the answer is longer than accepted");
    }
    if (client.timedOut()) {
        return failure(ErrorCode::Timeout, "no complete answer in time");
    }
    return failure(ErrorCode::Unknown, "the exchange broke off: " + (client.brokenReason().empty() ? text : client.brokenReason()));
}

}

auto splitAddress(const std::string &address, AddressUse use) -> Result<std::pair<std::string, int>>
{
    const auto colon = address.rfind(':');
    const auto quoted = "address '" + printable(address) + "' ";
    if (colon == std::string::npos) {
        return failure(ErrorCode::InvalidInput, quoted + "is not of the form ip:port");
    }
    auto host = address.substr(0, colon);
    const auto bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    auto port = 0;
    const auto *const end = address.data() + address.size();
    const auto [ptr, ec] = std::from_chars(address.data() + colon + 1, end, port);
    if (ec != std::errc{} || ptr != end || port < 0 || port > maxPort) {
        return failure(ErrorCode::InvalidInput, quoted + "has no valid port");
    }
    if (port == 0 && use == AddressUse::Connect) {
        return failure(ErrorCode::InvalidInput, quoted + "needs a port above 0");
    }
    if (!isAddress(bracketed ? AF_INET6 : AF_INET, host)) {
        return failure(ErrorCode::InvalidInput, quoted + "does not start with an IP number");
    }
    return std::make_pair(host, port);
}

auto usesTls(const std::string &address) -> bool
{
    return address.starts_with(tlsScheme);
}

auto withoutScheme(const std::string &address) -> std::string
{
    return usesTls(address) ? address.substr(tlsScheme.size()) : address;
}

auto hadNoEffect(const Error &error) -> bool
{
    return error.code == ErrorCode::NotSent || error.code == ErrorCode::InvalidInput;
}

auto httpExchange(const HttpCall &call) -> Result<HttpReply>
{
    auto parts = splitAddress(withoutScheme(call.address));
    if (!parts) {
        return parts.error();
    }
    if (usesTls(call.address) && !call.tls.credentials) {
        return failure(ErrorCode::InvalidInput, "address '" + call.address + "' needs TLS, but no CA is set");
    }
    if (call.timeout.count() <= 0) {
        return failure(ErrorCode::NotSent, "no time left for the exchange");
    }
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    auto client = DeadlineClient{parts.value().first, parts.value().second, deadline, call.maxBody + maxOverhead};
    const auto connectTimeout = std::clamp(call.connectTimeout, Millis{1}, call.timeout);
    client.set_connection_timeout(connectTimeout);
    if (usesTls(call.address)) {
        client.useTls(call.tls, parts.value().first, connectTimeout);
    }
    // Digests and lengths count for the bytes as sent, and a compressed body could be of any length.
    client.set_decompress(false);
    client.set_tcp_nodelay(true);

    auto request = toRequest(call);
    auto reply = HttpReply{};
    auto tooLong = false;
    request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        tooLong = reply.body.size() + n > call.maxBody;
        if (!tooLong) {
            reply.body.append(data, n);
        }
        return !tooLong;
    };

    auto result = client.send(request);
    if (!result) {
        return toError(result.error(), tooLong, client);
    }
    reply.status = result->status;
    for (const auto &[name, value] : result->headers) {
        auto &known = reply.headers[lowerCase(name)];
        known += known.empty() ? value : ", " + value;
    }
    return reply;
}

}
