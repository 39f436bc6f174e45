#pragma once

/// The deployment of a soak: instances of the daemon as processes of their own, stand-ins for the store and the executors, and callers.
///
/// @code
///   auto world = Catkin::Soak::SoakWorld{options};
///   world.call(0, "POST", "/batch/" + id, body, answer);
///   world.restartInstance(world.leader(), SIGKILL);
///   world.vanish(0);
///   for (const auto &it : world.history()) { ... }
/// @endcode
///
/// Threads: one writes the executors' entries, one for each process moves its output to a file. Any thread may call, but call(), which is for one.

#include "harness/childprocess.h"
#include "platform/testing/storestandin.h"
#include "ports/httpchannel.h"
#include "soak/soakexecutor.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Catkin::Soak
{

struct SoakOptions
{
    std::string daemon; ///< path of the program
    std::string folder; ///< for settings and logs
    std::string network; ///< first three numbers of the instances' loopback addresses, such as "127.9.1"
    int instances = 5;
    int workers = 10;
    Millis lease{10'000};
    std::optional<std::uint64_t> transitSeed; ///< draws how long the executors' answers are under way; nothing: no time
    bool forgetsWhileWaiting = false; ///< see SoakExecutorOptions
    std::uint64_t seed = 0; ///< draws the first readings of the executors' clocks, and which orders are late
    int lateOrders = 0; ///< see SoakExecutorOptions
    int domains = 1; ///< failure domains of the executors, named z1, z2 and so on
    bool boundsEvacuations = false; ///< whether the instances have the setting `bounds.evacuate_ms`
};

/// From when the store has acknowledged a record until the next one.
struct Evacuation
{
    std::string domain;
    SteadyTime acknowledgedAt;
    std::optional<SteadyTime> revokedAt; ///< when the revocation was sent; nothing if none was
};

/// A time in which an instance was frozen.
struct FrozenSpan
{
    SteadyTime begin;
    SteadyTime end;
};

/// What comes up at the address of an executor that has crashed.
enum class Successor {
    None,
    Shown, ///< another executor, which writes its entry although it is cut off from its callers
    Unshown, ///< another executor, which writes its entry when the cut is over
};

class SoakWorld
{
public:
    explicit SoakWorld(const SoakOptions &options);
    ~SoakWorld();
    SoakWorld(const SoakWorld &) = delete;
    auto operator=(const SoakWorld &) -> SoakWorld & = delete;

    /// @return the index of the leading instance; the first one if none leads.
    auto leader() -> std::size_t;
    /// Ends an instance by SIGKILL or SIGTERM, and starts it again once it has ended.
    /// @return whether it was done: nothing else is under way at the instance.
    auto restartInstance(std::size_t index, int signal) -> bool;
    /// @return whether the instance is being restarted or is frozen.
    auto isBusy(std::size_t index) -> bool;
    /// Stops an instance for a while by SIGSTOP.
    auto freezeInstance(std::size_t index, Millis span) -> bool;
    /// Ends an executor without a word; its entry is removed after three heartbeats.
    auto vanish(std::size_t index) -> void;
    /// Lets an executor write that it is draining and for how long it stays, unless it has vanished, is cut off or has written so before.
    /// @return whether it was done.
    auto announceDeparture(std::size_t index, Millis remaining) -> bool;
    /// Ends an executor that has announced it, and removes its entry at once.
    auto leave(std::size_t index) -> void;
    /// Writes the operators' record that evacuates a failure domain, and returns when it is in the store.
    auto evacuate(const std::string &domain) -> void;
    /// Revokes the evacuation of a failure domain.
    auto revokeEvacuation(const std::string &domain) -> void;
    /// Lets an executor begin a new lifetime under its id, unless it has vanished.
    /// @param isWritten whether it writes its entry at once, not only with its next heartbeat
    auto restartWorker(std::size_t index, bool isWritten) -> void;
    /// Cuts an executor off for a while, and lets it begin a new lifetime meanwhile, unless it has vanished.
    /// @param restartAfter the time for which it goes on before that
    /// @param span the whole time, more than @p restartAfter
    /// @param isListed whether it still writes its entry; otherwise the entry is removed after three heartbeats
    auto cutAndRestart(std::size_t index, Millis restartAfter, Millis span, bool isListed) -> void;
    /// @return whether the executor is there, neither cut off from the store nor leaving.
    auto isCalm(std::size_t index) -> bool;
    /// Cuts an executor off for a while, in which it writes no entry, and ends it meanwhile without a word.
    /// @param crashAfter the time for which it goes on before that
    /// @param span the whole time, more than @p crashAfter
    /// @param successor whether another executor comes up at its address at once, cut off as well, and when its entry is written
    auto cutAndCrash(std::size_t index, Millis crashAfter, Millis span, Successor successor) -> void;
    /// Lets the executors answer all orders in time from now on.
    auto endLateness() -> void;
    /// Lets a new executor join.
    auto addWorker() -> void;
    auto writeConfig() -> void;

    /// Sends a call over a kept connection.
    /// @return the status; 0 without an answer
    auto call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body, std::string &answer) -> int;

    /// @return all attempts on all executors.
    auto history() -> std::vector<Run>;
    /// @return all start orders that executors took.
    auto startOrders() -> std::vector<StartOrder>;
    auto evacuations() -> std::vector<Evacuation>;
    /// @return when the entries of the executors that announced their departure were in the store, by executor.
    auto departures() -> std::map<std::string, SteadyTime>;
    /// @return when instances were frozen, once they have gone on.
    auto frozenSpans() -> std::vector<FrozenSpan>;
    /// @return when the executor vanished; nothing if it has not.
    auto goneAt(const std::string &worker) -> std::optional<SteadyTime>;
    /// @return when the entry of the executor that took the address of this one was in the store; nothing if there is none.
    auto successorShownAt(const std::string &worker) -> std::optional<SteadyTime>;
    /// @return when the executor's last lifetime began; nothing if it is the first.
    auto restartedAt(const std::string &worker) -> std::optional<SteadyTime>;
    /// @return the executors that have vanished and left a start order for the task without an answer, in the time in which it may still have been
    /// carried out.
    auto vanishedWithUnanswered(const std::string &task) -> std::vector<std::string>;
    auto instances() const -> std::size_t;
    /// @return executors that have not vanished.
    auto indexOf(const std::string &worker) -> std::size_t;
    auto liveWorkers() -> std::size_t;
    auto workers() -> std::size_t;
    auto store() -> Platform::Testing::StoreStandin &;

private:
    struct Instance
    {
        std::string name;
        std::string address;
        std::unique_ptr<ChildProcess> process;
        std::thread output;
        std::mutex busy; ///< held while it is ended and started again, or frozen
        int lives = 0;
    };

    auto makeExecutor(int port, bool isCutOff) -> SoakExecutor &;
    auto startInstance(Instance &instance) -> void;
    auto endInstance(Instance &instance, int signal) -> void;
    auto writeEntries() -> void;
    auto writeEntry(SoakExecutor &executor) -> void;
    auto find(const std::string &worker) -> SoakExecutor *;

    SoakOptions m_options;
    Platform::Testing::StoreStandin m_store;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<HttpChannel>> m_channels; ///< kept open by the caller until they break
    std::mutex m_mutex; ///< guards the executors and what is written for them
    std::vector<std::unique_ptr<SoakExecutor>> m_executors;
    std::map<std::string, SteadyTime> m_removals; ///< when the entries of executors that write none any more are removed
    std::set<std::string> m_unwritten; ///< executors that are cut off from the store
    std::vector<Evacuation> m_evacuations;
    std::map<std::string, SteadyTime> m_departures;
    std::map<std::string, SteadyTime> m_successorsShown; ///< by the executor that was at the address before
    std::vector<FrozenSpan> m_frozenSpans;
    bool m_isLatenessOver = false;
    std::atomic<int> m_version{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_writer;
};

}
