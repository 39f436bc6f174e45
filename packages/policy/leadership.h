#pragma once

/// Decides which instance plans for the pool, and when it must stop giving orders.
///
/// The log of states orders all claims: a claim is appended on condition that the log still ends where the claimant saw
/// it end, so one claimant wins, and the offset of its claim is its epoch and fencing token. The holder renews; an
/// instance that has read the log without a gap and saw no renewal for takeoverTimeout claims.
/// @code
///   leadership.tailRead(sentAt, now);                   // after each successful read of the log of states
///   leadership.applyRecord(record, offset, now);        // for each leadership record in it
///   switch (leadership.next(now)) {
///   case Catkin::LeadershipStep::Claim: append(leadership.claim(now)); break;
///   case Catkin::LeadershipStep::Renew: ... leadership.renewed(sentAt); break;
///   }
///   if (leadership.mayOrder(now)) { ... }
/// @endcode
///
/// Why an old holder is harmless: it stops giving orders validityPeriod after the start of its last acknowledged renewal,
/// and nobody claims by silence before takeoverTimeout (which is longer) has passed since reading that renewal. A claim
/// made sooner, because the holder's connection broke, is covered by the workers' fencing and by the bound that the
/// new holder puts on leases of workers that it cannot reach.

#include "util/ids.h"
#include "util/units.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Catkin
{

enum class LeadershipRecordKind { Claim, Renewal, Resignation };

struct LeadershipRecord
{
    LeadershipRecordKind kind = LeadershipRecordKind::Claim;
    InstanceId holder;
    std::int64_t epoch = 0; ///< offset of the claim
    std::string nonce; ///< of the claim; tells the claims of one instance apart
    std::string address; ///< "ip:port" at which other instances watch the holder
};

struct LeadershipOptions
{
    InstanceId self;
    std::string address;
    Millis renewInterval{400};
    Millis validityPeriod{1'800}; ///< orders stop this long after the last acknowledged renewal was sent
    Millis takeoverTimeout{2'000}; ///< silence after which others claim
    Millis claimRetryInterval{700}; ///< a claim that did not appear in the log is repeated after this
};

enum class LeadershipStep { None, Claim, Renew };

/// How long an instance lets others claim first: those that are nearer to the store, and those with the processor that
/// a planner of a large pool needs.
/// @param storeRoundTrip how long a call to the store took
/// @param cores processor share of the instance, in cores
auto claimDelay(Millis storeRoundTrip, double cores) -> Millis;

class Leadership
{
public:
    explicit Leadership(const LeadershipOptions &options);

    /// The log of states was read up to its end by a call that was sent at @p sentAt.
    auto tailRead(MonoTime sentAt, MonoTime now) -> void;
    /// The log of states cannot be read; silence does not count until it can.
    auto tailLost() -> void;
    auto applyRecord(const LeadershipRecord &record, LogOffset offset, MonoTime now) -> void;
    /// The connection to the holder broke, which a process that ends causes at once.
    auto holderDisconnected(std::int64_t epoch, MonoTime now) -> void;
    /// A renewal or another guarded append, sent at @p sentAt, was acknowledged.
    auto renewed(MonoTime sentAt) -> void;
    /// The claim was certainly not appended, because the log had grown meanwhile.
    auto claimRefused() -> void;
    /// An append or an order was refused because a newer planner exists.
    auto fenced() -> void;
    /// This instance is about to stop.
    auto retire() -> void;
    /// @param delay how long this instance lets others go first, for example because it is far from the store
    auto setClaimDelay(Millis delay) -> void;

    [[nodiscard]] auto next(MonoTime now) const -> LeadershipStep;
    /// @param nonce a new one for each claim
    /// @return the record to append at @p end, where this instance saw the log end.
    auto claim(LogOffset end, const std::string &nonce, MonoTime now) -> LeadershipRecord;
    [[nodiscard]] auto renewal() const -> LeadershipRecord;
    [[nodiscard]] auto resignation() const -> LeadershipRecord;

    /// @return this instance's epoch while it holds the leadership, even if it may give no orders now.
    [[nodiscard]] auto ownEpoch() const -> std::optional<std::int64_t>;
    [[nodiscard]] auto mayOrder(MonoTime now) const -> bool;
    /// @return the last record of the holder; its kind is Resignation when nobody holds the leadership.
    [[nodiscard]] auto holder() const -> const std::optional<LeadershipRecord> &;

private:
    LeadershipOptions m_options;
    std::optional<LeadershipRecord> m_holder;
    MonoTime m_silentSince; ///< last record of the holder, or since when silence counts
    MonoTime m_healthySince; ///< start of reading without a gap
    MonoTime m_lastRead;
    bool m_healthy = false;
    bool m_vacant = true; ///< known to be without holder
    bool m_retired = false;
    bool m_fenced = false;
    Millis m_claimDelay{0};
    std::string m_pendingNonce;
    std::set<std::string> m_nonces; ///< of all claims of this process; few, since a claim needs a vacancy
    MonoTime m_claimedAt;
    std::optional<std::int64_t> m_ownEpoch;
    MonoTime m_validSince; ///< sending time of the last acknowledged renewal
};

}
