#include "util/clock.h"
#include "wire/peerlink.h"
#include "wire/testing/samples.h"

#include <doctest/doctest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>

using namespace Catkin;

namespace
{

auto socketPair() -> std::pair<UniqueFd, UniqueFd>
{
    auto fds = std::array<int, 2>{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds.data()) == 0);
    return {UniqueFd{fds[0]}, UniqueFd{fds[1]}};
}

auto linkOptions(const char *self, const char *target, const char *region = "cuyo", const char *key = "0123456789abcdef") -> PeerLinkOptions
{
    return {.handshake = {.self = {InstanceId{self}, {1}, FailureDomainId{"las-lenas"}, RegionId{region}, {}}, .key = key, .target = InstanceId{target}}};
}

/// Two links joined by a socket pair, or one link and the raw other end.
struct Pair
{
    ManualClock clock;
    UniqueFd raw;
    std::unique_ptr<PeerLink> a;
    std::unique_ptr<PeerLink> b;

    /// Joins a connecting and an accepting link.
    auto join(const char *regionOfB = "cuyo", const char *keyOfB = "0123456789abcdef") -> void
    {
        auto [x, y] = socketPair();
        a = std::make_unique<PeerLink>(std::move(x), LinkRole::Connecting, linkOptions("a", "b"), clock.now());
        b = std::make_unique<PeerLink>(std::move(y), LinkRole::Accepting, linkOptions("b", "", regionOfB, keyOfB), clock.now());
    }

    /// Gives an accepting link a raw peer.
    auto acceptRaw() -> void
    {
        auto [x, y] = socketPair();
        raw = std::move(x);
        b = std::make_unique<PeerLink>(std::move(y), LinkRole::Accepting, linkOptions("b", ""), clock.now());
    }

