#include "daemon/settings.h"
#include "harness/certificates.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>

using namespace Catkin;

namespace
{

/// Lines 1 to 13 of every test file; the cases below append to it from line 14 on.
const auto valid = std::string{R"([instance]
id = "e-1"
domain = "oviedo"
region = "cantabrico"
[listeners]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
log = "127.0.0.1:9000"
instances = "127.0.0.1:9001"
[peers]
key = "0123456789abcdef0123456789abcdef"
)"};

auto format(const SettingsRead &read) -> std::string
{
    auto text = std::string{};
    for (const auto &error : read.errors) {
        text += formatSettingsError(error) + "\n";
    }
    return text;
}

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

}

TEST_CASE("required keys alone give the documented defaults")
{
    const auto read = parseSettings(valid, "s.toml");
    REQUIRE_MESSAGE(read.errors.empty(), format(read));
    CHECK(read.settings.instance == InstanceId{"e-1"});
    CHECK(read.settings.leases.probation == Millis{3000});
    CHECK(read.settings.leases.run == Millis{120000});
    CHECK(read.settings.leases.renew == Millis{10000});
    CHECK(read.settings.requests.keyWindow == Millis{3600000});
    CHECK(read.settings.limits.memory == Bytes{64 << 20});
    CHECK(read.settings.logLevel == LogLevel::Info);
}

TEST_CASE("values replace defaults, with their units")
{
    const auto read
        = parseSettings(valid
                            + "addresses = [\"192.0.2.1:80\", \"[2001:db8::1]:80\"]\nadvertise = false\n[leases]\nrun = \"2min\"\nrenew = \"1500ms\"\n"
                              "[limits]\nrequest_body = \"64KiB\"\ncaller_threads = 8\n[log]\nlevel = \"debug\"\n",
                        "s.toml");
    REQUIRE_MESSAGE(read.errors.empty(), format(read));
    CHECK(read.settings.peers.addresses.size() == 2);
    CHECK_FALSE(read.settings.peers.advertise);
    CHECK(read.settings.leases.run == Millis{120000});
    CHECK(read.settings.leases.renew == Millis{1500});
    CHECK(read.settings.limits.requestBody == Bytes{65536});
    CHECK(read.settings.limits.callerThreads == 8);
    CHECK(read.settings.logLevel == LogLevel::Debug);
}

