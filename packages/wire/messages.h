#pragma once

/// The messages between entry instances as plain structs; docs/peer-protocol.md describes their encoding.
///
/// @code
///   auto query = Catkin::AttemptQuery{.workspace = Catkin::WorkspaceId{"boots"}, .key = key, .firstSent = firstSent};
///   auto outcome = mesh.queryAttempt(winner, query, Catkin::Millis{500});
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Catkin
{

/// Requests of one instance in progress at one executor.
struct ExecutorLoad
{
    ExecutorId executor;
    int inFlight = 0;

    auto operator<=>(const ExecutorLoad &other) const = default;
};

/// Executor time that callers of one workspace ask of one instance, in slots, served or not.
struct DemandEntry
{
    std::uint32_t workspace = 0; ///< low 32 bits of the xxHash64 of the workspace's name
    float slots = 0;

    auto operator<=>(const DemandEntry &other) const = default;
};

/// A failure domain that the sender schedules, with the generation under which it gives orders.
struct PlannerRole
{
    FailureDomainId domain;
    std::int64_t generation = 0; ///< counter of the generation
    std::string holder; ///< instance id of the generation

    auto operator<=>(const PlannerRole &other) const = default;
};

/// Periodic statement of an instance about itself.
struct Heartbeat
{
    InstanceId instance;
    Incarnation incarnation;
    FailureDomainId domain;
    RegionId region; ///< not on the wire: proved when the link was opened
    std::string address; ///< "ip:port" where the sender accepts peers; not on the wire
    bool draining = false;
    ConfigVersion configVersion;
    /// Whether @c executors is the complete list. Otherwise it holds the entries that changed since the
    /// previous heartbeat on the same link, where an entry of 0 removes the executor.
    bool fullLoads = true;
    std::vector<ExecutorLoad> executors;
    std::vector<PlannerRole> planners;
    bool reportsDemand = false; ///< whether @c demands is meant; it is not between regions
    std::vector<DemandEntry> demands; ///< complete or changed, as @c executors is
};

/// An accepted configuration, sent to peers that report an older version.
struct ConfigOffer
{
    ConfigVersion version;
    ConfigVersion base;
    std::string id; ///< identifier of the change
    std::string author;
    LogOffset offset; ///< of the accepted change in stream `config`
    std::string document; ///< JSON
};

/// Asks the instance that dispatched an attempt for its outcome.
struct AttemptQuery
{
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime firstSent; ///< part of the key's identity
    std::string attempt; ///< id of the attempt
};

enum class AttemptState {
    Unknown, ///< the asked instance knows no such attempt
    Open, ///< still running
    Done,
    Voided, ///< certainly not run by this attempt
};

/// What a caller is told about a request.
enum class RequestVerdict { Answer, NotRun, OutcomeUnknown };

struct AttemptOutcome
{
    AttemptState state = AttemptState::Unknown;
    RequestVerdict verdict = RequestVerdict::OutcomeUnknown; ///< valid when the state is Done
    RequestId request;
    std::string answer;
    std::string reason;
};

/// A request whose ticket names the receiver as the only instance that may dispatch it.
struct TicketForward
{
    WorkspaceId workspace;
    CallerId caller;
    KindId kind;
    IdempotencyKey key;
    WallTime firstSent;
    int attempt = 0; ///< attempt number that the caller states; 0: not stated
    Millis deadline{0}; ///< time left when the message was queued
    std::string payload;
};

struct TicketResult
{
    RequestVerdict verdict = RequestVerdict::OutcomeUnknown;
    RequestId request;
    std::string answer;
    std::string reason;
    Millis retryAfter{0};
    ConfigVersion configVersion;
    int status = 0; ///< HTTP status for the caller
};

/// Wakes the planner of the job's failure domain, which otherwise sees the job when its log reader reaches it.
struct JobNotice
{
    JobId job;
    FailureDomainId domain;
    LogOffset offset; ///< of the accept record in stream `jobs`
};

/// Asks the home planner to end a job at once; answered with JobStatus.
struct JobCancelRequest
{
    JobId job;
    FailureDomainId domain;
    std::string reason;
};

struct JobStatusQuery
{
    JobId job;
    FailureDomainId domain;
};

struct JobStatus
{
    JobId job;
    bool known = false;
    std::string state; ///< a state name of the callers' interface, such as "running"
    std::string reason;
    int attempt = 0;
    int runningTasks = 0;
};

/// Answers a request that the receiver refuses or cannot serve.
struct ErrorReply
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// Carries nothing; keeps the bulk link of an idle pair from being taken for a silent one.
struct Ping
{
};

/// Each pair of instances keeps one connection per lane, so that control messages never wait behind payload.
enum class Lane { Control, Bulk };
constexpr auto laneCount = std::size_t{2};

/// First message of the connecting side.
struct Hello
{
    std::uint32_t version = 0;
    InstanceId instance;
    Incarnation incarnation;
    FailureDomainId domain;
    RegionId region;
    std::string address;
    std::string nonce; ///< 32 random bytes as 64 hex digits
    InstanceId target; ///< whom the sender wants to reach
    Lane lane = Lane::Control; ///< what the connection is for
};

/// Answer of the accepting side to Hello.
struct Challenge
{
    std::uint32_t version = 0;
    InstanceId instance;
    Incarnation incarnation;
    FailureDomainId domain;
    RegionId region;
    std::string address;
    std::string nonce;
};

/// Shows that the sender holds the shared key, without disclosing it.
struct Proof
{
    std::string mac; ///< 64 hex digits
};

/// The first alternative stands for a message type that this release does not know.
using Message = std::variant<std::monostate,
                             Hello,
                             Challenge,
                             Proof,
                             Heartbeat,
                             ConfigOffer,
                             AttemptQuery,
                             AttemptOutcome,
                             TicketForward,
                             TicketResult,
                             JobNotice,
                             JobCancelRequest,
                             JobStatusQuery,
                             JobStatus,
                             ErrorReply,
                             Ping>;

/// One message on a link.
struct Envelope
{
    std::uint64_t correlation = 0; ///< joins a response to its request; 0 for one-way messages
    bool response = false;
    Message message;
};

/// Classes by which sent and received bytes are counted and queued.
enum class TrafficClass { Handshake, Heartbeat, Control, Bulk };
constexpr auto trafficClassCount = std::size_t{4};

/// @return the class of @p message. Bulk messages and pings travel on the bulk lane, all others on the control lane.
auto trafficClass(const Message &message) -> TrafficClass;

/// Bytes and messages of one traffic class, with their frame headers.
struct TrafficCount
{
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;

    auto operator+=(const TrafficCount &other) -> TrafficCount &;
};

using TrafficCounts = std::array<TrafficCount, trafficClassCount>; ///< by TrafficClass

/// @return the stable lower-case name of @p traffic, used in logs and metrics.
auto trafficClassName(TrafficClass traffic) -> const char *;

}
