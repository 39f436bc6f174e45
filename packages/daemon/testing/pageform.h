#pragma once

/// What a browser does with a page of the console, for tests.
///
/// @code
///   auto fields = Catkin::submit(html);
///   Catkin::set(fields, "workspaces[0].weight", "7");
///   post(Catkin::encodeForm(fields));
/// @endcode

#include "daemon/console.h"

#include <doctest/doctest.h>

#include <regex>

namespace Catkin
{

inline auto unescape(std::string text) -> std::string
{
    for (const auto &[from, to] : {std::pair{"&lt;", "<"}, {"&gt;", ">"}, {"&quot;", "\""}, {"&#39;", "'"}, {"&amp;", "&"}}) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + 1)) {
            text.replace(at, std::string(from).size(), to);
        }
    }
    return text;
}

/// Reads the fields that a browser would send for a page.
inline auto submit(const std::string &html) -> FormFields
{
    static const auto control = std::regex(R"re(<(input type="(\w+)"[^>]*|textarea[^>]*|select[^>]*)>)re");
    auto fields = FormFields{};
    for (auto it = std::sregex_iterator(html.begin(), html.end(), control); it != std::sregex_iterator{}; ++it) {
        const auto tag = (*it)[1].str();
        auto match = std::smatch{};
        if (!std::regex_search(tag, match, std::regex("name=\"([^\"]*)\""))) {
            continue;
        }
        const auto name = match[1].str();
        const auto rest = html.substr(static_cast<std::size_t>(it->position() + it->length()));
        if (tag.starts_with("textarea")) {
            fields.emplace_back(name, unescape(rest.substr(1, rest.find("</textarea>") - 1)));
        } else if (tag.starts_with("select")) {
            const auto options = rest.substr(0, rest.find("</select>"));
            const auto chosen = std::regex_search(options, match, std::regex("<option selected>([^<]*)<"))
                                || std::regex_search(options, match, std::regex("<option>([^<]*)<"));
            REQUIRE(chosen);
            fields.emplace_back(name, unescape(match[1]));
        } else if ((*it)[2] != "checkbox") {
            REQUIRE(std::regex_search(tag, match, std::regex("value=\"([^\"]*)\"")));
            fields.emplace_back(name, unescape(match[1]));
        } else if (tag.ends_with("checked")) {
            fields.emplace_back(name, "on");
        }
    }
    return fields;
}

inline auto set(FormFields &fields, const std::string &name, const std::string &value) -> void
{
    for (auto &[key, old] : fields) {
        if (key == name) {
            old = value;
            return;
        }
    }
    fields.emplace_back(name, value);
}

/// @return the fields as application/x-www-form-urlencoded, with line ends as browsers send them.
inline auto encodeForm(const FormFields &fields) -> std::string
{
    const auto encode = [](const std::string &text) {
        constexpr auto digits = std::string_view{"0123456789ABCDEF"};
        auto out = std::string{};
        for (const auto c : std::regex_replace(text, std::regex("\n"), "\r\n")) {
            const auto byte = static_cast<unsigned char>(c);
            out += '%';
            out += digits[byte >> 4U];
            out += digits[byte & 15U];
        }
        return out;
    };
    auto body = std::string{};
    for (const auto &[name, value] : fields) {
        body += (body.empty() ? "" : "&") + encode(name) + '=' + encode(value);
    }
    return body;
}

}