TEST_CASE("every bad file is reported with line and key, so that an operator need not guess")
{
    struct Case
    {
        std::string text;
        std::string expected; ///< a part of the formatted errors
    };
    const auto cases = std::vector<Case>{
        {replaced(valid, "id = \"e-1\"\n", ""), "s.toml:1: instance.id: is required"},
        {replaced(valid, "\"e-1\"", "\"e 1\""), "s.toml:2: instance.id: must be 1 to 64"},
        {replaced(valid, "\"e-1\"", "7"), "s.toml:2: instance.id: must be a string"},
        {replaced(valid, "callers = \"127.0.0.1:0\"", "callers = \"localhost:80\""), "s.toml:6: listeners.callers: address 'localhost:80' does not start"},
        {replaced(valid, "callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:70000\""), "s.toml:6: listeners.callers: address"},
        {replaced(valid, "127.0.0.1:9000", "127.0.0.1:0"), "s.toml:10: platform.log: address '127.0.0.1:0' needs a port"},
        {replaced(valid, "0123456789abcdef0123456789abcdef", "short"), "s.toml:13: peers.key: the key needs at least 32"},
        {replaced(valid, "key = ", "other = "), "s.toml:12: peers.key: or peers.key_file is required"},
        {valid + "key_file = \"k\"\n", "s.toml:13: peers.key: excludes peers.key_file"},
        {replaced(valid, "key = \"0123456789abcdef0123456789abcdef\"", "key_file = \"/nonexistent/key\""), "s.toml:13: peers.key_file: file"},
        {replaced(valid, "key = \"0123456789abcdef0123456789abcdef\"", "key_file = \".\""), "s.toml:13: peers.key_file: file"},
        {valid + "previous_key = \"short\"\n", "s.toml:14: peers.previous_key: the key needs at least 32"},
        {valid + "previous_key = \"0123456789abcdef0123456789abcdef\"\n", "s.toml:14: peers.previous_key: is the same as the present key"},
        {valid + "previous_key_file = \"/nonexistent/key\"\n", "s.toml:14: peers.previous_key_file: file"},
        {valid + "previous_key = \"x\"\nprevious_key_file = \"k\"\n", "s.toml:14: peers.previous_key: excludes peers.previous_key_file"},
        {valid + "addresses = \"192.0.2.1:80\"\n", "s.toml:14: peers.addresses: must be a list"},
        {valid + "addresses = [\"192.0.2.1:80\",\n\"x\"]\n", "s.toml:15: peers.addresses[1]: address 'x'"},
        {valid + "addresses = [\"192.0.2.1:80\", \"192.0.2.1:80\"]\n", "peers.addresses[1]: address '192.0.2.1:80' is listed twice"},
        {valid + "advertise = \"no\"\n", "s.toml:14: peers.advertise: must be true or false"},
        {valid + "[leases]\nprobaton = \"3s\"\n", "s.toml:15: leases.probaton: is not a known key"},
        {valid + "[lease]\nrun = \"3s\"\n", "s.toml:14: lease: is not a known key"},
        {"leases = 3\n" + valid, "s.toml:1: leases: must be a table"},
        {valid + "[leases]\nprobation = 3\n", "s.toml:15: leases.probation: must be a string"},
        {valid + "[leases]\nprobation = \"3\"\n", "s.toml:15: leases.probation: '3' is not a duration"},
        {valid + "[leases]\nprobation = \"3 s\"\n", "'3 s' is not a duration"},
        {valid + "[leases]\nprobation = \"-3s\"\n", "'-3s' is not a duration"},
        {valid + "[leases]\nprobation = \"99999999999999999d\"\n", "is not a duration"},
        {valid + "[leases]\nprobation = \"31s\"\n", "leases.probation: 31s is outside 500ms to 30s"},
        {valid + "[leases]\nrun = \"20s\"\n", "s.toml:15: leases.run: leases.renew (10s) must be at most a third of leases.run (20s)"},
        {valid + "[leases]\nrenew = \"41s\"\n", "s.toml:15: leases.renew: leases.renew (41s) must be at most a third"},
        {valid + "[leases]\nrun = \"6s\"\nrenew=\"1s\"\nprobation = \"6s\"\n", "s.toml:17: leases.probation: leases.probation (6s) must be below"},
        {valid + "[requests]\nkey_window = \"1d\"\n", "s.toml:15: requests.key_window: requests.key_window (1d) must be below"},
        {valid + "[poll]\nexecutors = \"2s\"\n", "poll.executors: 2s is outside 50ms to 1500ms"},
        {valid + "heartbeat = \"3s\"\n", "s.toml:14: peers.heartbeat: peers.heartbeat (3s) must not be above"},
        {valid + "[limits]\nrequest_body = 1048576\n", "limits.request_body: must be a string"},
        {valid + "[limits]\nrequest_body = \"1GB\"\n", "'1GB' is not a size"},
        {valid + "[limits]\nrequest_body = \"17MiB\"\n", "limits.request_body: limits.request_body (17MiB) must not be above limits.queue_memory (16MiB)"},
        {valid + "[limits]\nmemory = \"32MiB\"\n", "s.toml:15: limits.memory: limits.queue_memory + limits.attempt_memory (32MiB)"},
        {valid + "[limits]\ncaller_threads = 0\n", "limits.caller_threads: 0 is outside 1 to 1024"},
        {valid + "[limits]\ncaller_threads = 1.5\n", "limits.caller_threads: must be a whole number"},
        {valid + "[operators]\ntoken_sha256 = \"secret\"\n", "operators.token_sha256: must be 64 lower-case hex digits"},
        {valid + "[log]\nlevel = \"verbose\"\n", "log.level: 'verbose' is not one of"},
        {replaced(replaced(valid, "callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:80\""), "peers = \"127.0.0.1:0\"", "peers = \"127.0.0.1:80\""),
         "s.toml:8: listeners.peers: uses the same address as listeners.callers"},
        {valid + "broken\n", "s.toml:14: is not valid TOML"},
    };
    for (const auto &c : cases) {
        const auto errors = format(parseSettings(c.text, "s.toml"));
        CHECK_MESSAGE(errors.find(c.expected) != std::string::npos, "expected \"" << c.expected << "\" in \"" << errors << "\"");
    }
}

