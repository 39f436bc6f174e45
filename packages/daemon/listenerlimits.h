#pragma once

/// Limits of a listener for plain HTTP against callers that stall, flood or do not read.
///
/// The limits are those of one listener; listeners share nothing. docs/design/misbehaving-callers.md has the reasons for the defaults, which no caller within
/// the limits of a configuration reaches.

#include "util/units.h"

#include <array>
#include <cstddef>
#include <string>

namespace Catkin
{

struct ListenerLimits
{
    std::size_t connections = 1'024; ///< open connections; also at most half of the process's descriptors
    std::size_t bufferBytes = std::size_t{32} << 20U; ///< of all requests that are read and not answered, and of all answers that are not taken
    std::size_t headerBytes = std::size_t{20} << 10U; ///< of the start line and the header of one request
    std::size_t headerFields = 256; ///< in the header of one request
    std::size_t readAhead = std::size_t{32} << 10U; ///< of pipelined requests that are read while an earlier one of their connection is not answered
    Millis headerTimeout{4'000}; ///< from the first byte of a request to the end of its header
    Millis transferTimeout{5'000}; ///< for a body, and for an answer to be taken, in addition to the time that the least rate allows for its bytes
    std::size_t transferRate = std::size_t{16} << 10U; ///< least bytes per second of bodies and answers
};

/// Why a listener closed a connection, or refused its request and closed it.
enum class ListenerClose { Connections, Buffer, HeaderLimit, BodyLimit, SlowHeader, SlowBody, SlowReader, NoHandler };

/// In the order of ListenerClose; as in logs and metrics.
inline constexpr auto listenerCloseNames
    = std::array{"connections", "buffer", "header_limit", "body_limit", "slow_header", "slow_body", "slow_reader", "no_handler"};

}
