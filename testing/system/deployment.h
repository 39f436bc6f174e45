#pragma once

/// A deployment on this machine: the platform, backend servers and entry instances as separate processes.
///
/// @code
///   auto site = Catkin::Deployment{Catkin::barilocheShape()};
///   site.start();
///   site.applyConfig(site.document());
///   auto reply = site.call(0, {.kind = "plan", .payload = "{}"});
///   site.entry(1).process->signal(SIGKILL);
/// @endcode
/// Every member function throws std::runtime_error when the deployment itself cannot be set up.

#include "harness/childprocess.h"
#include "harness/relay.h"
#include "history/history.h"
#include "ports/httpclient.h"

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

struct DomainShape
{
    std::string name;
    std::string region;
    int entries = 2;
    int executors = 2;
    int workers = 4;
    int workersPerRack = 4;
    bool sharedWorkers = false; ///< all workers in one process; worker() then has one entry for the failure domain
    bool workerTags = true; ///< false: workers without conditional status, with sharedWorkers only
};

struct DeploymentShape
{
    std::vector<DomainShape> domains;
    std::string workspace; ///< whose token the calls bear
    int guaranteeSlots = 0; ///< of its one guaranteed shape; 0: one worker's slots
    int slots = 8;
    int executorBusyMs = 20;
    Millis platformDelay{0}; ///< one way between the entry instances and the platform
    Millis logDelay{0}; ///< added to it one way for the log alone
    bool relays = false; ///< whether every way between two processes goes through a relay; see Deployment::way
    Millis regionDelay{0}; ///< added to the ways between two regions, one way; needs relays
    std::string leases = "probation = \"1500ms\"\nrun = \"6s\"\nrenew = \"1s\"\n"; ///< the settings' section [leases]
};

/// The shapes of the two deployments in docs/design.md, scaled down.
auto barilocheShape() -> DeploymentShape;
auto revisionesShape() -> DeploymentShape;

struct EntryProcess
{
    std::string id;
    std::string domain;
    std::string region;
    std::unique_ptr<ChildProcess> process;
    std::string callers; ///< "ip:port"
    std::string operators;
    std::string peers;
    std::string errorFile;
};

struct ServerProcess
{
    std::string id;
    std::string domain;
    std::unique_ptr<ChildProcess> process;
    std::string rack; ///< workers only
    std::string historyFile; ///< of the present process
};

enum class WayTo { Entry, Executor, Worker, Platform };

struct RequestParams
{
    std::string kind;
    std::string key;
    std::int64_t firstSentMs = 0;
    int attempt = 0;
    std::int64_t deadlineMs = 0;
    std::string caller = "caller-1";
    std::string payload;
};

class Deployment
{
public:
    explicit Deployment(DeploymentShape shape);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    /// Starts everything, applies document() and waits until every instance is ready.
    auto start() -> void;

    auto startEntry(std::size_t index) -> void;
    auto waitReady(std::size_t index) -> bool;
    /// Waits until the instance has fresh heartbeats of all others.
    auto waitMesh(std::size_t index) -> bool;
    auto entry(std::size_t index) -> EntryProcess &;
    [[nodiscard]] auto entryCount() const -> std::size_t;
    auto executor(std::size_t index) -> ServerProcess &;
    [[nodiscard]] auto executorCount() const -> std::size_t;
    auto worker(std::size_t index) -> ServerProcess &;
    [[nodiscard]] auto workerCount() const -> std::size_t;
    auto platform() -> ChildProcess &;
    /// The way from the entry instances to the platform, for outages that leave the platform's own state alone.
    auto platformRelay() -> Relay &;

