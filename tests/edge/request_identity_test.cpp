// Guards against requests of different callers that are taken for one.
#include "edge/request_identity.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(RequestIdentity) {
  RequestIdentity identity{"tenant", "program", "POST", "host", "/path", "turn", "input"};
};

TEST(RequestIdentity, isTheSameForTheSameFields) {
  CHECK(requestKeyOf(identity) == requestKeyOf(RequestIdentity(identity)));
}

TEST(RequestIdentity, differsWithEachField) {
  std::vector<RequestIdentity> others(7, identity);
  others[0].tenant = "another";
  others[1].program = "another";
  others[2].method = "GET";
  others[3].host = "another";
  others[4].target = "/path?x";
  others[5].previousTurn = "another";
  others[6].input = "another";
  for (std::size_t one = 0; one < others.size(); ++one) {
    CHECK(!(requestKeyOf(others[one]) == requestKeyOf(identity)));
    for (std::size_t two = 0; two < one; ++two) {
      CHECK(!(requestKeyOf(others[one]) == requestKeyOf(others[two])));
    }
  }
}

TEST(RequestIdentity, aKeyIsReadFromItsText) {
  const routing::RequestKey key{0x0123456789abcdef, 0x1};
  STRCMP_EQUAL("0123456789abcdef0000000000000001", routing::textOf(key).c_str());
  CHECK(routing::requestKeyFrom(routing::textOf(key)) == key);
  for (const char* text : {"", "0123456789abcdef", "0123456789abcdef000000000000000g",
                           "0123456789abcdef00000000000000001"}) {
    CHECK_FALSE(routing::requestKeyFrom(text).has_value());
  }
}

TEST(RequestIdentity, fieldsAreNotConcatenated) {
  RequestIdentity shifted = identity;
  shifted.tenant = "tenantp";
  shifted.program = "rogram";
  CHECK(!(requestKeyOf(shifted) == requestKeyOf(identity)));
}
