#pragma once

/// A small deployment for one case: instances of the daemon as processes of their own, and stand-ins for the store, the executors and callers.

#include "executor.h"

#include "../../platform/testing/storestandin.h"

#include <httplib.h>
#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

struct WorldOptions
{
    std::string folder; ///< for settings and logs of the instances
    std::string record; ///< file of what was sent, answered and run
    int instances = 3;
    int executors = 4;
    int accelerators = 8;
};

struct Reply
{
    int status = 0; ///< 0 without an answer
    std::string body;
};

class World
{
public:
    explicit World(const WorldOptions &options);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Waits until all instances are ready and one leads.
    /// @return whether they are within a minute
    auto waitReady() -> bool;
    /// Sends a call on a connection of its own and records it.
    auto call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body = {}, const std::string &tenant = "t") -> Reply;
    auto executor(std::size_t index) -> Executor &;
    /// @return the address of an instance for callers.
    [[nodiscard]] auto front(std::size_t instance) const -> std::pair<std::string, int>;
    [[nodiscard]] auto executors() const -> std::size_t;
    [[nodiscard]] auto instances() const -> std::size_t;
    /// @return all runs on all executors, by their begin.
    auto runs() -> std::vector<Run>;
    auto note(const std::string &text) -> void;
    /// Adds all runs to the record.
    auto noteRuns() -> void;

private:
    auto startInstance(std::size_t index) -> void;
    auto writeEntries() -> void;

    WorldOptions m_options;
    Catkin::Platform::Testing::StoreStandin m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<pid_t> m_processes;
    std::vector<int> m_ports; ///< first of four ports of each instance
    std::mutex m_recordMutex;
    std::ofstream m_record;
    std::atomic<bool> m_stopping{false};
    std::thread m_writer;
};

struct TaskOptions
{
    int accelerators = 1;
    bool isLasting = false;
};

/// @return the body of a job of one step.
auto jobBody(int tasks, int lengthMs, const TaskOptions &options = {}) -> std::string;

/// @return whether the disruption is to be made: TROUBLE is not 0.
auto isTroubled() -> bool;

auto sleepMs(std::int64_t span) -> void;

}
