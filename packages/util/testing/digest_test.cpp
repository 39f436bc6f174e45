#include "util/digest.h"

#include <doctest/doctest.h>

using namespace Catkin;

TEST_CASE("digests match published test vectors")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    CHECK(hmacSha256Hex("Jefe", "what do ya want for nothing?") == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(xxh64Hex("") == "ef46db3751d8e999");
}

TEST_CASE("constantTimeEqual compares contents and lengths")
{
    CHECK(constantTimeEqual("token", "token"));
    CHECK_FALSE(constantTimeEqual("token", "tokem"));
    CHECK_FALSE(constantTimeEqual("token", "token2"));
    CHECK(constantTimeEqual("", ""));
}
