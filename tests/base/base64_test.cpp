#include "base/base64.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(Base64){};

TEST(Base64, RejectsNonCanonicalText) {
  STRCMP_EQUAL("Zm9vYg==", encodeBase64("foob").c_str());
  CHECK(decodeBase64("Zm9vYg==") == "foob");
  CHECK(decodeBase64("") == "");
  for (const char* text :
       {"Zm9vYh==", "Zm9vYg=", "Zm9vYg", " Zm9vYg==", "Zm9v\nYg==", "====", "Zm9$"}) {
    CHECK_TEXT(!decodeBase64(text).has_value(), text);
  }
}
