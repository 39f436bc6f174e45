#include "daemon/domainplanner.h"
#include "daemon/plannerservice.h"

#include "policy/testing/fakeworker.h"
#include "state/records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

using namespace Catkin;
using Catkin::Testing::FakeWorker;

namespace
{

const auto domain = FailureDomainId{"oviedo"};
const auto job = JobId{"job-1"};

/// A log in memory.
struct MemoryLog
{
    std::mutex mutex;
    std::vector<std::string> records;

    auto port() -> LogPort
    {
        return {.append = [this](const std::string &, const std::vector<std::string> &added) -> Result<LogOffset> {
                    const auto lock = std::lock_guard{mutex};
                    const auto first = LogOffset{static_cast<std::int64_t>(records.size())};
                    records.insert(records.end(), added.begin(), added.end());
                    return first;
                },
                .read = [this](const std::string &, LogOffset from, int, Millis) -> Result<LogPage> {
                    std::this_thread::sleep_for(Millis{1});
                    const auto lock = std::lock_guard{mutex};
                    auto page = LogPage{.next = LogOffset{static_cast<std::int64_t>(records.size())}};
                    for (auto i = static_cast<std::size_t>(from.value); i < records.size(); ++i) {
                        page.records.push_back({.offset = LogOffset{static_cast<std::int64_t>(i)}, .time = systemClock().wall(), .data = records[i]});
                    }
                    return page;
                }};
    }
};

auto describeJob() -> JobDescription
{
    return {.id = job,
            .workspace = WorkspaceId{"gas"},
            .caller = CallerId{"desk"},
            .kind = KindId{"simulate"},
            .key = IdempotencyKey{"k"},
            .domain = domain,
            .tasks = 1,
            .slotsPerTask = SlotCount{1},
            .restartable = true};
}

auto runningLease(int attempt) -> WorkerLease
{
    return {.lease = GangTable::leaseId(job, attempt, 0),
            .job = job,
            .attempt = attempt,
            .holder = "earlier",
            .slots = {0},
            .state = LeaseState::Running,
            .remaining = Millis{60'000},
            .started = true};
}

/// A worker to which an order of the earlier planner is under way: it takes effect just before the new planner's claim.
struct TakenOverWorker
{
    std::mutex mutex;
    WorkerStatus status{.worker = WorkerId{"w"}, .boot = "b", .rack = RackId{"r"}, .domain = domain, .slots = 8};
    int reservations = 0;
    int stops = 0;

    auto apply(const Generation &generation, const WorkerOrder &order) -> void
    {
        if (order.op == OrderOp::Claim) {
            status.leases = {runningLease(1)};
        }
        reservations += order.op == OrderOp::Reserve ? 1 : 0;
        stops += order.op == OrderOp::Stop ? 1 : 0;
        status.generation = generation;
    }

    auto endLeases() -> void
    {
        const auto lock = std::lock_guard{mutex};
        for (auto &it : status.leases) {
            it.state = LeaseState::Ended;
            it.exit = LeaseExit::Stopped;
        }
    }

    auto count(int TakenOverWorker::*member) -> int
    {
        const auto lock = std::lock_guard{mutex};
        return this->*member;
    }

    auto port() -> WorkerPort
    {
        return {.status = [this](const std::string &, Millis) -> Result<WorkerStatus> {
                    const auto lock = std::lock_guard{mutex};
                    return status;
                },
                .orders = [this](const std::string &, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis) -> Result<OrdersReply> {
                    const auto lock = std::lock_guard{mutex};
                    auto reply = OrdersReply{};
                    for (const auto &it : orders) {
                        apply(generation, it);
                        reply.results.push_back({.ok = true});
                    }
                    reply.status = status;
                    return reply;
                }};
    }
};

}

// Guards against a new planner that trusts a status read before its claim: the earlier planner's last order could still
// start a gang, whose job the new planner then started a second time on other slots.
TEST_CASE("a planner adopts what runs when its claim is answered, not what ran before")
{
    auto log = MemoryLog{};
    auto worker = TakenOverWorker{};
    const auto clock = systemClock();
    auto writer = LogWriter{log.port(), clock, {}};
    auto pool = WorkPool{2, 16};
    auto jobs = JobService{log.port(), writer, clock, {}, [] {}};
    const auto spec = describeJob();
    const auto limit = std::chrono::steady_clock::now() + Seconds{20};
    while (jobs.submit(spec, Millis{1'000}).outcome == SubmitOutcome::NotAccepted && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(Millis{5});
    }
    REQUIRE(jobs.find(job));

    auto context = PlannerContext{.workers = worker.port(), .jobs = &jobs, .pool = &pool, .clock = clock, .options = {.instance = InstanceId{"new"}}};
    context.wake = [] {};
    auto planner = std::make_shared<DomainPlanner>(domain, context);
    auto config = ActiveConfig{};
    config.document.workspaces.push_back({.name = WorkspaceId{"gas"}});
    planner->setWorkers({{.id = "w", .role = InstanceRole::Worker, .domain = domain, .rack = RackId{"r"}, .slots = 8, .address = "a"}});
    planner->setConfig(config);
    while (planner->view().gangs == 0 && std::chrono::steady_clock::now() < limit) {
        (void)planner->step();
        std::this_thread::sleep_for(Millis{2});
    }
    CHECK(planner->view().gangs == 1);
    for (auto i = 0; i < 20; ++i) {
        (void)planner->step();
        std::this_thread::sleep_for(Millis{2});
    }
    pool.stop();
    const auto lock = std::lock_guard{worker.mutex};
    CHECK(worker.reservations == 0);
}

// Guards against a job whose record reaches the new planner only after the takeover: the planner ended its attempt as one of
// no known gang, and started the next before that one had ended.
TEST_CASE("a job that becomes known after the takeover waits for its attempt to end")
{
    auto log = MemoryLog{};
    auto worker = TakenOverWorker{};
    const auto clock = systemClock();
    auto writer = LogWriter{log.port(), clock, {}};
    auto pool = WorkPool{2, 16};
    auto jobs = JobService{log.port(), writer, clock, {}, [] {}};
    const auto limit = std::chrono::steady_clock::now() + Seconds{20};
    auto context = PlannerContext{.workers = worker.port(), .jobs = &jobs, .pool = &pool, .clock = clock, .options = {.instance = InstanceId{"new"}}};
    context.wake = [] {};
    auto planner = std::make_shared<DomainPlanner>(domain, context);
    auto config = ActiveConfig{};
    config.document.workspaces.push_back({.name = WorkspaceId{"gas"}});
    planner->setWorkers({{.id = "w", .role = InstanceRole::Worker, .domain = domain, .rack = RackId{"r"}, .slots = 8, .address = "a"}});
    planner->setConfig(config);
    const auto stepUntil = [&](const std::function<bool()> &holds) {
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            (void)planner->step();
            std::this_thread::sleep_for(Millis{2});
        }
        return holds();
    };
    REQUIRE(stepUntil([&] { return worker.count(&TakenOverWorker::stops) > 0; }));

    REQUIRE(stepUntil([&] { return jobs.submit(describeJob(), Millis{1'000}).outcome != SubmitOutcome::NotAccepted; }));
    REQUIRE(stepUntil([&] { return jobs.find(job).has_value(); }));
    planner->jobsChanged();
    for (auto i = 0; i < 50; ++i) {
        (void)planner->step();
        std::this_thread::sleep_for(Millis{2});
    }
    CHECK(worker.count(&TakenOverWorker::reservations) == 0);

    worker.endLeases();
    CHECK(stepUntil([&] { return worker.count(&TakenOverWorker::reservations) > 0; }));
    pool.stop();
}

namespace
{

/// A worker that another planner can claim.
struct ContestedWorker
{
    std::mutex mutex;
    WorkerStatus status{.worker = WorkerId{"w"}, .boot = "b", .rack = RackId{"r"}, .domain = domain, .slots = 8};
    int reservations = 0;
    int claims = 0;
    int looks = 0; ///< answers with a status, those to orders included
    bool silent = false;

    auto seize() -> void
    {
        const auto lock = std::lock_guard{mutex};
        status.generation = {.counter = status.generation.counter + 1, .holder = "another"};
        status.leases = {runningLease(3)};
        silent = true;
    }

    auto answerAgain() -> void
    {
        const auto lock = std::lock_guard{mutex};
        silent = false;
    }

    auto orders(const Generation &generation, const std::vector<WorkerOrder> &orders) -> Result<OrdersReply>
    {
        const auto lock = std::lock_guard{mutex};
        ++looks;
        if (silent) {
            return failure(ErrorCode::Unavailable, "no answer");
        }
        if (status.generation > generation) {
            return failure(ErrorCode::StaleGeneration, "a newer planner has claimed the worker");
        }
        status.generation = generation;
        auto reply = OrdersReply{};
        for (const auto &it : orders) {
            claims += it.op == OrderOp::Claim ? 1 : 0;
            reservations += it.op == OrderOp::Reserve ? 1 : 0;
            reply.results.push_back({.ok = true});
        }
        reply.status = status;
        return reply;
    }

    auto port() -> WorkerPort
    {
        return {
            .status = [this](const std::string &, Millis) -> Result<WorkerStatus> {
                const auto lock = std::lock_guard{mutex};
                ++looks;
                if (silent) {
                    return failure(ErrorCode::Unavailable, "no answer");
                }
                return status;
            },
            .orders
            = [this](const std::string &, const Generation &generation, const std::vector<WorkerOrder> &given, Millis) { return orders(generation, given); }};
    }

    auto count(int ContestedWorker::*member) -> int
    {
        const auto lock = std::lock_guard{mutex};
        return this->*member;
    }
};

}

// Guards against a planner that claims its workers back and does not know what the other planner started meanwhile: it
// started the same job a second time.
TEST_CASE("a planner that claims again adopts what another planner started in between")
{
    auto log = MemoryLog{};
    auto worker = ContestedWorker{};
    const auto clock = systemClock();
    auto writer = LogWriter{log.port(), clock, {}};
    auto pool = WorkPool{2, 16};
    auto jobs = JobService{log.port(), writer, clock, {}, [] {}};
    const auto limit = std::chrono::steady_clock::now() + Seconds{20};
    const auto eventually = [&](const std::function<bool()> &holds) {
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(Millis{2});
        }
        return holds();
    };
    auto options = PlannerOptions{.instance = InstanceId{"new"}};
    options.staleBackoff = Millis{20};
    auto service = PlannerService{{.workers = worker.port(), .jobs = &jobs, .pool = &pool, .clock = clock, .options = options},
                                  [](const FailureDomainId &, const RegionId &) { return true; }};
    auto config = std::make_shared<ActiveConfig>();
    config->document.workspaces.push_back({.name = WorkspaceId{"gas"}});
    service.configChanged(config);
    service.workersChanged({{.id = "w", .role = InstanceRole::Worker, .domain = domain, .rack = RackId{"r"}, .slots = 8, .address = "a"}});
    REQUIRE(eventually([&] { return worker.count(&ContestedWorker::claims) == 1; }));
    worker.seize();
    REQUIRE(eventually([&] { return jobs.submit(describeJob(), Millis{1'000}).outcome != SubmitOutcome::NotAccepted; }));
    REQUIRE(eventually([&] { return jobs.find(job).has_value(); }));
    worker.answerAgain();
    service.jobsChanged();
    REQUIRE(eventually([&] { return worker.count(&ContestedWorker::claims) >= 2; }));
    CHECK(eventually([&] {
        const auto views = service.views(Millis{1'000});
        return !views.empty() && views[0].gangs == 1;
    }));
    // An order for a second start would go out before the next looks.
    const auto seen = worker.count(&ContestedWorker::looks);
    REQUIRE(eventually([&] { return worker.count(&ContestedWorker::looks) >= seen + 2; }));
    CHECK(worker.count(&ContestedWorker::reservations) == 0);
}

namespace
{

/// Workers that follow the lease protocol, a planner that takes them over, and the records of the jobs. The job is the
/// one of describeJob(); an earlier planner has started its first attempt.
struct Takeover
{
    MemoryLog log;
    std::mutex mutex;
    std::map<std::string, FakeWorker> workers; ///< by address
    std::optional<OrderOp> lose; ///< the next batch with such an order does not arrive
    std::string vanishAtClaim; ///< a worker that answers no more from the claim on
    Clock clock = systemClock();
    LogWriter writer{log.port(), clock, {}};
    WorkPool pool{2, 16};
    std::atomic<bool> jobsChanged{false};
    JobService jobs{log.port(), writer, clock, {}, [this] { jobsChanged = true; }};
    PlannerContext context;
    std::vector<ListedInstance> listed;
    std::shared_ptr<DomainPlanner> planner;

    explicit Takeover(int count, Millis runTtl = GangOptions{}.runTtl, Millis adoptWait = PlannerOptions{}.adoptWait)
    {
        context = PlannerContext{.workers = port(), .jobs = &jobs, .pool = &pool, .clock = clock, .options = {.instance = InstanceId{"new"}}};
        context.options.claimWait = Millis{50};
        context.options.gangs.runTtl = runTtl;
        context.options.adoptWait = adoptWait;
        context.options.staleBackoff = Millis{20};
        context.options.reconnectWait = Millis{50};
        context.options.pollPeriod = Millis{50};
        context.options.maxPollsPerSecond = 1'000;
        context.wake = [] {};
        for (auto i = 1; i <= count; ++i) {
            const auto id = "w-" + std::to_string(i);
            workers.emplace(id, FakeWorker{id});
            listed.push_back({.id = id, .role = InstanceRole::Worker, .domain = domain, .rack = RackId{"r"}, .slots = 8, .address = id});
        }
        newPlanner();
    }

    /// Replaces the planner, as the planner service does with a superseded one.
    auto newPlanner() -> void
    {
        const auto before = std::exchange(planner, std::make_shared<DomainPlanner>(domain, context));
        if (before) {
            planner->succeed(*before);
        }
        planner->setWorkers(listed);
        auto config = ActiveConfig{};
        config.document.workspaces.push_back({.name = WorkspaceId{"gas"}});
        planner->setConfig(config);
    }

    ~Takeover()
    {
        pool.stop();
    }

    Takeover(const Takeover &) = delete;
    auto operator=(const Takeover &) -> Takeover & = delete;

    auto port() -> WorkerPort
    {
        return {.status = [this](const std::string &address, Millis) -> Result<WorkerStatus> {
                    const auto lock = std::lock_guard{mutex};
                    workers.at(address).advance(clock.mono());
                    return workers.at(address).status();
                },
                .orders
                = [this](const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis) -> Result<OrdersReply> {
                    const auto lock = std::lock_guard{mutex};
                    if (lose && std::any_of(orders.begin(), orders.end(), [&](const WorkerOrder &it) { return it.op == *lose; })) {
                        lose.reset();
                        return failure(ErrorCode::NotSent, "lost");
                    }
                    workers.at(address).advance(clock.mono());
                    if (address == vanishAtClaim && orders.front().op == OrderOp::Claim) {
                        workers.at(address).down = true;
                    }
                    return workers.at(address).orders(generation, orders);
                }};
    }

    /// The earlier planner starts a member of the job's first attempt with a run lease.
    auto startMember(const std::string &worker, int member, Millis ttl = GangOptions{}.runTtl) -> void
    {
        const auto lock = std::lock_guard{mutex};
        auto &it = workers.at(worker);
        it.advance(clock.mono());
        const auto lease = GangTable::leaseId(job, 1, member);
        REQUIRE(it.orders({.counter = 1, .holder = "earlier"},
                          {{.op = OrderOp::Reserve, .lease = lease, .job = job, .attempt = 1, .member = member, .slots = {member}, .ttl = Millis{10'000}},
                           {.op = OrderOp::Start, .lease = lease, .ttl = ttl}}));
    }

    auto set(const std::string &worker, bool FakeWorker::*property, bool value) -> void
    {
        const auto lock = std::lock_guard{mutex};
        workers.at(worker).*property = value;
    }

    auto running(const std::string &worker, const JobId &id = job) -> int
    {
        const auto lock = std::lock_guard{mutex};
        workers.at(worker).advance(clock.mono());
        return workers.at(worker).running(id);
    }

    auto append(const JobRecord &record) -> void
    {
        const auto lock = std::lock_guard{log.mutex};
        log.records.push_back(encodeRecord(record));
    }

    auto appendAccept(int tasks) -> void
    {
        auto spec = describeJob();
        spec.tasks = tasks;
        append(JobAcceptRecord{.spec = spec, .position = {.through = {}, .asOf = clock.wall()}});
    }

    auto appendAttempt() -> void
    {
        append(JobAttemptRecord{.job = job, .attempt = 1, .holder = InstanceId{"earlier"}, .generation = 1});
    }

    auto appendCancel() -> void
    {
        append(JobCancelRecord{.job = job, .by = "gas", .reason = "cancelled by its workspace"});
    }

    [[nodiscard]] auto state() const -> std::optional<JobState>
    {
        const auto it = jobs.find(job);
        return it ? std::optional{it->state} : std::nullopt;
    }

    auto step() -> void
    {
        if (jobsChanged.exchange(false)) {
            planner->jobsChanged();
        }
        (void)planner->step();
        std::this_thread::sleep_for(Millis{2});
    }

    /// Steps the planner until @p holds. The limit is far below the run lease of 120 s, by whose end the work would stop anyway.
    auto stepUntil(const std::function<bool()> &holds) -> bool
    {
        const auto limit = std::chrono::steady_clock::now() + Seconds{8};
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            step();
        }
        return holds();
    }

    /// Lets the planner take over once the log has been read.
    auto takeOver(std::optional<JobState> expected) -> void
    {
        const auto limit = std::chrono::steady_clock::now() + Seconds{8};
        while (!(jobs.caughtUp() && state() == expected) && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(Millis{2});
        }
        REQUIRE(state() == expected);
        REQUIRE(stepUntil([&] { return planner->claimed(); }));
        for (auto i = 0; i < 20; ++i) {
            step();
        }
    }
};

}

// Guards against work of a cancelled job that runs until its lease ends. The job was queued on record when it was cancelled, so
// it is final although its attempt runs, and the planner that had started the attempt is gone.
TEST_CASE("a new planner ends work of a job that was cancelled before its attempt was on record")
{
    struct Case
    {
        const char *name;
        std::function<void(Takeover &)> before; ///< before the takeover
        std::function<void(Takeover &)> after;
    };
    const auto cases = std::vector<Case>{
        {"no fault", {}, {}},
        {"the first order to stop is lost", [](auto &it) { it.lose = OrderOp::Stop; }, {}},
        {"the task ignores the order", [](auto &it) { it.set("w-1", &FakeWorker::ignoreStop, true); }, {}},
        {"the worker is out of reach at the takeover",
         [](auto &it) { it.set("w-1", &FakeWorker::down, true); },
         [](auto &it) { it.set("w-1", &FakeWorker::down, false); }},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto takeover = Takeover{2};
        takeover.startMember("w-1", 0);
        takeover.appendAccept(1);
        takeover.appendCancel();
        if (it.before) {
            it.before(takeover);
        }
        takeover.takeOver(JobState::Cancelled);
        if (it.after) {
            CHECK(takeover.running("w-1") == 1);
            it.after(takeover);
        }
        CHECK(takeover.stepUntil([&] { return takeover.running("w-1") == 0; }));
    }
}

// Guards against the members of a cancelled gang that run on because the worker of another member is out of reach: the planner
// waited up to 30 s for that worker before it ended the gang.
TEST_CASE("a new planner stops the members of a cancelled gang that it finds, also while it does not find the others")
{
    for (const auto cancelledBefore : {true, false}) {
        CAPTURE(cancelledBefore);
        auto takeover = Takeover{2};
        takeover.startMember("w-1", 0);
        takeover.startMember("w-2", 1);
        takeover.appendAccept(2);
        takeover.appendAttempt();
        takeover.set("w-2", &FakeWorker::down, true);
        if (cancelledBefore) {
            takeover.appendCancel();
        }
        takeover.takeOver(cancelledBefore ? JobState::Stopping : JobState::Starting);
        if (!cancelledBefore) {
            CHECK(takeover.running("w-1") == 1);
            takeover.appendCancel();
        }
        CHECK(takeover.stepUntil([&] { return takeover.running("w-1") == 0; }));
        // The other member may still run, so the job has not ended.
        CHECK(takeover.state() == JobState::Stopping);
        takeover.set("w-2", &FakeWorker::down, false);
        CHECK(takeover.stepUntil([&] { return takeover.running("w-2") == 0; }));
        CHECK(takeover.stepUntil([&] { return takeover.state() == JobState::Cancelled; }));
    }
}

// Guards against two attempts of a job that run beside each other until the lease of the first ends: the new planner did not
// find the first, started another one under the same number, and took the lease of the first for one of its own.
TEST_CASE("an attempt that an earlier planner started on a worker out of reach ends when that worker answers again")
{
    auto takeover = Takeover{2};
    takeover.startMember("w-1", 0);
    takeover.appendAccept(1);
    takeover.set("w-1", &FakeWorker::down, true);
    takeover.takeOver(JobState::Queued);
    REQUIRE(takeover.stepUntil([&] { return takeover.running("w-2") == 1; }));
    takeover.set("w-1", &FakeWorker::down, false);
    CHECK(takeover.stepUntil([&] { return takeover.running("w-1") == 0; }));
    CHECK(takeover.running("w-2") == 1);
}

// Guards against a second start of a job beside its first attempt: the claim of that attempt's worker was not answered in time, and the
// planner forgot what the worker had listed just before.
TEST_CASE("a planner does not start a job that a worker ran just before it did not answer the claim")
{
    auto takeover = Takeover{2};
    takeover.startMember("w-2", 0);
    takeover.appendAccept(1);
    takeover.vanishAtClaim = "w-2";
    takeover.takeOver(JobState::Queued);
    for (auto i = 0; i < 200; ++i) {
        takeover.step();
    }
    CHECK(takeover.running("w-1") == 0);
    takeover.set("w-2", &FakeWorker::down, false);
    CHECK(takeover.stepUntil([&] { return takeover.planner->view().gangs == 1; }));
    CHECK(takeover.running("w-1") == 0);
    CHECK(takeover.running("w-2") == 1);

    // A worker that stays away holds the job back only for as long as the lease can last.
    auto lost = Takeover{2, Millis{600}};
    lost.startMember("w-2", 0);
    lost.appendAccept(1);
    lost.vanishAtClaim = "w-2";
    lost.takeOver(JobState::Queued);
    CHECK(lost.stepUntil([&] { return lost.running("w-1") == 1; }));
}

// Guards against a second start of a job beside an attempt that its planner had started before it was superseded, and that is being
// ended because the log shows a later attempt of the other planner.
TEST_CASE("a planner that claims again waits for the end of its own earlier attempt")
{
    auto takeover = Takeover{2};
    takeover.appendAccept(1);
    takeover.takeOver(JobState::Queued);
    const auto running = [&] { return takeover.running("w-1") + takeover.running("w-2"); };
    REQUIRE(takeover.stepUntil([&] { return running() == 1 && takeover.state() == JobState::Running; }));
    takeover.set("w-1", &FakeWorker::ignoreStop, true);
    takeover.set("w-2", &FakeWorker::ignoreStop, true);
    // The other planner claims the workers, and the records of a try that it gave up arrive.
    {
        const auto lock = std::lock_guard{takeover.mutex};
        const auto other = Generation{.counter = takeover.planner->generation().counter + 1, .holder = "other"};
        REQUIRE(takeover.workers.at("w-1").orders(other, {{.op = OrderOp::Claim}}));
        REQUIRE(takeover.workers.at("w-2").orders(other, {{.op = OrderOp::Claim}}));
    }
    takeover.append(JobAttemptRecord{.job = job, .attempt = 7, .holder = InstanceId{"other"}, .generation = 2});
    takeover.append(JobFinishRecord{.job = job, .attempt = 7, .result = JobResult::Requeue, .detail = "refused"});
    REQUIRE(takeover.stepUntil([&] { return takeover.planner->superseded(); }));
    REQUIRE(takeover.stepUntil([&] { return takeover.jobs.find(job)->attempt == 7 && takeover.state() == JobState::Queued; }));
    takeover.newPlanner();
    auto most = 0;
    REQUIRE(takeover.stepUntil([&] {
        most = std::max(most, running());
        return takeover.jobs.find(job)->attempt > 7 && takeover.state() == JobState::Running;
    }));
    CHECK(most == 1);
}

// Guards against a second start of a gang beside a member that was not found at the takeover: its worker was out of reach, and its
// lease can last longer than the planner waits before it ends the rest of the gang.
TEST_CASE("a gang is not started again while a member that was not found may still run")
{
    auto takeover = Takeover{3, Millis{3'000}, Millis{100}};
    takeover.startMember("w-1", 0, Millis{3'000});
    takeover.startMember("w-2", 1, Millis{3'000});
    takeover.appendAccept(2);
    takeover.appendAttempt();
    takeover.set("w-2", &FakeWorker::down, true);
    takeover.takeOver(JobState::Starting);
    // The found member is ended soon, and the job starts again only after the lease on the silent worker.
    CHECK(takeover.stepUntil([&] { return takeover.running("w-1") == 0; }));
    auto together = false;
    CHECK(takeover.stepUntil([&] {
        const auto next = takeover.running("w-1") + takeover.running("w-3");
        together = together || (next > 0 && takeover.running("w-2") > 0);
        return next == 2;
    }));
    CHECK_FALSE(together);
}

// Guards against a job that runs again after it has succeeded: late records of another planner's tries had given it a higher attempt number
// in the log, which then refused the end of the attempt that ran.
TEST_CASE("an attempt succeeds although the log shows a later try of another planner")
{
    for (const auto requeued : {true, false}) {
        CAPTURE(requeued);
        auto takeover = Takeover{1};
        takeover.appendAccept(1);
        takeover.takeOver(JobState::Queued);
        REQUIRE(takeover.stepUntil([&] { return takeover.running("w-1") == 1 && takeover.state() == JobState::Running; }));
        takeover.append(JobAttemptRecord{.job = job, .attempt = 7, .holder = InstanceId{"other"}, .generation = 0});
        if (requeued) {
            takeover.append(JobFinishRecord{.job = job, .attempt = 7, .result = JobResult::Requeue, .detail = "refused"});
        }
        REQUIRE(takeover.stepUntil([&] { return takeover.jobs.find(job)->attempt == 7; }));
        CHECK(takeover.running("w-1") == 1);
        {
            const auto lock = std::lock_guard{takeover.mutex};
            takeover.workers.at("w-1").finish(GangTable::leaseId(job, 1, 0), LeaseExit::Ok);
        }
        auto ranAgain = false;
        CHECK(takeover.stepUntil([&] {
            ranAgain = ranAgain || takeover.running("w-1") > 0;
            return ranAgain || takeover.state() == JobState::Succeeded;
        }));
        CHECK_FALSE(ranAgain);
    }
}

// Guards against a job that runs again after it has succeeded: its planner was lost before the log had the attempt's record, and the next
// planner, which adopted the attempt or found it ended, could not record the success or took the job for one that waits.
TEST_CASE("a job whose unrecorded attempt succeeds around a takeover does not run again")
{
    for (const auto endsBefore : {true, false}) {
        CAPTURE(endsBefore);
        auto takeover = Takeover{2};
        const auto running = [&] { return takeover.running("w-1") + takeover.running("w-2"); };
        const auto finish = [&] {
            const auto lock = std::lock_guard{takeover.mutex};
            takeover.workers.at("w-1").finish(GangTable::leaseId(job, 1, 0), LeaseExit::Ok);
        };
        takeover.startMember("w-1", 0);
        takeover.appendAccept(1);
        if (endsBefore) {
            finish();
        }
        takeover.takeOver(JobState::Queued);
        if (!endsBefore) {
            CHECK(running() == 1);
            finish();
        }
        auto ranAgain = false;
        CHECK(takeover.stepUntil([&] {
            ranAgain = ranAgain || running() > 0;
            return ranAgain || takeover.state() == JobState::Succeeded;
        }));
        CHECK_FALSE(ranAgain);
    }
}

// Guards against a job that is reported as cancelled while its attempt runs: the records of the job, of its attempt and of the
// cancellation reached the planner only after the takeover.
TEST_CASE("a cancelled job is final only after its attempt has ended")
{
    auto takeover = Takeover{1};
    takeover.startMember("w-1", 0);
    takeover.set("w-1", &FakeWorker::ignoreStop, true);
    takeover.takeOver(std::nullopt);
    takeover.appendAccept(1);
    takeover.appendAttempt();
    takeover.appendCancel();
    auto ranWhenFinal = false;
    CHECK(takeover.stepUntil([&] {
        const auto runs = takeover.running("w-1") > 0;
        const auto ended = takeover.state() == JobState::Cancelled;
        ranWhenFinal = ranWhenFinal || (ended && runs);
        return ended && !runs;
    }));
    CHECK_FALSE(ranWhenFinal);
}

// Guards against a cancelled job that stays in the planner's queue, where it keeps a reservation and may preempt others.
TEST_CASE("a job that is cancelled while it waits leaves the planner's queue")
{
    auto takeover = Takeover{1};
    auto spec = describeJob();
    spec.tasks = 8;
    takeover.append(JobAcceptRecord{.spec = spec, .position = {.through = {}, .asOf = takeover.clock.wall()}});
    takeover.takeOver(JobState::Queued);
    REQUIRE(takeover.stepUntil([&] { return takeover.running("w-1") == 8; }));
    spec.id = JobId{"waiting"};
    takeover.append(JobAcceptRecord{.spec = spec, .position = {.through = {}, .asOf = takeover.clock.wall()}});
    REQUIRE(takeover.stepUntil([&] { return takeover.planner->view().queue.size() == 1; }));
    takeover.append(JobCancelRecord{.job = spec.id, .by = "gas", .reason = "cancelled by its workspace"});
    CHECK(takeover.stepUntil([&] { return takeover.planner->view().queue.empty(); }));
    CHECK(takeover.running("w-1") == 8);
}

// Guards against slots that stay reserved for a job that has ended, when the order that reserved them was under way.
TEST_CASE("a reservation that arrives after the end of its job is released")
{
    auto takeover = Takeover{1};
    takeover.appendAccept(1);
    takeover.appendCancel();
    takeover.takeOver(JobState::Cancelled);
    const auto reserved = [&] {
        const auto lock = std::lock_guard{takeover.mutex};
        const auto status = takeover.workers.at("w-1").status().value();
        return std::count_if(status.leases.begin(), status.leases.end(), [](const WorkerLease &it) { return it.state == LeaseState::Reserved; });
    };
    {
        const auto lock = std::lock_guard{takeover.mutex};
        const auto lease = GangTable::leaseId(job, 1, 0);
        REQUIRE(takeover.workers.at("w-1").orders(
            takeover.planner->generation(),
            {{.op = OrderOp::Reserve, .lease = lease, .job = job, .attempt = 1, .member = 0, .slots = {0}, .ttl = Millis{10'000}}}));
    }
    REQUIRE(reserved() == 1);
    CHECK(takeover.stepUntil([&] { return reserved() == 0; }));
}

// Guards against members of a failed gang that run on when the planner is lost between the failure and its stop orders.
TEST_CASE("a new planner stops the other members of a gang of which one failed while no planner was there")
{
    auto takeover = Takeover{2};
    takeover.startMember("w-1", 0);
    takeover.startMember("w-2", 1);
    auto spec = describeJob();
    spec.tasks = 2;
    spec.restartable = false;
    takeover.append(JobAcceptRecord{.spec = spec, .position = {.through = {}, .asOf = takeover.clock.wall()}});
    takeover.appendAttempt();
    takeover.append(JobStartedRecord{.job = job, .attempt = 1});
    takeover.workers.at("w-1").finish(GangTable::leaseId(job, 1, 0), LeaseExit::Failed);
    takeover.takeOver(JobState::Running);
    CHECK(takeover.stepUntil([&] { return takeover.running("w-2") == 0; }));
    CHECK(takeover.stepUntil([&] { return takeover.state() == JobState::Failed; }));
}

// Guards against a reclaim that is forgotten together with the planner that decided it.
TEST_CASE("a new planner stops a borrower for the guarantee of a job that waits")
{
    auto takeover = Takeover{1};
    auto config = ActiveConfig{};
    config.document.workspaces.push_back({.name = WorkspaceId{"gas"}});
    config.document.workspaces.push_back({.name = WorkspaceId{"owner"}, .guarantees = {{.domain = domain, .slots = SlotCount{8}, .count = 1}}});
    takeover.planner->setConfig(config);
    for (auto i = 0; i < 8; ++i) {
        takeover.startMember("w-1", i);
    }
    takeover.appendAccept(8);
    takeover.appendAttempt();
    auto spec = describeJob();
    spec.id = JobId{"owner-1"};
    spec.workspace = WorkspaceId{"owner"};
    spec.slotsPerTask = SlotCount{8};
    takeover.append(JobAcceptRecord{.spec = spec, .position = {.through = {}, .asOf = takeover.clock.wall()}});
    takeover.takeOver(JobState::Starting);
    CHECK(takeover.stepUntil([&] { return takeover.running("w-1", spec.id) == 1; }));
    CHECK(takeover.running("w-1") == 0);
    CHECK(takeover.state() == JobState::Queued);
}
