#pragma once

/// Parts that the HTTP clients share; internal to the package.

#include "ports/httpclient.h"

#include <httplib.h>

#include <string>

namespace Catkin
{

/// @return @p text with ASCII letters in lower case, as names of headers are compared.
auto lowerCase(std::string text) -> std::string;

/// @return the request of a call; its address and time-outs are not part of it.
auto toRequest(const HttpCall &call) -> httplib::Request;

}
