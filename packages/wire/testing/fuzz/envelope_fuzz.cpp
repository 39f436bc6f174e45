// libFuzzer entry for the frame decoder and the envelope decoder; built with clang and -DCATKIN_FUZZ=ON.
// usage: envelope_fuzz CORPUS_DIR -max_len=8192

#include "wire/frame.h"

#include <cstdint>
#include <cstdlib>

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int // NOLINT(readability-identifier-naming)
{
    const auto bytes = std::string_view{reinterpret_cast<const char *>(data), size};
    // The same bytes as one payload, and as a stream that arrives in two parts.
    if (auto envelope = Catkin::decodeEnvelope(bytes)) {
        // A message that was accepted must survive being sent on, unless it exceeds a bound.
        if (auto frame = Catkin::encodeFrame(envelope.value())) {
            if (!Catkin::decodeEnvelope(std::string_view(frame.value()).substr(Catkin::frameHeaderSize))) {
                std::abort();
            }
        }
    }
    auto decoder = Catkin::FrameDecoder{};
    for (const auto part : {bytes.substr(0, size / 2), bytes.substr(size / 2)}) {
        decoder.feed(part);
        for (auto payload = decoder.next(); payload && payload.value(); payload = decoder.next()) {
            [[maybe_unused]] const auto decoded = Catkin::decodeEnvelope(*payload.value());
        }
    }
    return 0;
}
