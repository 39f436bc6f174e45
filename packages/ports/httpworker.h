#pragma once

/// HTTP adapter of the worker port; docs/interfaces.md describes the protocol.
///
/// @code
///   auto workers = Catkin::makeHttpWorker();
/// @endcode

#include "ports/httpclient.h"
#include "ports/workerport.h"

namespace Catkin
{

/// @return a port that talks HTTP to workers.
auto makeHttpWorker(const HttpTls &tls = {}) -> WorkerPort;

}
