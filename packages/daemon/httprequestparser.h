#pragma once

/// Parses the requests of a connection to a listener, with limits.
///
/// @code
///   auto parser = Catkin::HttpRequestParser{limits, maxBody, [](const HttpRequestParser &it) { return true; }};
///   const auto used = parser.put(boost::asio::buffer(input), ec);
///   if (parser.is_done()) { ... }
/// @endcode

#include "daemon/httplistener.h"

#include <boost/beast/http/basic_parser.hpp>

#include <functional>
#include <string>

namespace Catkin
{

/// A header with more fields than allowed ends with http::error::header_limit, a longer body with http::error::body_limit.
class HttpRequestParser : public boost::beast::http::basic_parser<true>
{
public:
    /// Called at the end of the header.
    /// @return whether the body is kept; otherwise it is read and dropped
    using KeepsBody = std::function<bool(HttpRequestParser &parser)>;

    HttpRequestParser(const ListenerLimits &limits, std::size_t maxBody, KeepsBody keepsBody);

    /// @return what has been parsed; params are those of the query.
    [[nodiscard]] auto request() -> HttpRequest &;
    /// @return bytes of memory that the request takes, estimated from above.
    [[nodiscard]] auto charge() const -> std::size_t;
    /// @return bytes of the body so far, also of one that is dropped.
    [[nodiscard]] auto bodyBytes() const -> std::size_t;
    /// @return 11 for HTTP/1.1.
    [[nodiscard]] auto version() const -> int;
    /// @return whether the target is longer than a route can match.
    [[nodiscard]] auto isTargetTooLong() const -> bool;

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    auto on_request_impl(boost::beast::http::verb method, string_view name, string_view target, int version, error_code &ec) -> void override;
    auto on_response_impl(int code, string_view reason, int version, error_code &ec) -> void override;
    auto on_field_impl(boost::beast::http::field field, string_view name, string_view value, error_code &ec) -> void override;
    auto on_header_impl(error_code &ec) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &ec) -> void override;
    auto on_body_impl(string_view body, error_code &ec) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code &ec) -> void override;
    auto on_chunk_body_impl(std::uint64_t remain, string_view body, error_code &ec) -> std::size_t override;
    auto on_finish_impl(error_code &ec) -> void override;

    std::size_t m_maxFields;
    std::size_t m_maxBody;
    KeepsBody m_keepsBody;
    HttpRequest m_request;
    std::size_t m_fields = 0;
    std::size_t m_headerCharge = 0;
    std::size_t m_bodyBytes = 0;
    int m_version = 0;
    bool m_isKept = true;
    bool m_isTargetTooLong = false;
};

}
