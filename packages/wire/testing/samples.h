#pragma once

/// Sample messages for the tests, the fuzz target's seeds and the mutation test.

#include "wire/messages.h"

#include <vector>

namespace Catkin::Testing
{

/// @return one filled envelope of every message type.
inline auto sampleEnvelopes() -> std::vector<Envelope>
{
    const auto domain = FailureDomainId{"cerro-catedral"};
    const auto key = IdempotencyKey{"liner-7"};
    const auto sent = WallTime{Millis{1'700'000'000'123}};
    const auto nonce = std::string(64, 'a');
    return {
        {0, false, Hello{1, InstanceId{"i-1"}, {5}, domain, RegionId{"cuyo"}, "127.0.0.1:1", nonce, InstanceId{"i-2"}, Lane::Bulk}},
        {0, false, Challenge{1, InstanceId{"i-2"}, {6}, domain, RegionId{"cuyo"}, "127.0.0.1:2", nonce}},
        {0, false, Proof{std::string(64, 'b')}},
        {0,
         false,
         Heartbeat{InstanceId{"i-1"},
                   {5},
                   domain,
                   {},
                   {},
                   true,
                   {4},
                   false,
                   {{ExecutorId{"e-1"}, 3}, {ExecutorId{"e-2"}, 0}},
                   {{domain, 9, "i-1"}},
                   true,
                   {{7, 2.5F}, {8, 0}}}},
        {0, false, ConfigOffer{{4}, {3}, "c-4", "ana", {77}, R"({"format":1})"}},
        {11, false, AttemptQuery{WorkspaceId{"boots"}, key, sent, "a-1"}},
        {11, true, AttemptOutcome{AttemptState::Voided, RequestVerdict::NotRun, RequestId{"r-1"}, std::string("a\0b", 3), "full"}},
        {12, false, TicketForward{WorkspaceId{"boots"}, CallerId{"fitter"}, KindId{"check"}, key, sent, 1, Millis{250}, "scan"}},
        {12, true, TicketResult{RequestVerdict::Answer, RequestId{"r-2"}, "map", "", Millis{5}, {4}, 200}},
        {0, false, JobNotice{JobId{"j-1"}, domain, {99}}},
        {13, false, JobCancelRequest{JobId{"j-1"}, domain, "operator"}},
        {14, false, JobStatusQuery{JobId{"j-1"}, domain}},
        {14, true, JobStatus{JobId{"j-1"}, true, "running", "", 2, 64}},
        {15, true, ErrorReply{ErrorCode::Limit, "busy"}},
        {0, false, Ping{}},
    };
}

}
