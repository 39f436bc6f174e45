#include "callers/crowd.h"
#include "harness/childprocess.h"
#include "platform/testing/executorstandin.h"
#include "platform/testing/storestandin.h"
#include "ports/httpclient.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

/// The daemon under callers that stall, flood or do not read. The limits of its listeners are lowered, so that a small crowd shows a fault; no check depends on
/// the speed of the machine.

using namespace Catkin;

namespace
{

/// Callers of one crowd; more than the connections of a listener in settingsText(), and than the threads and waiting places of a listener that serves each
/// connection by a thread (96 and 64).
constexpr auto crowdSize = 240;
/// The four listeners may have 64 connections each, of which one is attacked; the rest is for files, the store, the executor and ordinary calls.
constexpr auto maxDescriptors = 160;
/// Resident memory that a crowd may add at its highest: 4 MiB of requests, as much for the answers, and what the allocator adds.
constexpr auto maxAddedKb = 24 * 1'024;
/// How long a crowd works before the first ordinary request.
constexpr auto crowdTime = std::chrono::milliseconds{1'500};
/// Only a fault makes an ordinary request wait this long.
constexpr auto patience = std::chrono::seconds{12};
constexpr auto tryInterval = std::chrono::milliseconds{100};
constexpr auto ok = 200;
constexpr auto bodySize = std::size_t{262'144};

const auto ip = std::string{"127.9.77.1"};

auto settingsText(const std::string &store) -> std::string
{
    auto text = "node = \"n1\"\nzone = \"z1\"\nip = \"" + ip
                + "\"\ninternal_ports = [7000, 7015]\nheartbeat_ms = 1500\norders = \"request\"\n[listen]\nfront = \"" + ip + ":8521\"\nreadiness = \"" + ip
                + ":8523\"\n[limits]\ncpu_share = 1.0\ncores = 1\n[bounds]\nmax_hold_ms = 10000\nstop_grace_ms = 200\ngang_timeout_ms = 3000\ngrace_s = 6\n"
                  "visible_ms = 3000\nstatus_s = 600\n[platform]\naddress = \""
                + store + "\"\nrecord_bytes = 262144\n";
    for (const auto *name : {"callers", "readiness", "metrics", "peers"}) {
        text += "[listeners." + std::string(name) + "]\nconnections = 64\nbuffer_bytes = 4194304\n";
    }
    return text;
}

struct Target
{
    std::string name;
    int port = 0;
    std::string method; ///< of requests without a body
    std::string bodyMethod;
    std::string path;
};

const auto targets = std::vector<Target>{
    {.name = "callers, queue", .port = 8521, .method = "GET", .bodyMethod = "POST", .path = "/q/0000000000000009"},
    {.name = "callers, no route", .port = 8521, .method = "PUT", .bodyMethod = "PUT", .path = "/nowhere"},
    {.name = "readiness", .port = 8523, .method = "GET", .bodyMethod = "POST", .path = "/v1/ready"},
    {.name = "peers", .port = 7000, .method = "GET", .bodyMethod = "POST", .path = "/v1/log-append"},
    {.name = "metrics", .port = 7001, .method = "GET", .bodyMethod = "POST", .path = "/metrics"},
};

/// The daemon with its own store and executor.
struct World
{
    World()
        : folder(std::filesystem::temp_directory_path() / ("catkin-callers-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder);
        store.put("keyed.op",
                  "config",
                  R"({"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"svc","max_attempts":2,"timeout_ms":3000}],)"
                  R"("tenants":[{"name":"t","api_keys":["k"]}]})");
        writeEntry();
        std::ofstream(folder / "n1.toml") << settingsText(store.address());
        auto child = ChildProcess::start(
            {"/bin/sh", "-c", "ulimit -n 600; exec env CATKINWORKS_CONFIG=\"$0\" \"$1\" --platform >/dev/null", folder / "n1.toml", binaryPath("catkinworksd")},
            folder / "n1.err");
        daemon = std::move(child.value());
    }

    ~World()
    {
        daemon->signal(SIGKILL);
        constexpr auto endLimit = Millis{10'000};
        daemon->waitExit(endLimit);
        std::filesystem::remove_all(folder);
    }

    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    auto writeEntry() -> void
    {
        store.put("keyed.servers", executor.id(), executor.entry());
    }

    auto lives() const -> bool
    {
        return !daemon->waitExit(Millis{0});
    }

    /// @return a figure of /proc/PID/status in kB.
    auto memory(const std::string &field) const -> int
    {
        auto in = std::ifstream{"/proc/" + std::to_string(daemon->pid()) + "/status"};
        auto word = std::string{};
        while (in >> word) {
            if (word == field + ":") {
                auto n = 0;
                in >> n;
                return n;
            }
        }
        return -1;
    }

    auto descriptors() const -> int
    {
        auto ec = std::error_code{};
        const auto files = std::filesystem::directory_iterator{"/proc/" + std::to_string(daemon->pid()) + "/fd", ec};
        return static_cast<int>(std::distance(begin(files), end(files)));
    }

    auto call(int port, const std::string &method, const std::string &path, const std::string &body, std::string &answer) const -> int
    {
        constexpr auto limit = Millis{3'000};
        const auto reply = httpExchange({.address = ip + ":" + std::to_string(port),
                                         .method = method,
                                         .path = path,
                                         .headers = {{"Host", "h"}, {"Api-Key", "k"}},
                                         .body = body,
                                         .connectTimeout = limit,
                                         .timeout = limit});
        answer = reply ? reply.value().body : std::string{};
        return reply ? reply.value().status : 0;
    }

    /// Tries until the condition holds, and follows the descriptors meanwhile.
    auto eventually(const std::function<bool()> &holds) -> bool
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < deadline) {
            mostDescriptors = std::max(mostDescriptors, descriptors());
            writeEntry();
            if (holds()) {
                return true;
            }
            std::this_thread::sleep_for(tryInterval);
        }
        return false;
    }

    auto isAnswered(int port, const std::string &method, const std::string &path) -> bool
    {
        return eventually([&] {
            auto answer = std::string{};
            return call(port, method, path, {}, answer) == ok;
        });
    }

    /// @return whether a job is accepted, runs and ends.
    auto runsJob(const std::string &id) -> bool
    {
        auto answer = std::string{};
        const auto body = std::string{R"({"spec":"s","steps":[{"count":1,"cpu":10,"mem_mb":10,"estimate_ms":100}]})"};
        // The status is also asked for after a call whose answer was lost.
        return eventually([&] { return call(8521, "POST", "/q/" + id, body, answer) == ok || call(8521, "GET", "/q/" + id, {}, answer) == ok; })
               && eventually([&] { return call(8521, "GET", "/q/" + id, {}, answer) == ok && answer.find("completed") != std::string::npos; });
    }

    /// @return whether each listener answers an ordinary request; the first one that does not is told.
    auto servesAll(const std::string &job) -> bool
    {
        const auto ready = isAnswered(8523, "GET", "/v1/ready");
        const auto runs = ready && runsJob(job);
        const auto relays = runs && isAnswered(7000, "GET", "/v1/log-newest?topic=keyed.op&partition=0");
        const auto measures = relays && isAnswered(7001, "GET", "/metrics");
        if (!measures) {
            MESSAGE("no answer of ", std::string(!ready ? "readiness" : !runs ? "callers" : !relays ? "peers" : "metrics"));
        }
        return measures;
    }

    std::filesystem::path folder;
    Platform::Testing::StoreStandin store;
    Platform::Testing::ExecutorStandin executor{"i-1", 100};
    std::unique_ptr<ChildProcess> daemon;
    int mostDescriptors = 0;
};

auto startLine(const Target &target, const std::string &method) -> std::string
{
    return method + " " + target.path + " HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\n";
}

/// @return a request whose body has @p announced bytes, without the last @p missing ones.
auto withBody(const Target &target, std::size_t announced, std::size_t missing) -> std::shared_ptr<const std::string>
{
    return std::make_shared<std::string>(startLine(target, target.bodyMethod) + "Content-Type: application/json\r\nContent-Length: " + std::to_string(announced)
                                         + "\r\n\r\n" + std::string(announced - missing, ' '));
}

/// @return a request whose body has chunks of 1,000 bytes, up to @p size bytes, and no end.
auto chunked(const Target &target, std::size_t size) -> std::shared_ptr<const std::string>
{
    auto text = startLine(target, target.bodyMethod) + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto n = std::size_t{0}; n + 1'000 <= size; n += 1'000) {
        text += "3e8\r\n" + std::string(1'000, ' ') + "\r\n";
    }
    return std::make_shared<std::string>(text + "0\r\n");
}

/// @return the begin of a request with so many header fields, without the empty line that ends them.
auto withFields(const Target &target, int fields) -> std::shared_ptr<const std::string>
{
    auto text = startLine(target, target.bodyMethod);
    for (auto i = 0; i < fields; ++i) {
        text += "a:b\r\n";
    }
    return std::make_shared<std::string>(text);
}

auto plainRequest(const Target &target) -> std::shared_ptr<const std::string>
{
    return std::make_shared<std::string>(startLine(target, target.method) + "Content-Length: 0\r\n\r\n");
}

/// Lets the crowd work on each listener of a new process, and checks the process.
auto checkUnder(const std::function<void(Crowd &, const Target &)> &fill) -> void
{
    for (const auto &target : targets) {
        INFO("crowd at ", target.name);
        auto world = World{};
        REQUIRE(world.servesAll("0000000000000001"));
        const auto before = world.memory("VmRSS");
        world.mostDescriptors = 0;
        auto crowd = Crowd{{.ip = ip, .port = target.port}};
        fill(crowd, target);
        crowd.begin();
        const auto end = std::chrono::steady_clock::now() + crowdTime;
        while (std::chrono::steady_clock::now() < end) {
            world.mostDescriptors = std::max(world.mostDescriptors, world.descriptors());
            std::this_thread::sleep_for(tryInterval);
        }
        CHECK(world.servesAll("0000000000000002"));
        CHECK(world.lives());
        const auto added = world.memory("VmHWM") - before;
        MESSAGE(target.name,
                ": added kB ",
                added,
                " to ",
                before,
                ", descriptors ",
                world.mostDescriptors,
                ", callers still open ",
                crowd.open(),
                ", MB sent ",
                crowd.sent() >> 20U);
        CHECK(added <= maxAddedKb);
        CHECK(world.mostDescriptors <= maxDescriptors);
    }
}

}

