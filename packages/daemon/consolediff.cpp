#include "daemon/console.h"
#include "daemon/consoleschema.h"

#include <algorithm>

namespace Catkin
{

namespace
{

using Values = std::map<std::string, std::string>;

auto valueOf(const Values &values, const std::string &name) -> std::string
{
    const auto it = values.find(name);
    if (it == values.end()) {
        return {};
    }
    const auto last = it->second.find_last_not_of(" \t\n");
    return it->second.substr(0, last == std::string::npos ? 0 : last + 1);
}

auto shown(const std::string &value) -> std::string
{
    return value.empty() ? "nothing" : '"' + value + '"';
}

class Comparison
{
public:
    explicit Comparison(std::string label)
        : m_label(std::move(label))
    {
    }

    auto compareFields(const Values &typed, const Values &other, const std::vector<FieldSpec> &specs, const std::string &key, const std::string &path) -> void
    {
        for (const auto &spec : specs) {
            const auto value = valueOf(other, key + spec.name);
            if (valueOf(typed, key + spec.name) != value) {
                m_notes.push_back(
                    {.path = path + spec.name, .message = m_label + " has " + (spec.type == FieldType::Flag ? (value.empty() ? "no" : "yes") : shown(value))});
            }
        }
    }

    auto compareLists(const FormRow &typed, const FormRow &other, const std::vector<ListSpec> &specs, const std::string &prefix) -> void
    {
        static const auto none = std::vector<FormRow>{};
        for (const auto &spec : specs) {
            const auto left = typed.lists.find(spec.name);
            const auto right = other.lists.find(spec.name);
            compareRows(left == typed.lists.end() ? none : left->second, right == other.lists.end() ? none : right->second, spec, prefix + spec.name);
        }
    }

    auto notes() const -> const std::vector<ConsoleError> &
    {
        return m_notes;
    }

private:
    /// Rows are matched by their first field, equal ones in order, because a row added elsewhere shifts the numbers.
    auto compareRows(const std::vector<FormRow> &typed, const std::vector<FormRow> &other, const ListSpec &spec, const std::string &list) -> void
    {
        const auto key = std::string(spec.fields.front().name);
        auto matched = std::vector<bool>(other.size(), false);
        for (auto i = std::size_t{0}; i < typed.size(); ++i) {
            const auto path = list + '[' + std::to_string(i) + ']';
            auto n = std::size_t{0};
            while (n < other.size() && (matched[n] || valueOf(other[n].values, key) != valueOf(typed[i].values, key))) {
                ++n;
            }
            if (n == other.size()) {
                m_notes.push_back({.path = path, .message = m_label + " does not have this row"});
                continue;
            }
            matched[n] = true;
            compareFields(typed[i].values, other[n].values, spec.fields, "", path + '.');
            compareLists(typed[i], other[n], spec.lists, path + '.');
        }
        for (auto n = std::size_t{0}; n < other.size(); ++n) {
            if (!matched[n]) {
                m_notes.push_back({.path = list, .message = m_label + " also has a row " + shown(valueOf(other[n].values, key))});
            }
        }
    }

    std::string m_label;
    std::vector<ConsoleError> m_notes;
};

}

auto compareForms(const FormFields &typed, const FormFields &other, const std::string &label) -> std::vector<ConsoleError>
{
    const auto left = readRows(typed);
    const auto right = readRows(other);
    auto comparison = Comparison(label);
    comparison.compareLists(left, right, documentLists(), "");
    comparison.compareFields(left.values, right.values, tolerateFields(), "tolerate.", "tolerate.");
    return comparison.notes();
}

}
