#pragma once

/// Baseline for the placement figures: one queue in the order of submission, first fit, no preemption.
///
/// It offers the calls of Catkin::Scheduler that the simulation uses.

#include "policy/scheduler.h"

#include <deque>
#include <map>

namespace Catkin
{

class FirstFitFifo
{
public:
    auto configure(const SchedulerConfig & /*config*/) -> void
    {
    }

    auto updateWorker(const WorkerInfo &worker, MonoTime /*now*/) -> Result<void>
    {
        m_workers.push_back({worker, 0});
        return success();
    }

    auto submit(const ScheduledJob &spec, MonoTime /*now*/) -> Result<void>
    {
        m_waiting.push_back(spec);
        return success();
    }

    auto jobStarted(const JobId & /*job*/, MonoTime /*now*/) -> void
    {
    }

    auto jobEnded(const JobId &job, JobEnd /*end*/, MonoTime /*now*/) -> void
    {
        const auto it = m_running.find(job);
        for (const auto &[worker, mask] : it->second) {
            m_workers[worker].used &= ~mask;
        }
        m_running.erase(it);
    }

    auto decide(MonoTime /*now*/) -> Decisions
    {
        auto decisions = Decisions{};
        while (!m_waiting.empty()) {
            const auto &spec = m_waiting.front();
            const auto blocks = place(spec);
            if (blocks.empty()) {
                break;
            }
            auto start = Start{.job = spec.job};
            for (const auto &[worker, mask] : blocks) {
                m_workers[worker].used |= mask;
                start.members.push_back({m_workers[worker].info.worker, mask});
            }
            m_running[spec.job] = blocks;
            decisions.starts.push_back(std::move(start));
            m_waiting.pop_front();
        }
        return decisions;
    }

private:
    struct Worker
    {
        WorkerInfo info;
        SlotMask used;
    };

    using Blocks = std::vector<std::pair<int, SlotMask>>;

    [[nodiscard]] auto place(const ScheduledJob &spec) const -> Blocks
    {
        const auto block = 1 << levelOf(spec.slotsPerTask);
        auto found = Blocks{};
        for (auto w = 0; w < static_cast<int>(m_workers.size()); ++w) {
            const auto &worker = m_workers[w];
            // Workers arrive rack by rack, so a new group starts wherever the adjacency says.
            const auto newRack = w > 0 && m_workers[w - 1].info.rack != worker.info.rack;
            if (spec.adjacency == Adjacency::Worker || (spec.adjacency == Adjacency::Rack && newRack)) {
                found.clear();
            }
            for (auto first = 0; first + block <= worker.info.slots && static_cast<int>(found.size()) < spec.tasks; first += block) {
                const auto mask = blockMask(first, spec.slotsPerTask);
                if ((worker.used & mask) == 0) {
                    found.emplace_back(w, mask);
                }
            }
            if (static_cast<int>(found.size()) == spec.tasks) {
                return found;
            }
        }
        return {};
    }

    std::vector<Worker> m_workers;
    std::deque<ScheduledJob> m_waiting;
    std::map<JobId, Blocks> m_running;
};

}