    /// The relays from one failure domain to the servers of one role in another; needs DeploymentShape::relays.
    /// @param to failure domain of the servers; ignored for WayTo::Platform, which gives the log's and the list's relay
    auto ways(const std::string &from, WayTo role, const std::string &to = {}) -> std::vector<Relay *>;
    /// Sets the mode of every way between a failure domain and the others, in both directions.
    auto isolate(const std::string &domain, RelayMode mode) -> void;
    /// Sets the mode of every way between two failure domains, in both directions.
    auto separate(const std::string &a, const std::string &b, RelayMode mode) -> void;
    /// Kills a backend server or every process of a failure domain; what the backend servers recorded is kept for collect().
    auto killServer(ServerProcess &server) -> void;
    auto killDomain(const std::string &domain) -> void;
    /// Replaces what killDomain() has killed. The processes have new ports and know nothing.
    auto startDomain(const std::string &domain) -> void;

    /// @return a document with one workspace that has a guarantee, a neighbour without one, and kinds
    /// `plan`, `book`, `simulate` and `mold` for both.
    [[nodiscard]] auto document() const -> nlohmann::json;

    /// @return the token of document()'s first workspace.
    static auto callerToken() -> std::string;
    /// @return the token of the operator in the instances' settings.
    static auto operatorToken() -> std::string;

    /// Sends an HTTP call with a workspace's token to an entry instance.
    /// @param neighbour whether it is the second workspace's, which has no guarantee
    auto caller(std::size_t index, const std::string &method, const std::string &path, const std::string &body, Millis timeout, bool neighbour = false)
        -> Result<HttpReply>;
    /// Sends an HTTP call with the operator's token.
    auto operate(std::size_t index, const std::string &method, const std::string &path, const std::string &body = {}) -> Result<HttpReply>;

    /// Sends a request and classifies the result; a lost connection is CallResult::ConnectionLost.
    auto request(std::size_t index, const RequestParams &params) -> Call;
    /// Submits a job.
    /// @return its id, or nothing when it was not accepted.
    auto submit(std::size_t index, const nlohmann::json &job, bool neighbour = false) -> std::optional<std::string>;
    /// @return the state of a job as an instance reports it; empty when it does not answer.
    auto jobState(std::size_t index, const std::string &job, bool neighbour = false) -> std::string;

    /// Adds what the backend servers recorded.
    auto collect(History &history) -> void;

private:
    auto registerAll() -> void;
    auto addressOf(std::size_t index, bool operators) -> std::string;
    auto writeSettings(const EntryProcess &entry) -> std::string;
    auto startExecutor(ServerProcess &server) -> void;
    auto startWorker(ServerProcess &server) -> void;
    auto makeRelays() -> void;
    /// The log's own relay only where it delays: a cut of the platform's relay behind it would show as connections that are
    /// accepted and then closed, after which an append counts as possibly done.
    auto logRelay() -> Relay &;
    auto retarget(const std::string &id, int port) -> void;
    auto regionOf(const std::string &domain) const -> std::string;
    auto registerAt(ChildProcess &platform, const std::string &viewer) -> void;

    DeploymentShape m_shape;
    std::string m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<Relay> m_platformRelay;
    std::unique_ptr<Relay> m_logRelay; ///< before m_platformRelay
    std::mutex m_addressMutex; ///< guards the listeners' addresses in m_entries, which callers read while an instance is replaced
    std::vector<EntryProcess> m_entries;
    std::vector<ServerProcess> m_executors;
    std::vector<ServerProcess> m_workers; ///< one that stands for m_sharedWorkers has no rack

    struct SharedWorker
    {
        std::string id;
        std::string domain;
        std::string rack;
        std::string address;
    };

    auto startSharedWorkers(const DomainShape &domain) -> void;

    std::vector<SharedWorker> m_sharedWorkers; ///< workers that one process serves
    std::map<std::string, std::unique_ptr<ChildProcess>> m_lists; ///< instance list of each failure domain, with its relays' addresses
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Relay>> m_ways; ///< by failure domain and target's id
    History m_lost; ///< of killed backend servers
    int m_historyFiles = 0;
};

}
