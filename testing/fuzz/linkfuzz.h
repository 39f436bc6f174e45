#pragma once

/// libFuzzer entry for the frame reader and the handshake of links between instances.
///
/// @code
///   LLVMFuzzerTestOneInput(data, size);      // stops the process when a property does not hold
/// @endcode
///
/// The first byte of an input selects the check; the rest is bytes as received, or edits of what a genuine peer sends.

#include <cstddef>
#include <cstdint>

// The name is fixed by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int;
