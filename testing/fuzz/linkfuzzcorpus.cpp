// Runs the fuzz entry over one frame of every handshake message, mutations of them, and random edits of genuine streams from a fixed seed.
// The nonces of a handshake come from the operating system; the properties hold for any.

#include "fuzz/linkfuzz.h"
#include "util/random.h"
#include "wire/frame.h"
#include "wire/handshake.h"

#include <cstdio>
#include <string>
#include <vector>

using namespace Catkin;

namespace
{

auto frames() -> std::vector<std::string>
{
    const auto nonce = std::string(64, 'a');
    auto out = std::vector<std::string>{};
    for (const auto &message : std::vector<Message>{
             Hello{.version = peerProtocolVersion, .instance = InstanceId{"a"}, .nonce = nonce, .target = InstanceId{"b"}},
             Challenge{.version = peerProtocolVersion, .instance = InstanceId{"b"}, .nonce = nonce},
             Proof{std::string(64, '0')},
             Proof{std::string(128, '0')},
             Ping{},
             JobNotice{.job = JobId{"j-1"}},
         }) {
        out.push_back(encodeFrame({.correlation = 0, .response = false, .message = message}).value());
    }
    out.push_back(out[0] + out[2]);
    out.push_back(out[1] + out[2]);
    return out;
}

auto randomBytes(Random &random, std::size_t n) -> std::string
{
    auto text = std::string(n, '\0');
    for (auto &it : text) {
        it = static_cast<char>(uniform(random, 256));
    }
    return text;
}

}

auto main() -> int
{
    auto random = Random{21};
    auto inputs = 0;
    const auto run = [&](char check, const std::string &text) {
        const auto input = check + text;
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
        ++inputs;
    };
    for (const auto &original : frames()) {
        run('\0', original);
        constexpr auto rounds = 500;
        for (auto i = 0; i < rounds; ++i) {
            auto text = original;
            for (auto changes = uniform(random, 3);; --changes) {
                text[uniform(random, static_cast<std::uint32_t>(text.size()))] = static_cast<char>(uniform(random, 256));
                if (changes == 0) {
                    break;
                }
            }
            run('\0', text);
            run('\0', text + randomBytes(random, uniform(random, 200)));
        }
    }
    constexpr auto scripts = 4000;
    for (auto i = 0; i < scripts; ++i) {
        run('\1', randomBytes(random, std::size_t{4} * uniform(random, 4)));
        run('\2', randomBytes(random, 1 + std::size_t{4} * uniform(random, 3)));
    }
    std::printf("%d inputs\n", inputs);
    return 0;
}