TEST_CASE("TLS settings are checked together with their files")
{
    auto made = TestCertificates{};
    const auto good = made.issue("good", {.ip = "127.0.0.1"});
    const auto other = made.issue("other", {.ip = "127.0.0.1"});
    const auto past = made.issue("past", {.validFrom = Seconds{-7200}, .validUntil = Seconds{-3600}});
    const auto pair = [](const TlsFiles &files) { return "[tls]\ncertificate = \"" + files.certificate + "\"\nkey = \"" + files.key + "\"\n"; };
    struct Case
    {
        std::string text;
        std::string expected; ///< a part of the formatted errors; empty: none
    };
    const auto https = replaced(valid, "127.0.0.1:9000", "https://127.0.0.1:9000");
    for (const auto &it : std::vector<Case>{
             {valid + pair(good) + "operator_client_ca = \"" + made.ca() + "\"\n", ""},
             {https + "[tls]\nca = \"" + made.ca() + "\"\nplatform_name = \"log.example\"\n", ""},
             {https, "s.toml:10: platform.log: begins with https://, so tls.ca is required"},
             {replaced(valid, "127.0.0.1:9000", "https://localhost:9000"), "s.toml:10: platform.log: address 'localhost:9000' does not start"},
             {replaced(valid, "callers = \"", "callers = \"https://"), "s.toml:6: listeners.callers: address"},
             {valid + "[tls]\ncertificate = \"c.pem\"\n", "s.toml:15: tls.certificate: tls.certificate and tls.key are needed together"},
             {valid + "[tls]\nkey = \"k.pem\"\n", "s.toml:15: tls.key: tls.certificate and tls.key are needed together"},
             {valid + "[tls]\ncertificate = \"/nonexistent/c.pem\"\nkey = \"" + good.key + "\"\n", "s.toml:15: tls.certificate: file '/nonexistent/c.pem'"},
             {valid + pair({.certificate = good.certificate, .key = other.key, .ca = {}}), "s.toml:16: tls.key: the key in"},
             {valid + pair(past), "s.toml:15: tls.certificate: a certificate in '" + past.certificate + "' expired on 20"},
             {valid + pair(good) + "caller_client_ca = \"/nonexistent/ca.pem\"\n", "s.toml:17: tls.caller_client_ca: file"},
             {valid + "[tls]\ncaller_client_ca = \"" + made.ca() + "\"\n", "s.toml:15: tls.caller_client_ca: needs tls.certificate"},
             {valid + "[tls]\nplatform_name = \"log.example\"\n", "s.toml:15: tls.platform_name: has no effect"},
             {valid + "[tls]\nca = \"\"\n", "s.toml:15: tls.ca: must name a file"},
         }) {
        const auto errors = format(parseSettings(it.text, "s.toml"));
        CHECK_MESSAGE((it.expected.empty() ? errors.empty() : errors.find(it.expected) != std::string::npos),
                      "expected \"" << it.expected << "\" in \"" << errors << "\"");
    }
}

TEST_CASE("all errors of a file are reported at once and in line order")
{
    const auto read = parseSettings(valid + "[limits]\nx = 1\ncaller_threads = -1\n[leases]\nrun = \"1s\"\n[log]\nlevel = \"x\"\n", "s.toml");
    REQUIRE(read.errors.size() == 4);
    CHECK(std::is_sorted(read.errors.begin(), read.errors.end(), [](const auto &a, const auto &b) { return a.line < b.line; }));
}

TEST_CASE("a file that cannot be read is an error, not empty settings")
{
    CHECK(format(loadSettings("/nonexistent/s.toml")) == "/nonexistent/s.toml:0: the file cannot be read\n");
}

TEST_CASE("the shipped example is valid, because operators start from it")
{
    const auto read = loadSettings((std::filesystem::path(CATKIN_SOURCE_DIR) / "examples/settings.toml").string());
    CHECK_MESSAGE(read.errors.empty(), format(read));
    CHECK(read.settings.instance == InstanceId{"entry-oviedo-1"});
}
