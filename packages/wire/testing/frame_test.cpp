#include "util/random.h"
#include "wire/frame.h"
#include "wire/testing/samples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <variant>

using namespace Catkin;

namespace
{

auto header(std::uint32_t length) -> std::string
{
    auto bytes = std::string{};
    for (auto i = 0U; i < 4; ++i) {
        bytes += static_cast<char>((length >> (8 * i)) & 0xffU);
    }
    return bytes;
}

auto frameOf(const Envelope &envelope) -> std::string
{
    auto frame = encodeFrame(envelope);
    REQUIRE(frame);
    return frame.value();
}

auto payloadOf(const Envelope &envelope) -> std::string
{
    return frameOf(envelope).substr(frameHeaderSize);
}

}

TEST_CASE("every message keeps all its fields")
{
    // Guards against fields that are written but not read, or swapped: encoding the decoded message again must give the same bytes.
    const auto samples = Testing::sampleEnvelopes();
    CHECK(samples.size() + 1 == std::variant_size_v<Message>);
    for (const auto &sample : samples) {
        CAPTURE(sample.message.index());
        auto decoded = decodeEnvelope(payloadOf(sample));
        REQUIRE(decoded);
        CHECK(decoded.value().message.index() == sample.message.index());
        CHECK(frameOf(decoded.value()) == frameOf(sample));
    }
    const auto ticket = std::get<TicketForward>(decodeEnvelope(payloadOf(samples[7])).value().message);
    CHECK(ticket.workspace.str() + ticket.caller.str() + ticket.kind.str() + ticket.key.str() == "bootsfittercheckliner-7");
    CHECK(ticket.firstSent == WallTime{Millis{1'700'000'000'123}});
    CHECK(ticket.deadline == Millis{250});
    const auto beat = std::get<Heartbeat>(decodeEnvelope(payloadOf(samples[3])).value().message);
    CHECK(beat.reportsDemand);
    CHECK(beat.demands == std::vector<DemandEntry>{{7, 2.5F}, {8, 0}});
    const auto outcome = std::get<AttemptOutcome>(decodeEnvelope(payloadOf(samples[6])).value().message);
    CHECK(outcome.state == AttemptState::Voided);
    CHECK(outcome.verdict == RequestVerdict::NotRun);
    CHECK(outcome.answer == std::string("a\0b", 3));
}

TEST_CASE("the decoder accepts any split of the bytes")
{
    auto stream = std::string{};
    auto expected = std::vector<std::string>{};
    for (const auto &sample : Testing::sampleEnvelopes()) {
        stream += frameOf(sample);
        expected.push_back(payloadOf(sample));
    }
    auto random = Random{17};
    for (auto round = 0; round < 200; ++round) {
        auto decoder = FrameDecoder{};
        auto payloads = std::vector<std::string>{};
        const auto longest = 1 + uniform(random, round % 2 == 0 ? 3 : 700);
        for (auto pos = std::size_t{0}; pos < stream.size();) {
            const auto n = std::min<std::size_t>(1 + uniform(random, longest), stream.size() - pos);
            decoder.feed(std::string_view(stream).substr(pos, n));
            pos += n;
            for (auto next = decoder.next(); next && next.value(); next = decoder.next()) {
                payloads.push_back(*next.value());
            }
        }
        CHECK(payloads == expected);
        CHECK(decoder.buffered() == 0);
    }
}

TEST_CASE("broken streams are refused, incomplete ones wait")
{
    struct Case
    {
        const char *name;
        std::string bytes;
        bool broken;
    };
    const auto cases = std::vector<Case>{
        {"length of zero", header(0), true},
        {"one byte too long", header(maxFramePayload + 1), true},
        {"largest length field", header(0xffffffffU), true},
        {"text of another protocol", "GET / HTTP/1.1\r\n\r\n", true},
        {"truncated header", std::string("\x05\0", 2), false},
        {"truncated payload", header(100) + "abc", false},
        {"longest frame, incomplete", header(maxFramePayload), false},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto decoder = FrameDecoder{};
        decoder.feed(it.bytes);
        auto next = decoder.next();
        CHECK(next.has_error() == it.broken);
        if (it.broken) {
            // A stream that has lost its frame boundaries must not be used again.
            decoder.feed(frameOf({0, false, Ping{}}));
            CHECK(decoder.next().has_error());
            CHECK(decoder.buffered() == 0);
        } else {
            CHECK_FALSE(next.value().has_value());
        }
    }
}

