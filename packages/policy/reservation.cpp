#include "policy/reservation.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// Time that a preempted gang needs to checkpoint and stop.
constexpr auto preemptionTime = Seconds{3};

auto isStoppingOrBackfill(const Allocation &allocation) -> bool
{
    return allocation.hold == Hold::Stopping || (allocation.hold == Hold::Reclaimable && allocation.backfill);
}

/// @return whether a borrower may be moved for @p gang: it is reclaimable, smaller, not more urgent, and keeps its progress.
/// Moving costs it a few seconds, while waiting for its end can take hours.
auto canMove(const Allocation &allocation, const GangRequest &gang) -> bool
{
    return allocation.hold == Hold::Reclaimable && allocation.movable && allocation.urgency <= gang.urgency
           && allocation.slots() < gang.tasks * gang.slotsPerTask;
}

auto expectedEnd(const Allocation &allocation, const GangRequest &gang, MonoTime now) -> MonoTime
{
    if (isStoppingOrBackfill(allocation) || canMove(allocation, gang)) {
        return now + preemptionTime;
    }
    // A job that has exceeded its estimate is expected to run for another quarter of its run time so far.
    const auto overdue = now + (now - allocation.since) / 4 + preemptionTime;
    return std::max(allocation.expectedEnd, overdue);
}

/// A block for one task and the time from which it is expected to be free.
struct TimedBlock
{
    MonoTime ready;
    SlotBlock block;
};

}

auto chooseReservation(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, MonoTime now) -> std::optional<Reservation>
{
    const auto level = levelOf(gang.slotsPerTask);
    const auto size = 1 << level;
    auto best = std::optional<Reservation>{};
    auto timed = std::vector<TimedBlock>{};
    const auto addWorker = [&](int index) {
        const auto &worker = topology.workers()[index];
        if (!worker.info.usable) {
            return;
        }
        auto ready = std::array<MonoTime, maxWorkerSlots>{};
        ready.fill(now);
        for (const auto &use : worker.uses) {
            const auto end = expectedEnd(topology.allocation(use.owner), gang, now);
            for (auto left = use.mask; left != 0; left &= left - 1) {
                auto &slot = ready[std::countr_zero(left)];
                slot = std::max(slot, end);
            }
        }
        const auto reserved = index < static_cast<int>(blocked.size()) ? blocked[index] : SlotMask{0};
        const auto usable = worker.all & ~reserved & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
        for (auto left = blockStarts(usable)[level]; left != 0; left &= left - 1) {
            const auto first = std::countr_zero(left);
            timed.push_back({*std::max_element(ready.begin() + first, ready.begin() + first + size), {index, blockMask(first, gang.slotsPerTask)}});
        }
    };
    const auto compareGroup = [&] {
        const auto tasks = static_cast<std::size_t>(gang.tasks);
        if (timed.size() >= tasks) {
            std::nth_element(timed.begin(), timed.begin() + (gang.tasks - 1), timed.end(), [](const auto &a, const auto &b) {
                return std::tuple{a.ready, a.block.worker, a.block.mask} < std::tuple{b.ready, b.block.worker, b.block.mask};
            });
            const auto readyAt = timed[tasks - 1].ready;
            if (!best || readyAt < best->readyAt) {
                best = Reservation{.chosenAt = now, .readyAt = readyAt};
                for (auto i = std::size_t{0}; i < tasks; ++i) {
                    best->blocks.push_back(timed[i].block);
                }
            }
        }
        timed.clear();
    };
    for (const auto &rack : topology.racks()) {
        for (auto index : rack.workers) {
            addWorker(index);
            if (gang.adjacency == Adjacency::Worker) {
                compareGroup();
            }
        }
        if (gang.adjacency == Adjacency::Rack) {
            compareGroup();
        }
    }
    if (gang.adjacency == Adjacency::Any) {
        compareGroup();
    }
    return best;
}

auto placeReserved(const Topology &topology, const GangRequest &gang, const Reservation &reservation, int spareSlots) -> std::optional<Placement>
{
    auto moved = std::vector<int>{};
    for (const auto &block : reservation.blocks) {
        const auto &worker = topology.workers()[block.worker];
        for (const auto &use : worker.uses) {
            const auto &owner = topology.allocation(use.owner);
            if ((use.mask & block.mask) == 0 || isStoppingOrBackfill(owner) || std::find(moved.begin(), moved.end(), use.owner) != moved.end()) {
                continue;
            }
            spareSlots -= owner.slots();
            if (!canMove(owner, gang) || spareSlots < 0) {
                return std::nullopt;
            }
            moved.push_back(use.owner);
        }
    }
    return placeAt(topology, gang, reservation.blocks);
}

auto blockReservedSlots(const Topology &topology, const Reservation &reservation, std::vector<SlotMask> &blocked) -> void
{
    blocked.resize(std::max(blocked.size(), topology.workers().size()));
    for (const auto &block : reservation.blocks) {
        blocked[block.worker] |= block.mask;
    }
}

}
