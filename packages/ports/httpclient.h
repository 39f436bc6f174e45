#pragma once

/// One HTTP exchange with an "ip:port", with the errors that the ports need.
///
/// @code
///   auto reply = Catkin::httpExchange({.address = "127.0.0.1:8080", .method = "GET", .path = "/v1/instances", .timeout = Catkin::Millis{500}});
/// @endcode
///
/// Every exchange uses a connection of its own: a connection that an intermediate device has silently
/// dropped can then cost at most one timeout, and never carries somebody else's answer.

#include "util/outcome.h"
#include "util/units.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

struct HttpCall
{
    std::string address; ///< "ip:port"
    std::string method; ///< "GET", "POST", "PUT" or "DELETE"
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    Millis connectTimeout{500};
    Millis timeout{2000}; ///< for the whole answer after the connection stands
    std::size_t maxBody = std::size_t{4} << 20U; ///< longest answer accepted, in bytes
};

struct HttpReply
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

/// @return the reply whatever its status; ErrorCode::NotSent when no connection could be made,
/// ErrorCode::InvalidInput for a malformed address, ErrorCode::Limit for an answer above maxBody,
/// ErrorCode::Timeout or Unknown when the exchange broke off later.
auto httpExchange(const HttpCall &call) -> Result<HttpReply>;

/// Splits "ip:port".
/// @return the two parts; ErrorCode::InvalidInput unless the first is an IPv4 or bracketed IPv6 address and the second a port.
auto splitAddress(const std::string &address) -> Result<std::pair<std::string, int>>;

}
