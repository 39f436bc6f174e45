#include "daemon/settings.h"

#include "ports/httpclient.h"
#include "util/clock.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace Catkin
{

namespace
{

constexpr auto maxIdLength = std::size_t{64};
constexpr auto minKeyLength = std::size_t{32};
constexpr auto sha256HexLength = std::size_t{64};
/// A run lease must outlive two lost renewals, so that one slow round does not end a healthy gang.
constexpr auto renewalsPerLease = 3;
/// Part of the memory bound that threads, code and tables need beside the two payload bounds.
constexpr auto minMemoryShare = 2;

struct Unit
{
    std::string_view name;
    std::int64_t factor;
};

auto parseWithUnit(const std::string &text, std::initializer_list<Unit> units, std::int64_t &value) -> bool
{
    auto n = std::int64_t{0};
    const auto *const end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || n < 0) {
        return false;
    }
    const auto suffix = std::string_view(ptr, static_cast<std::size_t>(end - ptr));
    const auto *const unit = std::find_if(units.begin(), units.end(), [&](const Unit &u) { return u.name == suffix; });
    if (unit == units.end() || n > INT64_MAX / unit->factor) {
        return false;
    }
    value = n * unit->factor;
    return true;
}

auto durationText(Millis value) -> std::string
{
    const auto units = {Unit{"d", 86400000}, Unit{"h", 3600000}, Unit{"min", 60000}, Unit{"s", 1000}};
    for (const auto &unit : units) {
        if (value.count() != 0 && value.count() % unit.factor == 0) {
            return std::to_string(value.count() / unit.factor) + std::string(unit.name);
        }
    }
    return std::to_string(value.count()) + "ms";
}

auto sizeText(Bytes value) -> std::string
{
    const auto units = {Unit{"MiB", 1 << 20}, Unit{"KiB", 1 << 10}, Unit{"MB", 1000000}, Unit{"KB", 1000}};
    for (const auto &unit : units) {
        if (value.value != 0 && value.value % unit.factor == 0) {
            return std::to_string(value.value / unit.factor) + std::string(unit.name);
        }
    }
    return std::to_string(value.value) + "B";
}

auto isId(const std::string &text) -> bool
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maxIdLength && std::all_of(text.begin(), text.end(), allowed);
}

auto isSha256Hex(const std::string &text) -> bool
{
    const auto allowed = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == sha256HexLength && std::all_of(text.begin(), text.end(), allowed);
}

/// Reads keys one by one, remembers which ones exist in the schema, and collects errors instead of stopping at the first.
class Reader
{
public:
    Reader(const toml::table &root, std::string file)
        : m_root(root)
        , m_file(std::move(file))
    {
    }

    auto error(const std::string &key, std::string message) -> void
    {
        m_errors.push_back({m_file, lineOf(key), key, std::move(message)});
    }

    [[nodiscard]] auto hasError(const std::string &key) const -> bool
    {
        return std::any_of(m_errors.begin(), m_errors.end(), [&](const SettingsError &e) { return e.key == key; });
    }

    [[nodiscard]] auto isSet(const std::string &key) const -> bool
    {
        return static_cast<bool>(m_root.at_path(key));
    }

    /// @return whether @p key holds a string; reports a wrong type, and a missing key if it is required.
    auto text(const std::string &key, bool required, std::string &value) -> bool
    {
        const auto node = lookUp(key);
        if (!node) {
            if (required) {
                error(key, "is required");
            }
            return false;
        }
        if (!node.is_string()) {
            error(key, "must be a string");
            return false;
        }
        value = node.ref<std::string>();
        return true;
    }

    auto flag(const std::string &key, bool &value) -> void
    {
        const auto node = lookUp(key);
        if (node && !node.is_boolean()) {
            error(key, "must be true or false");
        } else if (node) {
            value = node.ref<bool>();
        }
    }

    template<typename Id>
    auto id(const std::string &key, Id &value) -> void
    {
        auto name = std::string{};
        if (!text(key, true, name)) {
            return;
        }
        if (!isId(name)) {
            error(key, "must be 1 to 64 letters, digits, '-', '_' or '.'");
            return;
        }
        value = Id{name};
    }

    auto address(const std::string &key, bool portZeroAllowed, std::string &value) -> void
    {
        if (text(key, true, value)) {
            checkAddress(key, value, portZeroAllowed);
        }
    }

    /// An address that may begin with "https://".
    auto serverAddress(const std::string &key, std::string &value) -> void
    {
        if (text(key, true, value)) {
            checkAddress(key, withoutScheme(value), false);
        }
    }

