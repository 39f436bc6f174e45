// Feeds arrivals and completions into the scheduler and into first-fit + FIFO with a virtual clock.
// usage: build/bin/placement_figures [CSV-FILE [SVG-FILE [SCENARIO]]]

#include "bench/firstfit.h"
#include "util/random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <queue>
#include <string>

using namespace Catkin;

namespace
{

/// One kind of job of a scenario.
struct Mix
{
    const char *kind;
    const char *workspace;
    int callers;
    int tasks;
    int slotsPerTask;
    Adjacency adjacency;
    Urgency urgency;
    bool checkpointable;
    bool restartable;
    int meanSeconds;
    double share; ///< part of the offered slot-seconds
    int burst; ///< jobs that arrive together
};

struct Scenario
{
    const char *name;
    int workers;
    int slots;
    int hours;
    std::vector<WorkspaceRule> rules;
    std::vector<Mix> mixes;
};

auto scenarios() -> std::vector<Scenario>
{
    constexpr auto worker = Adjacency::Worker;
    constexpr auto rack = Adjacency::Rack;
    constexpr auto any = Adjacency::Any;
    constexpr auto batch = Urgency::Batch;
    constexpr auto normal = Urgency::Normal;
    constexpr auto urgent = Urgency::Urgent;
    auto bariloche = Scenario{.name = "bariloche", .workers = 50, .slots = 8, .hours = 96};
    bariloche.rules = {{.name = WorkspaceId{"fitting"}, .weight = 2, .urgentSharePercent = 40, .guarantees = {{32, 1}}},
                       {.name = WorkspaceId{"patrol"}, .weight = 1, .urgentSharePercent = 100, .guarantees = {{8, 1}}},
                       {.name = WorkspaceId{"rental"}, .weight = 2},
                       {.name = WorkspaceId{"school"}, .weight = 1}};
    bariloche.mixes = {{"molding", "fitting", 6, 4, 8, rack, normal, true, true, 7200, 0.08, 1},
                       {"fit", "fitting", 12, 1, 2, worker, normal, false, true, 1800, 0.12, 1},
                       {"patrol", "patrol", 4, 1, 8, worker, urgent, false, true, 1200, 0.01, 1},
                       {"liner", "rental", 2, 4, 1, any, batch, true, true, 3600, 0.30, 20},
                       {"pour", "rental", 2, 1, 1, any, batch, false, false, 5400, 0.14, 10},
                       {"study", "school", 3, 4, 8, rack, normal, true, true, 10800, 0.20, 1},
                       {"lesson", "school", 30, 2, 2, worker, normal, false, true, 2400, 0.15, 2}};
    auto revisiones = Scenario{.name = "revisiones", .workers = 50, .slots = 8, .hours = 96};
    revisiones.rules = {{.name = WorkspaceId{"callcentre"}, .weight = 2, .urgentSharePercent = 50, .guarantees = {{16, 2}}},
                        {.name = WorkspaceId{"installers"}, .weight = 2},
                        {.name = WorkspaceId{"regulator"}, .weight = 1, .guarantees = {{8, 1}}},
                        {.name = WorkspaceId{"recall"}, .weight = 1}};
    revisiones.mixes = {{"routes", "callcentre", 10, 2, 8, rack, urgent, false, true, 1800, 0.06, 1},
                        {"replan", "callcentre", 10, 1, 4, worker, normal, false, true, 900, 0.10, 1},
                        {"serials", "installers", 1, 16, 1, any, batch, true, true, 5400, 0.34, 15},
                        {"visits", "installers", 20, 1, 1, any, normal, false, false, 1800, 0.10, 2},
                        {"portal", "regulator", 5, 1, 2, worker, normal, false, true, 1200, 0.10, 3},
                        {"notices", "recall", 5, 2, 1, any, normal, false, true, 600, 0.08, 5},
                        {"fleet-check", "recall", 2, 8, 8, rack, batch, true, true, 9000, 0.22, 1}};
    auto target = Scenario{.name = "target", .workers = 760, .slots = 32, .hours = 96};
    for (auto i = 0; i < 250; ++i) {
        auto rule = WorkspaceRule{.name = WorkspaceId{"s" + std::to_string(i)}, .urgentSharePercent = 10, .guarantees = {{i < 10 ? 128 : 16, 1}}};
        target.rules.push_back(std::move(rule));
    }
    // An asterisk stands for a workspace chosen for each job.
    target.mixes = {{"train", "*", 3, 64, 1, any, normal, true, true, 21600, 0.45, 1},
                    {"adjacent", "*", 3, 16, 8, rack, normal, true, true, 21600, 0.20, 1},
                    {"wide", "*", 3, 64, 2, rack, batch, true, true, 28800, 0.15, 1},
                    {"once", "*", 3, 16, 1, any, normal, false, false, 10800, 0.10, 2},
                    {"small", "*", 8, 4, 1, worker, normal, false, true, 7200, 0.10, 4}};
    return {bariloche, revisiones, target};
}

struct Arrival
{
    ScheduledJob spec;
    double at = 0; ///< seconds
    double seconds = 0; ///< run time
};

auto makeArrivals(const Scenario &scenario, double load, std::uint64_t seed) -> std::vector<Arrival>
{
    auto random = Random{seed};
    const auto unit = [&] { return (uniform(random, 1U << 30) + 0.5) / (1U << 30); };
    const auto capacity = static_cast<double>(scenario.workers) * scenario.slots;
    auto arrivals = std::vector<Arrival>{};
    for (const auto &mix : scenario.mixes) {
        const auto perJob = static_cast<double>(mix.tasks) * mix.slotsPerTask * mix.meanSeconds;
        const auto interval = perJob * mix.burst / (load * mix.share * capacity);
        for (auto t = -std::log(unit()) * interval; t < scenario.hours * 3600.0; t -= std::log(unit()) * interval) {
            const auto workspace = mix.workspace[0] == '*' ? "s" + std::to_string(uniform(random, 250)) : std::string{mix.workspace};
            const auto caller = CallerId{std::string{mix.kind} + std::to_string(uniform(random, mix.callers))};
            for (auto i = 0; i < mix.burst; ++i) {
                // Exponential run times, cut at four times the mean, scaled back to the mean.
                const auto seconds = std::max(30.0, std::min(4.0, -std::log(unit())) * mix.meanSeconds / 0.982);
                arrivals.push_back({{.workspace = WorkspaceId{workspace},
                                     .caller = caller,
                                     .kind = KindId{mix.kind},
                                     .tasks = mix.tasks,
                                     .slotsPerTask = mix.slotsPerTask,
                                     .adjacency = mix.adjacency,
                                     .urgency = mix.urgency,
                                     .checkpointable = mix.checkpointable,
                                     .restartable = mix.restartable},
                                    t,
                                    seconds});
            }
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    for (auto i = std::size_t{0}; i < arrivals.size(); ++i) {
        arrivals[i].spec.job = JobId{std::to_string(i)};
    }
    return arrivals;
}

/// Results of one run; times in seconds.
struct Figures
{
    std::map<std::string, double> values;
};

auto mean(const std::vector<double> &values) -> double
{
    auto sum = 0.0;
    for (auto value : values) {
        sum += value;
    }
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

auto quantile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

template<typename Policy>
class Simulation
{
public:
    Simulation(const Scenario &scenario, const std::vector<Arrival> &arrivals)
        : m_scenario(scenario)
        , m_end(scenario.hours * 3600.0)
    {
        m_policy.configure({.workspaces = scenario.rules});
        for (auto w = 0; w < scenario.workers; ++w) {
            const auto id = WorkerId{"w" + std::to_string(w)};
            (void)m_policy.updateWorker({.worker = id, .rack = RackId{"r" + std::to_string(w / 8)}, .slots = scenario.slots}, MonoTime{});
            m_workers[id] = w;
        }
        m_used.resize(scenario.workers);
        for (const auto &arrival : arrivals) {
            m_jobs.push_back({arrival, arrival.seconds});
        }
    }

    auto run() -> Figures
    {
        auto next = std::size_t{0};
        auto wake = m_end;
        while (true) {
            const auto arrival = next < m_jobs.size() ? m_jobs[next].arrival.at : m_end;
            const auto event = m_events.empty() ? m_end : m_events.top().at;
            const auto now = std::min({arrival, event, wake, m_end});
            measureUntil(now);
            if (now >= m_end) {
                break;
            }
            if (event <= now) {
                handle(m_events.top());
                m_events.pop();
            } else if (arrival <= now) {
                submit(static_cast<int>(next++));
            }
            const auto began = std::chrono::steady_clock::now();
            const auto decisions = m_policy.decide(at(now));
            m_decisions.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count());
            carryOut(decisions);
            wake = decisions.wakeAt ? std::max(now + 0.001, std::chrono::duration<double>(decisions.wakeAt->time_since_epoch()).count()) : m_end;
        }
        return figures();
    }

private:
    struct Job
    {
        Arrival arrival;
        double left = 0; ///< run time still needed
        double started = -1; ///< this attempt
        double firstStart = -1;
        double finished = -1;
        bool ownGuarantee = false; ///< large, fits the guarantee, which nothing that may keep it was using at arrival
        int attempt = 0;
        std::vector<MemberPlacement> members;
    };

    struct Event
    {
        double at;
        int job;
        int attempt;
        bool stop; ///< preemption completed, else the job's own end

        auto operator<(const Event &other) const -> bool
        {
            return std::pair{at, job} > std::pair{other.at, other.job};
        }
    };

    static auto at(double seconds) -> MonoTime
    {
        return MonoTime{} + Micros{static_cast<std::int64_t>(seconds * 1e6)};
    }

    auto submit(int index) -> void
    {
        auto &job = m_jobs[index];
        auto &inUse = m_inUse[job.arrival.spec.workspace];
        auto guaranteed = 0;
        for (const auto &rule : m_scenario.rules) {
            for (const auto &guarantee : rule.guarantees) {
                guaranteed = rule.name == job.arrival.spec.workspace ? std::max(guaranteed, guarantee.slots) : guaranteed;
            }
        }
        job.ownGuarantee = isLarge(job) && inUse == 0 && guaranteed >= job.arrival.spec.slots();
        if (m_policy.submit(job.arrival.spec, at(job.arrival.at)) && holdsGuarantee(job)) {
            inUse += job.arrival.spec.slots();
        }
    }

    /// Large jobs and jobs that cannot be stopped keep their workspace's guarantee from its other jobs.
    auto holdsGuarantee(const Job &job) const -> bool
    {
        return isLarge(job) || !job.arrival.spec.reclaimable();
    }

    auto isLarge(const Job &job) const -> bool
    {
        return job.arrival.spec.slots() > m_scenario.slots && job.arrival.spec.adjacency == Adjacency::Rack;
    }

    auto occupy(const Job &job, bool held) -> void
    {
        for (const auto &member : job.members) {
            auto &used = m_used[m_workers[member.worker]];
            m_heldSlots += (held ? 1 : -1) * std::popcount(member.slots);
            used = held ? used | member.slots : used & ~member.slots;
        }
    }

    auto handle(const Event &event) -> void
    {
        auto &job = m_jobs[event.job];
        if (event.attempt != job.attempt || job.started < 0) {
            return;
        }
        occupy(job, false);
        const auto ran = event.at - job.started;
        job.started = -1;
        ++job.attempt;
        if (!event.stop) {
            job.finished = event.at;
            m_inUse[job.arrival.spec.workspace] -= holdsGuarantee(job) ? job.arrival.spec.slots() : 0;
            m_policy.jobEnded(job.arrival.spec.job, JobEnd::Succeeded, at(event.at));
            return;
        }
        if (job.arrival.spec.checkpointable) {
            job.left -= ran;
        } else {
            m_lostSlotSeconds += ran * job.arrival.spec.slots();
        }
        m_policy.jobEnded(job.arrival.spec.job, JobEnd::Requeue, at(event.at));
    }

    auto carryOut(const Decisions &decisions) -> void
    {
        for (const auto &preemption : decisions.preemptions) {
            ++m_preemptions;
            const auto index = std::stoi(preemption.job.str());
            // Checkpoint, stop and release take at most 1.5 s (design.md, section 3.3).
            m_events.push({m_now + 1.5, index, m_jobs[index].attempt, true});
        }
        for (const auto &start : decisions.starts) {
            const auto index = std::stoi(start.job.str());
            auto &job = m_jobs[index];
            job.members = start.members;
            job.started = m_now;
            job.firstStart = job.firstStart < 0 ? m_now : job.firstStart;
            occupy(job, true);
            m_policy.jobStarted(start.job, at(m_now));
            m_events.push({m_now + job.left, index, job.attempt, false});
        }
    }

    auto measureUntil(double now) -> void
    {
        const auto capacity = static_cast<double>(m_scenario.workers) * m_scenario.slots;
        const auto step = now - std::max(m_now, m_end * warmUp);
        if (step > 0) {
            m_heldSlotSeconds += step * m_heldSlots;
            auto wholeFree = 0;
            for (auto used : m_used) {
                wholeFree += used == 0 ? m_scenario.slots : 0;
            }
            const auto free = capacity - m_heldSlots;
            m_fragmentation += free > 0 ? step * (1.0 - wholeFree / free) : 0.0;
            m_measured += step;
        }
        m_now = now;
    }

    auto figures() const -> Figures
    {
        auto own = std::vector<double>{};
        auto large = std::vector<double>{};
        auto small = std::vector<double>{};
        auto completion = std::vector<double>{};
        for (const auto &job : m_jobs) {
            if (job.arrival.at < m_end * warmUp || job.arrival.at > m_end * (1 - coolDown)) {
                continue;
            }
            // Jobs that still wait or run at the end count with the time so far, which favours the slower policy.
            const auto wait = (job.firstStart < 0 ? m_end : job.firstStart) - job.arrival.at;
            (job.ownGuarantee ? own : isLarge(job) ? large : small).push_back(wait);
            completion.push_back((job.finished < 0 ? m_end : job.finished) - job.arrival.at);
        }
        const auto capacity = static_cast<double>(m_scenario.workers) * m_scenario.slots;
        return {{{"guaranteed large wait max s", quantile(own, 1)},
                 {"other large wait mean s", mean(large)},
                 {"other large wait p95 s", quantile(large, 0.95)},
                 {"small wait mean s", mean(small)},
                 {"completion mean s", mean(completion)},
                 {"completion p95 s", quantile(completion, 0.95)},
                 {"utilisation %", 100 * (m_heldSlotSeconds - m_lostSlotSeconds) / (capacity * m_measured)},
                 {"fragmentation %", 100 * m_fragmentation / m_measured},
                 {"preemptions", static_cast<double>(m_preemptions)},
                 {"decision p99 us", quantile(m_decisions, 0.99)}}};
    }

    static constexpr auto warmUp = 0.1;
    static constexpr auto coolDown = 0.1;

    const Scenario &m_scenario;
    Policy m_policy;
    double m_end;
    double m_now = 0;
    std::vector<Job> m_jobs;
    std::map<WorkerId, int> m_workers;
    std::vector<SlotMask> m_used;
    std::map<WorkspaceId, int> m_inUse;
    std::priority_queue<Event> m_events;
    std::vector<double> m_decisions;
    int m_heldSlots = 0;
    int m_preemptions = 0;
    double m_heldSlotSeconds = 0;
    double m_lostSlotSeconds = 0;
    double m_fragmentation = 0;
    double m_measured = 0;
};

struct Row
{
    std::string scenario;
    int load;
    std::string figure;
    std::vector<double> ours;
    std::vector<double> baseline;
};

auto cell(const std::vector<double> &values) -> std::string
{
    char text[64];
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    std::snprintf(text, sizeof text, "%.1f [%.1f, %.1f]", quantile(values, 0.5), *low, *high);
    return text;
}

auto writeSvg(const char *path, const std::vector<Row> &rows) -> void
{
    auto chosen = std::vector<const Row *>{};
    auto largest = 1.0;
    for (const auto &row : rows) {
        if (row.figure == "other large wait mean s") {
            chosen.push_back(&row);
            largest = std::max({largest, quantile(row.ours, 0.5), quantile(row.baseline, 0.5)});
        }
    }
    auto out = std::ofstream{path};
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"" << 50 + 44 * chosen.size() << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<text x=\"10\" y=\"20\">Mean wait of large jobs without a guarantee, median of the seeds, in minutes "
        << "(blue: scheduler, grey: first fit + FIFO)</text>\n";
    auto y = 40;
    for (const auto *row : chosen) {
        out << "<text x=\"10\" y=\"" << y + 18 << "\">" << row->scenario << " " << row->load << "%</text>\n";
        for (const auto &[values, colour, shift] : {std::tuple{&row->ours, "#3465a4", 0}, std::tuple{&row->baseline, "#999999", 16}}) {
            const auto value = quantile(*values, 0.5);
            const auto width = value / largest * 500;
            out << "<rect x=\"130\" y=\"" << y + shift << "\" width=\"" << width << "\" height=\"14\" fill=\"" << colour << "\"/><text x=\"" << 136 + width
                << "\" y=\"" << y + shift + 11 << "\">" << std::round(value / 6) / 10 << "</text>\n";
        }
        y += 44;
    }
    out << "</svg>\n";
}

}

auto main(int argc, char **argv) -> int
{
    constexpr auto seeds = 5;
    auto rows = std::vector<Row>{};
    for (const auto &scenario : scenarios()) {
        if (argc > 3 && std::string{argv[3]} != scenario.name) {
            continue;
        }
        for (const auto load : (argc > 4 ? std::vector<int>{std::atoi(argv[4])} : std::vector<int>{70, 90, 120})) {
            auto sums = std::map<std::string, Row>{};
            for (auto seed = 1; seed <= seeds; ++seed) {
                const auto arrivals = makeArrivals(scenario, load / 100.0, seed);
                const auto ours = Simulation<Scheduler>{scenario, arrivals}.run();
                const auto baseline = Simulation<FirstFitFifo>{scenario, arrivals}.run();
                for (const auto &[name, value] : ours.values) {
                    auto &row = sums[name];
                    row = {scenario.name, load, name, std::move(row.ours), std::move(row.baseline)};
                    row.ours.push_back(value);
                    row.baseline.push_back(baseline.values.at(name));
                }
            }
            std::printf("\n%s, %d workers of %d slots, load %d%%, %d seeds: median [min, max]\n", scenario.name, scenario.workers, scenario.slots, load, seeds);
            std::printf("| %-28s | %-30s | %-30s |\n|---|---|---|\n", "figure", "scheduler", "first fit + FIFO");
            for (const auto &[name, row] : sums) {
                std::printf("| %-28s | %-30s | %-30s |\n", name.c_str(), cell(row.ours).c_str(), cell(row.baseline).c_str());
                rows.push_back(row);
            }
            std::fflush(stdout);
        }
    }
    if (argc > 1) {
        auto out = std::ofstream{argv[1]};
        out << "scenario,load_percent,figure,policy,seed,value\n";
        for (const auto &row : rows) {
            for (auto seed = std::size_t{0}; seed < row.ours.size(); ++seed) {
                out << row.scenario << ',' << row.load << ',' << row.figure << ",scheduler," << seed + 1 << ',' << row.ours[seed] << '\n';
                out << row.scenario << ',' << row.load << ',' << row.figure << ",first_fit_fifo," << seed + 1 << ',' << row.baseline[seed] << '\n';
            }
        }
    }
    if (argc > 2) {
        writeSvg(argv[2], rows);
    }
    return 0;
}
