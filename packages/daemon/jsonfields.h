#pragma once

/// Reads the fields of a JSON object and collects every fault in it.
///
/// @code
///   auto fields = Catkin::JsonFields{body};
///   auto kind = fields.requiredText("kind", 128);
///   auto tasks = fields.integer("tasks", 1, 1, 64);
///   fields.rejectOthers();
///   if (!fields.errors().empty()) { ... }
/// @endcode

#include "state/document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catkin
{

class JsonFields
{
public:
    /// @param text the object; anything else is an error without a path
    explicit JsonFields(std::string_view text);
    ~JsonFields();
    JsonFields(const JsonFields &) = delete;
    auto operator=(const JsonFields &) -> JsonFields & = delete;

    auto text(const std::string &name, const std::string &otherwise, std::size_t maxLength) -> std::string;
    auto requiredText(const std::string &name, std::size_t maxLength) -> std::string;
    /// Reads a text of `A-Z a-z 0-9 . _ : -` with 1 to @p maxLength characters.
    auto identifier(const std::string &name, const std::string &otherwise, std::size_t maxLength) -> std::string;
    auto integer(const std::string &name, std::int64_t otherwise, std::int64_t least, std::int64_t most) -> std::int64_t;
    auto optionalInteger(const std::string &name, std::int64_t least, std::int64_t most) -> std::optional<std::int64_t>;
    auto boolean(const std::string &name, bool otherwise) -> bool;

    /// @return the value that @p choices gives the field's text.
    template<typename T>
    auto choice(const std::string &name, const std::string &otherwise, const std::map<std::string, T> &choices) -> T
    {
        const auto it = choices.find(text(name, otherwise, std::string::npos));
        if (it != choices.end()) {
            return it->second;
        }
        auto known = std::string{};
        for (const auto &[key, value] : choices) {
            known += (known.empty() ? "" : ", ") + key;
        }
        addError(name, "must be one of " + known);
        return choices.at(otherwise);
    }

    /// Reports every field that has not been read.
    auto rejectOthers() -> void;
    auto addError(const std::string &path, const std::string &message) -> void;
    [[nodiscard]] auto errors() const -> const std::vector<FieldError> &;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    std::vector<FieldError> m_errors;
};

}
