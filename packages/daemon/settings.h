#pragma once

/// Settings of the entry daemon, read once at start from a TOML file (docs/settings.md lists every key).
///
/// @code
///   auto read = Catkin::loadSettings("/etc/catkinworks/catkinworksd.toml");
///   for (const auto &error : read.errors) {
///       std::cerr << Catkin::formatSettingsError(error) << '\n';   // "file:line: key: message"
///   }
///   if (read.errors.empty()) {
///       start(read.settings);
///   }
/// @endcode

#include "ports/tls.h"
#include "util/ids.h"
#include "util/logging.h"
#include "util/units.h"

#include <string>
#include <vector>

namespace Catkin
{

/// Addresses that the daemon listens on, as "ip:port"; port 0 lets the operating system choose.
struct ListenerSettings
{
    std::string callers;
    std::string operators;
    std::string peers;
};

/// The platform's services, as "ip:port" or "https://ip:port".
struct PlatformSettings
{
    std::string log;
    std::string instances;
    Millis timeout{2000}; ///< for one call, without a long poll's waiting time
};

/// PEM files of TLS; an empty path means that there is none.
struct TlsSettings
{
    std::string certificate; ///< of the listeners for callers and operators; without it they speak plain HTTP
    std::string key;
    std::string callerClientCa; ///< callers must show a certificate signed by one of these
    std::string operatorClientCa; ///< the same for operators
    std::string ca; ///< of the platform, executors and workers with https addresses
    std::string platformName; ///< name in the platform's certificate; empty: its IP number
};

/// @return the files of one listener.
auto listenerTls(const TlsSettings &tls, const std::string &clientCa) -> TlsFiles;

struct PeerSettings
{
    std::vector<std::string> addresses; ///< "ip:port" of peers that are known without the instance list
    std::string key; ///< shared secret; from peers.key or the contents of peers.key_file
    std::string previousKey; ///< accepted as well while the key is being replaced; empty: none
    Millis heartbeat{500}; ///< inside the region
    Millis remoteHeartbeat{2000}; ///< to other regions
    bool advertise = true; ///< whether peers are told the listen address; otherwise they use the instance list's
};

struct OperatorSettings
{
    std::string tokenSha256; ///< 64 lower-case hex digits, or empty when only the document's tokens count
};

struct LeaseSettings
{
    Millis probation{3000};
    Millis run{120000};
    Millis renew{10000};
};

struct PollSettings
{
    Millis workers{500};
    Millis executors{1400}; ///< a silent executor is given up after three polls and the last one's time limit: 5 s
    Millis instances{1000};
};

struct RequestSettings
{
    Millis keyWindow{3600000}; ///< how long an idempotency key stays valid
    Millis logRetention{86400000}; ///< how long the platform's log keeps a record
};

struct LimitSettings
{
    Bytes requestBody{1 << 20}; ///< longest body accepted from a caller
    Bytes documentBody{4 << 20}; ///< longest configuration document or form
    Bytes answerBody{4 << 20}; ///< longest answer accepted from an executor
    int callerThreads = 128; ///< one thread serves one open connection
    int callerBacklog = 256; ///< accepted connections that wait for a thread
    int operatorThreads = 8;
    int operatorBacklog = 16;
    int dispatchThreads = 32;
    Millis keepAlive{5000}; ///< an idle connection is closed after this time
    Bytes queueMemory{16 << 20}; ///< payloads of requests that wait
    Bytes attemptMemory{16 << 20}; ///< attempts and recorded answers of one key window
    Bytes memory{64 << 20}; ///< what the whole process may use
};

/// Bytes that this instance may send to other regions, by class.
struct LinkSettings
{
    Bytes payloadPerSecond{250000};
    Millis burst{2000}; ///< unused budget is kept for this long
};

struct DrainSettings
{
    Millis notice{5000}; ///< between "not ready" and the first refused connection
    Millis time{60000}; ///< longest wait for requests in progress
};

struct Settings
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    ListenerSettings listeners;
    PlatformSettings platform;
    TlsSettings tls;
    PeerSettings peers;
    OperatorSettings operators;
    LeaseSettings leases;
    PollSettings poll;
    RequestSettings requests;
    LimitSettings limits;
    LinkSettings link;
    DrainSettings drain;
    LogLevel logLevel = LogLevel::Info;
};

struct SettingsError
{
    std::string file;
    int line = 0; ///< 1-based; 0 when the file could not be read
    std::string key; ///< dotted path, for instance "leases.renew"
    std::string message;
};

/// The outcome of reading settings; @c settings is usable only when @c errors is empty.
struct SettingsRead
{
    Settings settings;
    std::vector<SettingsError> errors; ///< ordered by line
};

/// Reads and checks a settings file and the files that it names.
/// @param path the TOML file; relative paths in it are taken relative to its folder
/// @return the settings, or every error found.
auto loadSettings(const std::string &path) -> SettingsRead;

/// Like loadSettings, for text that has already been read.
/// @param text the TOML text
/// @param path the name reported in errors and the base of relative paths in it
auto parseSettings(const std::string &text, const std::string &path) -> SettingsRead;

/// @return "file:line: key: message".
auto formatSettingsError(const SettingsError &error) -> std::string;

/// Reads a duration such as "500ms", "3s", "2min", "1h" or "7d".
/// @return whether @p text was a duration; @p value is set only then.
auto parseDuration(const std::string &text, Millis &value) -> bool;

/// Reads a size such as "512B", "64KB", "64KiB", "4MB" or "4MiB" (KB = 1000 B, KiB = 1024 B).
/// @return whether @p text was a size; @p value is set only then.
auto parseSize(const std::string &text, Bytes &value) -> bool;

}