    /// A path, made absolute or relative to the working folder.
    auto path(const std::string &key, const std::string &settingsPath, std::string &value) -> void
    {
        if (!text(key, false, value)) {
            return;
        }
        if (value.empty()) {
            error(key, "must name a file");
            return;
        }
        value = (std::filesystem::path(settingsPath).parent_path() / value).string();
    }

    auto checkAddress(const std::string &key, const std::string &value, bool portZeroAllowed) -> void
    {
        const auto parts = splitAddress(value, portZeroAllowed ? AddressUse::Listen : AddressUse::Connect);
        if (!parts) {
            error(key, parts.error().message);
        }
    }

    auto duration(const std::string &key, Millis min, Millis max, Millis &value) -> void
    {
        auto name = std::string{};
        auto n = Millis{};
        if (!text(key, false, name)) {
            return;
        }
        if (!parseDuration(name, n)) {
            error(key, "'" + name + "' is not a duration; write a whole number and one of the units ms, s, min, h, d, such as \"500ms\"");
        } else if (n < min || n > max) {
            error(key, name + " is outside " + durationText(min) + " to " + durationText(max));
        } else {
            value = n;
        }
    }

    auto size(const std::string &key, Bytes min, Bytes max, Bytes &value) -> void
    {
        auto name = std::string{};
        auto n = Bytes{};
        if (!text(key, false, name)) {
            return;
        }
        if (!parseSize(name, n)) {
            error(key, "'" + name + "' is not a size; write a whole number and one of the units B, KB, KiB, MB, MiB, such as \"4MiB\"");
        } else if (n.value < min.value || n.value > max.value) {
            error(key, name + " is outside " + sizeText(min) + " to " + sizeText(max));
        } else {
            value = n;
        }
    }

    auto count(const std::string &key, int min, int max, int &value) -> void
    {
        const auto node = lookUp(key);
        if (!node) {
            return;
        }
        if (!node.is_integer()) {
            error(key, "must be a whole number");
            return;
        }
        const auto n = node.ref<std::int64_t>();
        if (n < min || n > max) {
            error(key, std::to_string(n) + " is outside " + std::to_string(min) + " to " + std::to_string(max));
            return;
        }
        value = static_cast<int>(n);
    }

    auto addresses(const std::string &key, std::vector<std::string> &values) -> void
    {
        const auto node = lookUp(key);
        if (!node) {
            return;
        }
        const auto *const list = node.as_array();
        if (list == nullptr) {
            error(key, "must be a list of addresses");
            return;
        }
        auto seen = std::set<std::string>{};
        for (auto i = std::size_t{0}; i < list->size(); ++i) {
            const auto item = key + "[" + std::to_string(i) + "]";
            const auto value = list->get(i)->value<std::string>();
            if (!value) {
                error(item, "must be a string");
                continue;
            }
            checkAddress(item, *value, false);
            if (!seen.insert(*value).second) {
                error(item, "address '" + *value + "' is listed twice");
            }
            values.push_back(*value);
        }
    }

    /// Reports every key of the file that no read has asked for.
    auto rejectUnknown() -> void
    {
        rejectUnknown(m_root, "");
    }

    auto takeErrors() -> std::vector<SettingsError>
    {
        std::stable_sort(m_errors.begin(), m_errors.end(), [](const SettingsError &a, const SettingsError &b) { return a.line < b.line; });
        return std::move(m_errors);
    }

private:
    auto lookUp(const std::string &key) -> toml::node_view<const toml::node>
    {
        m_known.insert(key);
        const auto dot = key.rfind('.');
        if (dot != std::string::npos) {
            m_knownTables.insert(key.substr(0, dot));
        }
        return m_root.at_path(key);
    }

    /// @return the line of @p key, of its table when it is missing, or 1.
    [[nodiscard]] auto lineOf(const std::string &key) const -> int
    {
        for (auto path = key; !path.empty();) {
            if (const auto node = m_root.at_path(path)) {
                return static_cast<int>(node.node()->source().begin.line);
            }
            const auto dot = path.rfind('.');
            path = dot == std::string::npos ? std::string{} : path.substr(0, dot);
        }
        return 1;
    }

    auto rejectUnknown(const toml::table &table, const std::string &prefix) -> void
    {
        for (const auto &[name, node] : table) {
            const auto key = prefix + std::string(name.str());
            if (m_known.contains(key)) {
                continue;
            }
            const auto line = static_cast<int>(name.source().begin.line);
            if (!m_knownTables.contains(key)) {
                m_errors.push_back({m_file, line, key, "is not a known key"});
            } else if (const auto *inner = node.as_table(); inner != nullptr) {
                rejectUnknown(*inner, key + ".");
            } else {
                m_errors.push_back({m_file, line, key, "must be a table"});
            }
        }
    }

