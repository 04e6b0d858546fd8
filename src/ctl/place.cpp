/// Reads the request's file and formats the answer.
#include "ctl/place.h"

#include "http/request_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace crowstep::ctl {

namespace {

using Json = nlohmann::ordered_json;

// ---- The request ------------------------------------------------------------

/// Reads a request as a gateway does, apart from a body whose length is not
/// stated.
IncomingRequest parseRequest(const std::string &Text) {
  RequestParser Parser;
  std::size_t Used = Parser.feed(Text);
  while (Parser.state() == RequestParseState::Body && Used < Text.size())
    Used += Parser.feed(std::string_view(Text).substr(Used));
  switch (Parser.state()) {
  case RequestParseState::NotStarted:
  case RequestParseState::Head:
    throw RequestFileError("no empty line after the headers");
  case RequestParseState::Body:
    throw RequestFileError("the body is shorter than its Content-Length");
  case RequestParseState::Invalid:
    throw RequestFileError("the request line, a header or the body's length "
                           "can't be parsed");
  case RequestParseState::Complete:
    break;
  }
  // Only HTTP/1.1 has chunked encoding.
  if (!Parser.acceptsChunked())
    throw RequestFileError("the version is not HTTP/1.1");
  IncomingRequest Result = Parser.takeRequest();
  if (findHeader(Result.m_Headers, "Content-Length") == nullptr &&
      findHeader(Result.m_Headers, "Transfer-Encoding") == nullptr)
    Result.m_Body = Text.substr(Used);
  return Result;
}

// ---- The answer -------------------------------------------------------------

std::string textOf(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// Returns a member as text; "-" if it is absent or null.
std::string member(const Json &Of, const char *Name) {
  const auto Found = Of.find(Name);
  return Found == Of.end() || Found->is_null() ? "-" : textOf(*Found);
}

/// Returns a number with at most \p Digits after the point; "-" if it is none.
std::string number(const Json &Of, const char *Name, int Digits) {
  const auto Found = Of.find(Name);
  if (Found == Of.end() || !Found->is_number())
    return "-";
  if (Found->is_number_integer())
    return Found->dump();
  std::ostringstream Result;
  Result << std::fixed;
  Result.precision(Digits);
  Result << Found->get<double>();
  std::string Text = Result.str();
  if (Text.find('.') != std::string::npos) {
    Text.erase(Text.find_last_not_of('0') + 1);
    if (Text.back() == '.')
      Text.pop_back();
  }
  return Text;
}

using Row = std::vector<std::string>;

/// Aligns the columns of \p Rows.
std::string aligned(const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &Line : Rows)
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  std::string Result;
  for (const Row &Line : Rows) {
    std::string Text = "  ";
    for (std::size_t I = 0; I < Line.size(); ++I)
      Text += Line[I] + std::string(Widths[I] - Line[I].size() + 2, ' ');
    Text.erase(Text.find_last_not_of(' ') + 1);
    Result += Text + "\n";
  }
  return Result;
}

std::string candidatesText(const Json &Candidates) {
  std::vector<Row> Rows = {{"upstream", "zone", "verdict", "calls", "slots",
                            "queued", "uncached", "wait_ms", "cost", "class",
                            "slowdown"}};
  for (const Json &Shown : Candidates)
    Rows.push_back(
        {member(Shown, "name"), member(Shown, "zone"), member(Shown, "verdict"),
         number(Shown, "calls", 1), number(Shown, "slots", 0),
         number(Shown, "queued_prefill_tokens", 0),
         number(Shown, "uncached_tokens", 0),
         number(Shown, "predicted_wait_ms", 1), number(Shown, "cost", 2),
         number(Shown, "speed_class", 0), number(Shown, "slowdown", 2)});
  return aligned(Rows);
}

/// Returns what would happen, and why.
std::string outcomeText(const Json &At) {
  const std::string Outcome = member(At, "outcome");
  const std::string Upstream = At.value("upstream", "");
  if (Outcome == "placed")
    return "placed at " + Upstream +
           (At.value("left_saturated", false)
                ? ", as the wait at the best engine is too long"
                : "");
  std::string Result = Outcome;
  if (!Upstream.empty())
    Result += (Outcome == "waits" ? " for " : ", best is ") + Upstream;
  Result += ": " + member(At, "reason");
  if (At.contains("held_by"))
    Result += " (" + member(At, "held_by") + ")";
  if (Outcome == "refused" && At.value("retry_after_ms", 0.0) > 0)
    Result += ", retry after " + number(At, "retry_after_ms", 0) + " ms";
  return Result;
}

std::string serviceText(const Json &At) {
  std::string Result = "\nservice " + member(At, "name") + ", " +
                       number(At, "share", 3) +
                       " of the calls: " + outcomeText(At) + "\n";
  if (const std::string Origin = member(At, "origin"); Origin != "not_needed")
    Result += "  resumed stream, version of its origin: " + Origin + "\n";
  if (At.value("latency_sensitive", false))
    Result += "  latency-sensitive\n";
  const Json &Candidates = At.at("candidates");
  Result += "  " + std::to_string(Candidates.size()) + " of " +
            number(At, "candidate_count", 0) + " upstreams\n";
  return Candidates.empty() ? Result : Result + candidatesText(Candidates);
}

std::string basisText(const Json &Answer) {
  std::string Result =
      "based on the digests of " + number(Answer, "digests", 0) + " instances";
  if (const std::string Age = number(Answer, "oldest_digest_ms", 0); Age != "-")
    Result += ", the oldest " + Age + " ms old";
  const std::string ListAge = number(Answer, "upstreams_age_ms", 0);
  return Result +
         (ListAge == "-" ? ", and no list of upstreams"
                         : ", and a list of upstreams " + ListAge + " ms old") +
         "\n";
}

} // namespace

AdminCall placementCall(const std::string &Text) {
  const IncomingRequest Request = parseRequest(Text);
  Json Headers = Json::array();
  for (const HeaderField &Field : Request.m_Headers)
    Headers.push_back(Json::array({Field.m_Name, Field.m_Value}));
  const Json Query = {{"method", Request.m_Method},
                      {"path", Request.m_Target},
                      {"headers", std::move(Headers)},
                      {"body", Request.m_Body}};
  try {
    return {"POST", "/placement", Query.dump(), "", "application/json"};
  } catch (const Json::exception &) {
    throw RequestFileError("it is not UTF-8");
  }
}

std::string placementText(const std::string &Text) {
  const Json Answer = Json::parse(Text, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("services"))
    throw PlacementUnanswered("the answer is no explanation of a placement");
  try {
    std::string Result = member(Answer, "outcome") == "admitted"
                             ? "admitted: route " + member(Answer, "route") +
                                   ", workspace " +
                                   member(Answer, "workspace") + "\n"
                             : "refused: " + member(Answer, "reason") + "\n";
    Result += basisText(Answer);
    for (const Json &At : Answer.at("services"))
      Result += serviceText(At);
    return Result;
  } catch (const Json::exception &Failure) {
    throw PlacementUnanswered(std::string("the answer lacks a member: ") +
                              Failure.what());
  }
}

} // namespace crowstep::ctl
