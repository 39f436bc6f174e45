#pragma once

/// HTTP adapter of the worker port; docs/interfaces.md describes the protocol.
///
/// @code
///   auto workers = Catkin::makeHttpWorker();
/// @endcode

#include "ports/httpclient.h"
#include "ports/workerport.h"
#include "util/units.h"

#include <functional>

namespace Catkin
{

/// A worker that names its status by a tag sends it again only when it has changed, and takes the renewal of all its running
/// leases as one order. The port keeps the last status of each such worker, so its callers always get a whole status.
/// @param now monotonic clock for the remaining times of a kept status; empty for the system's
/// @return a port that talks HTTP to workers; its copies share what it keeps.
auto makeHttpWorker(const HttpTls &tls = {}, std::function<MonoTime()> now = {}) -> WorkerPort;

}
