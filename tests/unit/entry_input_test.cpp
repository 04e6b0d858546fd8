/// Invalid input from callers: each gets a refusal with its reason, and the
/// entry goes on.
#define BOOST_TEST_MODULE entry_input
#include "unit/entry_harness.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::entry;
using namespace crowstep::entry::test;

namespace {

const std::string Chat = "/v1/chat/completions";
const std::string GoodBody = R"({"messages":[{"role":"user","content":"x"}]})";

/// Sends \p Text and checks status and reason of the refusal, and that no bid
/// was placed.
void expectRefusal(Bench &Fixture, const std::string &Text,
                   const std::string &Status, const std::string &Reason) {
  BOOST_TEST_CONTEXT(Reason << " for " << Text.substr(0, 200)) {
    const auto Caller = Fixture.send(Text);
    BOOST_TEST(
        pumpUntil([&] { return Caller->hasReceived("\"code\":\"" + Reason); }));
    BOOST_TEST(Caller->hasReceived("HTTP/1.1 " + Status));
    BOOST_TEST(Caller->hasReceived("Crowstep-Run: not-run"));
    BOOST_TEST(Fixture.m_Placement.m_Bids.empty());
  }
}

std::string withoutHeader(std::string Text, const std::string &Header) {
  const std::size_t Begin = Text.find(Header);
  return Text.erase(Begin, Text.find("\r\n", Begin) + 2 - Begin);
}

RawRequest rawChat(const std::string &Body = GoodBody) {
  RawRequest Result;
  Result.m_Method = "POST";
  Result.m_Path = Chat;
  Result.m_Authorization = "Bearer alpha";
  Result.m_Class = "guide";
  Result.m_ContentType = "application/json";
  Result.m_Body = Body;
  return Result;
}

bool isAccepted(const RawRequest &Raw, const Directory &Dir) {
  return std::holds_alternative<CallerRequest>(readCallerRequest(Raw, Dir));
}

} // namespace

// Guards against requests that are refused for the case of a word that has
// none.
BOOST_AUTO_TEST_CASE(SchemeAndContentTypeHaveNoCase) {
  const Bench Fixture;
  for (const char *Type :
       {"Application/JSON", "application/json ; charset=utf-8"}) {
    RawRequest Raw = rawChat();
    Raw.m_ContentType = Type;
    BOOST_TEST(isAccepted(Raw, Fixture.m_Directory), Type);
  }
  RawRequest LowerScheme = rawChat();
  LowerScheme.m_Authorization = "bearer alpha";
  BOOST_TEST(isAccepted(LowerScheme, Fixture.m_Directory));
  LowerScheme.m_Authorization = "basic alpha";
  BOOST_TEST(!isAccepted(LowerScheme, Fixture.m_Directory));
}

// Guards against an unknown path where a caller adds a query.
BOOST_AUTO_TEST_CASE(AQueryChangesNoPath) {
  const Bench Fixture;
  RawRequest Raw = rawChat();
  Raw.m_Path = Chat + "?api-version=1";
  BOOST_TEST(isAccepted(Raw, Fixture.m_Directory));
  Raw.m_Path = Chat + "/x?y";
  BOOST_TEST(!isAccepted(Raw, Fixture.m_Directory));
}

// Guards against an output that is longer than its class allows because one of
// two limits is left as the caller set it.
BOOST_AUTO_TEST_CASE(NoLimitOfTheCallerIsLeftBesideTheOneInForce) {
  const Bench Fixture;
  const auto Read = readCallerRequest(
      rawChat(R"({"messages":[{"content":"x"}],)"
              R"("max_completion_tokens":999999,"max_tokens":999999})"),
      Fixture.m_Directory);
  const auto &Request = std::get<CallerRequest>(Read);
  BOOST_REQUIRE(Request.m_Contract.m_MaxTokens > 0U);
  const auto &Body = std::get<EngineCall>(Request.m_Call).m_Body;
  BOOST_TEST(Body.at("max_tokens") == Request.m_Contract.m_MaxTokens);
  BOOST_TEST(!Body.contains("max_completion_tokens"));
}

