#include "cli/commandline.h"

#include "ports/httpclient.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace Catkin::Cli
{

namespace
{

auto splitList(const std::string &text) -> std::vector<std::string>
{
    auto items = std::vector<std::string>{};
    auto in = std::istringstream(text);
    for (auto item = std::string{}; std::getline(in, item, ',');) {
        if (!item.empty()) {
            items.push_back(item);
        }
    }
    return items;
}

auto variableName(Audience audience, const std::string &suffix) -> std::string
{
    return (audience == Audience::Operators ? "CATKIN_OPERATOR_" : "CATKIN_") + suffix;
}

auto trimmed(std::string text) -> std::string
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

}

CommandLine::Output::Output(std::ostream &out)
    : m_out(out)
{
}

auto CommandLine::Output::usage(TCLAP::CmdLineInterface &line) -> void
{
    m_out << "usage:\n";
    _shortUsage(line, m_out);
    m_out << "\n\n";
    _longUsage(line, m_out);
}

CommandLine::CommandLine(const std::string &description, const std::string &name, Audience audience, Environment &env)
    : m_env(env)
    , m_name(name)
    , m_audience(audience)
    , m_output(*env.out)
    , m_line(description, ' ', "", false)
    , m_addresses("a",
                  "address",
                  "entry instance as ip:port or https://ip:port, tried in the given order; repeatable. Default: the comma-separated list in "
                      + variableName(audience, "ADDRESS"),
                  false,
                  "ip:port")
    , m_tokenFile("",
                  "token-file",
                  "file with the token. Default: the file named by " + variableName(audience, "TOKEN_FILE") + ", else the token in "
                      + variableName(audience, "TOKEN"),
                  false,
                  "",
                  "file")
    , m_timeout("", "timeout", "time for one call (default 5s)", false, "5s", "duration")
    , m_ca("", "ca", "PEM file with the CA of https addresses. Default: the file named by CATKIN_CA", false, "", "file")
    , m_serverName("", "server-name", "name in the certificate of https addresses. Default: their IP number", false, "", "name")
    , m_certificate("", "cert", "PEM file with a client certificate. Default: the file named by CATKIN_CERT", false, "", "file")
    , m_key("", "cert-key", "PEM file with its key. Default: the file named by CATKIN_CERT_KEY", false, "", "file")
    , m_json("", "json", "print JSON")
{
    m_line.setOutput(&m_output);
    m_line.setExceptionHandling(false);
    if (audience != Audience::Nobody) {
        m_line.add(m_addresses);
        m_line.add(m_timeout);
        m_line.add(m_tokenFile);
        m_line.add(m_ca);
        m_line.add(m_serverName);
        m_line.add(m_certificate);
        m_line.add(m_key);
    }
    m_line.add(m_json);
}

auto CommandLine::tclap() -> TCLAP::CmdLine &
{
    return m_line;
}

auto CommandLine::parse(std::vector<std::string> args) -> std::optional<ExitCode>
{
    const auto name = "catkinctl " + m_name;
    for (const auto &arg : args) {
        if (arg == "--help" || arg == "-h") {
            // TCLAP takes the program's name from the arguments, so one parse without required arguments sets it.
            try {
                auto nameOnly = std::vector<std::string>{name};
                m_line.parse(nameOnly);
            } catch (const TCLAP::ArgException &) { // NOLINT(bugprone-empty-catch): the missing arguments are what the user asks about
            }
            m_output.usage(m_line);
            return ExitCode::Ok;
        }
    }
    args.insert(args.begin(), name);
    try {
        m_line.parse(args);
    } catch (const TCLAP::ArgException &e) {
        return usageError(e.error() + (e.argId().find_first_not_of(' ') == std::string::npos ? "" : " (" + e.argId() + ")"));
    }
    return m_audience == Audience::Nobody ? std::nullopt : readClient();
}

auto CommandLine::readClient() -> std::optional<ExitCode>
{
    auto options = ClientOptions{.addresses = m_addresses.getValue(), .audience = m_audience};
    if (options.addresses.empty()) {
        options.addresses = splitList(m_env.variable(variableName(m_audience, "ADDRESS")).value_or(""));
    }
    if (options.addresses.empty()) {
        return usageError("no address: give --address or set " + variableName(m_audience, "ADDRESS"));
    }
    for (const auto &address : options.addresses) {
        if (const auto parts = splitAddress(withoutScheme(address)); !parts) {
            return usageError(parts.error().message);
        }
    }
    const auto timeout = readDuration(m_timeout.getValue());
    if (!timeout) {
        return usageError("--timeout: " + timeout.error().message);
    }
    options.timeout = timeout.value();
    const auto file = m_tokenFile.isSet() ? m_tokenFile.getValue() : m_env.variable(variableName(m_audience, "TOKEN_FILE")).value_or("");
    if (file.empty()) {
        options.token = m_env.variable(variableName(m_audience, "TOKEN")).value_or("");
    } else {
        auto token = readInput(m_env, file);
        if (!token) {
            return usageError(token.error().message);
        }
        options.token = trimmed(token.value());
    }
    if (const auto wrong = readTls(options)) {
        return wrong;
    }
    m_client.emplace(std::move(options), m_env);
    return std::nullopt;
}

auto CommandLine::readTls(ClientOptions &options) -> std::optional<ExitCode>
{
    const auto given
        = [&](TCLAP::ValueArg<std::string> &arg, const char *variable) { return arg.isSet() ? arg.getValue() : m_env.variable(variable).value_or(""); };
    if (std::none_of(options.addresses.begin(), options.addresses.end(), usesTls)) {
        // An address without https would send the token in plain text although the user asks for verification.
        return m_ca.isSet() ? std::optional(usageError("--ca is given, but no address begins with https://")) : std::nullopt;
    }
    auto files = TlsFiles{.certificate = given(m_certificate, "CATKIN_CERT"), .key = given(m_key, "CATKIN_CERT_KEY"), .ca = given(m_ca, "CATKIN_CA")};
    if (files.ca.empty()) {
        return usageError("an https address needs --ca or CATKIN_CA");
    }
    auto credentials = TlsCredentials::load(TlsRole::Client, std::move(files), systemClock());
    if (!credentials) {
        return usageError(credentials.error().message);
    }
    options.tls = {.credentials = credentials.value(), .name = m_serverName.getValue()};
    return std::nullopt;
}

auto CommandLine::client() const -> const Client &
{
    return m_client.value(); // NOLINT(bugprone-unchecked-optional-access): set by a successful parse
}

auto CommandLine::json() const -> bool
{
    return m_json.getValue();
}

auto CommandLine::usageError(const std::string &message) -> ExitCode
{
    *m_env.err << "catkinctl " << m_name << ": " << message << "\nTry 'catkinctl " << m_name << " --help'.\n";
    return ExitCode::Usage;
}

auto readInput(Environment &env, const std::string &path) -> Result<std::string>
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(*env.in), {});
    }
    auto in = std::ifstream(path, std::ios::binary);
    if (!in || std::filesystem::is_directory(path)) { // reading a folder would throw
        return failure(ErrorCode::NotFound, "file '" + path + "' cannot be read");
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

auto readDuration(const std::string &text) -> Result<Millis>
{
    auto n = std::int64_t{0};
    const auto *const end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, n);
    const auto unit = std::string_view(ptr, static_cast<std::size_t>(end - ptr));
    constexpr auto longest = std::int64_t{365};
    if (ec == std::errc{} && n >= 0) {
        for (const auto &[name, millis] : {std::pair<std::string_view, std::int64_t>{"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}, {"d", 86400000}}) {
            if (unit == name && n <= longest * 86400000 / millis) {
                return Millis{n * millis};
            }
        }
    }
    return failure(ErrorCode::InvalidInput, "'" + text + "' is not a duration; write a whole number and one of the units ms, s, min, h, d");
}

}
