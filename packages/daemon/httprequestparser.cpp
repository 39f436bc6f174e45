#include "daemon/httprequestparser.h"

#include "ports/httprequest.h"

#include <boost/beast/http/error.hpp>
#include <httplib.h>

#include <algorithm>

namespace Catkin
{

namespace
{

namespace http = boost::beast::http;

/// Regular expressions are matched by recursion, whose depth grows with the path.
constexpr auto maxTarget = std::size_t{8'192};
/// Memory of one entry of a map, without its texts.
constexpr auto entryCharge = std::size_t{160};

}

HttpRequestParser::HttpRequestParser(const ListenerLimits &limits, std::size_t maxBody, KeepsBody keepsBody)
    : m_maxFields(limits.headerFields)
    , m_maxBody(maxBody)
    , m_keepsBody(std::move(keepsBody))
{
    eager(true);
    header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    body_limit(maxBody);
}

auto HttpRequestParser::request() -> HttpRequest &
{
    return m_request;
}

auto HttpRequestParser::charge() const -> std::size_t
{
    return m_headerCharge + m_request.body.capacity();
}

auto HttpRequestParser::bodyBytes() const -> std::size_t
{
    return m_bodyBytes;
}

auto HttpRequestParser::version() const -> int
{
    return m_version;
}

auto HttpRequestParser::isTargetTooLong() const -> bool
{
    return m_isTargetTooLong;
}

auto HttpRequestParser::on_request_impl(http::verb /*method*/, string_view name, string_view target, int version, error_code & /*ec*/) -> void
{
    m_version = version;
    m_request.method = std::string(name);
    m_isTargetTooLong = target.size() > maxTarget;
    if (m_isTargetTooLong) {
        return;
    }
    const auto question = std::min(target.find('?'), target.size());
    m_request.path = httplib::detail::decode_url(std::string(target.substr(0, question)), false);
    if (question < target.size()) {
        httplib::detail::parse_query_text(std::string(target.substr(question + 1)), m_request.params);
    }
    m_headerCharge += 2 * target.size() + m_request.params.size() * entryCharge;
}

auto HttpRequestParser::on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/, error_code & /*ec*/) -> void
{
}

auto HttpRequestParser::on_field_impl(http::field /*field*/, string_view name, string_view value, error_code &ec) -> void
{
    if (++m_fields > m_maxFields) {
        ec = http::error::header_limit;
        return;
    }
    m_headerCharge += name.size() + value.size() + entryCharge;
    m_request.headers[lowerCase(std::string(name))] = std::string(value);
}

auto HttpRequestParser::on_header_impl(error_code & /*ec*/) -> void
{
    m_isKept = m_keepsBody(*this);
}

auto HttpRequestParser::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, error_code & /*ec*/) -> void
{
}

auto HttpRequestParser::on_body_impl(string_view body, error_code &ec) -> std::size_t
{
    m_bodyBytes += body.size();
    if (m_bodyBytes > m_maxBody) {
        ec = http::error::body_limit;
        return 0;
    }
    if (m_isKept) {
        m_request.body.append(body.data(), body.size());
    }
    return body.size();
}

auto HttpRequestParser::on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, error_code & /*ec*/) -> void
{
}

auto HttpRequestParser::on_chunk_body_impl(std::uint64_t /*remain*/, string_view body, error_code &ec) -> std::size_t
{
    return on_body_impl(body, ec);
}

auto HttpRequestParser::on_finish_impl(error_code & /*ec*/) -> void
{
}

}