    const toml::table &m_root;
    std::string m_file;
    std::set<std::string> m_known;
    std::set<std::string> m_knownTables;
    std::vector<SettingsError> m_errors;
};

auto readFile(const std::string &path, std::string &text) -> bool
{
    auto in = std::ifstream(path, std::ios::binary);
    if (!in || std::filesystem::is_directory(path)) { // reading a folder would throw
        return false;
    }
    text.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    return !in.bad();
}

/// Reads a key that is given as a value or as a file.
/// @param name the key of the value; the file's one has the suffix "_file"
auto readSecret(Reader &reader, const std::string &settingsPath, const std::string &name, bool required, std::string &key) -> void
{
    const auto fileName = name + "_file";
    auto file = std::string{};
    const auto hasValue = reader.text(name, false, key);
    const auto hasFile = reader.text(fileName, false, file);
    if (reader.hasError(name) || reader.hasError(fileName) || (!hasValue && !hasFile && !required)) {
        return;
    }
    if (hasValue == hasFile) {
        reader.error(name, hasValue ? "excludes " + fileName + "; give one of the two" : "or " + fileName + " is required");
        return;
    }
    if (hasFile) {
        const auto path = (std::filesystem::path(settingsPath).parent_path() / file).string();
        if (!readFile(path, key)) {
            reader.error(fileName, "file '" + path + "' cannot be read");
            return;
        }
        key.erase(key.find_last_not_of(" \t\r\n") + 1);
    }
    if (key.size() < minKeyLength) {
        reader.error(hasFile ? fileName : name, "the key needs at least " + std::to_string(minKeyLength) + " characters");
    }
}

auto readPeerKeys(Reader &reader, const std::string &settingsPath, PeerSettings &peers) -> void
{
    readSecret(reader, settingsPath, "peers.key", true, peers.key);
    readSecret(reader, settingsPath, "peers.previous_key", false, peers.previousKey);
    if (!peers.key.empty() && peers.key == peers.previousKey) {
        reader.error(reader.isSet("peers.previous_key") ? "peers.previous_key" : "peers.previous_key_file", "is the same as the present key");
    }
}

auto readAddresses(Reader &reader, const std::string &path, Settings &s) -> void
{
    reader.id("instance.id", s.instance);
    reader.id("instance.domain", s.domain);
    reader.id("instance.region", s.region);
    reader.address("listeners.callers", true, s.listeners.callers);
    reader.address("listeners.operators", true, s.listeners.operators);
    reader.address("listeners.peers", true, s.listeners.peers);
    reader.serverAddress("platform.log", s.platform.log);
    reader.serverAddress("platform.instances", s.platform.instances);
    reader.addresses("peers.addresses", s.peers.addresses);
    reader.flag("peers.advertise", s.peers.advertise);
    readPeerKeys(reader, path, s.peers);
    if (reader.text("operators.token_sha256", false, s.operators.tokenSha256) && !isSha256Hex(s.operators.tokenSha256)) {
        reader.error("operators.token_sha256", "must be 64 lower-case hex digits, as printed by 'catkinctl token-hash'");
    }
}

auto reportTlsFiles(Reader &reader, TlsRole role, const TlsFiles &files, const std::string &certificate, const std::string &ca) -> void
{
    for (const auto &it : checkTlsFiles(role, files, systemClock().wall())) {
        reader.error(it.file == TlsFile::Certificate ? certificate : it.file == TlsFile::Key ? "tls.key" : ca, it.message);
    }
}

