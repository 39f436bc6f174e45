#pragma once

/// The configuration document: what operators decide about workspaces, kinds of work and guarantees.
/// docs/configuration-document.md is the reference of the fields.
///
/// @code
///   auto parsed = Catkin::parseDocument(text);
///   if (!parsed.errors.empty()) {
///       return report(parsed.errors);                 // all errors of the document, each with its field path
///   }
///   auto errors = Catkin::checkGuarantees(parsed.document, fleet);
///   auto canonical = Catkin::encodeDocument(parsed.document);        // the text that is stored in the log
/// @endcode

#include "state/guarantees.h"
#include "util/ids.h"
#include "util/units.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Catkin
{

enum class WorkMode { Request, Job };
enum class WorkUrgency { Urgent, Normal, Batch };

/// A promise of @c count blocks of @c slots adjacent slots in one failure domain.
struct GuaranteeConfig
{
    FailureDomainId domain;
    SlotCount slots;
    int count = 0;

    auto operator==(const GuaranteeConfig &) const -> bool = default;
};

struct WorkspaceConfig
{
    WorkspaceId name;
    int weight = 1; ///< share of borrowed capacity, relative to the weights of the other workspaces
    std::vector<std::string> tokens; ///< SHA-256 of the callers' tokens, lower-case hex
    int urgentSharePercent = 20; ///< part of the workspace's own share within which urgent work has priority
    std::optional<int> callersLimit; ///< limit of requests that one caller has in progress on one instance; nothing: no limit
    std::vector<GuaranteeConfig> guarantees;
    std::optional<SlotCount> quotaSlots; ///< limit of slots in use at once, guaranteed and borrowed; nothing: no limit

    auto operator==(const WorkspaceConfig &) const -> bool = default;
};

struct ServiceConfig
{
    ServiceId name;
    WorkspaceId workspace;
    std::vector<KindId> kinds;

    auto operator==(const ServiceConfig &) const -> bool = default;
};

struct KindConfig
{
    KindId name;
    WorkMode mode = WorkMode::Request;
    bool idempotent = false; ///< whether running it twice has the same effect as running it once
    int weight = 1;
    WorkUrgency urgency = WorkUrgency::Normal;
    Millis deadline{0}; ///< time limit for the answer to a request; 0 for jobs
    Bytes maxPayload;
    bool crossRegion = false; ///< whether a request may be sent to an executor of another region

    auto operator==(const KindConfig &) const -> bool = default;
};

/// A service level objective: the share @c targetMillipercent of the requests is answered within @c latency. For a kind of job,
/// it is the share of jobs that start within @c latency.
struct ObjectiveConfig
{
    WorkspaceId workspace;
    KindId kind;
    Millis latency{0};
    int targetMillipercent = 0; ///< thousandths of a percent: 99900 is 99.9%

    auto operator==(const ObjectiveConfig &) const -> bool = default;
};

struct OperatorConfig
{
    std::string name;
    std::string token; ///< SHA-256 of the token, lower-case hex

    auto operator==(const OperatorConfig &) const -> bool = default;
};

struct ConfigDocument
{
    std::vector<WorkspaceConfig> workspaces;
    std::vector<ServiceConfig> services;
    std::vector<KindConfig> kinds;
    std::vector<ObjectiveConfig> objectives;
    ToleratedLosses tolerate;
    std::vector<OperatorConfig> operators;

    auto operator==(const ConfigDocument &) const -> bool = default;
};

struct FieldError
{
    std::string path; ///< such as "workspaces[2].guarantees[0].slots"; empty for the document as a whole
    std::string message;

    auto operator==(const FieldError &) const -> bool = default;
};

struct ParsedDocument
{
    ConfigDocument document; ///< complete only if there are no errors
    std::vector<FieldError> errors;
};

/// A configuration change must fit into one peer frame of 1 MiB together with its envelope.
constexpr auto maxDocumentBytes = std::size_t{768} * 1024;

/// Parses a document and checks everything that does not depend on the fleet.
/// @param text JSON of at most maxDocumentBytes
/// @return the document, and every error that was found.
auto parseDocument(std::string_view text) -> ParsedDocument;

/// @return the canonical text: fields and lists in sorted order, every default written out, no white space. Documents that differ
/// only in order, white space or omitted defaults have the same canonical text.
auto encodeDocument(const ConfigDocument &document) -> std::string;

/// @return SHA-256 of the canonical text as lower-case hex digits.
auto documentHash(const ConfigDocument &document) -> std::string;

/// Checks that every failure domain can keep its guarantees after the losses that the document tolerates.
/// @param document a document without parse errors
/// @param fleet the known workers of every failure domain
/// @return one error per failure domain without known workers, and one per failure domain and block size that is promised too often.
auto checkGuarantees(const ConfigDocument &document, std::span<const DomainFleet> fleet) -> std::vector<FieldError>;

/// @return all errors as text for people, one "path: message" per line.
auto formatErrors(std::span<const FieldError> errors) -> std::string;

/// @return the workspace named @p name, or null; the pointer is valid as long as @p document is unchanged.
auto findWorkspace(const ConfigDocument &document, const WorkspaceId &name) -> const WorkspaceConfig *;

/// @return the kind named @p name, or null; the pointer is valid as long as @p document is unchanged.
auto findKind(const ConfigDocument &document, const KindId &name) -> const KindConfig *;

/// @return whether a service of @p workspace offers @p kind.
auto mayUseKind(const ConfigDocument &document, const WorkspaceId &workspace, const KindId &kind) -> bool;

/// @return "urgent", "normal" or "batch".
auto urgencyName(WorkUrgency urgency) -> const char *;

}
