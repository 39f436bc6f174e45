#include "state/jobfold.h"
#include "state/snapshotter.h"
#include "state/testing/simulatedlog.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

constexpr auto options = JobFoldOptions{.terminalRetention = Seconds{3600}, .maxRecordLag = Seconds{600}};

/// An instance that reads the stream with some delay and builds records from its own table.
struct Builder
{
    InstanceId id;
    JobFold fold{options};
    Snapshotter snapshotter;
    Seconds clockError; ///< difference of its wall clock from the log's

    explicit Builder(const std::string &name, Seconds error = Seconds{0})
        : id(name)
        , snapshotter(InstanceId{name}, {.retention = Seconds{8 * 3600}, .recordsPerSecond = 1})
        , clockError(error)
    {
    }

    auto read(const SimulatedLog &log, LogOffset to) -> void
    {
        readLog(fold, log, to);
        fold.noteRead(fold.next(), log.now + clockError);
    }
};

auto specOf(std::uint32_t number) -> JobDescription
{
    auto spec = JobDescription{.id = JobId{"j-" + std::to_string(number)}, .workspace = WorkspaceId{"w"}, .caller = CallerId{"c"}, .kind = KindId{"k"}};
    spec.restartable = number % 2 == 0;
    spec.payload = "p" + std::to_string(number);
    return spec;
}

auto randomChange(Random &random, const Job &job, const InstanceId &self) -> JobRecord
{
    const auto &id = job.spec.id;
    constexpr auto results = std::array{JobResult::Succeeded, JobResult::Failed, JobResult::Parked, JobResult::Unknown, JobResult::Requeue, JobResult::Requeue};
    switch (uniform(random, 8)) {
    case 0:
        return JobCancelRecord{id, self.str(), {}};
    case 1:
    case 2:
        return JobFinishRecord{id, job.attempt, results[uniform(random, results.size())], uniform(random, 2) == 0, "detail", {}};
    case 3:
        return JobStartedRecord{id, std::max(1, job.attempt)};
    default:
        return JobAttemptRecord{id, job.attempt + 1 + static_cast<int>(uniform(random, 8) == 0), self, uniform(random, 3)};
    }
}

/// Checks that one record has changed a job only as the rules allow.
auto checkTransition(const std::map<JobId, Job> &before, const Job &after) -> void
{
    const auto it = before.find(after.spec.id);
    if (it == before.end() || it->second == after) {
        return;
    }
    const auto &old = it->second;
    REQUIRE_FALSE(isTerminal(old.state));
    REQUIRE(after.revision == old.revision + 1);
    REQUIRE(after.attempt >= old.attempt);
    if (!after.spec.restartable && after.attempt != old.attempt) {
        // The job is queued again only after it was proven that the previous attempt did no work.
        REQUIRE(old.state == JobState::Queued);
        REQUIRE(after.attempt > old.attempt);
    }
    if (!after.spec.restartable && after.state == JobState::Queued) {
        REQUIRE(old.state == JobState::Starting);
    }
}

auto jobsOf(const JobFold &fold) -> std::map<JobId, Job>
{
    auto all = std::map<JobId, Job>{};
    fold.visit([&](const Job &job, WallTime) { all.emplace(job.spec.id, job); });
    return all;
}

}

