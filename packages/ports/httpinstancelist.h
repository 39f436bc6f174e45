#pragma once

/// HTTP adapter of the instance list port; docs/interfaces.md describes the protocol.
///
/// @code
///   auto list = Catkin::makeHttpInstanceList("127.0.0.1:8081", Catkin::Millis{1000});
/// @endcode

#include "ports/httpclient.h"
#include "ports/instancelistport.h"
#include "util/units.h"

namespace Catkin
{

/// @param address "ip:port" or "https://ip:port" of the platform's list
/// @param timeout longest time for one fetch
/// @return a port that talks to the list.
auto makeHttpInstanceList(const std::string &address, Millis timeout, const HttpTls &tls = {}) -> InstanceListPort;

}
