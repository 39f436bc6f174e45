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

/// What kind of failure an Error reports; callers branch on this, never on the text.
enum class ErrorCode {
    InvalidInput, ///< the caller's data is wrong; sending it again will not help
    NotFound,
    Unauthorized,
    Conflict, ///< somebody else's change or lease won
    StaleGeneration, ///< a newer planner owns the worker
    Limit, ///< a size, rate or capacity limit was exceeded
    NotSent, ///< the operation certainly had no effect
    Unknown, ///< the operation may or may not have had an effect
    Unavailable, ///< the other side is known to be down or not ready
    Timeout,
    Protocol, ///< the other side broke the protocol
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