    auto writeRaw(std::string_view bytes) const -> void
    {
        REQUIRE(write(raw.get(), bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    [[nodiscard]] auto step(PeerLink &link) const -> Result<std::vector<Envelope>>
    {
        return link.onReady(POLLIN | POLLOUT, clock.now());
    }

    /// Runs both links until nothing is left to say.
    auto exchange() const -> Result<void>
    {
        for (auto i = 0; i < 6; ++i) {
            for (auto *link : {a.get(), b.get()}) {
                if (auto received = step(*link); !received) {
                    return received.error();
                }
            }
        }
        return success();
    }
};

auto frameOf(const Message &message) -> std::string
{
    return encodeFrame({0, false, message}).value();
}

}

TEST_CASE("a link delivers messages in order after the handshake and counts them")
{
    auto p = Pair{};
    p.join();
    REQUIRE(p.exchange());
    REQUIRE(p.a->authenticated());
    REQUIRE(p.b->authenticated());
    CHECK(p.b->peer().instance == InstanceId{"a"});
    CHECK(p.a->sameRegion());
    auto bytes = std::size_t{0};
    for (auto i = 0; i < 3; ++i) {
        const auto frame = frameOf(JobNotice{.job = JobId{std::to_string(i)}});
        bytes += frame.size() + sealSize;
        p.a->send(frame, TrafficClass::Control, p.clock.now());
    }
    REQUIRE(p.a->flush(p.clock.now()));
    const auto received = p.step(*p.b);
    REQUIRE(received);
    REQUIRE(received.value().size() == 3);
    CHECK(std::get<JobNotice>(received.value()[2].message).job == JobId{"2"});
    const auto sent = p.a->takeCounts();
    const auto got = p.b->takeCounts();
    for (auto i = std::size_t{0}; i < trafficClassCount; ++i) {
        CHECK(sent[i].bytesOut == got[i].bytesIn);
        CHECK(sent[i].messagesOut == got[i].messagesIn);
    }
    CHECK(got[static_cast<std::size_t>(TrafficClass::Control)].bytesIn == bytes);
    CHECK(got[static_cast<std::size_t>(TrafficClass::Handshake)].messagesIn == 2);
}

TEST_CASE("peers that do not authenticate are refused")
{
    struct Case
    {
        const char *name;
        std::string bytes;
    };
    auto oversized = std::string(frameHeaderSize, '\0');
    oversized[1] = 0x20; // 8192 bytes: allowed only after the handshake
    const auto cases = std::vector<Case>{
        {"garbage", std::string(200, '\x7f')},
        {"text of another protocol", "GET / HTTP/1.1\r\n\r\n"},
        {"valid frame with garbage", std::string("\x08\0\0\0abcdefgh", 12)},
        {"frame above the handshake limit", oversized},
        {"message before the handshake", frameOf(JobNotice{.job = JobId{"j"}})},
        {"proof without hello", frameOf(Proof{std::string(64, 'a')})},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto p = Pair{};
        p.acceptRaw();
        p.writeRaw(it.bytes);
        const auto received = p.step(*p.b);
        REQUIRE(received.has_error());
        CHECK(received.error().code == ErrorCode::Protocol);
        CHECK_FALSE(p.b->authenticated());
    }
    auto p = Pair{};
    p.join("cuyo", "another key of 16+ bytes");
    auto result = p.exchange();
    REQUIRE(result.has_error());
    CHECK(result.error().code == ErrorCode::Unauthorized);
    auto closed = Pair{};
    closed.acceptRaw();
    closed.raw.reset();
    CHECK(closed.step(*closed.b).error().code == ErrorCode::Unavailable);
}

TEST_CASE("a peer that sends its handshake byte by byte does not extend the deadline")
{
    auto p = Pair{};
    p.acceptRaw();
    const auto hello = frameOf(Hello{.version = peerProtocolVersion, .instance = InstanceId{"a"}, .nonce = std::string(64, 'a'), .target = InstanceId{"b"}});
    auto pos = std::size_t{0};
    for (; pos < 19; ++pos) {
        p.clock.advance(Millis{100});
        p.writeRaw(hello.substr(pos, 1));
        CHECK(p.step(*p.b).has_value());
        CHECK(p.b->checkDeadlines(p.clock.now()).has_value());
    }
    p.writeRaw(hello.substr(pos, 1));
    p.clock.advance(Millis{100});
    CHECK(p.step(*p.b).has_value());
    CHECK(p.b->nextDeadline() <= p.clock.now());
    CHECK(p.b->checkDeadlines(p.clock.now()).error().code == ErrorCode::Timeout);
}

TEST_CASE("links end at their deadlines")
{
    struct Case
    {
        const char *name;
        const char *region; // of the peer
        Millis limit;
    };
    for (const auto &it : {Case{"silent peer in the region", "cuyo", Millis{1500}}, Case{"silent peer across regions", "patagonia-norte", Millis{6000}}}) {
        CAPTURE(it.name);
        auto p = Pair{};
        p.join(it.region);
        REQUIRE(p.exchange());
        p.clock.advance(it.limit - Millis{1});
        CHECK(p.a->checkDeadlines(p.clock.now()).has_value());
        p.clock.advance(Millis{1});
        CHECK(p.a->checkDeadlines(p.clock.now()).error().code == ErrorCode::Timeout);
        CHECK(p.a->nextDeadline() <= p.clock.now());
        p.b->send(frameOf(Ping{}), TrafficClass::Heartbeat, p.clock.now());
        REQUIRE(p.b->flush(p.clock.now()));
        REQUIRE(p.step(*p.a));
        CHECK(p.a->checkDeadlines(p.clock.now()).has_value());
    }
    // No event arrives for a connection that is never established.
    auto p = Pair{};
    p.join();
    p.clock.advance(Millis{1000});
    CHECK(p.a->checkDeadlines(p.clock.now()).error().code == ErrorCode::Timeout);
}

TEST_CASE("a peer that still talks but reads nothing is given up")
{
    // Guards against a half-open connection on which only one direction works.
    auto p = Pair{};
    p.join();
    REQUIRE(p.exchange());
    const auto frame = frameOf(TicketForward{.payload = std::string(500'000, 'x')});
    for (auto i = 0; i < 4; ++i) {
        p.a->send(frame, TrafficClass::Bulk, p.clock.now());
    }
    REQUIRE(p.a->flush(p.clock.now()));
    REQUIRE(p.a->pendingBytes() > 0);
    for (auto i = 0; i < 3; ++i) {
        p.clock.advance(Millis{500});
        p.b->send(frameOf(Ping{}), TrafficClass::Heartbeat, p.clock.now());
        REQUIRE(p.b->flush(p.clock.now()));
        REQUIRE(p.step(*p.a));
    }
    CHECK(p.a->lastReceived() == p.clock.now());
    CHECK(p.a->checkDeadlines(p.clock.now()).error().code == ErrorCode::Timeout);
    // Once it reads again, everything arrives.
    auto received = std::size_t{0};
    for (auto i = 0; i < 200 && received < 4; ++i) {
        received += p.step(*p.b).value().size();
        REQUIRE(p.a->flush(p.clock.now()));
    }
    CHECK(received == 4);
}

TEST_CASE("handshake messages on an authenticated link are an error")
{
    for (const auto &sample : Testing::sampleEnvelopes()) {
        auto p = Pair{};
        p.join();
        REQUIRE(p.exchange());
        p.a->send(encodeFrame(sample).value(), TrafficClass::Control, p.clock.now());
        REQUIRE(p.a->flush(p.clock.now()));
        CHECK(p.step(*p.b).has_error() == (trafficClass(sample.message) == TrafficClass::Handshake));
    }
}

namespace
{

/// Two authenticated links with somebody between them who can hold and change what the first one sends.
struct Intercepted
{
    ManualClock clock;
    UniqueFd nearA;
    UniqueFd nearB;
    std::unique_ptr<PeerLink> a;
    std::unique_ptr<PeerLink> b;

    explicit Intercepted(const char *previousKeyOfA = "")
    {
        auto [endA, middleA] = socketPair();
        auto [endB, middleB] = socketPair();
        nearA = std::move(middleA);
        nearB = std::move(middleB);
        auto options = linkOptions("a", "b");
        options.handshake.previousKey = previousKeyOfA;
        a = std::make_unique<PeerLink>(std::move(endA), LinkRole::Connecting, options, clock.now());
        b = std::make_unique<PeerLink>(std::move(endB), LinkRole::Accepting, linkOptions("b", ""), clock.now());
        for (auto i = 0; i < 6; ++i) {
            REQUIRE(a->onReady(POLLIN | POLLOUT, clock.now()));
            deliver(nearB, take(nearA));
            REQUIRE(b->onReady(POLLIN | POLLOUT, clock.now()));
            deliver(nearA, take(nearB));
        }
        REQUIRE(a->authenticated());
        REQUIRE(b->authenticated());
    }

    /// @return the bytes of one frame sent by @p from, and not delivered.
    auto frame(PeerLink &from, const Message &message) -> std::string
    {
        from.send(frameOf(message), TrafficClass::Control, clock.now());
        REQUIRE(from.flush(clock.now()));
        return take(&from == a.get() ? nearA : nearB);
    }

    static auto take(const UniqueFd &fd) -> std::string
    {
        auto buf = std::array<char, 65536>{};
        const auto n = read(fd.get(), buf.data(), buf.size());
        return {buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
    }

    static auto deliver(const UniqueFd &fd, const std::string &bytes) -> void
    {
        REQUIRE(write(fd.get(), bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    auto receive(const std::string &bytes) -> Result<std::vector<Envelope>>
    {
        deliver(nearB, bytes);
        return b->onReady(POLLIN, clock.now());
    }
};

auto notice(const char *id) -> Message
{
    return JobNotice{.job = JobId{id}};
}

}

// Guards against somebody between two instances who changes what they say, or says it again.
TEST_CASE("a frame that was changed, repeated, left out or moved closes the link and is not delivered")
{
    struct Case
    {
        const char *name;
        std::function<std::string(Intercepted &)> bytes;
    };
    const auto cases = std::vector<Case>{
        {"repeated", [](auto &p) { return p.frame(*p.a, notice("1")); }},
        {"left out",
         [](auto &p) {
             p.frame(*p.a, notice("1"));
             return p.frame(*p.a, notice("2"));
         }},
        {"swapped",
         [](auto &p) {
             const auto first = p.frame(*p.a, notice("1"));
             return p.frame(*p.a, notice("2")) + first;
         }},
        {"reflected", [](auto &p) { return p.frame(*p.b, notice("1")); }},
        {"of another link between the same two",
         [](auto &) {
             auto other = Intercepted{};
             return other.frame(*other.a, notice("1"));
         }},
        {"without MACs", [](auto &) { return frameOf(notice("1")) + std::string(64, 'x'); }},
        {"length raised",
         [](auto &p) {
             auto frame = p.frame(*p.a, notice("1"));
             frame[1] = '\x01';
             return frame;
         }},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto p = Intercepted{};
        auto bytes = it.bytes(p);
        if (std::string_view(it.name) == "repeated") {
            REQUIRE(p.receive(bytes));
        }
        const auto received = p.receive(bytes);
        REQUIRE(received.has_error());
        CHECK(received.error().code == ErrorCode::Unauthorized);
        // The link stays unusable, whatever follows.
        CHECK(p.receive(p.frame(*p.a, notice("3"))).has_error());
    }
}

TEST_CASE("no single changed byte of a frame is accepted")
{
    auto first = Intercepted{};
    const auto size = first.frame(*first.a, notice("1")).size();
    REQUIRE(size > sealSize);
    for (auto i = std::size_t{0}; i < size; ++i) {
        auto p = Intercepted{};
        auto frame = p.frame(*p.a, notice("1"));
        frame[i] = static_cast<char>(frame[i] ^ 1);
        const auto received = p.receive(frame);
        REQUIRE(received.has_error());
        CHECK(received.error().code == ErrorCode::Unauthorized);
    }
}

TEST_CASE("a frame that is cut off is not delivered, and the end inside it is known")
{
    auto p = Intercepted{};
    REQUIRE(p.receive(p.frame(*p.a, notice("1"))).value().size() == 1);
    CHECK_FALSE(p.b->insideFrame());
    const auto frame = p.frame(*p.a, notice("2"));
    CHECK(p.receive(frame.substr(0, frame.size() - 1)).value().empty());
    p.nearB.reset();
    const auto ended = p.b->onReady(POLLIN, p.clock.now());
    REQUIRE(ended.has_error());
    CHECK(ended.error().code == ErrorCode::Unavailable);
    CHECK(p.b->insideFrame());
}

TEST_CASE("frames are protected under the previous key as well")
{
    auto p = Intercepted{"previous key of 16+ bytes"};
    CHECK_FALSE(p.a->usedPreviousKey());
    auto options = linkOptions("a", "b", "cuyo", "the next key of 16+ bytes");
    options.handshake.previousKey = "0123456789abcdef";
    auto pair = Pair{};
    auto [x, y] = socketPair();
    pair.a = std::make_unique<PeerLink>(std::move(x), LinkRole::Connecting, options, pair.clock.now());
    pair.b = std::make_unique<PeerLink>(std::move(y), LinkRole::Accepting, linkOptions("b", ""), pair.clock.now());
    REQUIRE(pair.exchange());
    CHECK(pair.a->usedPreviousKey());
    CHECK_FALSE(pair.b->usedPreviousKey());
    pair.b->send(frameOf(notice("1")), TrafficClass::Control, pair.clock.now());
    REQUIRE(pair.b->flush(pair.clock.now()));
    CHECK(pair.step(*pair.a).value().size() == 1);
}
