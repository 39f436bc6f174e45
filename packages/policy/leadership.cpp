#include "policy/leadership.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// Delay in round trips to the store. An instance reads its own claim after two; with four, a claim of a nearer instance is read first.
constexpr auto delayTrips = 4;
constexpr auto maxDistanceDelay = Millis{600};
/// Cores that the planner of a pool of 350 workers uses under peak load (docs/CAPACITY.md: up to 0.28).
constexpr auto plannerCores = 0.25;
/// Longer than the delay of an instance 20 ms away from the store (160 ms) plus the time until its claim has been read.
constexpr auto smallInstanceDelay = Millis{400};

}

auto claimDelay(Millis storeRoundTrip, double cores) -> Millis
{
    return std::min(storeRoundTrip * delayTrips, maxDistanceDelay) + (cores < plannerCores ? smallInstanceDelay : Millis{0});
}

Leadership::Leadership(const LeadershipOptions &options)
    : m_options(options)
{
}

auto Leadership::tailRead(MonoTime sentAt, MonoTime now) -> void
{
    if (!m_healthy) {
        m_healthy = true;
        m_healthySince = now;
        m_silentSince = now;
    }
    m_lastRead = sentAt;
}

auto Leadership::tailLost() -> void
{
    m_healthy = false;
}

auto Leadership::applyRecord(const LeadershipRecord &record, LogOffset offset, MonoTime now) -> void
{
    const auto epoch = record.kind == LeadershipRecordKind::Claim ? offset.value : record.epoch;
    if (m_holder && epoch < m_holder->epoch) {
        return;
    }
    const auto taken = !m_holder || epoch > m_holder->epoch;
    m_holder = record;
    m_holder->epoch = epoch;
    m_silentSince = now;
    const auto ofEarlierProcess = record.holder == m_options.self && !m_nonces.contains(record.nonce);
    m_vacant = record.kind == LeadershipRecordKind::Resignation || ofEarlierProcess;
    if (m_ownEpoch && (*m_ownEpoch != epoch || m_vacant)) {
        m_ownEpoch.reset();
    }
    if (taken && record.kind == LeadershipRecordKind::Claim && record.holder == m_options.self && !m_pendingNonce.empty() && record.nonce == m_pendingNonce) {
        m_ownEpoch = epoch;
        m_fenced = false;
        m_validSince = m_claimedAt;
    }
}

auto Leadership::holderDisconnected(std::int64_t epoch, MonoTime now) -> void
{
    if (m_holder && m_holder->epoch == epoch && !m_vacant) {
        m_vacant = true;
        m_silentSince = now;
    }
}

auto Leadership::renewed(MonoTime sentAt) -> void
{
    if (m_ownEpoch && sentAt > m_validSince) {
        m_validSince = sentAt;
    }
}

auto Leadership::claimRefused() -> void
{
    m_pendingNonce.clear();
}

auto Leadership::fenced() -> void
{
    m_fenced = true;
    m_ownEpoch.reset();
}

auto Leadership::retire() -> void
{
    m_retired = true;
}

auto Leadership::setClaimDelay(Millis delay) -> void
{
    m_claimDelay = delay;
}

auto Leadership::next(MonoTime now) const -> LeadershipStep
{
    if (m_ownEpoch) {
        return now - m_validSince >= m_options.renewInterval ? LeadershipStep::Renew : LeadershipStep::None;
    }
    if (m_retired || !m_healthy || now - m_lastRead > m_options.takeoverTimeout) {
        return LeadershipStep::None;
    }
    const auto silence = m_vacant ? m_claimDelay : m_options.takeoverTimeout + m_claimDelay;
    const auto waiting = !m_pendingNonce.empty() && now - m_claimedAt < m_options.claimRetryInterval;
    return now - m_silentSince >= silence && !waiting ? LeadershipStep::Claim : LeadershipStep::None;
}

auto Leadership::claim(LogOffset end, const std::string &nonce, MonoTime now) -> LeadershipRecord
{
    m_pendingNonce = nonce;
    m_nonces.insert(nonce);
    m_claimedAt = now;
    return {.kind = LeadershipRecordKind::Claim, .holder = m_options.self, .epoch = end.value, .nonce = nonce, .address = m_options.address};
}

auto Leadership::renewal() const -> LeadershipRecord
{
    return {.kind = LeadershipRecordKind::Renewal,
            .holder = m_options.self,
            .epoch = m_ownEpoch.value_or(0),
            .nonce = m_pendingNonce,
            .address = m_options.address};
}

auto Leadership::resignation() const -> LeadershipRecord
{
    auto record = renewal();
    record.kind = LeadershipRecordKind::Resignation;
    return record;
}

auto Leadership::ownEpoch() const -> std::optional<std::int64_t>
{
    return m_ownEpoch;
}

auto Leadership::mayOrder(MonoTime now) const -> bool
{
    return m_ownEpoch && !m_fenced && now - m_validSince < m_options.validityPeriod;
}

auto Leadership::holder() const -> const std::optional<LeadershipRecord> &
{
    return m_holder;
}

}
