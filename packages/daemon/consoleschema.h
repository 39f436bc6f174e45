#pragma once

/// The fields of the configuration document as the console shows them, and the rows that they form.
///
/// @code
///   auto root = readRows(fields);              // by the names of the form fields
///   for (const auto &row : root.lists["workspaces"]) { ... row.values.at("name") ... }
/// @endcode

#include "daemon/console.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Catkin
{

enum class FieldType {
    Text,
    Integer,
    Decimal,
    Choice, ///< one of FieldSpec::choices
    Flag, ///< true or false
    Lines, ///< a list of strings, one on each line
};

struct FieldSpec
{
    const char *name; ///< in the document
    const char *label;
    FieldType type = FieldType::Text;
    const char *hint = "";
    std::vector<const char *> choices = {};
};

struct ListSpec
{
    const char *name; ///< in the document
    const char *title;
    const char *hint;
    std::vector<FieldSpec> fields;
    std::vector<ListSpec> lists = {}; ///< inside each row
};

/// One object of the document with its values as text.
struct FormRow
{
    std::map<std::string, std::string> values;
    std::map<std::string, std::vector<FormRow>> lists;
};

/// @return the lists of the document in the order of the page.
auto documentLists() -> const std::vector<ListSpec> &;

/// @return the fields of the object "tolerate".
auto tolerateFields() -> const std::vector<FieldSpec> &;

/// Reads rows from form fields; removed and empty rows are left out, unknown fields are ignored.
/// The values of "tolerate" are under "tolerate.workers" and "tolerate.racks".
auto readRows(const FormFields &fields) -> FormRow;

/// The reverse of readRows().
auto writeRows(const FormRow &root) -> FormFields;

}
