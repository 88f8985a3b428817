#include "lab/standin/answer_text.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::standin;

TEST_GROUP(AnswerText) {
  AnswerLabel label{"0123.1.2.1", messagesDigest("[]")};
  std::string text = answerText(label, 60);
};

TEST(AnswerText, IsFourCharactersAToken) { UNSIGNED_LONGS_EQUAL(240, text.size()); }

TEST(AnswerText, CutDoubledOrMixedTextIsNotWhole) {
  CHECK(labelOfWholeAnswer(text).has_value());
  CHECK_FALSE(labelOfWholeAnswer(text.substr(0, 239)).has_value());
  CHECK_FALSE(labelOfWholeAnswer(text.substr(0, 200) + text.substr(204)).has_value());
  CHECK_FALSE(labelOfWholeAnswer(text + text.substr(236)).has_value());
  CHECK_FALSE(labelOfWholeAnswer("").has_value());
}

TEST(AnswerText, DigestDependsOnContentAndNotOnBlanksOrOrderOfKeys) {
  const std::string compact = R"([{"role":"user","content":"a"}])";
  const std::string spread = R"( [ {"content": "a", "role": "user"} ] )";
  STRCMP_EQUAL(messagesDigest(compact).c_str(), messagesDigest(spread).c_str());
  CHECK(messagesDigest(compact) != messagesDigest(R"([{"role":"user","content":"b"}])"));
}