TEST_CASE("payloads that are not a valid envelope are refused")
{
    const auto good = payloadOf(Testing::sampleEnvelopes()[3]);
    auto wrongFormat = good;
    wrongFormat[4] = 'X';
    const auto cases = std::vector<std::pair<const char *, std::string>>{
        {"empty", ""},
        {"zeros", std::string(64, '\0')},
        {"ones", std::string(64, '\xff')},
        {"another file identifier", wrongFormat},
        {"above the limit", good + std::string(maxFramePayload, '\0')},
    };
    for (const auto &it : cases) {
        const auto &payload = it.second;
        CAPTURE(it.first);
        CHECK(decodeEnvelope(payload).has_error());
    }
    // Every proper prefix that cuts a referenced field is invalid; none may read beyond its end (checked by the sanitizer build).
    auto refused = 0;
    for (auto n = std::size_t{0}; n < good.size(); ++n) {
        refused += decodeEnvelope(std::string_view(good).substr(0, n)).has_error() ? 1 : 0;
    }
    CHECK(refused >= static_cast<int>(good.size()) - 8);
    // FlatBuffers fields need alignment; a payload at an odd address must decode all the same.
    const auto shifted = "x" + good;
    CHECK(decodeEnvelope(std::string_view(shifted).substr(1)).has_value());
}

TEST_CASE("a demand that is no number makes its message invalid")
{
    // Guards against slots divided by NaN, which a comparison would not notice.
    for (const auto value : {std::numeric_limits<float>::quiet_NaN(), std::numeric_limits<float>::infinity(), -1.0F}) {
        CHECK(decodeEnvelope(payloadOf({0, false, Heartbeat{.reportsDemand = true, .demands = {{7, value}}}})).has_error());
    }
}

TEST_CASE("messages beyond the bounds are not sent")
{
    const auto longId = std::string(maxIdLength + 1, 'x');
    auto wide = Heartbeat{};
    wide.executors.resize(maxListLength + 1);
    const auto cases = std::vector<std::pair<const char *, Message>>{
        {"payload above the frame limit", TicketForward{.payload = std::string(maxFramePayload, 'x')}},
        {"payload far above the frame limit", TicketForward{.payload = std::string(3 * maxFramePayload, 'x')}},
        {"identifier too long", JobNotice{.job = JobId{longId}}},
        {"list too long", wide},
    };
    for (const auto &it : cases) {
        const auto &message = it.second;
        CAPTURE(it.first);
        auto frame = encodeFrame({0, false, message});
        REQUIRE(frame.has_error());
        CHECK(frame.error().code == ErrorCode::Limit);
    }
    CHECK(encodeFrame({0, false, TicketForward{.payload = std::string(maxFramePayload - 256, 'x')}}).has_value());
}

TEST_CASE("mutated payloads are refused or give bounded messages")
{
    // Guards against reads outside the buffer (with the sanitizers) and against messages that expand far beyond their frame.
    auto random = Random{4242};
    const auto samples = Testing::sampleEnvelopes();
    auto accepted = 0;
    constexpr auto rounds = 40'000;
    for (auto round = 0; round < rounds; ++round) {
        auto payload = payloadOf(samples[uniform(random, static_cast<std::uint32_t>(samples.size()))]);
        const auto changes = 1 + uniform(random, 4);
        for (auto i = 0U; i < changes; ++i) {
            const auto pos = uniform(random, static_cast<std::uint32_t>(payload.size()));
            switch (uniform(random, 4)) {
            case 0:
                payload[pos] = static_cast<char>(uniform(random, 256));
                break;
            case 1:
                payload[pos] = static_cast<char>(payload[pos] ^ (1 << uniform(random, 8)));
                break;
            case 2:
                payload.resize(pos + 1);
                break;
            default:
                payload.insert(pos, std::string(1 + uniform(random, 8), static_cast<char>(uniform(random, 256))));
                break;
            }
        }
        if (auto decoded = decodeEnvelope(payload)) {
            ++accepted;
            // What was accepted must be expressible again, or exceed a bound: never crash the encoder.
            auto again = encodeFrame(decoded.value());
            CHECK((!again || again.value().size() < 64 * payload.size() + 1024));
        }
    }
    CHECK(accepted > 0);
    CHECK(accepted < rounds);
}
