#pragma once

/// A small deployment for the cases of the review: the platform's store and the executors are stand-ins in this process, the instances of
/// the system are processes of their own, started with the command of the deploy file.

#include "http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review
{

using nlohmann::json;

/// Bounds of the settings, as in the example of the users' pages.
constexpr auto maxHoldMs = std::int64_t{10'000};
constexpr auto gangTimeoutMs = std::int64_t{3'000};
constexpr auto heartbeatMs = 1'500;
constexpr auto finishMs = std::int64_t{14'000};
constexpr auto idleMs = std::int64_t{3'000}; ///< a job may have nothing running for this long
constexpr auto recordBytes = std::size_t{262'144};
constexpr auto callBytes = std::size_t{2'097'152};

/// What was sent, answered and run, one line each, with milliseconds since the begin.
class Record
{
public:
    explicit Record(const std::string &path);
    auto line(const std::string &text) -> void;
    [[nodiscard]] auto now() const -> std::int64_t;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_begin;
};

/// The platform's store: topics of keyed records.
class Store
{
public:
    explicit Store(Record &record);

    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void;
    [[nodiscard]] auto newest(const std::string &topic, const std::string &key) -> std::string;
    [[nodiscard]] auto address() const -> std::string;

private:
    struct Log
    {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::int64_t> newest; ///< offset of the newest record of each key
        std::int64_t epoch = -1;
        std::int64_t sequence = -1;
        std::list<std::pair<std::int64_t, std::string>> answers; ///< of the last five appends of the epoch, by sequence number
    };

    auto handle(const Request &request) -> Response;
    auto append(Log &log, const Request &request) -> Response;
    static auto add(Log &log, std::string key, std::string value) -> void;
    auto read(const Request &request) -> Response;
    auto list(Log &log, const Request &request) -> Response;

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Log> m_logs;
    std::map<std::string, int> m_refused; ///< times that a log refused an append whose record was too long
    Server m_server;
};

/// What the members of a gang share.
struct Gang
{
    std::size_t members = 0; ///< present
    std::int64_t beganAt = 0; ///< when all were present; 0 before
    bool broken = false;
};

struct Run
{
    std::string task;
    int number = 0;
    std::string executor;
    std::int64_t beganAt = 0;
    std::int64_t endedAt = -1;
    std::string how; ///< empty while it runs
};

/// Runs of all executors, in the order of their starts.
struct History
{
    std::mutex mutex;
    std::vector<Run> runs;
    std::map<std::string, Gang> gangs; ///< by step and run
};

struct ExecutorOptions
{
    std::string id;
    std::int64_t cpu = 32'000;
    std::int64_t memory = 128'000;
    std::int64_t accelerators = 8;
    std::string kind = "a";
    std::string rack = "r1";
};

/// Asked for each order before it is carried out; an order that is taken over gets no answer and is handed to deliver() later.
using OrderFilter = std::function<bool(const Request &)>;

/// An executor. The spec of a job tells how long its work units take: "ms=2500 gang=2 saves=1"; 0 ms: they last until they are stopped.
/// A work unit that saves makes a checkpoint for each second of its work.
class Executor
{
public:
    Executor(ExecutorOptions options, Store &store, History &history, Record &record);
    ~Executor();
    Executor(const Executor &) = delete;
    auto operator=(const Executor &) -> Executor & = delete;

    auto startLife() -> void;
    /// As a killed process: what runs ends, connections break, nothing is told to the store.
    auto crash() -> void;
    /// Removes the entry, as the platform does after the executor has been silent for three heartbeats.
    auto dropEntry() -> void;
    auto setFilter(OrderFilter filter) -> void;
    /// Hands an order to the life that is there now.
    auto deliver(const Request &request) -> Response;
    [[nodiscard]] auto options() const -> const ExecutorOptions &;
    [[nodiscard]] auto isUp() -> bool;

private:
    struct Active
    {
        int number = 0;
        std::int64_t beganAt = 0; ///< steady clock
        std::int64_t lengthMs = 0;
        std::size_t gang = 0; ///< number of members; 0: no gang
        std::size_t run = 0; ///< index in the history
        bool saves = false;
        std::int64_t resumedMs = 0; ///< work that the checkpoint stands for from which it resumed

        [[nodiscard]] auto checkpoint() const -> std::string;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string saved;
    };
    /// All that a crash loses.
    struct Life
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::int64_t born = 0;
        std::int64_t startedAt = 0; ///< steady clock
        std::int64_t token = 0;
        std::int64_t leaseUntil = 0; ///< on the executor's clock
        std::int64_t ends = 0;
        std::map<std::string, Active> running;
        std::map<std::string, int> highestOver; ///< highest run of a work unit that was stopped or ended here
        std::list<End> ended;
        std::atomic<bool> over{false};

        [[nodiscard]] auto clock() const -> std::int64_t;
    };

    auto handle(const Request &request, bool filtered) -> Response;
    auto start(Life &life, const json &body) -> Response;
    auto stop(Life &life, const json &body) -> Response;
    auto hold(Life &life, const json &body) -> Response;
    auto extendLease(Life &life, const json &body) -> void;
    auto finish(Life &life, const std::string &task, const std::string &how) -> void;
    auto tick(Life &life) -> void;
    auto beat(Life &life) -> void;
    auto lifeLoop(const std::shared_ptr<Life> &life) -> void;

    ExecutorOptions m_options;
    Store &m_store;
    History &m_history;
    Record &m_record;
    std::mutex m_mutex; ///< guards the life and the filter
    std::shared_ptr<Life> m_life;
    OrderFilter m_filter;
    std::int64_t m_sequence = 0;
    std::thread m_thread;
    Server m_server;
};

/// One instance of the system.
struct Instance
{
    std::string name;
    std::string front;
    std::string settings; ///< path
    std::string log; ///< path
    int pid = 0;
};

struct Job
{
    std::string id;
    std::string key; ///< of its tenant
    std::string prefix;
    int tasks = 0;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    std::string label;
    std::string text; ///< body of the submission
};

/// The longest time that a job had nothing running although it could have run.
struct Idle
{
    std::string job;
    std::int64_t longestMs = 0;
};

class World
{
public:
    /// @param folder where record.txt is written
    explicit World(const std::string &folder);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    auto addExecutor(const ExecutorOptions &options) -> Executor &;
    auto setConfig(const json &config) -> void;
    auto startInstances(int count) -> void;
    /// @return whether all instances are ready and one of them leads.
    auto waitReady() -> bool;
    /// @return the instance that leads by the store's records; null if there is none.
    auto leader() -> Instance *;
    auto killInstance(Instance &instance, int signal) -> void;
    auto restartInstance(Instance &instance) -> void;

    /// Submits a job as a client does: again elsewhere when there was no answer. @return whether it was accepted.
    auto submit(const Job &job) -> bool;
    /// @return the status and the body of the answer; 0 without an answer.
    auto ask(const std::string &method, const Job &job, Instance *at = nullptr) -> std::pair<int, std::string>;

    /// Looks every 100 ms for @p spanMs which of the jobs that are not over have nothing running although there is room for them twice over
    /// and less than half of the service is in use. @return the job with the longest such time.
    auto watchIdle(const std::vector<Job> &jobs, std::int64_t spanMs) -> Idle;
    /// @return work units of the job that have ended done.
    auto doneTasks(const Job &job) -> int;
    auto endInstances() -> void;

    Record record;
    Store store;
    History history;
    std::list<Executor> executors;
    std::list<Instance> instances;
    std::vector<Job> known; ///< all that were sent

private:
    auto launch(Instance &instance) -> void;
    auto isIdle(const Job &job) -> bool;

    std::string m_folder;
};

/// @return a job of one step.
auto makeJob(const std::string &id, int tasks, int accelerators, int lengthMs, const json &more = json::object()) -> Job;

/// @return whether the case runs with its disruption.
auto hasTrouble() -> bool;

/// Exit codes of a case.
constexpr auto heldCode = 0;
constexpr auto brokenCode = 1;
constexpr auto notRunCode = 2;

}
