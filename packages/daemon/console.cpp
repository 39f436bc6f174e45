#include "daemon/console.h"

#include "daemon/consoleschema.h"

#include <set>
#include <sstream>

namespace Catkin
{

namespace
{

/// Empty rows offered after the filled ones; "More rows" keeps what was typed and offers new ones.
constexpr auto emptyRows = std::size_t{1};

constexpr auto style = R"(body{font:15px/1.4 sans-serif;margin:0 auto;max-width:72rem;padding:0 1rem 6rem;color:#1b1b1b;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.2rem;border-bottom:2px solid #345;margin-top:2rem}
fieldset{border:1px solid #99a;border-radius:4px;margin:.6rem 0;padding:.4rem .8rem .8rem}fieldset fieldset{background:#f4f6f9}
legend{font-weight:bold}.fields{display:flex;flex-wrap:wrap;gap:.6rem 1rem}.field{display:flex;flex-direction:column;max-width:20rem}
.field.wide{flex:1 1 34rem;max-width:none}label{font-size:.85rem}input,select,textarea{font:inherit;padding:.2rem .3rem}
.field input,.field select{align-self:flex-start}h3{font-size:1rem;margin:.8rem 0 .2rem}p.hint{margin:.2rem 0}
textarea{font-family:monospace;font-size:.85rem}.hint{color:#555;font-size:.8rem}
.error{color:#a3001b;font-size:.85rem;margin:.1rem 0}.invalid{outline:2px solid #a3001b}.summary,.problem{border:2px solid #a3001b;padding:.4rem 1rem}
.note{color:#7a4a00;font-size:.85rem;margin:.1rem 0}.notice{border:2px solid #2e7d32;padding:.4rem 1rem}.actions{position:fixed;bottom:0;left:0;right:0;background:#e8ecf2;padding:.6rem;text-align:center}
button{font:inherit;padding:.3rem 1rem;margin:0 .4rem}.remove{font-size:.85rem}
)";

/// Writes one page; keeps the errors by the place where they are shown.
class Page
{
public:
    Page(const ConsoleModel &model, const std::vector<ConsoleError> &errors)
        : m_model(model)
        , m_root(readRows(model.fields))
        , m_errors(errors)
    {
        collectAnchors();
        for (const auto &error : errors) {
            m_byAnchor.emplace(anchorOf(error.path), error.message);
        }
        for (const auto &note : model.notes) {
            m_notes.emplace(anchorOf(note.path), note.message);
        }
    }

    auto render() -> std::string
    {
        const auto title = "Configuration" + (m_model.instance.empty() ? std::string{} : " on " + m_model.instance);
        m_out << "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<meta name=\"viewport\" content=\"width=device-width\">\n<title>"
              << escapeHtml(title) << "</title>\n<style>" << style << "</style>\n</head>\n<body>\n<h1>" << escapeHtml(title)
              << "</h1>\n<p>This page changes version " << m_model.base << ".</p>\n";
        if (!m_model.notice.empty()) {
            m_out << "<p class=\"" << (m_model.noticeIsProblem ? "problem\" role=\"alert" : "notice\" role=\"status") << "\">" << escapeHtml(m_model.notice)
                  << "</p>\n";
        }
        if (!m_model.notes.empty()) {
            m_out << "<ul>\n";
            renderLinks(m_model.notes);
            m_out << "</ul>\n";
        }
        renderSummary();
        m_out << "<form method=\"post\" action=\"" << escapeHtml(m_model.action) << "\" accept-charset=\"utf-8\" autocomplete=\"off\">\n";
        hidden("base", std::to_string(m_model.base));
        hidden("form_token", m_model.formToken);
        for (const auto &spec : documentLists()) {
            m_out << "<h2 id=\"" << spec.name << "\">" << spec.title << "</h2>\n";
            renderList(spec, m_root, "");
        }
        m_out
            << "<h2 id=\"tolerate\">Tolerated losses</h2>\n<p class=\"hint\">Guarantees must hold after the loss of this many workers, or racks, of a failure "
               "domain.</p>\n";
        renderErrors("tolerate");
        m_out << "<div class=\"fields\">\n";
        for (const auto &field : tolerateFields()) {
            renderField(field, m_root.values, std::string("tolerate.") + field.name, std::string("tolerate.") + field.name);
        }
        // The first button of a form is the one that the enter key presses, so it must be one without effect.
        m_out << "</div>\n<div class=\"actions\"><button name=\"action\" value=\"validate\">Check</button><button name=\"action\" value=\"rows\">More "
                 "rows</button><button name=\"action\" value=\"apply\">Apply</button></div>\n</form>\n</body>\n</html>\n";
        return m_out.str();
    }

private:
    auto collectAnchors() -> void
    {
        for (const auto &field : tolerateFields()) {
            m_anchors.insert(std::string("tolerate.") + field.name);
        }
        m_anchors.insert("tolerate");
        collectAnchors(documentLists(), m_root, "");
    }

    auto collectAnchors(const std::vector<ListSpec> &specs, const FormRow &row, const std::string &prefix) -> void
    {
        for (const auto &spec : specs) {
            m_anchors.insert(prefix + spec.name);
            const auto it = row.lists.find(spec.name);
            const auto n = it == row.lists.end() ? 0 : it->second.size();
            for (auto i = std::size_t{0}; i < n; ++i) {
                const auto path = prefix + spec.name + '[' + std::to_string(i) + ']';
                m_anchors.insert(path);
                for (const auto &field : spec.fields) {
                    m_anchors.insert(path + '.' + field.name);
                }
                collectAnchors(spec.lists, it->second[i], path + '.');
            }
        }
    }

    /// @return the nearest place on the page that @p path lies in, or an empty text for the page as a whole.
    [[nodiscard]] auto anchorOf(std::string path) const -> std::string
    {
        while (!path.empty() && !m_anchors.contains(path)) {
            const auto cut = path.find_last_of(".[");
            path.erase(cut == std::string::npos ? 0 : cut);
        }
        return path;
    }

    auto renderSummary() -> void
    {
        if (m_errors.empty()) {
            return;
        }
        m_out << "<div class=\"summary\" role=\"alert\">\n<p>The document was rejected with " << m_errors.size()
              << (m_errors.size() == 1 ? " error" : " errors") << "; nothing was changed.</p>\n<ul>\n";
        renderLinks(m_errors);
        m_out << "</ul>\n</div>\n";
    }

    auto renderLinks(const std::vector<ConsoleError> &list) -> void
    {
        for (const auto &it : list) {
            const auto anchor = anchorOf(it.path);
            const auto text = escapeHtml(it.path.empty() ? it.message : it.path + ": " + it.message);
            m_out << "<li>" << (anchor.empty() ? text : "<a href=\"#" + escapeHtml(anchor) + "\">" + text + "</a>") << "</li>\n";
        }
    }

    auto renderErrors(const std::string &anchor) -> void
    {
        const auto [begin, end] = m_byAnchor.equal_range(anchor);
        for (auto it = begin; it != end; ++it) {
            m_out << "<p class=\"error\">" << escapeHtml(it->second) << "</p>\n";
        }
        const auto [firstNote, lastNote] = m_notes.equal_range(anchor);
        for (auto it = firstNote; it != lastNote; ++it) {
            m_out << "<p class=\"note\">" << escapeHtml(it->second) << "</p>\n";
        }
    }

    auto hidden(const std::string &name, const std::string &value) -> void
    {
        m_out << "<input type=\"hidden\" name=\"" << name << "\" value=\"" << escapeHtml(value) << "\">\n";
    }

    auto renderList(const ListSpec &spec, const FormRow &parent, const std::string &prefix) -> void
    {
        if (*spec.hint != '\0') {
            m_out << "<p class=\"hint\">" << spec.hint << "</p>\n";
        }
        renderErrors(prefix + spec.name);
        const auto it = parent.lists.find(spec.name);
        const auto filled = it == parent.lists.end() ? std::size_t{0} : it->second.size();
        for (auto i = std::size_t{0}; i < filled + emptyRows; ++i) {
            renderRow(spec, i < filled ? &it->second[i] : nullptr, prefix + spec.name + '[' + std::to_string(i) + ']');
        }
    }

    auto renderRow(const ListSpec &spec, const FormRow *row, const std::string &path) -> void
    {
        static const auto blank = FormRow{};
        const auto &shown = row == nullptr ? blank : *row;
        // Rows without a name are told apart by their first field, such as the failure domain of a guarantee.
        const auto title = shown.values.find(spec.fields.front().name);
        m_out << "<fieldset id=\"" << path << "\">\n<legend>"
              << (row == nullptr                ? std::string("New")
                  : title == shown.values.end() ? std::string(spec.title)
                                                : escapeHtml(title->second))
              << "</legend>\n";
        renderErrors(path);
        m_out << "<div class=\"fields\">\n";
        for (const auto &field : spec.fields) {
            renderField(field, shown.values, field.name, path + '.' + field.name);
        }
        m_out << "</div>\n";
        for (const auto &inner : spec.lists) {
            m_out << "<h3 id=\"" << path << '.' << inner.name << "\">" << inner.title << "</h3>\n";
            renderList(inner, shown, path + '.');
        }
        if (row != nullptr) {
            m_out << "<label class=\"remove\"><input type=\"checkbox\" name=\"" << path << ".remove\"> remove</label>\n";
        }
        m_out << "</fieldset>\n";
    }

    auto renderField(const FieldSpec &field, const std::map<std::string, std::string> &values, const std::string &key, const std::string &path) -> void
    {
        const auto it = values.find(key);
        const auto value = it == values.end() ? std::string{} : it->second;
        const auto invalid = m_byAnchor.contains(path);
        const auto common = " id=\"" + path + "\" name=\"" + path + "\"" + (invalid ? " class=\"invalid\" aria-invalid=\"true\"" : "");
        m_out << "<div class=\"field" << (field.type == FieldType::Lines ? " wide" : "") << "\"><label for=\"" << path << "\">" << field.label << "</label>";
        if (field.type == FieldType::Lines) {
            // The parser of HTML drops a line end directly after the tag, so one is written for it.
            m_out << "<textarea rows=\"3\"" << common << ">\n" << escapeHtml(value) << "</textarea>";
        } else if (field.type == FieldType::Flag) {
            m_out << "<input type=\"checkbox\"" << common << (value.empty() ? "" : " checked") << ">";
        } else if (field.type == FieldType::Choice) {
            renderChoice(field, common, value);
        } else {
            m_out << "<input type=\"text\"" << (field.type == FieldType::Text ? "" : " inputmode=\"decimal\" size=\"10\"") << common << " value=\""
                  << escapeHtml(value) << "\">";
        }
        if (*field.hint != '\0') {
            m_out << "<span class=\"hint\">" << field.hint << "</span>";
        }
        m_out << '\n';
        renderErrors(path);
        m_out << "</div>\n";
    }

    /// A value that is not among the choices is offered too, so that an unchanged form does not change it.
    auto renderChoice(const FieldSpec &field, const std::string &common, const std::string &value) -> void
    {
        m_out << "<select" << common << ">";
        auto known = value.empty();
        for (const auto *choice : field.choices) {
            known = known || value == choice;
            m_out << "<option" << (value == choice ? " selected" : "") << ">" << choice << "</option>";
        }
        if (!known) {
            m_out << "<option selected>" << escapeHtml(value) << "</option>";
        }
        m_out << "</select>";
    }

    const ConsoleModel &m_model;
    FormRow m_root;
    const std::vector<ConsoleError> &m_errors;
    std::set<std::string> m_anchors;
    std::multimap<std::string, std::string> m_byAnchor;
    std::multimap<std::string, std::string> m_notes;
    std::ostringstream m_out;
};

}

auto renderConsole(const ConsoleModel &model, const std::vector<ConsoleError> &errors) -> std::string
{
    return Page(model, errors).render();
}

auto escapeHtml(std::string_view text) -> std::string
{
    auto escaped = std::string{};
    escaped.reserve(text.size());
    for (const auto c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

}