BOOST_AUTO_TEST_CASE(EveryBadInputIsATypedRefusal) {
  Bench Fixture;
  const auto Guide = [](const std::string &Body) {
    return Bench::requestText(Chat, "guide", Body);
  };
  for (const char *Body :
       {"", "{", "[]", "null", R"({"messages":[]})", R"({"messages":[1]})",
        R"({"messages":"x"})", R"({"messages":[{"role":"user"}]})",
        "{\"messages\":[{\"content\":\"\xff\"}]}"})
    expectRefusal(Fixture, Guide(Body), "400", "malformed_body");
  for (const char *Field :
       {R"("stream":1)", R"("max_tokens":0)", R"("max_tokens":-1)",
        R"("max_tokens":"7")", R"("max_tokens":1.5)"})
    expectRefusal(
        Fixture,
        Guide(R"({"messages":[{"content":"x"}],)" + std::string(Field) + "}"),
        "400", "malformed_body");
  expectRefusal(
      Fixture,
      Bench::requestText("/v1/completions", "guide", R"({"prompt":[1]})"),
      "400", "malformed_body");
  expectRefusal(Fixture, Bench::requestText(Chat, "none", GoodBody), "404",
                "unknown_class");
  expectRefusal(Fixture, Bench::requestText("/v1/other", "guide", GoodBody),
                "404", "unknown_path");
  expectRefusal(Fixture,
                Bench::requestText("/v1/services/other/x", "check", "{}"),
                "404", "unknown_path");
  expectRefusal(Fixture, "GET /v1/completions HTTP/1.1\r\nHost: e\r\n\r\n",
                "404", "unknown_path");
  expectRefusal(Fixture, withoutHeader(Guide(GoodBody), "Authorization"), "401",
                "missing_key");
  expectRefusal(Fixture,
                Bench::requestText(Chat, "guide", GoodBody, "", "wrong"), "401",
                "unknown_key");
  expectRefusal(Fixture, withoutHeader(Guide(GoodBody), "Content-Type"), "415",
                "wrong_content_type");
  expectRefusal(Fixture,
                Bench::requestText("/v1/services/pass-desk/hold", "hold", "{}"),
                "400", "key_required");
  Fixture.m_HasRight = false;
  expectRefusal(Fixture, Guide(GoodBody), "503", "not_in_force");
}

BOOST_AUTO_TEST_CASE(DeepNestingDoesNotEndTheProcess) {
  Bench Fixture;
  expectRefusal(Fixture,
                Bench::requestText(Chat, "guide",
                                   R"({"messages":)" + std::string(30000, '[')),
                "400", "malformed_body");
  const std::string Deep = R"({"messages":[{"content":"[\""}],"x":)" +
                           std::string(30000, '[') + std::string(30000, ']') +
                           "}";
  expectRefusal(Fixture, Bench::requestText(Chat, "guide", Deep), "400",
                "malformed_body");
}

BOOST_AUTO_TEST_CASE(SizesAndTimesAreLimited) {
  Bench Fixture;
  // Refused by Content-Length, before the body is sent.
  expectRefusal(Fixture,
                "POST " + Chat +
                    " HTTP/1.1\r\nHost: e\r\nContent-Length: 70000\r\n\r\n",
                "413", "body_too_large");
  // Without Content-Length, the limit is checked while the body is received.
  std::string Chunked =
      withoutHeader(Bench::requestText(Chat, "guide", ""), "Content-Length");
  Chunked.insert(Chunked.find("\r\n\r\n"), "\r\nTransfer-Encoding: chunked");
  for (int Times = 0; Times < 20; ++Times)
    Chunked += chunk(std::string(4096, ' '));
  expectRefusal(Fixture, Chunked + "0\r\n\r\n", "413", "body_too_large");
  expectRefusal(
      Fixture,
      Bench::requestText(Chat, "guide", GoodBody, "", std::string(600, 'k')),
      "431", "header_too_large");
  expectRefusal(
      Fixture,
      Bench::requestText("/v1/services/pass-desk/hold", "hold", "{}",
                         "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
      "431", "header_too_large");
  // The body is never complete.
  expectRefusal(Fixture,
                Bench::requestText(Chat, "guide", GoodBody).substr(0, 160),
                "408", "slow_caller");
}

BOOST_AUTO_TEST_CASE(PrefixesGrowInSteps) {
  BOOST_TEST(prefixHashes(std::string(255, 'x')).empty());
  const auto Short = prefixHashes(std::string(600, 'x'));
  BOOST_TEST(Short.size() == 2U);
  const auto Long = prefixHashes(std::string(100000, 'x'));
  BOOST_TEST(Long.size() == MaxPrefixes);
  BOOST_TEST(Long[1] == Short[1]);
}
