#pragma once

/// A small deployment for the cases of this folder: instances of the daemon as processes of their own, and the project's stand-ins for the store and the
/// executors. The platform's limit of memory is kept as its page says: a process that exceeds it is killed, and started again after a short delay.
///
/// @code
///   auto world = Catkin::Review::SmallWorld{{.daemon = "target/bin/catkinworksd", .folder = folder}};
///   world.putConfig(config);
///   const auto answer = world.call(0, "POST", "/urgent/0123456789abcdef", "key", body);
/// @endcode
///
/// Threads: one writes the executors' entries and watches the processes, one for each process moves its output to a file. call() is for one thread.

#include "../../platform/testing/storestandin.h"
#include "harness/childprocess.h"
#include "harness/relay.h"
#include "lateproxy.h"
#include "ports/httpchannel.h"
#include "soak/soakexecutor.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Catkin::Review
{

struct SmallWorldOptions
{
    std::string daemon; ///< path of the program
    std::string folder; ///< for settings and logs
    std::string recordFile; ///< gets one line of JSON for each thing sent, answered or run
    int instances = 2;
    int workers = 8;
    int memoryMb = 260; ///< of an instance
    /// Whether the first executor is behind a proxy that keeps its start orders back until answerInTime(), and is the only one until listAll().
    bool firstIsLate = false;
};

struct CallAnswer
{
    int status = 0; ///< 0 without an answer
    std::string body;
};

class SmallWorld
{
public:
    explicit SmallWorld(const SmallWorldOptions &options);
    ~SmallWorld();
    SmallWorld(const SmallWorld &) = delete;
    auto operator=(const SmallWorld &) -> SmallWorld & = delete;

    auto putConfig(const nlohmann::json &config) -> void;
    /// @return whether every instance has said that it is ready, within @p limit.
    auto waitReady(Millis limit) -> bool;
    /// Sends a call and records it.
    auto call(std::size_t instance, const std::string &method, const std::string &path, const std::string &key, const std::string &body) -> CallAnswer;
    /// @return the attempts of a task of a job, by the prefix of its name.
    auto runsOf(const std::string &prefix) -> std::vector<Soak::Run>;
    /// Lets an executor be lost for good without a word: nothing answers any more, and its entry is removed after three heartbeats.
    auto loseExecutor(const std::string &id) -> void;
    /// Lets an executor crash, and start again under its id and at its address after a while, of another kind. It writes its entry with its next heartbeat.
    auto crashExecutor(const std::string &id, Millis down, const std::string &kind) -> void;
    /// Lets the first executor get start orders in time from now on; those that were kept back are still to be carried out.
    auto answerInTime() -> void;
    /// Carries out the start orders of the first executor that were kept back.
    auto carryOutLate() -> void;
    /// Lets all executors write their entries.
    auto listAll() -> void;
    /// @return the time of the last begin of the executor's present lifetime, or nothing if it is the first.
    auto restartedAt(const std::string &id) -> std::optional<Soak::SteadyTime>;
    auto executorIds() -> std::vector<std::string>;
    auto record(nlohmann::json line) -> void;
    /// Records all attempts.
    auto recordRuns() -> void;
    /// @return for each instance how often it was killed because it had exceeded its memory.
    auto memoryKills() -> std::vector<int>;
    /// @return how often a process ended by itself.
    auto ownEnds() -> int;
    /// @return the most memory that a process was seen to use, in MB.
    auto peakMemoryMb() -> int;
    /// @return milliseconds since the begin.
    auto elapsedMs() const -> std::int64_t;

private:
    struct Instance
    {
        std::string name;
        std::string address;
        std::unique_ptr<ChildProcess> process;
        std::thread output;
        int lives = 0;
        std::atomic<int> memoryKills{0};
        std::chrono::steady_clock::time_point startAt; ///< of the next life, while there is no process
    };

    struct Executor
    {
        std::unique_ptr<Soak::SoakExecutor> process;
        std::unique_ptr<LateProxy> proxy; ///< between the relay and the process; null: none
        std::unique_ptr<Relay> relay; ///< its address for the others
        std::optional<std::chrono::steady_clock::time_point> removedAt; ///< when its entry is removed; nothing while it writes
        bool isListed = true;
        bool isDown = false; ///< it has crashed and is not back yet, or has not joined yet
        std::string kind = "a"; ///< its first label
    };

    auto startInstance(Instance &instance) -> void;
    auto endInstance(Instance &instance) -> void;
    auto find(const std::string &id) -> Executor &;
    auto writeEntry(Executor &executor) -> void;
    auto watch() -> void;
    auto watchInstance(Instance &instance) -> void;

    SmallWorldOptions m_options;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    std::mutex m_recordMutex;
    std::ofstream m_record;
    Platform::Testing::StoreStandin m_store;
    std::mutex m_executorsMutex;
    std::vector<Executor> m_executors;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::atomic<int> m_ownEnds{0};
    std::atomic<int> m_peakMb{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_watcher;
};

}
