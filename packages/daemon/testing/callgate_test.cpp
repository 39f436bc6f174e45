#include "daemon/answerbudget.h"
#include "daemon/callgate.h"
#include "daemon/ticketservice.h"
#include "util/clock.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Catkin;

namespace
{

const auto flood = WorkspaceId{"portal"};
const auto small = WorkspaceId{"centre"};
const auto plan = KindId{"plan"};
const auto book = KindId{"book"};

auto fill(CallGate &gate, const WorkspaceId &workspace, const KindId &kind, const CallerId &caller, std::vector<CallGate::Pass> &held) -> int
{
    auto n = 0;
    while (auto pass = gate.enter(workspace, kind, caller, Bytes{0})) {
        held.push_back(std::move(pass));
        ++n;
    }
    return n;
}

}

// Guards against a caller, kind or workspace whose flood leaves no connection thread to the others.
TEST_CASE("each caller, kind and workspace leaves its part of the calls to others")
{
    auto gate = CallGate{{.callsAtMost = 96}};
    auto held = std::vector<CallGate::Pass>{};
    CHECK(fill(gate, flood, plan, CallerId{"a"}, held) == 32); // half of the free rest
    CHECK(fill(gate, flood, plan, CallerId{"b"}, held) > 0);
    CHECK(fill(gate, flood, plan, CallerId{"c"}, held) <= 4); // the kind's part is used up
    CHECK(gate.inProgress() <= 48);
    CHECK(fill(gate, flood, book, CallerId{"a"}, held) > 0);
    CHECK(gate.inProgress() <= 64); // two thirds for one workspace
    auto pass = gate.enter(small, plan, CallerId{"desk"}, Bytes{0});
    CHECK(pass);
    held.clear();
    pass.reset();
    CHECK(gate.inProgress() == 0);
    CHECK(fill(gate, flood, plan, CallerId{"a"}, held) == 32);
}

// Guards against payloads of waiting calls that exceed the memory bound, and against a bound that refuses a lone large call.
TEST_CASE("payload bytes are bounded in the same way")
{
    auto gate = CallGate{{.callsAtMost = 96, .bytesAtMost = Bytes{1000}}};
    const auto large = gate.enter(flood, plan, CallerId{"a"}, Bytes{600});
    CHECK(large);
    CHECK_FALSE(gate.enter(flood, plan, CallerId{"a"}, Bytes{300}));
    CHECK(gate.enter(small, plan, CallerId{"desk"}, Bytes{300}));
    CHECK_FALSE(gate.enter(small, plan, CallerId{"desk"}, Bytes{500}));
}

// Guards against answers of 4 MiB that are kept for each of thousands of keys.
TEST_CASE("an answer budget drops the oldest answers")
{
    auto budget = AnswerBudget<int>{Bytes{100}};
    auto dropped = std::vector<int>{};
    const auto drop = [&](int key) { dropped.push_back(key); };
    budget.add(1, 40, drop);
    budget.add(2, 40, drop);
    budget.add(1, 50, drop); // replaces the first
    CHECK(dropped.empty());
    budget.add(3, 30, drop);
    CHECK(dropped == std::vector{2});
    budget.remove(1);
    CHECK(budget.used() == Bytes{30});
    budget.add(4, 200, drop);
    CHECK(dropped == std::vector{2, 3, 4});
    CHECK(budget.used() == Bytes{0});
}

// Guards against a workspace that takes every ticket, after which no other one gets any.
TEST_CASE("one workspace leaves tickets to the others")
{
    auto tickets = TicketService{{.instance = InstanceId{"i"}, .key = "k", .maxTickets = 100}, systemClock()};
    auto n = 0;
    while (tickets.issue(flood)) {
        ++n;
    }
    CHECK(n == 50);
    CHECK(tickets.issue(small));
}

// Guards against an answer that was dropped for lack of room and whose ticket runs a second time.
TEST_CASE("a ticket whose answer was dropped stays used")
{
    auto tickets = TicketService{{.instance = InstanceId{"i"}, .key = "k", .answers = Bytes{10}}, systemClock()};
    const auto call = RequestCall{.workspace = small, .kind = book, .payload = "p"};
    const auto ticket = tickets.parse(tickets.issue(small).value().str());
    REQUIRE(ticket);
    auto runs = 0;
    const auto handle = [&] {
        ++runs;
        return RequestReply{.verdict = RequestVerdict::Answer, .status = 200, .answer = std::string(11, 'x')};
    };
    CHECK(tickets.serve(*ticket, call, handle).verdict == RequestVerdict::Answer);
    CHECK(tickets.serve(*ticket, call, handle).verdict == RequestVerdict::OutcomeUnknown);
    CHECK(runs == 1);
}