// Guards against two instances that hold different states of a job because they started reading at different offsets: each
// could start the job.
TEST_CASE("readers that start at any retained offset reach the same table, with delayed, repeated and undecodable records")
{
    auto snapshots = std::size_t{0};
    auto compared = std::size_t{0};
    for (auto seed = 1U; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        auto log = SimulatedLog{};
        auto builders = std::vector<Builder>{Builder{"i-1"}, Builder{"i-2", Seconds{100}}, Builder{"i-3", Seconds{-100}}};
        const auto names = std::vector<std::string>{"i-1", "i-2", "i-3"};
        auto whole = JobFold{options};
        auto nextId = 0U;
        for (auto step = 0; step < 1500; ++step) {
            log.advance(Millis{uniform(random, 120'000)});
            auto &self = builders[uniform(random, 3)];
            if (uniform(random, 50) == 0) {
                self = Builder{self.id.str(), self.clockError};
                self.fold.restart(log.first());
                self.read(log, log.end());
            } else if (uniform(random, 3) != 0) {
                // An instance that is paused for a moment reads only to a little before the end.
                self.read(log, {std::max(self.fold.next().value, log.end().value - uniform(random, 4))});
            }
            // In one step of ten, appends may be delayed by more than maxRecordLag, so that readers must ignore them.
            const auto longest = Seconds{uniform(random, 10) == 0 ? 6000 : 30};
            const auto jobs = self.fold.list({.liveOnly = true}, JobId{}, 100);
            if (jobs.empty() || uniform(random, 6) == 0) {
                const auto number = uniform(random, 2) == 0 ? nextId++ : uniform(random, nextId + 1);
                if (self.fold.find(specOf(number).id) == nullptr) {
                    log.appendLater(random, encodeRecord(JobRecord{JobAcceptRecord{specOf(number), self.fold.position()}}), longest);
                }
            } else if (uniform(random, 3) == 0) {
                log.appendLater(random, encodeRecord(randomChange(random, *jobs[uniform(random, static_cast<std::uint32_t>(jobs.size()))], self.id)), longest);
            } else if (uniform(random, 20) == 0) {
                log.append(uniform(random, 2) == 0 ? "{\"type\":\"later\"}" : "\xff{");
            }
            for (const auto &it : self.snapshotter.jobSnapshots(self.fold, names, log.now)) {
                ++snapshots;
                log.appendLater(random, encodeRecord(JobRecord{it}), longest);
            }
            while (whole.next() < log.end()) {
                const auto before = jobsOf(whole);
                const auto &record = log.records[static_cast<std::size_t>(whole.next().value)];
                whole.apply(record.offset, record.time, record.data);
                whole.visit([&](const Job &job, WallTime) { checkTransition(before, job); });
            }
            if (step % 100 == 99) {
                const auto from = LogOffset{uniform(random, static_cast<std::uint32_t>(log.first().value) + 1)};
                for (const auto start : {from, log.first()}) {
                    const auto reader = foldFrom<JobFold>(log, start, options);
                    CAPTURE(start.value);
                    CAPTURE(log.end().value);
                    REQUIRE(jobsOf(reader) == jobsOf(whole));
                    compared += reader.size();
                }
            }
        }
    }
    CHECK(snapshots > 100);
    CHECK(compared > 100);
}

// Each case is one way in which a reader that starts in the middle could reach another state than a reader of the whole log.
TEST_CASE("a late reader adds a job only from a record built after its start, and replays the records since it was built")
{
    const auto start = WallTime{Millis{1'700'000'000'000}};
    const auto spec = specOf(1);
    const auto id = spec.id;
    const auto accept = [&](std::int64_t through, Seconds age = Seconds{0}) { return JobRecord{JobAcceptRecord{spec, {{through}, start - age}}}; };
    const auto attempt = [&](const char *holder) { return JobRecord{JobAttemptRecord{id, 1, InstanceId{holder}, 1}}; };
    auto queued = Job{.spec = spec, .revision = 1, .accepted = start, .changed = start};
    auto starting = queued;
    applyToJob(starting, attempt("i-1"), start);
    const auto snapshot = [&](const Job &job, std::int64_t through, Seconds age = Seconds{0}) {
        return JobRecord{JobSnapshotRecord{job, {{through}, start - age}}};
    };
    struct Case
    {
        const char *failure;
        std::vector<JobRecord> records;
        std::int64_t from; ///< offset at which the late reader starts
        bool known; ///< whether the late reader has the job in its table in the end
    };
    const auto late = Seconds{601};
    const auto cases = std::vector<Case>{
        {"a repeated accept record makes the job queued again", {accept(0), attempt("i-1"), accept(0), attempt("i-2")}, 2, false},
        {"a snapshot built before the reader's start is used", {accept(0), attempt("i-1"), accept(0), attempt("i-2"), snapshot(starting, 1)}, 2, false},
        {"a snapshot built after the reader's start is ignored", {accept(0), attempt("i-1"), accept(0), attempt("i-2"), snapshot(starting, 2)}, 2, true},
        {"an attempt appended after a snapshot was built is missed", {accept(0), accept(0), attempt("i-1"), attempt("i-2"), snapshot(queued, 1)}, 1, true},
        {"an attempt that a snapshot covers counts twice", {accept(0), attempt("i-1"), snapshot(starting, 2), attempt("i-2")}, 1, true},
        {"a record appended 601 s after it was built is used", {accept(0, late), snapshot(starting, 1, late)}, 1, false},
        {"an orphaned accept record does not win over a later one", {attempt("i-9"), accept(0), accept(1), attempt("i-1")}, 1, true},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string(it.failure));
        auto whole = JobFold{options};
        auto reader = JobFold{options};
        reader.restart({it.from});
        for (auto i = std::size_t{0}; i < it.records.size(); ++i) {
            whole.apply({static_cast<std::int64_t>(i)}, start, it.records[i]);
            reader.apply({static_cast<std::int64_t>(i)}, start, it.records[i]);
        }
        CHECK((reader.find(id) != nullptr) == it.known);
        if (it.known) {
            REQUIRE(whole.find(id) != nullptr);
            CHECK(*reader.find(id) == *whole.find(id));
        } else {
            CHECK_FALSE(reader.isAttempt(id, 1, InstanceId{"i-2"}, 1));
        }
    }
}

// Each case names the failure that it guards against.
TEST_CASE("records change the state and attempt of one job only as the rules allow")
{
    const auto id = JobId{"j"};
    const auto a1 = JobAttemptRecord{id, 1, InstanceId{"i-1"}, 4};
    const auto a2 = JobAttemptRecord{id, 2, InstanceId{"i-2"}, 5};
    const auto a4 = JobAttemptRecord{id, 4, InstanceId{"i-2"}, 5};
    const auto started = JobStartedRecord{id, 1};
    const auto cancel = JobCancelRecord{id, "ana", "enough"};
    const auto finish = [&](int attempt, JobResult result, bool ran = true) { return JobRecord{JobFinishRecord{id, attempt, result, ran, {}, {}}}; };
    struct Case
    {
        const char *failure;
        bool restartable;
        std::vector<JobRecord> records;
        JobState state;
        int attempt;
    };
    const auto cases = std::vector<Case>{
        {"two planners both win attempt 1", false, {a1, JobAttemptRecord{id, 1, InstanceId{"i-9"}, 9}}, JobState::Starting, 1},
        {"a job that must not run twice starts again while it may be running", false, {a1, a2}, JobState::Starting, 1},
        {"an abandoned try whose record never arrived blocks the next try", false, {a4}, JobState::Starting, 4},
        {"a repeated requeue of an abandoned try requeues the next try", false, {a2, finish(1, JobResult::Requeue, false)}, JobState::Starting, 2},
        {"a late record of an abandoned try replaces the next try", false, {a4, a1, a2}, JobState::Starting, 4},
        {"a requeue record repeated later requeues the next try",
         false,
         {a1, finish(1, JobResult::Requeue, false), a4, finish(1, JobResult::Requeue, false)},
         JobState::Starting,
         4},
        {"an attempt made while the log was down is lost", true, {a1, a4}, JobState::Starting, 4},
        {"a job that must not run twice and did run is queued again", false, {a1, finish(1, JobResult::Requeue)}, JobState::Starting, 1},
        {"a job with a started record is requeued as not run", false, {a1, started, finish(1, JobResult::Requeue, false)}, JobState::Running, 1},
        {"a job that is proven not to have run cannot start again", false, {a1, finish(1, JobResult::Requeue, false), a2}, JobState::Starting, 2},
        {"a restartable job is not queued again after a lost worker", true, {a1, started, finish(1, JobResult::Requeue)}, JobState::Queued, 1},
        {"a late result of an old attempt ends the job", true, {a1, a2, finish(1, JobResult::Failed)}, JobState::Starting, 2},
        {"a job that never started succeeds", false, {finish(0, JobResult::Succeeded)}, JobState::Queued, 0},
        {"a job that can never run cannot be parked", false, {finish(0, JobResult::Parked)}, JobState::Parked, 0},
        {"a cancelled queued job starts", false, {cancel, a1}, JobState::Cancelled, 0},
        {"a cancelled running job is queued again", true, {a1, cancel, finish(1, JobResult::Requeue)}, JobState::Cancelled, 1},
        {"a success reported before the cancellation took effect is lost", true, {a1, cancel, finish(1, JobResult::Succeeded)}, JobState::Succeeded, 1},
        {"a terminal state changes", false, {a1, finish(1, JobResult::Succeeded), cancel, finish(1, JobResult::Failed)}, JobState::Succeeded, 1},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string(it.failure));
        auto job = Job{.spec = {.id = id}};
        job.spec.restartable = it.restartable;
        for (const auto &record : it.records) {
            applyToJob(job, record, {});
        }
        CHECK(std::string(jobStateName(job.state)) == jobStateName(it.state));
        CHECK(job.attempt == it.attempt);
    }
}

TEST_CASE("list() filters and pages, an ended job leaves the table after terminalRetention, and only the recorded attempt is valid")
{
    auto fold = JobFold{options};
    const auto start = WallTime{Millis{1'000'000}};
    fold.noteRead({0}, start);
    for (auto i = 0; i < 10; ++i) {
        auto spec = specOf(static_cast<std::uint32_t>(i));
        spec.workspace = WorkspaceId{i < 4 ? "a" : "b"};
        fold.apply({i}, start, JobRecord{JobAcceptRecord{spec, {.through = {0}, .asOf = start}}});
    }
    CHECK(fold.list({.workspace = WorkspaceId{"b"}}, JobId{}, 100).size() == 6);
    const auto page = fold.list({.state = JobState::Queued}, JobId{"j-2"}, 3);
    REQUIRE(page.size() == 3);
    CHECK(page[0]->spec.id == JobId{"j-3"});
    fold.apply({10}, start, JobRecord{JobAttemptRecord{JobId{"j-1"}, 1, InstanceId{"i-1"}, 7}});
    CHECK(fold.isAttempt(JobId{"j-1"}, 1, InstanceId{"i-1"}, 7));
    CHECK_FALSE(fold.isAttempt(JobId{"j-1"}, 1, InstanceId{"i-1"}, 8));
    CHECK_FALSE(fold.isAttempt(JobId{"j-1"}, 1, InstanceId{"i-2"}, 7));
    fold.apply({11}, start, JobRecord{JobCancelRecord{JobId{"j-2"}, "ana", {}}});
    fold.apply({12}, start + Seconds{3600}, "nothing");
    CHECK(fold.find(JobId{"j-2"}) != nullptr);
    fold.apply({13}, start + Seconds{3601}, "nothing");
    CHECK(fold.find(JobId{"j-2"}) == nullptr);
    CHECK(fold.counts().undecodable == 2);
}
