/// Parses saved logs and selects the lines about one request.
#include "ctl/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace crowstep::ctl {

namespace {

using Json = nlohmann::ordered_json;

std::string textOf(const Json &Line, const char *Name) {
  const auto Found = Line.find(Name);
  return Found == Line.end() || !Found->is_string() ? std::string()
                                                    : Found->get<std::string>();
}

std::int64_t timeOf(const Json &Line) {
  const auto Found = Line.find("at_ms");
  return Found == Line.end() || !Found->is_number_integer()
             ? 0
             : Found->get<std::int64_t>();
}

std::vector<Json> parseLogs(const std::vector<std::string> &Logs) {
  std::vector<Json> Result;
  for (const std::string &Log : Logs) {
    std::istringstream Lines(Log);
    for (std::string Text; std::getline(Lines, Text);) {
      // Log collectors put a prefix before each line.
      const std::size_t Begin = Text.find('{');
      if (Begin == std::string::npos)
        continue;
      Json Line = Json::parse(Text.substr(Begin), nullptr, false);
      if (Line.is_object())
        Result.push_back(std::move(Line));
    }
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Json &Left, const Json &Right) {
                     return timeOf(Left) < timeOf(Right);
                   });
  return Result;
}

std::string formatLine(const Json &Line) {
  std::string Result =
      std::to_string(timeOf(Line)) + " " + textOf(Line, "name");
  for (const auto &[Name, Value] : Line.items())
    if (Name != "at_ms" && Name != "name" && Name != "level" && Name != "event")
      Result += " " + Name + "=" +
                (Value.is_string() ? Value.get<std::string>() : Value.dump());
  return Result + "\n";
}

} // namespace

std::string explain(const std::string &Request,
                    const std::vector<std::string> &Logs) {
  const std::vector<Json> Lines = parseLogs(Logs);
  std::set<std::string> Upstreams;
  std::set<std::string> Contents;
  for (const Json &Line : Lines) {
    if (textOf(Line, "request") != Request)
      continue;
    if (Line.contains("upstream"))
      Upstreams.insert(textOf(Line, "upstream"));
    for (const char *Name : {"content", "held_by"})
      if (const std::string Suspect = textOf(Line, Name); !Suspect.empty())
        Contents.insert(Suspect);
  }
  std::string Result;
  for (const Json &Line : Lines) {
    const bool IsAboutRequest = textOf(Line, "request") == Request;
    const bool IsAboutUpstream = !Line.contains("request") &&
                                 Upstreams.contains(textOf(Line, "upstream"));
    const bool IsAboutContent =
        !Line.contains("request") && Contents.contains(textOf(Line, "content"));
    if (IsAboutRequest || IsAboutUpstream || IsAboutContent)
      Result += formatLine(Line);
  }
  return Result;
}

} // namespace crowstep::ctl
