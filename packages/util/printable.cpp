#include "util/printable.h"

#include <algorithm>

namespace Catkin
{

namespace
{

constexpr auto firstPrintable = ' ';
constexpr auto lastPrintable = '~';

// char is signed on x86-64 and unsigned on arm64; with both bounds, bytes above 127 are out of the range on either.
auto isPrintable(char c) -> bool
{
    return c >= firstPrintable && c <= lastPrintable;
}

}

auto isPrintableId(std::string_view text, std::size_t maxLength) -> bool
{
    return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), [](char c) { return isPrintable(c) && c != ' '; });
}

auto printable(std::string_view text, std::size_t maxLength) -> std::string
{
    auto out = std::string(text.substr(0, maxLength));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return !isPrintable(c); }, '?');
    return text.size() > maxLength ? out + "..." : out;
}

}
