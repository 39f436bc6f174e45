#pragma once

/// Calls of entry instances with a token and fail-over between addresses.
///
/// @code
///   auto client = Client({.addresses = {"192.0.2.1:8081"}, .token = token}, env);
///   auto reply = client.call({.method = "GET", .path = "/v1/instances"});
///   if (!reply) {
///       return exitCodeOf(reply.error());
///   }
/// @endcode

#include "cli/environment.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Catkin::Cli
{

/// Which listener of an entry instance a command talks to.
enum class Audience { Callers, Operators, Nobody };

struct ClientOptions
{
    std::vector<std::string> addresses;
    std::string token;
    Audience audience = Audience::Callers;
    Millis timeout{5000};
    HttpTls tls;
};

struct Call
{
    std::string method = "GET";
    std::string path;
    std::string body;
    Millis timeout{0}; ///< 0: the client's timeout
};

class Client
{
public:
    Client(ClientOptions options, Environment &env);

    /// Sends to one address.
    [[nodiscard]] auto callAt(const std::string &address, const Call &call) const -> Result<HttpReply>;

    /// Sends to the first address that accepts a connection. A call that may have been sent is not sent again,
    /// unless it only reads.
    [[nodiscard]] auto call(const Call &call) const -> Result<HttpReply>;

    [[nodiscard]] auto addresses() const -> const std::vector<std::string> &;
    [[nodiscard]] auto env() const -> Environment &;

private:
    ClientOptions m_options;
    Environment *m_env;
};

/// @return the exit code for a call without a reply.
auto exitCodeOf(const Error &error) -> ExitCode;

/// @return the exit code for a reply by its status: Ok for 2xx, Failed otherwise.
auto exitCodeOf(const HttpReply &reply) -> ExitCode;

/// @return the JSON of a reply; a discarded value when it is none.
auto parseJson(const std::string &text) -> nlohmann::json;

/// @return @p value as text; ErrorCode::InvalidInput when it contains text that is not UTF-8, which JSON cannot carry.
auto encodeJson(const nlohmann::json &value) -> Result<std::string>;

/// @return the reason that a refusing reply gives, or its status.
auto reasonOf(const HttpReply &reply) -> std::string;

/// Prints an error to standard error, and with --json also as JSON to standard output.
/// @return @p code.
auto report(Environment &env, bool json, ExitCode code, const std::string &message) -> ExitCode;

/// @return @p text with every byte encoded that has a meaning in a URL.
auto encodeUrl(const std::string &text) -> std::string;

}
