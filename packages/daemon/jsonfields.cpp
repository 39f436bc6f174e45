#include "daemon/jsonfields.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Catkin
{

using nlohmann::json;

struct JsonFields::Impl
{
    json object = json::object();
    std::set<std::string> read;

    auto find(const std::string &name) -> const json *
    {
        read.insert(name);
        const auto it = object.find(name);
        return it == object.end() || it->is_null() ? nullptr : &*it;
    }
};

JsonFields::JsonFields(std::string_view text)
    : m_impl(std::make_unique<Impl>())
{
    auto parsed = json::parse(text, nullptr, false);
    if (parsed.is_object()) {
        m_impl->object = std::move(parsed);
    } else {
        addError("", "the body must be a JSON object");
    }
}

JsonFields::~JsonFields() = default;

auto JsonFields::addError(const std::string &path, const std::string &message) -> void
{
    // Fields that are missing in a body that could not be read say nothing more.
    if (m_errors.empty() || !m_errors.front().path.empty()) {
        m_errors.push_back({.path = path, .message = message});
    }
}

auto JsonFields::errors() const -> const std::vector<FieldError> &
{
    return m_errors;
}

auto JsonFields::text(const std::string &name, const std::string &otherwise, std::size_t maxLength) -> std::string
{
    const auto *value = m_impl->find(name);
    if (value == nullptr) {
        return otherwise;
    }
    if (!value->is_string()) {
        addError(name, "must be a text");
        return otherwise;
    }
    auto out = value->get<std::string>();
    if (out.size() > maxLength) {
        addError(name, "must have at most " + std::to_string(maxLength) + " bytes");
        return otherwise;
    }
    return out;
}

auto JsonFields::requiredText(const std::string &name, std::size_t maxLength) -> std::string
{
    const auto before = m_errors.size();
    auto out = text(name, "", maxLength);
    if (out.empty() && m_errors.size() == before) {
        addError(name, "is required");
    }
    return out;
}

auto JsonFields::identifier(const std::string &name, const std::string &otherwise, std::size_t maxLength) -> std::string
{
    constexpr auto allowed = std::string_view{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-"};
    const auto before = m_errors.size();
    auto out = text(name, otherwise, maxLength);
    const auto given = m_impl->find(name) != nullptr && m_errors.size() == before;
    if (given && (out.empty() || out.find_first_not_of(allowed) != std::string::npos)) {
        addError(name, "must have 1 to " + std::to_string(maxLength) + " characters of A-Z a-z 0-9 . _ : -");
        return otherwise;
    }
    return out;
}

auto JsonFields::optionalInteger(const std::string &name, std::int64_t least, std::int64_t most) -> std::optional<std::int64_t>
{
    const auto *value = m_impl->find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    // A number beyond the signed range is stored unsigned and would wrap around.
    const auto tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(most);
    if (!value->is_number_integer() || tooLarge || value->get<std::int64_t>() < least || value->get<std::int64_t>() > most) {
        addError(name, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

auto JsonFields::integer(const std::string &name, std::int64_t otherwise, std::int64_t least, std::int64_t most) -> std::int64_t
{
    return optionalInteger(name, least, most).value_or(otherwise);
}

auto JsonFields::boolean(const std::string &name, bool otherwise) -> bool
{
    const auto *value = m_impl->find(name);
    if (value == nullptr) {
        return otherwise;
    }
    if (!value->is_boolean()) {
        addError(name, "must be true or false");
        return otherwise;
    }
    return value->get<bool>();
}

auto JsonFields::rejectOthers() -> void
{
    for (const auto &it : m_impl->object.items()) {
        if (!m_impl->read.contains(it.key())) {
            addError(it.key(), "is not a known field");
        }
    }
}

}
