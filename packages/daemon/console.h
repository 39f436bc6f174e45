#pragma once

/// The operators' console: the configuration document as plain HTML forms that work without scripts.
///
/// @code
///   // GET /console
///   auto model = ConsoleModel{.base = version, .formToken = makeFormToken(secret, name, now), .fields = formFromDocument(text).value()};
///   send(renderConsole(model, {}));
///   // POST /console
///   auto fields = compactForm(parseFormBody(body));
///   if (checkFormToken(secret, name, formValue(fields, "form_token"), now) != FormTokenCheck::Valid) { refuse(); }
///   auto errors = validate(parseForm(fields));            // paths of the document
///   model.fields = fields;
///   send(renderConsole(model, errors));                   // what was typed, each error beside its field
/// @endcode
///
/// A form field is named like the path of its value in the document, for instance "workspaces[2].guarantees[0].slots", so that an
/// error of the document finds its field. compactForm() drops empty and removed rows and numbers the rest, as parseForm() does.

#include "util/outcome.h"
#include "util/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Catkin
{

/// Names and values of a form, in order.
using FormFields = std::vector<std::pair<std::string, std::string>>;

/// An error of the document; the path is the field's path in the JSON document, or empty.
struct ConsoleError
{
    std::string path;
    std::string message;
};

struct ConsoleModel
{
    std::string instance; ///< shown in the title
    std::int64_t base = 0; ///< version that the document replaces
    std::string formToken;
    std::string notice; ///< what the last action did; empty for none
    bool noticeIsProblem = false; ///< whether the notice says that something was not done
    std::vector<ConsoleError> notes = {}; ///< remarks shown beside the fields, listed after the notice
    std::string action = "/console"; ///< where the form is sent
    FormFields fields; ///< of the document; other fields are ignored
};

/// @return a complete HTML page. All text of @p model and @p errors is escaped.
/// The submitted form has the fields of the document, "base", "form_token" and "action" ("rows", "validate" or "apply").
auto renderConsole(const ConsoleModel &model, const std::vector<ConsoleError> &errors) -> std::string;

/// Turns a document into form fields.
/// @param document JSON text
/// @return the fields; ErrorCode::InvalidInput when the text is no JSON object.
auto formFromDocument(const std::string &document) -> Result<FormFields>;

/// @return the fields without empty and removed rows, with consecutive row numbers; fields outside the document come first.
auto compactForm(const FormFields &fields) -> FormFields;

/// Says how a form differs from another one. Rows are matched by their first field.
/// @param label of the other form, such as "version 18"
/// @return one remark for each field of @p typed, row or list that differs
auto compareForms(const FormFields &typed, const FormFields &other, const std::string &label) -> std::vector<ConsoleError>;

/// Turns form fields into the configuration document. Text that is no number in a number's place is kept as a string, for the
/// document's validation to reject; empty fields are left out.
/// @return JSON text
auto parseForm(const FormFields &fields) -> std::string;

/// Reads a body of type application/x-www-form-urlencoded.
auto parseFormBody(std::string_view body) -> FormFields;

/// @return the first value named @p name, or an empty text.
auto formValue(const FormFields &fields, std::string_view name) -> std::string;

/// Makes a token against posts from other sites: only a page of ours contains it.
/// @param secret known to the entry instances only
/// @param operatorName who the page is for
auto makeFormToken(const std::string &secret, const std::string &operatorName, WallTime now) -> std::string;

enum class FormTokenCheck {
    Valid, ///< made with the secret for this operator in the last 12 hours
    Expired, ///< made with the secret for this operator, but not in the last 12 hours
    Invalid, ///< not made by the console for this operator
};

auto checkFormToken(const std::string &secret, const std::string &operatorName, const std::string &token, WallTime now) -> FormTokenCheck;

/// @return @p text with the characters escaped that have a meaning in HTML text and attributes.
auto escapeHtml(std::string_view text) -> std::string;

}
