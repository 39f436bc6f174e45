#include "contract.h"

#include "ports/httpclient.h"

#include <csignal>

using namespace Catkin;

namespace
{

auto get(const std::string &address, Millis timeout, std::size_t maxBody = 4096) -> Result<HttpReply>
{
    return httpExchange({.address = address, .method = "GET", .path = "/x", .timeout = timeout, .maxBody = maxBody});
}

}

TEST_CASE("an address is an IP number and a port that can be connected to")
{
    struct Case
    {
        std::string text;
        bool valid;
    };
    for (const auto &it : std::vector<Case>{
             {"127.0.0.1:80", true},
             {"[::1]:65535", true},
             {"127.0.0.1:0", false},
             {"127.0.0.1:-1", false},
             {"127.0.0.1:65536", false},
             {"127.0.0.1:80x", false},
             {"127.0.0.1:", false},
             {"127.0.0.1", false},
             {"::1:80", false},
             {"[127.0.0.1]:80", false},
             {"localhost:80", false},
             {"", false},
         }) {
        CAPTURE(it.text);
        const auto parts = splitAddress(it.text);
        CHECK(parts.has_value() == it.valid);
        CHECK((parts.has_value() || parts.error().code == ErrorCode::InvalidInput));
    }
}

TEST_CASE("answers that break HTTP or its limits are errors, never partial replies")
{
    struct Case
    {
        std::string name;
        std::string answer;
        std::optional<ErrorCode> expected;
    };
    const auto header = std::string("HTTP/1.1 200 OK\r\n");
    for (const auto &it : std::vector<Case>{
             {"complete", header + "Content-Length: 2\r\n\r\nok", std::nullopt},
             {"nothing", "", ErrorCode::Unknown},
             {"not HTTP", "SSH-2.0-x\r\n\r\n", ErrorCode::Unknown},
             {"header cut off", header + "Content-Le", ErrorCode::Unknown},
             {"body cut off", header + "Content-Length: 9\r\n\r\nok", ErrorCode::Unknown},
             {"chunk cut off", header + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", ErrorCode::Unknown},
             {"body too long", header + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x'), ErrorCode::Limit},
             {"chunks too long", header + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'x') + "\r\n0\r\n\r\n", ErrorCode::Limit},
             {"header line too long", header + "A: " + std::string(20000, 'x') + "\r\n\r\n", ErrorCode::Unknown},
             {"redirect", "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", std::nullopt},
         }) {
        CAPTURE(it.name);
        const auto peer = RawPeer{it.answer};
        checkOutcome(get(peer.address(), longTimeout), it.expected);
    }
}

TEST_CASE("headers without end do not fill the memory")
{
    auto flood = std::string("HTTP/1.1 200 OK\r\n");
    for (auto i = 0; i < 100000; ++i) {
        flood += "X-" + std::to_string(i) + ": x\r\n";
    }
    const auto peer = RawPeer{flood + "Content-Length: 0\r\n\r\n"};
    checkOutcome(get(peer.address(), longTimeout), ErrorCode::Limit);
}

TEST_CASE("the deadline is total: a peer that trickles is cut off although every byte arrives in time")
{
    struct Case
    {
        std::string name;
        std::string answer;
    };
    // At 20 ms a byte each answer would be complete after several seconds.
    for (const auto &it : std::vector<Case>{
             {"header", "HTTP/1.1 200 OK\r\nX-Padding: " + std::string(200, 'x') + "\r\nContent-Length: 0\r\n\r\n"},
             {"body", "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x')},
             {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + std::string(200, 'x') + "\r\n0\r\n\r\n"},
         }) {
        CAPTURE(it.name);
        const auto peer = RawPeer{it.answer, Millis{20}};
        checkOutcome(get(peer.address(), shortTimeout), ErrorCode::Timeout);
    }
}

TEST_CASE("a request that was sent in part counts as sent")
{
    const auto post = [](const std::string &address, Millis timeout) {
        return httpExchange({.address = address, .method = "POST", .path = "/x", .body = std::string(std::size_t{32} << 20U, 'x'), .timeout = timeout});
    };
    const auto closing = RawPeer{""};
    checkOutcome(post(closing.address(), longTimeout), ErrorCode::Unknown);
    const auto stopped = requireStandin("executor_standin");
    stopped->signal(SIGSTOP);
    checkOutcome(post(stopped->address(), shortTimeout), ErrorCode::Timeout);
}

TEST_CASE("without a connection nothing was sent")
{
    checkOutcome(get(deadAddress(), longTimeout), ErrorCode::NotSent);
    checkOutcome(get("127.0.0.1:1", Millis{0}), ErrorCode::NotSent);
    checkOutcome(get("nowhere", longTimeout), ErrorCode::InvalidInput);
}
