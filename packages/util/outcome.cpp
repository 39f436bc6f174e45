#include "util/outcome.h"

namespace Catkin
{

auto errorName(ErrorCode code) -> const char *
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid_input";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::StaleGeneration:
        return "stale_generation";
    case ErrorCode::Limit:
        return "limit";
    case ErrorCode::NotSent:
        return "not_sent";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Protocol:
        return "protocol";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

}
