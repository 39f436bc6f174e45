#include "util/printable.h"

#include <doctest/doctest.h>

using namespace Catkin;

// Guards against an id of another process that ends a log line, a header or the encoding of JSON.
TEST_CASE("ids have visible ASCII characters only")
{
    CHECK(isPrintableId("5c0e7a21d94b36f8", 16));
    CHECK(isPrintableId("!~", 2));
    for (const auto text : {std::string_view{},
                            std::string_view{"abc"},
                            std::string_view{"a b"},
                            std::string_view{"\n"},
                            std::string_view{"\x7f"},
                            std::string_view{"\x80"},
                            std::string_view{"\xff"},
                            std::string_view{"\0", 1}}) {
        CHECK_FALSE(isPrintableId(text, 2));
    }
}

// Guards against a text of another process that forges or floods a log.
TEST_CASE("quoted texts are cut and have no control characters")
{
    CHECK(printable("a b~") == "a b~");
    CHECK(printable("a\r\nE6021\xff\x7f") == "a??E6021??");
    CHECK(printable("abc", 3) == "abc");
    CHECK(printable("abcd", 3) == "abc...");
    CHECK(printable(std::string(100'000, 'x')).size() < 210);
}
