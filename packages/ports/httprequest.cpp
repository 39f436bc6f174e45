#include "ports/httprequest.h"

#include <algorithm>
#include <cctype>

namespace Catkin
{

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

auto toRequest(const HttpCall &call) -> httplib::Request
{
    auto request = httplib::Request{};
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    if (!call.body.empty()) {
        request.set_header("Content-Type", call.contentType);
    }
    for (const auto &[name, value] : call.headers) {
        request.set_header(name, value);
    }
    return request;
}

}
