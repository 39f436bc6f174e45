#include "fuzz/linkfuzz.h"

#include "wire/frame.h"
#include "wire/handshake.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace Catkin;

namespace
{

constexpr auto key = "a key of the deployment";
/// One edit: kind, two bytes of position, value.
constexpr auto editSize = std::size_t{4};
/// Bytes that are fed at a time; every boundary falls into some frame.
constexpr auto pieceSize = std::size_t{7};

auto require(bool holds, const char *what) -> void
{
    if (!holds) {
        std::fprintf(stderr, "property violated: %s\n", what);
        std::abort();
    }
}

/// Changes bytes, leaves some out or repeats some, as the edits in @p script say.
auto edited(std::string text, std::string_view script) -> std::string
{
    for (; script.size() >= editSize && !text.empty(); script.remove_prefix(editSize)) {
        const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(script[i]); };
        const auto at = (std::size_t{byte(1)} | std::size_t{byte(2)} << 8U) % text.size();
        const auto length = std::min<std::size_t>(byte(3), text.size() - at);
        switch (byte(0) % 4) {
        case 0:
            text[at] = static_cast<char>(byte(3));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

auto readAll(FrameDecoder &decoder, std::string_view bytes) -> std::vector<std::string>
{
    auto payloads = std::vector<std::string>{};
    while (!bytes.empty()) {
        decoder.feed(bytes.substr(0, pieceSize));
        bytes.remove_prefix(std::min(bytes.size(), pieceSize));
        for (auto next = decoder.next(); next && next.value(); next = decoder.next()) {
            payloads.push_back(*next.value());
        }
    }
    return payloads;
}

/// A stranger's bytes: they decode to messages or errors, and no number of them authenticates.
auto checkStranger(std::string_view bytes) -> void
{
    auto decoder = FrameDecoder{maxHandshakePayload};
    const auto payloads = readAll(decoder, bytes);
    require(decoder.buffered() <= maxHandshakePayload + frameHeaderSize + pieceSize, "a stranger makes an instance hold little");
    auto accepting = Handshake{LinkRole::Accepting, {.self = {.instance = InstanceId{"b"}}, .key = key, .previousKey = "former", .target = {}}};
    auto connecting = Handshake{LinkRole::Connecting, {.self = {.instance = InstanceId{"a"}}, .key = key, .target = InstanceId{"b"}}};
    for (const auto &payload : payloads) {
        if (const auto envelope = decodeEnvelope(payload)) {
            (void)accepting.receive(envelope.value().message);
            (void)connecting.receive(envelope.value().message);
        }
    }
    require(!accepting.done() && !connecting.done(), "nobody is authenticated without the key");
    auto sealed = FrameDecoder{};
    sealed.expectSeal(FrameSeal{"a key of one direction"});
    require(readAll(sealed, bytes).empty(), "no frame is accepted without the key of its direction");
}

/// Edits of a genuine stream: what is accepted is what was sent, from its start on and in order.
auto checkSealed(std::string_view script) -> void
{
    auto seal = FrameSeal{"a key of one direction"};
    auto sent = std::vector<std::string>{};
    auto stream = std::string{};
    for (auto i = 0; i < 4; ++i) {
        const auto frame = encodeFrame({.correlation = 0, .response = false, .message = JobNotice{.job = JobId{"j-" + std::to_string(i)}}}).value();
        sent.push_back(frame.substr(frameHeaderSize));
        stream += seal.seal(frame);
    }
    auto decoder = FrameDecoder{};
    decoder.expectSeal(FrameSeal{"a key of one direction"});
    const auto received = readAll(decoder, edited(stream, script));
    require(received.size() <= sent.size() && std::equal(received.begin(), received.end(), sent.begin()), "accepted frames are a prefix of those sent");
}

/// Edits of one message of a genuine handshake: both sides are done only if they agree on everything.
auto checkHandshake(std::string_view script) -> void
{
    const auto changed = script.empty() ? 0 : script.front() % 4;
    script.remove_prefix(std::min<std::size_t>(script.size(), 1));
    auto a = Handshake{LinkRole::Connecting, {.self = {.instance = InstanceId{"a"}, .address = "127.0.0.1:1"}, .key = key, .target = InstanceId{"b"}}};
    auto b = Handshake{LinkRole::Accepting, {.self = {.instance = InstanceId{"b"}, .address = "127.0.0.1:2"}, .key = key, .target = {}}};
    auto message = a.start();
    auto *receiver = &b;
    for (auto i = 0; message; ++i) {
        auto frame = encodeFrame({.correlation = 0, .response = false, .message = *message}).value();
        if (i == changed) {
            frame = edited(std::move(frame), script);
        }
        auto decoder = FrameDecoder{maxHandshakePayload};
        const auto payloads = readAll(decoder, frame);
        const auto envelope = payloads.empty() ? Result<Envelope>(failure(ErrorCode::Protocol, "no frame")) : decodeEnvelope(payloads.front());
        if (!envelope) {
            return;
        }
        const auto reply = receiver->receive(envelope.value().message);
        if (!reply) {
            return;
        }
        message = reply.value();
        receiver = receiver == &a ? &b : &a;
    }
    require(a.done() && b.done(), "a handshake without an error is done");
    require(a.peer().instance == InstanceId{"b"} && b.peer().instance == InstanceId{"a"}, "both know each other");
    require(a.peer().address == "127.0.0.1:2" && b.peer().address == "127.0.0.1:1" && a.lane() == b.lane(), "both know the same");
    require(a.frameKey(LinkRole::Connecting) == b.frameKey(LinkRole::Connecting), "both have the same keys");
}

}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    if (size == 0) {
        return 0;
    }
    const auto rest = std::string_view{reinterpret_cast<const char *>(data), size}.substr(1);
    switch (data[0] % 3) {
    case 0:
        checkStranger(rest);
        break;
    case 1:
        checkSealed(rest);
        break;
    default:
        checkHandshake(rest);
        break;
    }
    return 0;
}
