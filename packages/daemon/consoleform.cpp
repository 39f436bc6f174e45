#include "daemon/console.h"
#include "daemon/consoleschema.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace Catkin
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

constexpr auto formTokenLifetime = Millis{12 * 3600 * 1000};

auto trimmed(const std::string &text) -> std::string
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first == std::string::npos ? std::string{} : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

auto isDigits(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// A number only if JSON would write it the same way, and without rounding; everything else stays text, so that nothing typed is changed.
auto isNumber(std::string_view text, bool decimals) -> bool
{
    constexpr auto maxDigits = std::size_t{15};
    if (text.starts_with('-')) {
        text.remove_prefix(1);
    }
    const auto dot = text.find('.');
    const auto whole = text.substr(0, dot);
    if (text.size() > maxDigits || !isDigits(whole) || (whole.size() > 1 && whole.front() == '0')) {
        return false;
    }
    return dot == std::string_view::npos || (decimals && isDigits(text.substr(dot + 1)));
}

auto toJson(const FieldSpec &spec, const std::string &text) -> ordered_json
{
    if (spec.type == FieldType::Flag) {
        return !text.empty();
    }
    if (spec.type == FieldType::Lines) {
        auto list = ordered_json::array();
        auto in = std::istringstream(text);
        for (auto line = std::string{}; std::getline(in, line);) {
            if (const auto item = trimmed(line); !item.empty()) {
                list.push_back(item);
            }
        }
        return list;
    }
    const auto value = trimmed(text);
    if ((spec.type == FieldType::Integer && isNumber(value, false)) || (spec.type == FieldType::Decimal && isNumber(value, true))) {
        return ordered_json::parse(value);
    }
    return value;
}

auto addFields(const std::map<std::string, std::string> &values, const std::string &prefix, const std::vector<FieldSpec> &specs, ordered_json &object) -> void
{
    for (const auto &spec : specs) {
        const auto it = values.find(prefix + spec.name);
        auto value = toJson(spec, it == values.end() ? std::string{} : it->second);
        if (!value.is_string() || !value.get_ref<const std::string &>().empty()) {
            object[spec.name] = std::move(value);
        }
    }
}

auto toJson(const std::vector<ListSpec> &specs, const FormRow &row, ordered_json &object) -> void
{
    for (const auto &spec : specs) {
        object[spec.name] = ordered_json::array();
        const auto it = row.lists.find(spec.name);
        if (it == row.lists.end()) {
            continue;
        }
        for (const auto &inner : it->second) {
            auto item = ordered_json::object();
            addFields(inner.values, "", spec.fields, item);
            toJson(spec.lists, inner, item);
            object[spec.name].push_back(std::move(item));
        }
    }
}

auto dump(const json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto fromJson(const FieldSpec &spec, const json &value) -> std::string
{
    if (spec.type == FieldType::Flag) {
        return value == true ? "on" : "";
    }
    if (spec.type == FieldType::Lines && value.is_array()) {
        auto text = std::string{};
        for (const auto &item : value) {
            text += (text.empty() ? "" : "\n") + dump(item);
        }
        return text;
    }
    return value.is_null() ? "" : dump(value);
}

auto readFields(const json &object, const std::string &prefix, const std::vector<FieldSpec> &specs, FormRow &row) -> void
{
    for (const auto &spec : specs) {
        if (object.is_object() && object.contains(spec.name)) {
            row.values[prefix + spec.name] = fromJson(spec, object[spec.name]);
        }
    }
}

auto readLists(const json &object, const std::vector<ListSpec> &specs, FormRow &row) -> void
{
    for (const auto &spec : specs) {
        if (!object.is_object() || !object.contains(spec.name) || !object[spec.name].is_array()) {
            continue;
        }
        for (const auto &item : object[spec.name]) {
            auto inner = FormRow{};
            readFields(item, "", spec.fields, inner);
            readLists(item, spec.lists, inner);
            row.lists[spec.name].push_back(std::move(inner));
        }
    }
}

auto decodeUrl(std::string_view text) -> std::string
{
    auto decoded = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        auto byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto *const end = text.data() + i + 3;
            const auto [ptr, ec] = std::from_chars(text.data() + i + 1, end, byte, 16);
            if (ec == std::errc{} && ptr == end) {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

auto formTokenMac(const std::string &secret, const std::string &operatorName, const std::string &time) -> std::string
{
    return hmacSha256Hex(secret, "console form\n" + time + "\n" + operatorName);
}

}

auto formFromDocument(const std::string &document) -> Result<FormFields>
{
    const auto body = json::parse(document, nullptr, false);
    if (!body.is_object()) {
        return failure(ErrorCode::InvalidInput, "the document is not a JSON object");
    }
    auto root = FormRow{};
    readFields(body.value("tolerate", json{}), "tolerate.", tolerateFields(), root);
    readLists(body, documentLists(), root);
    return writeRows(root);
}

auto compactForm(const FormFields &fields) -> FormFields
{
    auto compacted = FormFields{};
    for (const auto *name : {"base", "form_token", "action"}) {
        if (const auto value = formValue(fields, name); !value.empty()) {
            compacted.emplace_back(name, value);
        }
    }
    const auto rows = writeRows(readRows(fields));
    compacted.insert(compacted.end(), rows.begin(), rows.end());
    return compacted;
}

auto parseForm(const FormFields &fields) -> std::string
{
    const auto root = readRows(fields);
    auto document = ordered_json{{"format", 1}};
    toJson(documentLists(), root, document);
    document["tolerate"] = ordered_json::object();
    addFields(root.values, "tolerate.", tolerateFields(), document["tolerate"]);
    return document.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

auto parseFormBody(std::string_view body) -> FormFields
{
    auto fields = FormFields{};
    while (!body.empty()) {
        const auto end = std::min(body.find('&'), body.size());
        const auto pair = body.substr(0, end);
        body.remove_prefix(std::min(end + 1, body.size()));
        if (pair.empty()) {
            continue;
        }
        const auto equals = std::min(pair.find('='), pair.size());
        auto value = decodeUrl(pair.substr(std::min(equals + 1, pair.size())));
        // Browsers send line ends as CR LF.
        value.erase(std::remove(value.begin(), value.end(), '\r'), value.end());
        fields.emplace_back(decodeUrl(pair.substr(0, equals)), std::move(value));
    }
    return fields;
}

auto formValue(const FormFields &fields, std::string_view name) -> std::string
{
    const auto it = std::find_if(fields.begin(), fields.end(), [&](const auto &field) { return field.first == name; });
    return it == fields.end() ? std::string{} : it->second;
}

auto makeFormToken(const std::string &secret, const std::string &operatorName, WallTime now) -> std::string
{
    const auto time = std::to_string(now.time_since_epoch().count());
    return time + '.' + formTokenMac(secret, operatorName, time);
}

auto checkFormToken(const std::string &secret, const std::string &operatorName, const std::string &token, WallTime now) -> FormTokenCheck
{
    const auto dot = token.find('.');
    if (dot == std::string::npos) {
        return FormTokenCheck::Invalid;
    }
    const auto time = token.substr(0, dot);
    if (!constantTimeEqual(token.substr(dot + 1), formTokenMac(secret, operatorName, time))) {
        return FormTokenCheck::Invalid;
    }
    auto issued = std::int64_t{0};
    std::from_chars(time.data(), time.data() + time.size(), issued);
    const auto age = now.time_since_epoch().count() - issued;
    // Clocks of two instances differ; a page may come from one whose clock is a little ahead.
    constexpr auto clockDifferenceMs = std::int64_t{60000};
    return age >= -clockDifferenceMs && age <= formTokenLifetime.count() ? FormTokenCheck::Valid : FormTokenCheck::Expired;
}

}
