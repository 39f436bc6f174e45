#include "daemon/daemon.h"
#include "harness/certificates.h"
#include "harness/poll.h"
#include "ports/httpclient.h"
#include "util/digest.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace Catkin;

namespace
{

constexpr auto token = "an operator's token";

auto fileText(const std::string &path) -> std::string
{
    auto in = std::ifstream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

auto get(const std::string &address, const std::string &path, const std::shared_ptr<TlsCredentials> &client = {}) -> Result<HttpReply>
{
    constexpr auto longTimeout = Millis{20'000};
    return httpExchange({.address = address,
                         .method = "GET",
                         .path = path,
                         .headers = {{"Authorization", std::string("Bearer ") + token}},
                         .connectTimeout = longTimeout,
                         .timeout = longTimeout,
                         .tls = {.credentials = client, .name = {}}});
}

auto settingsFor(const TlsFiles &files) -> Settings
{
    auto settings = Settings{.instance = InstanceId{"e-1"}, .domain = FailureDomainId{"oviedo"}, .region = RegionId{"cantabrico"}};
    settings.listeners = {.callers = "127.0.0.1:0", .operators = "127.0.0.1:0", .peers = "127.0.0.1:0"};
    settings.platform.log = "127.0.0.1:1"; // nothing listens there
    settings.platform.instances = "127.0.0.1:1";
    settings.peers.key = "0123456789abcdef0123456789abcdef";
    settings.operators.tokenSha256 = sha256Hex(token);
    settings.tls.certificate = files.certificate;
    settings.tls.key = files.key;
    return settings;
}

}

// Guards against settings that are checked and then not used.
TEST_CASE("the daemon serves both listeners over TLS, counts failed handshakes and takes over a replaced certificate")
{
    auto made = TestCertificates{};
    const auto files = made.issue("server", {.ip = "127.0.0.1"});
    auto daemon = Daemon{settingsFor(files), systemClock()};
    const auto ports = daemon.start();
    REQUIRE(ports.has_value());
    const auto operators = "127.0.0.1:" + std::to_string(ports.value().operators);
    const auto callers = "127.0.0.1:" + std::to_string(ports.value().callers);
    const auto client = made.client();
    CHECK(get("https://" + operators, "/healthz", client).value().status == 200);
    CHECK(get("https://" + callers, "/v1/jobs", client).value().status != 400);
    CHECK(get(operators, "/healthz").value().status == 400);
    CHECK(get(callers, "/v1/jobs").value().status == 400);
    const auto metrics = get("https://" + operators, "/metrics", client).value().body;
    CHECK(metrics.find("catkin_tls_handshakes_failed_total{listener=\"operators\"} 1") != std::string::npos);
    CHECK(metrics.find("catkin_tls_handshakes_failed_total{listener=\"callers\"} 1") != std::string::npos);
    const auto next = made.issue("next", {.ip = "127.0.0.1", .issuer = "next-ca"});
    made.write("server.pem", fileText(next.certificate));
    made.write("server.key", fileText(next.key));
    const auto later = made.client("next-ca");
    CHECK(eventually([&] { return get("https://" + operators, "/healthz", later).has_value() && get("https://" + callers, "/v1/jobs", later).has_value(); }));
}

TEST_CASE("a daemon whose TLS files have become unusable does not start with plain HTTP instead")
{
    auto made = TestCertificates{};
    const auto settings = settingsFor(made.issue("server", {.ip = "127.0.0.1"}));
    made.write("server.key", "");
    auto daemon = Daemon{settings, systemClock()};
    const auto ports = daemon.start();
    REQUIRE(ports.has_error());
    CHECK(ports.error().code == ErrorCode::InvalidInput);
    CHECK(ports.error().message.find("holds no private key") != std::string::npos);
}
