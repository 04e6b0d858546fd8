/// Data files and scripts for gnuplot.
#include "load/report.h"

#include <algorithm>
#include <map>

namespace crowstep::load {

namespace {

/// Runs of one experiment, one per policy.
using Group = std::vector<const RunResult *>;

std::map<std::string, Group> groupsOf(const std::vector<RunResult> &Runs) {
  std::map<std::string, Group> Result;
  for (const RunResult &Run : Runs)
    Result[Run.m_Experiment].push_back(&Run);
  return Result;
}

std::string policyTitles(const Group &Runs) {
  std::string Result;
  for (const RunResult *Run : Runs)
    Result += " \"" + Run->m_Policy + "\"";
  return Result + "\n";
}

/// One line per source, one column per policy.
std::string attainmentData(const Group &Runs) {
  std::string Result = "source" + policyTitles(Runs);
  for (std::size_t Index = 0; Index < Runs.front()->m_Sources.size(); ++Index) {
    Result += "\"" + Runs.front()->m_Sources[Index].m_Name + "\"";
    for (const RunResult *Run : Runs) {
      const SourceResult &Row = Run->m_Sources.at(Index);
      const double Share =
          static_cast<double>(Row.m_Good) /
          static_cast<double>(std::max<std::uint64_t>(Row.m_Sent, 1));
      Result += " " + std::to_string(Share);
    }
    Result += "\n";
  }
  return Result;
}

std::uint64_t goodInSecond(const RunResult &Run, std::size_t Second) {
  std::uint64_t Sum = 0;
  for (const SourceResult &Row : Run.m_Sources)
    Sum += Second < Row.m_Seconds.size() ? Row.m_Seconds[Second].m_Good : 0;
  return Sum;
}

/// One line per second, one column per policy.
std::string goodputData(const Group &Runs) {
  std::string Result = "second" + policyTitles(Runs);
  const auto Seconds = static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(Runs.front()->m_Measured)
          .count());
  for (std::size_t Second = 0; Second < Seconds; ++Second) {
    Result += std::to_string(Second);
    for (const RunResult *Run : Runs)
      Result += " " + std::to_string(goodInSecond(*Run, Second));
    Result += "\n";
  }
  return Result;
}

std::string scriptHeader(const std::string &Name, const std::string &Title) {
  return "set terminal pngcairo size 1000,500\nset output '" + Name +
         ".png'\nset title '" + Title +
         "' noenhanced\nset key outside\n"
         "set key autotitle columnhead noenhanced\nset grid y\n";
}

std::string attainmentScript(const std::string &Name, std::size_t Columns) {
  return scriptHeader(Name, Name) +
         "set style data histograms\nset style fill solid 0.8\n"
         "set yrange [0:1.05]\nset ylabel 'attainment'\n"
         "set xtics noenhanced\nplot for [i=2:" +
         std::to_string(Columns + 1) + "] '" + Name + ".dat' using i:xtic(1)\n";
}

std::string goodputScript(const std::string &Name, std::size_t Columns) {
  return scriptHeader(Name, Name) +
         "set yrange [0:*]\nset xlabel 'second of arrival'\n"
         "set ylabel 'answers within target'\nplot for [i=2:" +
         std::to_string(Columns + 1) + "] '" + Name +
         ".dat' using 1:i with lines lw 2\n";
}

} // namespace

std::vector<ReportFile> plotFiles(const std::vector<RunResult> &Runs) {
  std::vector<ReportFile> Result;
  for (const auto &[Experiment, Group] : groupsOf(Runs)) {
    const std::string Attainment = Experiment + "-attainment";
    const std::string Goodput = Experiment + "-goodput";
    Result.push_back({Attainment + ".dat", attainmentData(Group)});
    Result.push_back(
        {Attainment + ".gp", attainmentScript(Attainment, Group.size())});
    Result.push_back({Goodput + ".dat", goodputData(Group)});
    Result.push_back({Goodput + ".gp", goodputScript(Goodput, Group.size())});
  }
  return Result;
}

} // namespace crowstep::load
