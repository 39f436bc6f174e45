#pragma once

/// HTTP adapter of the executor port; docs/interfaces.md describes the protocol.
///
/// @code
///   auto executors = Catkin::makeHttpExecutor({});
/// @endcode

#include "ports/executorport.h"
#include "ports/httpclient.h"

namespace Catkin
{

struct HttpExecutorOptions
{
    Millis connectTimeout{300};
    std::size_t maxAnswerBytes = std::size_t{4} << 20U;
    HttpTls tls;
};

/// @return a port that talks HTTP to executors.
auto makeHttpExecutor(const HttpExecutorOptions &options) -> ExecutorPort;

}