auto readTls(Reader &reader, const std::string &path, Settings &s) -> void
{
    auto &tls = s.tls;
    reader.path("tls.certificate", path, tls.certificate);
    reader.path("tls.key", path, tls.key);
    reader.path("tls.caller_client_ca", path, tls.callerClientCa);
    reader.path("tls.operator_client_ca", path, tls.operatorClientCa);
    reader.path("tls.ca", path, tls.ca);
    reader.text("tls.platform_name", false, tls.platformName);
    if (!tls.certificate.empty() || !tls.key.empty()) {
        if (tls.certificate.empty() || tls.key.empty()) {
            reader.error(tls.certificate.empty() ? "tls.key" : "tls.certificate", "tls.certificate and tls.key are needed together");
        } else {
            reportTlsFiles(reader, TlsRole::Server, listenerTls(tls, {}), "tls.certificate", {});
        }
    }
    for (const auto &[key, file] : {std::pair<std::string, std::string>{"tls.caller_client_ca", tls.callerClientCa},
                                    {"tls.operator_client_ca", tls.operatorClientCa},
                                    {"tls.ca", tls.ca}}) {
        if (file.empty()) {
            continue;
        }
        reportTlsFiles(reader, TlsRole::Client, {.certificate = {}, .key = {}, .ca = file}, "tls.certificate", key);
        if (key != "tls.ca" && tls.certificate.empty()) {
            reader.error(key, "needs tls.certificate and tls.key, because plain HTTP has no client certificates");
        }
    }
    for (const auto &[key, address] : {std::pair<std::string, std::string>{"platform.log", s.platform.log}, {"platform.instances", s.platform.instances}}) {
        if (usesTls(address) && tls.ca.empty()) {
            reader.error(key, "begins with https://, so tls.ca is required");
        }
    }
    if (!tls.platformName.empty() && !usesTls(s.platform.log) && !usesTls(s.platform.instances)) {
        reader.error("tls.platform_name", "has no effect, because no platform address begins with https://");
    }
}

auto readTimes(Reader &reader, Settings &s) -> void
{
    constexpr auto day = Millis{86400000};
    reader.duration("platform.timeout", Millis{50}, Millis{60000}, s.platform.timeout);
    reader.duration("peers.heartbeat", Millis{50}, Millis{10000}, s.peers.heartbeat);
    reader.duration("peers.remote_heartbeat", Millis{50}, Millis{60000}, s.peers.remoteHeartbeat);
    reader.duration("leases.probation", Millis{500}, Millis{30000}, s.leases.probation);
    reader.duration("leases.run", Millis{5000}, Millis{3600000}, s.leases.run);
    reader.duration("leases.renew", Millis{500}, Millis{600000}, s.leases.renew);
    reader.duration("poll.workers", Millis{50}, Millis{10000}, s.poll.workers);
    // A leaving executor must be noticed within 5 s, which three polls of 1.5 s allow.
    reader.duration("poll.executors", Millis{50}, Millis{1500}, s.poll.executors);
    reader.duration("poll.instances", Millis{50}, Millis{10000}, s.poll.instances);
    reader.duration("requests.key_window", Millis{10000}, 7 * day, s.requests.keyWindow);
    reader.duration("requests.log_retention", Millis{60000}, 365 * day, s.requests.logRetention);
    reader.duration("limits.keep_alive", Millis{1000}, Millis{300000}, s.limits.keepAlive);
    reader.duration("link.burst", Millis{100}, Millis{60000}, s.link.burst);
    reader.duration("drain.notice", Millis{0}, Millis{60000}, s.drain.notice);
    reader.duration("drain.time", Millis{0}, Millis{3600000}, s.drain.time);
}

auto readLimits(Reader &reader, Settings &s) -> void
{
    constexpr auto mib = [](std::int64_t n) { return Bytes{n << 20}; };
    reader.size("limits.request_body", Bytes{1024}, mib(64), s.limits.requestBody);
    reader.size("limits.document_body", Bytes{65536}, mib(64), s.limits.documentBody);
    reader.size("limits.answer_body", Bytes{1024}, mib(256), s.limits.answerBody);
    reader.size("limits.queue_memory", mib(1), mib(4096), s.limits.queueMemory);
    reader.size("limits.attempt_memory", mib(1), mib(4096), s.limits.attemptMemory);
    reader.size("limits.memory", mib(16), mib(16384), s.limits.memory);
    reader.count("limits.caller_threads", 1, 1024, s.limits.callerThreads);
    reader.count("limits.caller_backlog", 0, 4096, s.limits.callerBacklog);
    reader.count("limits.operator_threads", 1, 64, s.limits.operatorThreads);
    reader.count("limits.operator_backlog", 0, 256, s.limits.operatorBacklog);
    reader.count("limits.dispatch_threads", 1, 512, s.limits.dispatchThreads);
    reader.size("link.payload_per_second", Bytes{0}, Bytes{1000000000}, s.link.payloadPerSecond);
    auto level = std::string{};
    if (reader.text("log.level", false, level) && !parseLogLevel(level, s.logLevel)) {
        reader.error("log.level", "'" + level + "' is not one of debug, info, warn, error");
    }
}

auto checkListeners(Reader &reader, const ListenerSettings &listeners) -> void
{
    const auto all = std::vector<std::pair<std::string, std::string>>{
        {"listeners.callers", listeners.callers}, {"listeners.operators", listeners.operators}, {"listeners.peers", listeners.peers}};
    for (auto it = all.begin(); it != all.end(); ++it) {
        const auto same = std::find_if(all.begin(), it, [&](const auto &other) { return other.second == it->second; });
        if (same != it && !it->second.empty() && !it->second.ends_with(":0")) {
            reader.error(it->first, "uses the same address as " + same->first);
        }
    }
}

