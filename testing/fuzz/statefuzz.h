#pragma once

/// libFuzzer entry for the document parser and the record decoders.
///
/// @code
///   LLVMFuzzerTestOneInput(data, size);      // stops the process when a property does not hold
/// @endcode

#include <cstddef>
#include <cstdint>

// The name is fixed by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int;