// Guards against bodies that are buffered without a common limit, and against connections that each keep a thread.
TEST_CASE("many bodies that stop one byte short of the end")
{
    checkUnder([](Crowd &crowd, const Target &target) { crowd.add(crowdSize, {.text = withBody(target, bodySize, 1)}); });
}

// Guards against a limit that counts only what arrives in one piece.
TEST_CASE("many bodies in small pieces that stop one byte short of the end")
{
    checkUnder([](Crowd &crowd, const Target &target) { crowd.add(crowdSize, {.text = withBody(target, bodySize, 1), .piece = 4'001}); });
}

// Guards against a limit that knows only announced lengths.
TEST_CASE("many chunked bodies without an end")
{
    checkUnder([](Crowd &crowd, const Target &target) { crowd.add(crowdSize, {.text = chunked(target, bodySize - 1)}); });
}

// Guards against bodies over the limit that are read whole before they are refused.
TEST_CASE("bodies far over the limit")
{
    checkUnder([](Crowd &crowd, const Target &target) {
        constexpr auto size = std::size_t{16} << 20U;
        crowd.add(crowdSize / 2, {.text = withBody(target, size, 1)});
        crowd.add(crowdSize / 2, {.text = chunked(target, size)});
    });
}

// Guards against a header whose fields are not limited in number, each of which takes far more memory than its bytes.
TEST_CASE("headers with thousands of short fields")
{
    checkUnder([](Crowd &crowd, const Target &target) {
        crowd.add(crowdSize / 2, {.text = withFields(target, 3'000)});
        crowd.add(crowdSize / 2, {.text = withFields(target, 40'000)});
    });
}

// Guards against requests that are read and served while nobody takes the answers.
TEST_CASE("pipelined requests whose answers are not read")
{
    checkUnder([](Crowd &crowd, const Target &target) { crowd.add(crowdSize, {.text = plainRequest(target), .repeats = 20'000}); });
}

// Guards against connections that keep a thread or a place as long as they send a byte now and then.
TEST_CASE("slow senders")
{
    checkUnder([](Crowd &crowd, const Target &target) {
        crowd.add(crowdSize / 2, {.text = withBody(target, bodySize, 1), .slowFrom = 20});
        crowd.add(crowdSize / 2, {.text = withBody(target, bodySize, 1), .slowFrom = 2'000});
    });
}

// Guards against connections that keep a thread or a place as long as they take a byte now and then.
TEST_CASE("slow readers")
{
    checkUnder([](Crowd &crowd, const Target &target) { crowd.add(crowdSize, {.text = plainRequest(target), .readsSlowly = true, .repeats = 20'000}); });
}
