#include "ports/entitytag.h"

#include <algorithm>

namespace Catkin
{

namespace
{
constexpr auto statusNotModified = 304;
constexpr auto maxTagLength = std::size_t{128};
}

auto entityTag(const HttpReply &reply) -> std::string
{
    const auto it = reply.headers.find("etag");
    if (it == reply.headers.end()) {
        return {};
    }
    const auto &text = it->second;
    const auto begin = text.starts_with("W/\"") ? std::size_t{3} : std::size_t{1};
    if (text.size() <= begin + 1 || text[begin - 1] != '"' || text.back() != '"' || text.size() - begin - 1 > maxTagLength) {
        return {};
    }
    auto tag = text.substr(begin, text.size() - begin - 1);
    const auto visible = std::all_of(tag.begin(), tag.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
    return visible ? tag : std::string{};
}

auto matchHeader(const std::string &tag) -> std::string
{
    return "W/\"" + tag + "\"";
}

auto confirmsTag(const HttpReply &reply, const std::string &tag) -> bool
{
    return reply.status == statusNotModified && !tag.empty() && entityTag(reply) == tag;
}

}
