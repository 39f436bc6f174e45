#include "daemon/ticketservice.h"

#include <doctest/doctest.h>

using namespace Catkin;

// Guards against tickets that an instance refuses only because its key was replaced earlier or later.
TEST_CASE("tickets are accepted by every instance that shares a key with the issuing one")
{
    auto clock = ManualClock{};
    struct Case
    {
        const char *name;
        TicketServiceOptions issuer;
        TicketServiceOptions reader;
        bool accepted;
    };
    const auto options = [](const char *key, const char *previous) {
        return TicketServiceOptions{.instance = InstanceId{"i-1"}, .incarnation = {7}, .key = key, .previousKey = previous};
    };
    for (const auto &it : {Case{"same", options("one", ""), options("one", ""), true},
                           Case{"issued before", options("one", ""), options("two", "one"), true},
                           Case{"issued after", options("two", "one"), options("one", ""), true},
                           Case{"both replaced", options("two", "one"), options("two", "one"), true},
                           Case{"reader complete", options("two", "one"), options("two", ""), true},
                           Case{"issuer complete", options("two", ""), options("two", "one"), true},
                           Case{"no common key", options("two", ""), options("one", ""), false}}) {
        CAPTURE(it.name);
        auto issuer = TicketService{it.issuer, clock.clock()};
        const auto reader = TicketService{it.reader, clock.clock()};
        const auto ticket = issuer.issue(WorkspaceId{"w"}).value().str();
        CHECK(reader.parse(ticket).has_value() == it.accepted);
        // A changed ticket, one without a MAC and one with many guesses are refused.
        auto changed = ticket;
        changed[changed.find(".7.") + 1] = '8';
        CHECK_FALSE(reader.parse(changed).has_value());
        CHECK_FALSE(reader.parse(ticket.substr(0, ticket.rfind('.') + 1)).has_value());
        CHECK_FALSE(reader.parse(ticket + ticket.substr(ticket.rfind('.') + 1) + ticket.substr(ticket.rfind('.') + 1)).has_value());
    }
}
