#include "daemon/consoleschema.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Catkin
{

namespace
{

/// More rows than any document may have; bounds what a hostile form can make the daemon allocate.
constexpr auto maxRow = 20000;

/// Rows by their number in the form, which may have gaps.
struct SparseRow
{
    std::map<std::string, std::string> values;
    std::map<std::string, std::map<int, SparseRow>> lists;
};

/// Splits the first "list[n]." off a field's name.
auto splitRow(std::string_view &name, std::string &list, int &row) -> bool
{
    const auto open = name.find('[');
    const auto close = name.find("].");
    if (open == std::string_view::npos || close == std::string_view::npos || close < open) {
        return false;
    }
    const auto [ptr, ec] = std::from_chars(name.data() + open + 1, name.data() + close, row);
    if (ec != std::errc{} || ptr != name.data() + close || row < 0 || row > maxRow) {
        return false;
    }
    list = std::string(name.substr(0, open));
    name.remove_prefix(close + 2);
    return true;
}

auto findList(const std::vector<ListSpec> &lists, const std::string &name) -> const ListSpec *
{
    const auto it = std::find_if(lists.begin(), lists.end(), [&](const ListSpec &list) { return list.name == name; });
    return it == lists.end() ? nullptr : &*it;
}

auto findField(const std::vector<FieldSpec> &fields, std::string_view name) -> bool
{
    return name == "remove" || std::any_of(fields.begin(), fields.end(), [&](const FieldSpec &field) { return field.name == name; });
}

auto isBlank(const std::string &text) -> bool
{
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

/// Choices and flags of a new row have values before anything is typed, so they don't count.
auto isEmpty(const FormRow &row, const ListSpec &spec) -> bool
{
    const auto typed = std::any_of(spec.fields.begin(), spec.fields.end(), [&](const FieldSpec &field) {
        const auto it = row.values.find(field.name);
        return field.type != FieldType::Choice && field.type != FieldType::Flag && it != row.values.end() && !isBlank(it->second);
    });
    return !typed && std::all_of(row.lists.begin(), row.lists.end(), [](const auto &list) { return list.second.empty(); });
}

auto compact(const SparseRow &sparse, const std::vector<ListSpec> &specs) -> FormRow
{
    auto dense = FormRow{.values = sparse.values};
    for (const auto &[name, rows] : sparse.lists) {
        const auto *spec = findList(specs, name);
        for (const auto &[number, row] : rows) {
            auto inner = compact(row, spec->lists);
            if (!inner.values.contains("remove") && !isEmpty(inner, *spec)) {
                dense.lists[name].push_back(std::move(inner));
            }
        }
    }
    return dense;
}

auto write(const FormRow &row, const std::string &prefix, FormFields &fields) -> void
{
    for (const auto &[name, value] : row.values) {
        fields.emplace_back(prefix + name, value);
    }
    for (const auto &[name, rows] : row.lists) {
        for (auto i = std::size_t{0}; i < rows.size(); ++i) {
            write(rows[i], prefix + name + '[' + std::to_string(i) + "].", fields);
        }
    }
}

}

auto documentLists() -> const std::vector<ListSpec> &
{
    static const auto lists = std::vector<ListSpec>{
        {"workspaces",
         "Workspaces",
         "",
         {{"name", "Name"},
          {"weight", "Weight", FieldType::Integer, "share of borrowed capacity relative to the other workspaces"},
          {"urgent_share_percent", "Urgent share (%)", FieldType::Integer, "part of its own share in which urgency gives priority"},
          {"quota_slots", "Quota (slots)", FieldType::Integer, "most slots in use at once; empty: no limit"},
          {"callers_limit", "Limit per caller", FieldType::Integer, "requests of one caller in progress on one instance; empty: no limit"},
          {"tokens", "Token hashes", FieldType::Lines, "one SHA-256 on each line, as printed by catkinctl token-hash"}},
         {{"guarantees",
           "Guaranteed shapes",
           "Blocks of adjacent slots that the workspace can always reclaim.",
           {{"domain", "Failure domain"}, {"slots", "Adjacent slots", FieldType::Integer}, {"count", "Blocks", FieldType::Integer}}}}},
        {"kinds",
         "Kinds of work",
         "",
         {{"name", "Name"},
          {"mode", "Mode", FieldType::Choice, "", {"request", "job"}},
          {"urgency", "Urgency", FieldType::Choice, "", {"normal", "urgent", "batch"}},
          {"weight", "Weight", FieldType::Integer},
          {"deadline_ms", "Deadline (ms)", FieldType::Integer, "of requests; empty for jobs"},
          {"max_payload_bytes", "Largest payload (bytes)", FieldType::Integer},
          {"idempotent", "Idempotent", FieldType::Flag, "running it twice does no harm"},
          {"cross_region", "May cross regions", FieldType::Flag}}},
        {"services",
         "Services",
         "The kinds of work that each service may submit.",
         {{"name", "Name"}, {"workspace", "Workspace"}, {"kinds", "Kinds of work", FieldType::Lines, "one on each line"}}},
        {"objectives",
         "Objectives",
         "",
         {{"workspace", "Workspace"},
          {"kind", "Kind of work"},
          {"latency_ms", "Latency (ms)", FieldType::Integer},
          {"target_percent", "Target (%)", FieldType::Decimal, "for instance 99.5"}}},
        {"operators", "Operators", "", {{"name", "Name"}, {"token", "Token hash", FieldType::Text, "SHA-256, as printed by catkinctl token-hash"}}},
    };
    return lists;
}

auto tolerateFields() -> const std::vector<FieldSpec> &
{
    static const auto fields = std::vector<FieldSpec>{{"workers", "Workers", FieldType::Integer}, {"racks", "Racks", FieldType::Integer}};
    return fields;
}

auto readRows(const FormFields &fields) -> FormRow
{
    auto root = SparseRow{};
    for (const auto &[name, value] : fields) {
        auto rest = std::string_view(name);
        constexpr auto tolerate = std::string_view{"tolerate."};
        if (rest.starts_with(tolerate)) {
            if (findField(tolerateFields(), rest.substr(tolerate.size()))) {
                root.values[name] = value;
            }
            continue;
        }
        auto *row = &root;
        const auto *specs = &documentLists();
        const auto *known = static_cast<const ListSpec *>(nullptr);
        auto list = std::string{};
        auto number = 0;
        auto valid = true;
        while (valid && splitRow(rest, list, number)) {
            known = findList(*specs, list);
            valid = known != nullptr;
            if (valid) {
                row = &row->lists[list][number];
                specs = &known->lists;
            }
        }
        if (valid && known != nullptr && findField(known->fields, rest)) {
            row->values[std::string(rest)] = value;
        }
    }
    return compact(root, documentLists());
}

auto writeRows(const FormRow &root) -> FormFields
{
    auto fields = FormFields{};
    write(root, "", fields);
    return fields;
}

}
