#pragma once

/// One HTTP exchange with an "ip:port", or with an "https://ip:port" over TLS, with the errors that the ports need.
///
/// @code
///   auto reply = Catkin::httpExchange({.address = "127.0.0.1:8080", .method = "GET", .path = "/v1/instances", .timeout = Catkin::Millis{500}});
/// @endcode
///
/// Every exchange uses a connection of its own: a connection that an intermediate device has silently
/// dropped can then cost at most one timeout, and never carries somebody else's answer.

#include "ports/tls.h"
#include "util/outcome.h"
#include "util/units.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

/// How addresses that begin with "https://" are reached.
struct HttpTls
{
    std::shared_ptr<TlsCredentials> credentials; ///< of a client; calls to https addresses fail without them
    std::string name; ///< name that the server's certificate must be valid for; empty: the IP number of the address
};

struct HttpCall
{
    std::string address; ///< "ip:port" or "https://ip:port"
    std::string method; ///< "GET", "POST", "PUT" or "DELETE"
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    Millis connectTimeout{500}; ///< for the connection, and once more for its TLS handshake, within @c timeout
    Millis timeout{2000}; ///< for the whole exchange, however slowly the peer sends or receives
    Millis stallTimeout{0}; ///< longest time without a byte of the answer; 0: no limit but @c timeout. Only kept channels (HttpChannel) use it
    std::size_t maxBody = std::size_t{4} << 20U; ///< longest answer accepted, in bytes
    HttpTls tls;
};

struct HttpReply
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case; the values of a repeated header are joined by ", "
    std::string body;
};

/// @return the whole reply whatever its status; redirects are not followed and bodies not decompressed. Without an effect:
/// ErrorCode::NotSent when there was no time, no connection could be made or its TLS handshake failed, ErrorCode::InvalidInput for a
/// malformed address or an https address without credentials.
/// Possibly with one: ErrorCode::Limit for an answer above maxBody, ErrorCode::Timeout when the time ran out,
/// ErrorCode::Unknown when the peer closed the connection early or broke HTTP.
auto httpExchange(const HttpCall &call) -> Result<HttpReply>;

/// @return whether a failed exchange certainly had no effect on the peer.
auto hadNoEffect(const Error &error) -> bool;

/// What an address is for: only a listener may leave the choice of the port to the operating system.
enum class AddressUse { Connect, Listen };

/// @return whether @p address begins with "https://".
auto usesTls(const std::string &address) -> bool;

/// @return @p address without "https://".
auto withoutScheme(const std::string &address) -> std::string;

/// Splits "ip:port".
/// @return the two parts; ErrorCode::InvalidInput unless the first is an IPv4 or bracketed IPv6 address and the second a port from 1.
auto splitAddress(const std::string &address, AddressUse use = AddressUse::Connect) -> Result<std::pair<std::string, int>>;

}
