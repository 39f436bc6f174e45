#include "cli/client.h"

#include <nlohmann/json.hpp>

#include <cctype>

namespace Catkin::Cli
{

Client::Client(ClientOptions options, Environment &env)
    : m_options(std::move(options))
    , m_env(&env)
{
}

auto Client::callAt(const std::string &address, const Call &call) const -> Result<HttpReply>
{
    auto http = HttpCall{.address = address,
                         .method = call.method,
                         .path = call.path,
                         .body = call.body,
                         .timeout = call.timeout.count() > 0 ? call.timeout : m_options.timeout,
                         .tls = m_options.tls};
    if (!m_options.token.empty()) {
        http.headers.emplace_back("Authorization", "Bearer " + m_options.token);
    }
    return m_env->exchange(http);
}

auto Client::call(const Call &call) const -> Result<HttpReply>
{
    auto result = Result<HttpReply>(failure(ErrorCode::NotSent, "no address was given"));
    for (const auto &address : m_options.addresses) {
        result = callAt(address, call);
        if (result || (result.error().code != ErrorCode::NotSent && call.method != "GET")) {
            return result;
        }
        *m_env->err << "catkinctl: " << address << ": " << result.error().message << '\n';
    }
    return result;
}

auto Client::addresses() const -> const std::vector<std::string> &
{
    return m_options.addresses;
}

auto Client::env() const -> Environment &
{
    return *m_env;
}

auto exitCodeOf(const Error &error) -> ExitCode
{
    switch (error.code) {
    case ErrorCode::NotSent:
        return ExitCode::Unreachable;
    case ErrorCode::InvalidInput:
        return ExitCode::Usage;
    default:
        return ExitCode::OutcomeUnknown;
    }
}

auto exitCodeOf(const HttpReply &reply) -> ExitCode
{
    return reply.status >= 200 && reply.status < 300 ? ExitCode::Ok : ExitCode::Failed;
}

auto parseJson(const std::string &text) -> nlohmann::json
{
    return nlohmann::json::parse(text, nullptr, false);
}

auto encodeJson(const nlohmann::json &value) -> Result<std::string>
{
    try {
        return value.dump();
    } catch (const nlohmann::json::type_error &) {
        return failure(ErrorCode::InvalidInput, "an argument or the payload is not UTF-8 text");
    }
}

auto reasonOf(const HttpReply &reply) -> std::string
{
    const auto body = parseJson(reply.body);
    if (body.is_object()) {
        for (const auto *name : {"reason", "error", "message"}) {
            if (const auto it = body.find(name); it != body.end() && it->is_string()) {
                return it->get<std::string>() + " (status " + std::to_string(reply.status) + ")";
            }
        }
    }
    return "status " + std::to_string(reply.status);
}

auto report(Environment &env, bool json, ExitCode code, const std::string &message) -> ExitCode
{
    *env.err << "catkinctl: " << message << '\n';
    if (json) {
        *env.out << nlohmann::json{{"error", message}, {"exit_code", static_cast<int>(code)}}.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
                 << '\n';
    }
    return code;
}

auto encodeUrl(const std::string &text) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789ABCDEF"};
    auto encoded = std::string{};
    for (const auto c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

}