/// Compares keys with each other; a pair with an invalid value is left to the error already reported.
auto checkContradictions(Reader &reader, const Settings &s) -> void
{
    const auto require = [&](bool holds, const std::string &key, const std::string &other, const std::string &message) {
        if (!holds && !reader.hasError(key) && !reader.hasError(other)) {
            // A default never contradicts another default, so one of the two is in the file.
            reader.error(reader.isSet(key) ? key : other, message);
        }
    };
    checkListeners(reader, s.listeners);
    require(renewalsPerLease * s.leases.renew <= s.leases.run,
            "leases.renew",
            "leases.run",
            "leases.renew (" + durationText(s.leases.renew) + ") must be at most a third of leases.run (" + durationText(s.leases.run) + ")");
    require(s.leases.probation < s.leases.run,
            "leases.probation",
            "leases.run",
            "leases.probation (" + durationText(s.leases.probation) + ") must be below leases.run (" + durationText(s.leases.run) + ")");
    require(s.requests.keyWindow < s.requests.logRetention,
            "requests.key_window",
            "requests.log_retention",
            "requests.key_window (" + durationText(s.requests.keyWindow) + ") must be below requests.log_retention (" + durationText(s.requests.logRetention)
                + ")");
    require(s.peers.heartbeat <= s.peers.remoteHeartbeat,
            "peers.heartbeat",
            "peers.remote_heartbeat",
            "peers.heartbeat (" + durationText(s.peers.heartbeat) + ") must not be above peers.remote_heartbeat (" + durationText(s.peers.remoteHeartbeat)
                + ")");
    require(s.limits.requestBody.value <= s.limits.queueMemory.value,
            "limits.request_body",
            "limits.queue_memory",
            "limits.request_body (" + sizeText(s.limits.requestBody) + ") must not be above limits.queue_memory (" + sizeText(s.limits.queueMemory) + ")");
    const auto payload = s.limits.queueMemory + s.limits.attemptMemory;
    const auto memoryKey = reader.isSet("limits.queue_memory") ? std::string("limits.queue_memory") : std::string("limits.attempt_memory");
    if (!reader.hasError("limits.queue_memory") && !reader.hasError("limits.attempt_memory")) {
        require(minMemoryShare * payload.value <= s.limits.memory.value,
                memoryKey,
                "limits.memory",
                "limits.queue_memory + limits.attempt_memory (" + sizeText(payload) + ") must be at most half of limits.memory (" + sizeText(s.limits.memory)
                    + ")");
    }
}

}

auto listenerTls(const TlsSettings &tls, const std::string &clientCa) -> TlsFiles
{
    return {.certificate = tls.certificate, .key = tls.key, .ca = clientCa};
}

auto parseDuration(const std::string &text, Millis &value) -> bool
{
    auto n = std::int64_t{0};
    if (!parseWithUnit(text, {{"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}, {"d", 86400000}}, n)) {
        return false;
    }
    value = Millis{n};
    return true;
}

auto parseSize(const std::string &text, Bytes &value) -> bool
{
    return parseWithUnit(text, {{"B", 1}, {"KB", 1000}, {"KiB", 1 << 10}, {"MB", 1000000}, {"MiB", 1 << 20}}, value.value);
}

auto parseSettings(const std::string &text, const std::string &path) -> SettingsRead
{
    auto read = SettingsRead{};
    try {
        const auto root = toml::parse(text, path);
        auto reader = Reader(root, path);
        readAddresses(reader, path, read.settings);
        readTls(reader, path, read.settings);
        readTimes(reader, read.settings);
        readLimits(reader, read.settings);
        reader.rejectUnknown();
        checkContradictions(reader, read.settings);
        read.errors = reader.takeErrors();
    } catch (const toml::parse_error &e) {
        read.errors.push_back({path, static_cast<int>(e.source().begin.line), "", "is not valid TOML: " + std::string(e.description())});
    }
    return read;
}

auto loadSettings(const std::string &path) -> SettingsRead
{
    auto text = std::string{};
    if (!readFile(path, text)) {
        return {.errors = {{path, 0, "", "the file cannot be read"}}};
    }
    return parseSettings(text, path);
}

auto formatSettingsError(const SettingsError &error) -> std::string
{
    return error.file + ":" + std::to_string(error.line) + ": " + (error.key.empty() ? "" : error.key + ": ") + error.message;
}

}
