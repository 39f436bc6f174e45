#include "harness/poll.h"

#include <thread>

namespace Catkin
{

auto eventually(const std::function<bool()> &condition, const PollOptions &options) -> bool
{
    for (auto i = 0; i < options.tries; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(options.interval);
    }
    return false;
}

}
