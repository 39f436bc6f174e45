#pragma once

/// Errors as values.
///
/// @code
///   auto readPort(std::string_view text) -> Catkin::Result<int>;
///   auto port = readPort("80");
///   if (!port) {
///       return port.error();       // an Error converts to any Result
///   }
///   use(port.value());
/// @endcode

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace Catkin
{

/// The kind of a failure. Callers branch on it, never on the message.
enum class ErrorCode {
    InvalidInput, ///< the caller's data is invalid; a retry with the same data fails too
    NotFound,
    Unauthorized,
    Conflict, ///< another change or lease took precedence
    StaleGeneration, ///< a newer planner owns the worker
    Limit, ///< a size, rate or capacity limit was exceeded
    NotSent, ///< the operation certainly had no effect
    Unknown, ///< the operation may or may not have had an effect
    Unavailable, ///< the peer is known to be down or not ready
    Timeout,
    Protocol, ///< the peer violated the protocol
    Internal,
};

/// @return the stable lower-case name of @p code, used in logs and metrics.
auto errorName(ErrorCode code) -> const char *;

/// A failure: a code to branch on and a message for people.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// Either a value or an Error.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Success without a value.
inline auto success() -> boost::outcome_v2::success_type<void>
{
    return boost::outcome_v2::success();
}

/// @return an Error that converts to any Result.
inline auto failure(ErrorCode code, std::string message) -> Error
{
    return {code, std::move(message)};
}

}
