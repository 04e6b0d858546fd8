/// Tables of the report, in Markdown and CSV.
#include "load/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>

namespace crowstep::load {

namespace {

std::string fixed(double Value, int Digits) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%.*f", Digits, Value);
  return Text.data();
}

std::string milliseconds(Duration Value) {
  return fixed(std::chrono::duration<double, std::milli>(Value).count(), 1);
}

std::string share(std::uint64_t Part, std::uint64_t Whole) {
  if (Whole == 0)
    return "-";
  return fixed(static_cast<double>(Part) / static_cast<double>(Whole), 3);
}

std::string perSecond(std::uint64_t Count, Duration Time) {
  return fixed(static_cast<double>(Count) /
                   std::chrono::duration<double>(Time).count(),
               1);
}

std::string reasonsOf(const SourceResult &Row) {
  std::string Result;
  for (const auto &[Reason, Count] : Row.m_Reasons)
    Result +=
        (Result.empty() ? "" : ", ") + Reason + " " + std::to_string(Count);
  return Result.empty() ? "-" : Result;
}

/// A column of the tables with one row per source.
struct SourceColumn {
  const char *m_Title; ///< In Markdown and CSV.
  std::function<std::string(const RunResult &, const SourceResult &)>
      m_Cell; ///< Returns the text of a cell.
};

std::string countOf(const SourceResult &Row, CallEnd End) {
  return std::to_string(Row.count(End));
}

/// Short, since nearly all columns name them.
using R = const RunResult &;
using S = const SourceResult &;

const std::vector<SourceColumn> &sourceColumns() {
  static const std::vector<SourceColumn> Columns = {
      {"source", [](R, S Row) { return Row.m_Name; }},
      {"policy", [](R Run, S) { return Run.m_Policy; }},
      {"sent", [](R, S Row) { return std::to_string(Row.m_Sent); }},
      {"answered", [](R, S Row) { return countOf(Row, CallEnd::Whole); }},
      {"refused", [](R, S Row) { return countOf(Row, CallEnd::Refused); }},
      {"cut", [](R, S Row) { return countOf(Row, CallEnd::Cut); }},
      {"wrong", [](R, S Row) { return countOf(Row, CallEnd::Wrong); }},
      {"no answer", [](R, S Row) { return countOf(Row, CallEnd::NoAnswer); }},
      {"timed out", [](R, S Row) { return countOf(Row, CallEnd::TimedOut); }},
      {"attainment", [](R, S Row) { return share(Row.m_Good, Row.m_Sent); }},
      {"first in target",
       [](R, S Row) { return share(Row.m_FirstInTarget, Row.m_Sent); }},
      {"tokens in target",
       [](R, S Row) {
         return share(Row.m_TokenInTarget, Row.count(CallEnd::Whole));
       }},
      {"first p50 ms",
       [](R, S Row) { return milliseconds(Row.m_TimeToFirstToken.m_P50); }},
      {"first p99 ms",
       [](R, S Row) { return milliseconds(Row.m_TimeToFirstToken.m_P99); }},
      {"gap p95 ms",
       [](R, S Row) { return milliseconds(Row.m_TokenGap.m_P95); }},
      {"good/s",
       [](R Run, S Row) { return perSecond(Row.m_Good, Run.m_Measured); }},
      {"good tokens/s",
       [](R Run, S Row) {
         return perSecond(Row.m_GoodTokens, Run.m_Measured);
       }},
      {"reasons", [](R, S Row) { return reasonsOf(Row); }}};
  return Columns;
}

/// A column of the tables with one row per run.
struct RunColumn {
  const char *m_Title; ///< In Markdown.
  std::function<std::string(const RunResult &)>
      m_Cell; ///< Returns the text of a cell.
};

std::uint64_t sumOf(R Run, std::uint64_t SourceResult::*Member) {
  std::uint64_t Sum = 0;
  for (const SourceResult &Row : Run.m_Sources)
    Sum += Row.*Member;
  return Sum;
}

const std::vector<RunColumn> &runColumns() {
  static const std::vector<RunColumn> Columns = {
      {"policy", [](R Run) { return Run.m_Policy; }},
      {"goodput answers/s",
       [](R Run) {
         return perSecond(sumOf(Run, &SourceResult::m_Good), Run.m_Measured);
       }},
      {"goodput tokens/s",
       [](R Run) {
         return perSecond(sumOf(Run, &SourceResult::m_GoodTokens),
                          Run.m_Measured);
       }},
      {"generated",
       [](R Run) { return std::to_string(Run.m_Audit.m_GeneratedTokens); }},
      {"delivered",
       [](R Run) { return std::to_string(Run.m_Audit.m_DeliveredTokens); }},
      {"wasted", [](R Run) { return fixed(Run.m_Audit.wastedShare(), 4); }},
      {"keys run twice",
       [](R Run) { return std::to_string(Run.m_Audit.m_KeysRunTwice); }},
      {"ran though \"not run\"",
       [](R Run) { return std::to_string(Run.m_Audit.m_FalseNotRun); }},
      {"answered, never run",
       [](R Run) { return std::to_string(Run.m_Audit.m_FalseAnswered); }},
      {"sent late ms",
       [](R Run) { return milliseconds(Run.m_LargestLateness); }}};
  return Columns;
}

template <typename ColumnType>
std::string header(const std::vector<ColumnType> &Columns) {
  std::string Titles = "|";
  std::string Rule = "|";
  for (const ColumnType &Column : Columns) {
    Titles += std::string(" ") + Column.m_Title + " |";
    Rule += " --- |";
  }
  return Titles + "\n" + Rule + "\n";
}

std::vector<std::string> experimentsOf(const std::vector<RunResult> &Runs) {
  std::vector<std::string> Names;
  for (const RunResult &Run : Runs)
    if (std::find(Names.begin(), Names.end(), Run.m_Experiment) == Names.end())
      Names.push_back(Run.m_Experiment);
  return Names;
}

std::string sourceRow(R Run, S Row) {
  std::string Line = "|";
  for (const SourceColumn &Column : sourceColumns())
    Line += " " + Column.m_Cell(Run, Row) + " |";
  return Line + "\n";
}

/// Groups the rows by source, one row per policy.
std::string sourceTable(const std::vector<RunResult> &Runs) {
  std::string Result = header(sourceColumns());
  for (std::size_t Index = 0; Index < Runs.front().m_Sources.size(); ++Index)
    for (const RunResult &Run : Runs)
      if (Index < Run.m_Sources.size())
        Result += sourceRow(Run, Run.m_Sources[Index]);
  return Result;
}

std::string runTable(const std::vector<RunResult> &Runs) {
  std::string Result = header(runColumns());
  for (const RunResult &Run : Runs) {
    Result += "|";
    for (const RunColumn &Column : runColumns())
      Result += " " + Column.m_Cell(Run) + " |";
    Result += "\n";
  }
  return Result;
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

} // namespace

std::string markdownReport(const std::vector<RunResult> &Runs) {
  std::string Result;
  for (const std::string &Name : experimentsOf(Runs)) {
    std::vector<RunResult> SameExperiment;
    std::copy_if(Runs.begin(), Runs.end(), std::back_inserter(SameExperiment),
                 [&](R Run) { return Run.m_Experiment == Name; });
    Result += "## " + Name + "\n\nSeed " +
              std::to_string(SameExperiment.front().m_Seed) + ", " +
              milliseconds(SameExperiment.front().m_Measured) +
              " ms measured.\n\n";
    Result +=
        runTable(SameExperiment) + "\n" + sourceTable(SameExperiment) + "\n";
  }
  return Result;
}

std::string csvReport(const std::vector<RunResult> &Runs) {
  std::string Result = "experiment";
  for (const SourceColumn &Column : sourceColumns())
    Result += std::string(",") + Column.m_Title;
  Result += "\n";
  for (const RunResult &Run : Runs)
    for (const SourceResult &Row : Run.m_Sources) {
      Result += quoted(Run.m_Experiment);
      for (const SourceColumn &Column : sourceColumns())
        Result += "," + quoted(Column.m_Cell(Run, Row));
      Result += "\n";
    }
  return Result;
}

} // namespace crowstep::load
