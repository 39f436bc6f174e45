#pragma once

/// Leader election among the instances: decides which of them plans for the pool, and when it must stop sending orders.
///
/// @code
///   leadership.tailRead(sentAt, now);                   // after each successful read of the log of states
///   leadership.applyRecord(record, offset, now);        // for each leadership record in it
///   switch (leadership.next(now)) {
///   case Catkin::LeadershipStep::Claim: append(leadership.claim(end, nonce, now)); break;
///   case Catkin::LeadershipStep::Renew: ... leadership.renewed(sentAt); break;
///   }
///   if (leadership.mayOrder(now)) { ... }
/// @endcode
///
/// The log of states orders all claims. A claim is appended on condition that the log has not grown since the claimant
/// read it, so that one claimant wins. The offset of its claim is its epoch and fencing token. The holder then appends
/// renewals. An instance claims the leadership after it has read the log for takeoverTimeout without a gap and without a
/// renewal.
///
/// An earlier holder does no harm. It stops sending orders validityPeriod after its last acknowledged renewal was sent,
/// and no other instance claims before the longer takeoverTimeout has passed since it read that renewal. A claim is made
/// sooner when the connection to the holder breaks. Workers then refuse the earlier holder's orders by their fencing
/// token. For workers that it cannot reach, the new holder assumes that leases of the earlier one last until their latest
/// possible end.

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
    std::string nonce; ///< distinguishes the claims of one instance
    std::string address; ///< "ip:port" of the holder, to which other instances keep a connection to notice its end
};

struct LeadershipOptions
{
    InstanceId self;
    std::string address;
    Millis renewInterval{400};
    Millis validityPeriod{1'800}; ///< the holder sends orders for this long after its last acknowledged renewal was sent
    Millis takeoverTimeout{2'000}; ///< time without records of the holder after which other instances claim
    Millis claimRetryInterval{700}; ///< a claim that has not appeared in the log is repeated after this time
};

enum class LeadershipStep { None, Claim, Renew };

/// Instances close to the store and with enough processor for a planner of a large pool claim first; the others wait.
/// @param storeRoundTrip duration of a call to the store
/// @param cores processor share of the instance, in cores
/// @return delay of the instance's claims.
auto claimDelay(Millis storeRoundTrip, double cores) -> Millis;

class Leadership
{
public:
    explicit Leadership(const LeadershipOptions &options);

    /// Reports that the log of states was read up to its end by a call sent at @p sentAt.
    auto tailRead(MonoTime sentAt, MonoTime now) -> void;
    /// Reports that the log of states cannot be read; the holder's silence counts again only after the next tailRead().
    auto tailLost() -> void;
    /// @param offset where the record stands in the log of states
    auto applyRecord(const LeadershipRecord &record, LogOffset offset, MonoTime now) -> void;
    /// Reports that the connection to the holder of @p epoch broke, as it does at once when the holder's process ends. If it is
    /// still the holder, the leadership is vacant until its next record.
    auto holderDisconnected(std::int64_t epoch, MonoTime now) -> void;
    /// Reports that a renewal, or another append that depends on this instance's epoch, was acknowledged; it was sent at @p sentAt.
    auto renewed(MonoTime sentAt) -> void;
    /// Reports that the claim was certainly not appended, because the log had grown.
    auto claimRefused() -> void;
    /// Reports that an append or an order was refused because a newer planner exists; gives up the leadership.
    auto fenced() -> void;
    /// Reports that this instance is about to stop; it makes no further claims.
    auto retire() -> void;
    /// @param delay added to the time after which this instance claims; see claimDelay()
    auto setClaimDelay(Millis delay) -> void;

    /// @return what to append to the log of states now.
    [[nodiscard]] auto next(MonoTime now) const -> LeadershipStep;
    /// Starts a claim.
    /// @param end end of the log as this instance last read it
    /// @param nonce a new one for each claim
    /// @return the record to append at @p end.
    auto claim(LogOffset end, const std::string &nonce, MonoTime now) -> LeadershipRecord;
    [[nodiscard]] auto renewal() const -> LeadershipRecord;
    [[nodiscard]] auto resignation() const -> LeadershipRecord;

    /// @return this instance's epoch while it holds the leadership, even if mayOrder() is false.
    [[nodiscard]] auto ownEpoch() const -> std::optional<std::int64_t>;
    /// @return whether this instance holds the leadership and its last renewal is still valid, so that it may send orders.
    [[nodiscard]] auto mayOrder(MonoTime now) const -> bool;
    /// @return the last record of the holder; of kind Resignation after the holder has resigned.
    [[nodiscard]] auto holder() const -> const std::optional<LeadershipRecord> &;

private:
    LeadershipOptions m_options;
    std::optional<LeadershipRecord> m_holder;
    MonoTime m_silentSince; ///< the holder's silence counts from here: its last record, its disconnection, or the first read after a gap
    MonoTime m_healthySince; ///< first read after the last gap
    MonoTime m_lastRead; ///< sending time of the last successful read
    bool m_healthy = false; ///< whether the log is being read without a gap
    bool m_vacant = true; ///< whether the leadership is known to have no holder
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
