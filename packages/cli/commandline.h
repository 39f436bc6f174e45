#pragma once

/// The arguments of one subcommand: TCLAP with catkinctl's common options and our own streams.
///
/// @code
///   auto line = CommandLine("Shows a job.", "status", Audience::Callers, env);
///   auto job = TCLAP::UnlabeledValueArg<std::string>("job", "job id", true, "", "JOB", line.tclap());
///   if (const auto exit = line.parse(args)) {
///       return *exit;
///   }
///   auto client = line.client();
/// @endcode

#include "cli/client.h"
#include "cli/environment.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace Catkin::Cli
{

class CommandLine
{
public:
    /// @param description one sentence for the help text
    /// @param name the subcommand
    /// @param audience which listener the subcommand talks to
    CommandLine(const std::string &description, const std::string &name, Audience audience, Environment &env);

    auto tclap() -> TCLAP::CmdLine &;

    /// Reads the arguments and the environment variables.
    /// @return the exit code if the command is to end here: after --help or a wrong argument.
    auto parse(std::vector<std::string> args) -> std::optional<ExitCode>;

    /// @return the client for the given addresses and token, after parse() succeeded.
    [[nodiscard]] auto client() const -> const Client &;

    [[nodiscard]] auto json() const -> bool;

    /// Prints a usage error.
    auto usageError(const std::string &message) -> ExitCode;

private:
    auto readClient() -> std::optional<ExitCode>;
    auto readTls(ClientOptions &options) -> std::optional<ExitCode>;

    /// Writes help to our streams, and leaves the report of wrong arguments to parse().
    class Output : public TCLAP::StdOutput
    {
    public:
        explicit Output(std::ostream &out);
        auto usage(TCLAP::CmdLineInterface &line) -> void override;

    private:
        std::ostream &m_out;
    };

    Environment &m_env;
    std::string m_name;
    Audience m_audience;
    Output m_output;
    TCLAP::CmdLine m_line;
    TCLAP::MultiArg<std::string> m_addresses;
    TCLAP::ValueArg<std::string> m_tokenFile;
    TCLAP::ValueArg<std::string> m_timeout;
    TCLAP::ValueArg<std::string> m_ca;
    TCLAP::ValueArg<std::string> m_serverName;
    TCLAP::ValueArg<std::string> m_certificate;
    TCLAP::ValueArg<std::string> m_key;
    TCLAP::SwitchArg m_json;
    std::optional<Client> m_client;
};

/// Reads a whole file, or standard input for "-".
/// @return the contents; ErrorCode::NotFound when it cannot be read.
auto readInput(Environment &env, const std::string &path) -> Result<std::string>;

/// Reads a duration such as "500ms", "3s", "2min" or "1h".
/// @return the duration; ErrorCode::InvalidInput otherwise.
auto readDuration(const std::string &text) -> Result<Millis>;

}
