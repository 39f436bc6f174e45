#pragma once

/// HTTP adapter of the log port; docs/interfaces.md describes the protocol.
///
/// @code
///   auto log = Catkin::makeHttpLog({.address = "127.0.0.1:8081"});
/// @endcode

#include "ports/httpclient.h"
#include "ports/logport.h"

namespace Catkin
{

struct HttpLogOptions
{
    std::string address; ///< "ip:port" or "https://ip:port" of the platform's log
    Millis connectTimeout{500};
    Millis timeout{2000}; ///< for an append; a read may also wait for its wait time
    HttpTls tls;
};

/// @return a port that talks to the log at @p options.address.
auto makeHttpLog(const HttpLogOptions &options) -> LogPort;

}
