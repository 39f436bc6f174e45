#include "contract.h"

#include "harness/certificates.h"
#include "harness/poll.h"
#include "harness/tlspeer.h"
#include "ports/httpclient.h"

#include <sys/stat.h>

#include <csignal>

#include <fstream>
#include <iterator>

using namespace Catkin;

namespace
{

auto call(const std::string &address, HttpTls tls, Millis timeout = longTimeout, Millis connectTimeout = longTimeout) -> Result<HttpReply>
{
    return httpExchange({.address = address,
                         .method = "POST",
                         .path = "/x",
                         .body = "payload",
                         .connectTimeout = connectTimeout,
                         .timeout = timeout,
                         .maxBody = 4096,
                         .tls = std::move(tls)});
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

auto fileText(const std::string &path) -> std::string
{
    auto in = std::ifstream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

}

// Guards against a server that is taken for another one, and against "may have been sent" for a request that was not.
TEST_CASE("a certificate that is not accepted is named, and no byte of the request is sent")
{
    auto made = TestCertificates{};
    struct Case
    {
        std::string name;
        CertificateParams server;
        std::string serverName;
        std::string reason; ///< empty: the exchange succeeds
    };
    const auto hour = Seconds{3600};
    for (const auto &it : std::vector<Case>{
             {"right number", {.ip = "127.0.0.1"}, "", ""},
             {"right name", {.dns = "log.example"}, "log.example", ""},
             {"wrong CA", {.ip = "127.0.0.1", .issuer = "other"}, "", "not signed by a known CA"},
             {"wrong number", {.ip = "192.0.2.1", .dns = "log.example"}, "", "not valid for 127.0.0.1, only for 192.0.2.1, log.example"},
             {"no names at all", {}, "", "not valid for 127.0.0.1, only for no name"},
             {"a name is asked for, only the number fits", {.ip = "127.0.0.1"}, "log.example", "not valid for log.example, only for 127.0.0.1"},
             {"another name", {.dns = "log.example.org"}, "log.example", "not valid for log.example, only for log.example.org"},
             {"expired", {.ip = "127.0.0.1", .validFrom = -24 * hour, .validUntil = -hour}, "", "its certificate expired on 20"},
             {"not yet valid", {.ip = "127.0.0.1", .validFrom = hour, .validUntil = 24 * hour}, "", "its certificate is not valid before 20"},
         }) {
        CAPTURE(it.name);
        const auto peer = TlsPeer{made.issue("server", it.server), {}};
        const auto reply = call(peer.address(), {.credentials = made.client(), .name = it.serverName});
        REQUIRE(eventually([&] { return peer.connections() > 0; }));
        if (it.reason.empty()) {
            checkOutcome(reply, std::nullopt);
            CHECK(peer.requestBytes() > 0);
            continue;
        }
        checkOutcome(reply, ErrorCode::NotSent);
        REQUIRE(reply.has_error());
        CHECK_MESSAGE(contains(reply.error().message, it.reason), reply.error().message);
        CHECK(peer.requestBytes() == 0);
    }
}

TEST_CASE("a handshake that does not end means that nothing was sent")
{
    auto made = TestCertificates{};
    const auto tls = HttpTls{.credentials = made.client(), .name = {}};
    struct Case
    {
        std::string name;
        std::string answer; ///< of the server to the first bytes
        Millis pause;
        Millis connectTimeout;
        std::string reason;
    };
    const auto record = std::string("\x16\x03\x03\x40\x00\x02", 6); // begins a handshake record of 16 KiB
    for (const auto &it : std::vector<Case>{
             {"plain server", "HTTP/1.1 400 Bad Request\r\n\r\n", Millis{0}, longTimeout, "does not speak TLS"},
             {"closed at once", "", Millis{0}, longTimeout, "closed during the TLS handshake"},
             {"truncated", record, Millis{0}, longTimeout, "closed during the TLS handshake"},
             {"trickles", record + std::string(2000, '\0'), Millis{20}, shortTimeout, "did not end in time"},
             {"an alert", std::string("\x15\x03\x03\x00\x02\x02\x28", 7), Millis{0}, longTimeout, "the TLS handshake failed"},
         }) {
        CAPTURE(it.name);
        const auto peer = RawPeer{it.answer, it.pause};
        const auto reply = call("https://" + peer.address(), tls, longTimeout, it.connectTimeout);
        checkOutcome(reply, ErrorCode::NotSent);
        CHECK_MESSAGE(contains(reply.error().message, it.reason), reply.error().message);
    }
    // A stopped server accepts the connection in its kernel and says nothing.
    const auto stopped = requireStandin("executor_standin");
    stopped->signal(SIGSTOP);
    checkOutcome(call("https://" + stopped->address(), tls, longTimeout, shortTimeout), ErrorCode::NotSent);
    checkOutcome(call("https://" + stopped->address(), tls, shortTimeout, longTimeout), ErrorCode::NotSent);
    checkOutcome(call("https://" + deadAddress(), tls), ErrorCode::NotSent);
    checkOutcome(call("https://127.0.0.1:9", {}), ErrorCode::InvalidInput);
}

TEST_CASE("after the handshake an exchange has the same limits and errors as in plain text")
{
    auto made = TestCertificates{};
    const auto files = made.issue("server", {.ip = "127.0.0.1"});
    const auto header = std::string("HTTP/1.1 200 OK\r\n");
    struct Case
    {
        std::string name;
        TlsPeerOptions peer;
        std::optional<ErrorCode> expected;
    };
    for (const auto &it : std::vector<Case>{
             {"complete", {}, std::nullopt},
             {"complete, end not announced", {.announceEnd = false}, std::nullopt},
             {"announced end as the end of the body", {.answer = header + "\r\nok"}, std::nullopt},
             {"connection cut inside a body without a length", {.answer = header + "\r\nok", .announceEnd = false}, ErrorCode::Unknown},
             {"closed without an answer", {.answer = ""}, ErrorCode::Unknown},
             {"body cut off", {.answer = header + "Content-Length: 9\r\n\r\nok"}, ErrorCode::Unknown},
             {"body too long", {.answer = header + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x')}, ErrorCode::Limit},
             {"endless header", {.answer = header + std::string(100, 'x') + std::string(100'000, '\n')}, ErrorCode::Limit},
             {"no answer in time", {.stall = true}, ErrorCode::Timeout},
         }) {
        CAPTURE(it.name);
        const auto peer = TlsPeer{files, it.peer};
        checkOutcome(call(peer.address(), {.credentials = made.client(), .name = {}}, it.peer.stall ? shortTimeout : longTimeout), it.expected);
    }
}

TEST_CASE("a server that asks for client certificates accepts only those of its CA")
{
    auto made = TestCertificates{};
    auto files = made.issue("server", {.ip = "127.0.0.1"});
    files.ca = made.ca("clients");
    const auto peer = TlsPeer{files, {}};
    const auto good = made.issue("client", {.issuer = "clients"});
    checkOutcome(call(peer.address(), {.credentials = made.client("ca", good), .name = {}}), std::nullopt);
    const auto sent = peer.requestBytes();
    for (const auto &own : {TlsFiles{}, made.issue("stranger", {.issuer = "other"})}) {
        const auto reply = call(peer.address(), {.credentials = made.client("ca", own), .name = {}});
        // In TLS 1.3 a client learns of this only after it has sent its request; it must not claim that nothing was sent.
        checkOutcome(reply, ErrorCode::Unknown);
    }
    REQUIRE(eventually([&] { return peer.connections() == 3; }));
    CHECK(peer.requestBytes() == sent);
}

TEST_CASE("every unusable file is reported with its reason")
{
    auto made = TestCertificates{};
    const auto good = made.issue("good", {.ip = "127.0.0.1"});
    const auto other = made.issue("other", {.ip = "127.0.0.1"});
    const auto past = made.issue("past", {.validFrom = Seconds{-7200}, .validUntil = Seconds{-3600}});
    const auto future = made.issue("future", {.validFrom = Seconds{3600}, .validUntil = Seconds{7200}});
    const auto open = made.write("open.key", fileText(good.key));
    REQUIRE(chmod(open.c_str(), 0644) == 0);
    const auto text = made.write("text.pem", "hello\n");
    const auto mixedCa = made.write("mixed.pem", fileText(past.certificate) + fileText(made.ca()));
    struct Case
    {
        std::string name;
        TlsRole role;
        TlsFiles files;
        std::vector<std::string> errors;
    };
    for (const auto &it : std::vector<Case>{
             {"good server", TlsRole::Server, good, {}},
             {"good client", TlsRole::Client, {.ca = made.ca()}, {}},
             {"no file", TlsRole::Server, {.certificate = made.path("none"), .key = good.key}, {"cannot be read: No such file"}},
             {"folder", TlsRole::Server, {.certificate = made.path(""), .key = good.key}, {"cannot be read"}},
             {"no PEM", TlsRole::Server, {.certificate = text, .key = text}, {"holds no certificate", "holds no private key"}},
             {"key of another certificate", TlsRole::Server, {.certificate = good.certificate, .key = other.key}, {"does not belong to the certificate"}},
             {"key open to others", TlsRole::Server, {.certificate = good.certificate, .key = open}, {"set its mode to 0600"}},
             {"expired", TlsRole::Server, past, {"expired on 20"}},
             {"not yet valid", TlsRole::Server, future, {"is not valid before 20"}},
             {"no key", TlsRole::Server, {.certificate = good.certificate}, {"needed together"}},
             {"no CA", TlsRole::Client, {}, {"needs a file with CA"}},
             {"expired CA", TlsRole::Client, {.ca = past.certificate}, {"expired on 20"}},
             {"former CA beside a valid one", TlsRole::Client, {.ca = mixedCa}, {}},
         }) {
        CAPTURE(it.name);
        const auto errors = checkTlsFiles(it.role, it.files, systemClock().wall());
        REQUIRE(errors.size() == it.errors.size());
        for (auto i = std::size_t{0}; i < errors.size(); ++i) {
            CHECK_MESSAGE(contains(errors[i].message, it.errors[i]), errors[i].message);
        }
    }
}

TEST_CASE("changed files are used once they fit together, and rejected ones are reported once")
{
    auto made = TestCertificates{};
    const auto files = made.issue("server", {.ip = "127.0.0.1"});
    const auto credentials = TlsCredentials::load(TlsRole::Server, files, systemClock()).value();
    const auto first = credentials->current();
    CHECK(credentials->refresh() == TlsRefresh::Unchanged);
    const auto next = made.issue("next", {.ip = "127.0.0.1"});
    made.write("server.pem", fileText(next.certificate)); // its key is not there yet
    CHECK(credentials->refresh() == TlsRefresh::Rejected);
    CHECK(contains(credentials->rejection(), "does not belong"));
    CHECK(credentials->refresh() == TlsRefresh::Unchanged);
    CHECK(credentials->current() == first);
    made.write("server.key", fileText(next.key));
    CHECK(credentials->refresh() == TlsRefresh::Replaced);
    CHECK(credentials->current() != first);
    CHECK(contains(credentials->validUntil(), "UTC"));
}
