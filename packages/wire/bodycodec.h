#pragma once

/// Conversion between message structs and their FlatBuffers tables. Internal to the package: only envelope.cpp
/// includes it, so that users of the package never see FlatBuffers types.
///
/// @code
///   auto w = Catkin::BodyCodec::Writer{};
///   auto offset = write(w, heartbeat);       // w.tooLong: a bound was exceeded
///   auto r = Catkin::BodyCodec::Reader{};
///   read(r, *table, heartbeat);              // !r.valid: a bound was exceeded
/// @endcode

#include "util/outcome.h"
#include "wire/frame.h"
#include "wire/messages.h"

#include <peer_generated.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace Catkin::BodyCodec
{

using flatbuffers::Offset;

inline constexpr auto allErrorCodes = std::array{ErrorCode::InvalidInput,
                                                 ErrorCode::NotFound,
                                                 ErrorCode::Unauthorized,
                                                 ErrorCode::Conflict,
                                                 ErrorCode::StaleGeneration,
                                                 ErrorCode::Limit,
                                                 ErrorCode::NotSent,
                                                 ErrorCode::Unknown,
                                                 ErrorCode::Unavailable,
                                                 ErrorCode::Timeout,
                                                 ErrorCode::Protocol,
                                                 ErrorCode::Internal};

/// Writes one message; remembers whether a bound was exceeded.
class Writer
{
public:
    flatbuffers::FlatBufferBuilder builder{512};
    bool tooLong = false;

    auto text(const std::string &value) -> Offset<flatbuffers::String>
    {
        // Absent and empty are the same; absent costs no bytes.
        if (value.size() > maxFramePayload) {
            tooLong = true;
            return 0;
        }
        return value.empty() ? Offset<flatbuffers::String>{} : builder.CreateString(value);
    }

    auto idText(const std::string &value) -> Offset<flatbuffers::String>
    {
        tooLong = tooLong || value.size() > maxIdLength;
        return text(value);
    }

    template<typename Tag>
    auto id(const StringId<Tag> &value) -> Offset<flatbuffers::String>
    {
        return idText(value.str());
    }
};

/// Reads one message; remembers whether a bound was exceeded.
class Reader
{
public:
    bool valid = true;

    [[nodiscard]] static auto text(const flatbuffers::String *value) -> std::string
    {
        return value != nullptr ? value->str() : std::string{};
    }

    auto idText(const flatbuffers::String *value) -> std::string
    {
        if (value != nullptr && value->size() > maxIdLength) {
            valid = false;
            return {};
        }
        return text(value);
    }

    template<typename Id>
    auto id(const flatbuffers::String *value) -> Id
    {
        return Id{idText(value)};
    }

    template<typename T>
    auto list(const flatbuffers::Vector<Offset<T>> *value, const auto &each) -> void
    {
        if (value == nullptr) {
            return;
        }
        if (value->size() > maxListLength) {
            valid = false;
            return;
        }
        for (const auto *it : *value) {
            each(*it);
        }
    }
};

inline auto toWire(RequestVerdict verdict) -> Fb::RequestVerdict
{
    switch (verdict) {
    case RequestVerdict::Answer:
        return Fb::RequestVerdict::Answer;
    case RequestVerdict::NotRun:
        return Fb::RequestVerdict::NotRun;
    case RequestVerdict::OutcomeUnknown:
        break;
    }
    return Fb::RequestVerdict::OutcomeUnknown;
}

/// A value of a later release counts as the one that promises nothing.
inline auto fromWire(Fb::RequestVerdict verdict) -> RequestVerdict
{
    switch (verdict) {
    case Fb::RequestVerdict::Answer:
        return RequestVerdict::Answer;
    case Fb::RequestVerdict::NotRun:
        return RequestVerdict::NotRun;
    case Fb::RequestVerdict::OutcomeUnknown:
        break;
    }
    return RequestVerdict::OutcomeUnknown;
}

inline auto toWire(AttemptState state) -> Fb::AttemptState
{
    switch (state) {
    case AttemptState::Open:
        return Fb::AttemptState::Open;
    case AttemptState::Done:
        return Fb::AttemptState::Done;
    case AttemptState::Voided:
        return Fb::AttemptState::Voided;
    case AttemptState::Unknown:
        break;
    }
    return Fb::AttemptState::Unknown;
}

inline auto fromWire(Fb::AttemptState state) -> AttemptState
{
    switch (state) {
    case Fb::AttemptState::Open:
        return AttemptState::Open;
    case Fb::AttemptState::Done:
        return AttemptState::Done;
    case Fb::AttemptState::Voided:
        return AttemptState::Voided;
    case Fb::AttemptState::Unknown:
        break;
    }
    return AttemptState::Unknown;
}

inline auto toMillis(WallTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

inline auto write(Writer &w, const Hello &m) -> Offset<Fb::Hello>
{
    return Fb::CreateHello(w.builder,
                           m.version,
                           w.id(m.instance),
                           m.incarnation.value,
                           w.id(m.domain),
                           w.id(m.region),
                           w.idText(m.address),
                           w.idText(m.nonce),
                           w.id(m.target),
                           static_cast<std::uint8_t>(m.lane));
}

inline auto read(Reader &r, const Fb::Hello &m, Hello &out) -> void
{
    out = {.version = m.version(),
           .instance = r.id<InstanceId>(m.instance()),
           .incarnation = {m.incarnation()},
           .domain = r.id<FailureDomainId>(m.domain()),
           .region = r.id<RegionId>(m.region()),
           .address = r.idText(m.address()),
           .nonce = r.idText(m.nonce()),
           .target = r.id<InstanceId>(m.target()),
           .lane = static_cast<Lane>(m.lane())};
    r.valid = r.valid && m.lane() < laneCount;
}

inline auto write(Writer &w, const Challenge &m) -> Offset<Fb::Challenge>
{
    return Fb::CreateChallenge(
        w.builder, m.version, w.id(m.instance), m.incarnation.value, w.id(m.domain), w.id(m.region), w.idText(m.address), w.idText(m.nonce));
}

inline auto read(Reader &r, const Fb::Challenge &m, Challenge &out) -> void
{
    out = {.version = m.version(),
           .instance = r.id<InstanceId>(m.instance()),
           .incarnation = {m.incarnation()},
           .domain = r.id<FailureDomainId>(m.domain()),
           .region = r.id<RegionId>(m.region()),
           .address = r.idText(m.address()),
           .nonce = r.idText(m.nonce())};
}

inline auto write(Writer &w, const Proof &m) -> Offset<Fb::Proof>
{
    return Fb::CreateProof(w.builder, w.idText(m.mac));
}

inline auto read(Reader &r, const Fb::Proof &m, Proof &out) -> void
{
    out = {.mac = r.idText(m.mac())};
}

inline auto write(Writer &w, const Heartbeat &m) -> Offset<Fb::Heartbeat>
{
    w.tooLong = w.tooLong || m.executors.size() > maxListLength || m.planners.size() > maxListLength || m.demands.size() > maxListLength;
    auto executors = std::vector<Offset<Fb::ExecutorLoad>>{};
    executors.reserve(m.executors.size());
    for (const auto &it : m.executors) {
        executors.push_back(Fb::CreateExecutorLoad(w.builder, w.id(it.executor), it.inFlight));
    }
    auto planners = std::vector<Offset<Fb::PlannerRole>>{};
    planners.reserve(m.planners.size());
    for (const auto &it : m.planners) {
        planners.push_back(Fb::CreatePlannerRole(w.builder, w.id(it.domain), it.generation, w.idText(it.holder)));
    }
    const auto executorList = executors.empty() ? 0 : w.builder.CreateVector(executors);
    const auto plannerList = planners.empty() ? 0 : w.builder.CreateVector(planners);
    auto demands = std::vector<Fb::WorkspaceDemand>{};
    demands.reserve(m.demands.size());
    for (const auto &it : m.demands) {
        demands.emplace_back(it.workspace, it.slots);
    }
    const auto demandList = demands.empty() ? 0 : w.builder.CreateVectorOfStructs(demands);
    return Fb::CreateHeartbeat(w.builder,
                               w.id(m.instance),
                               m.incarnation.value,
                               w.id(m.domain),
                               m.draining,
                               m.configVersion.value,
                               m.fullLoads,
                               executorList,
                               plannerList,
                               m.reportsDemand,
                               demandList);
}

inline auto read(Reader &r, const Fb::Heartbeat &m, Heartbeat &out) -> void
{
    out.instance = r.id<InstanceId>(m.instance());
    out.incarnation = {m.incarnation()};
    out.domain = r.id<FailureDomainId>(m.domain());
    out.draining = m.draining();
    out.configVersion = {m.config_version()};
    out.fullLoads = m.full_loads();
    r.list(m.executors(), [&](const Fb::ExecutorLoad &it) { out.executors.push_back({r.id<ExecutorId>(it.executor()), it.in_flight()}); });
    r.list(m.planners(), [&](const Fb::PlannerRole &it) {
        out.planners.push_back({r.id<FailureDomainId>(it.domain()), it.generation(), r.idText(it.holder())});
    });
    out.reportsDemand = m.reports_demand();
    if (m.demands() != nullptr) {
        r.valid = r.valid && m.demands()->size() <= maxListLength;
        for (auto i = flatbuffers::uoffset_t{0}; r.valid && i < m.demands()->size(); ++i) {
            const auto *it = m.demands()->Get(i);
            // Every instance divides by these numbers, so one that cannot be a demand makes the message invalid.
            r.valid = std::isfinite(it->slots()) && it->slots() >= 0;
            out.demands.push_back({it->workspace(), it->slots()});
        }
    }
}

inline auto write(Writer &w, const ConfigOffer &m) -> Offset<Fb::ConfigOffer>
{
    return Fb::CreateConfigOffer(w.builder, m.version.value, m.base.value, w.idText(m.id), w.idText(m.author), m.offset.value, w.text(m.document));
}

inline auto read(Reader &r, const Fb::ConfigOffer &m, ConfigOffer &out) -> void
{
    out = {.version = {m.version()},
           .base = {m.base()},
           .id = r.idText(m.id()),
           .author = r.idText(m.author()),
           .offset = {m.offset()},
           .document = Reader::text(m.document())};
}

inline auto write(Writer &w, const AttemptQuery &m) -> Offset<Fb::AttemptQuery>
{
    return Fb::CreateAttemptQuery(w.builder, w.id(m.workspace), w.id(m.key), toMillis(m.firstSent), w.idText(m.attempt));
}

inline auto read(Reader &r, const Fb::AttemptQuery &m, AttemptQuery &out) -> void
{
    out = {.workspace = r.id<WorkspaceId>(m.workspace()),
           .key = r.id<IdempotencyKey>(m.key()),
           .firstSent = WallTime{Millis{m.first_sent_ms()}},
           .attempt = r.idText(m.attempt())};
}

inline auto write(Writer &w, const AttemptOutcome &m) -> Offset<Fb::AttemptOutcome>
{
    return Fb::CreateAttemptOutcome(w.builder, toWire(m.state), toWire(m.verdict), w.id(m.request), w.text(m.answer), w.text(m.reason));
}

inline auto read(Reader &r, const Fb::AttemptOutcome &m, AttemptOutcome &out) -> void
{
    out = {.state = fromWire(m.state()),
           .verdict = fromWire(m.verdict()),
           .request = r.id<RequestId>(m.request()),
           .answer = Reader::text(m.answer()),
           .reason = Reader::text(m.reason())};
}

inline auto write(Writer &w, const TicketForward &m) -> Offset<Fb::TicketForward>
{
    return Fb::CreateTicketForward(
        w.builder, w.id(m.workspace), w.id(m.caller), w.id(m.kind), w.id(m.key), toMillis(m.firstSent), m.attempt, m.deadline.count(), w.text(m.payload));
}

inline auto read(Reader &r, const Fb::TicketForward &m, TicketForward &out) -> void
{
    out = {.workspace = r.id<WorkspaceId>(m.workspace()),
           .caller = r.id<CallerId>(m.caller()),
           .kind = r.id<KindId>(m.kind()),
           .key = r.id<IdempotencyKey>(m.key()),
           .firstSent = WallTime{Millis{m.first_sent_ms()}},
           .attempt = m.attempt(),
           .deadline = Millis{m.deadline_ms()},
           .payload = Reader::text(m.payload())};
}

inline auto write(Writer &w, const TicketResult &m) -> Offset<Fb::TicketResult>
{
    return Fb::CreateTicketResult(
        w.builder, toWire(m.verdict), w.id(m.request), w.text(m.answer), w.text(m.reason), m.retryAfter.count(), m.configVersion.value, m.status);
}

inline auto read(Reader &r, const Fb::TicketResult &m, TicketResult &out) -> void
{
    out = {.verdict = fromWire(m.verdict()),
           .request = r.id<RequestId>(m.request()),
           .answer = Reader::text(m.answer()),
           .reason = Reader::text(m.reason()),
           .retryAfter = Millis{m.retry_after_ms()},
           .configVersion = {m.config_version()},
           .status = m.status()};
}

inline auto write(Writer &w, const JobNotice &m) -> Offset<Fb::JobNotice>
{
    return Fb::CreateJobNotice(w.builder, w.id(m.job), w.id(m.domain), m.offset.value);
}

inline auto read(Reader &r, const Fb::JobNotice &m, JobNotice &out) -> void
{
    out = {.job = r.id<JobId>(m.job()), .domain = r.id<FailureDomainId>(m.domain()), .offset = {m.offset()}};
}

inline auto write(Writer &w, const JobCancelRequest &m) -> Offset<Fb::JobCancel>
{
    return Fb::CreateJobCancel(w.builder, w.id(m.job), w.id(m.domain), w.text(m.reason));
}

inline auto read(Reader &r, const Fb::JobCancel &m, JobCancelRequest &out) -> void
{
    out = {.job = r.id<JobId>(m.job()), .domain = r.id<FailureDomainId>(m.domain()), .reason = Reader::text(m.reason())};
}

inline auto write(Writer &w, const JobStatusQuery &m) -> Offset<Fb::JobStatusQuery>
{
    return Fb::CreateJobStatusQuery(w.builder, w.id(m.job), w.id(m.domain));
}

inline auto read(Reader &r, const Fb::JobStatusQuery &m, JobStatusQuery &out) -> void
{
    out = {.job = r.id<JobId>(m.job()), .domain = r.id<FailureDomainId>(m.domain())};
}

inline auto write(Writer &w, const JobStatus &m) -> Offset<Fb::JobStatus>
{
    return Fb::CreateJobStatus(w.builder, w.id(m.job), m.known, w.idText(m.state), w.text(m.reason), m.attempt, m.runningTasks);
}

inline auto read(Reader &r, const Fb::JobStatus &m, JobStatus &out) -> void
{
    out = {.job = r.id<JobId>(m.job()),
           .known = m.known(),
           .state = r.idText(m.state()),
           .reason = Reader::text(m.reason()),
           .attempt = m.attempt(),
           .runningTasks = m.running_tasks()};
}

inline auto write(Writer &w, const ErrorReply &m) -> Offset<Fb::ErrorReply>
{
    return Fb::CreateErrorReply(w.builder, w.idText(errorName(m.code)), w.text(m.message));
}

inline auto read(Reader &r, const Fb::ErrorReply &m, ErrorReply &out) -> void
{
    const auto name = r.idText(m.code());
    const auto it = std::find_if(allErrorCodes.begin(), allErrorCodes.end(), [&](ErrorCode code) { return name == errorName(code); });
    // A code of a later release promises nothing about the effect.
    out = {.code = it == allErrorCodes.end() ? ErrorCode::Unknown : *it, .message = Reader::text(m.message())};
}

inline auto write(Writer &w, const Ping & /*m*/) -> Offset<Fb::Ping>
{
    return Fb::CreatePing(w.builder);
}

inline auto read(Reader & /*r*/, const Fb::Ping & /*m*/, Ping & /*out*/) -> void
{
}

}
