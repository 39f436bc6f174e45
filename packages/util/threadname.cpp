#include "util/threadname.h"

#include <pthread.h>

#include <string>

namespace Catkin
{

auto nameThread(const char *name) -> void
{
    constexpr auto maxLength = 15;
    (void)pthread_setname_np(pthread_self(), std::string(name).substr(0, maxLength).c_str());
}

}
