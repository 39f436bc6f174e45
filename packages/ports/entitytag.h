#pragma once

/// Entity tags of conditional HTTP reads.
///
/// @code
///   call.headers.emplace_back("If-None-Match", Catkin::matchHeader(tag));
///   auto tag = Catkin::entityTag(reply);      // empty: the answer has none, read it in full the next time
/// @endcode

#include "ports/httpclient.h"

#include <string>

namespace Catkin
{

/// @return the text between the quotes of the `ETag` header, whether the tag is weak or strong; empty when there is no
/// header, or one that is malformed or longer than 128 characters.
auto entityTag(const HttpReply &reply) -> std::string;

/// @return the value of `If-None-Match` for a tag that entityTag() returned.
auto matchHeader(const std::string &tag) -> std::string;

/// @return whether @p reply says that the answer named by @p tag is still right; it must repeat the tag, so that an answer
/// to somebody else's read cannot confirm an outdated one.
auto confirmsTag(const HttpReply &reply, const std::string &tag) -> bool;

}
