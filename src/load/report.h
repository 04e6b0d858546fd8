/// Report on several runs: compares the policies of each experiment, as
/// Markdown, as CSV, and as data with scripts for gnuplot.
#ifndef CROWSTEP_LOAD_REPORT_H
#define CROWSTEP_LOAD_REPORT_H

#include "load/result.h"

namespace crowstep::load {

/// A file of the report.
struct ReportFile {
  std::string m_Name; ///< Relative to the report's folder.
  std::string m_Text; ///< Content.
};

/// Returns the tables of all experiments in Markdown.
std::string markdownReport(const std::vector<RunResult> &Runs);

/// Returns CSV with a header line and one line per source of each run.
std::string csvReport(const std::vector<RunResult> &Runs);

/// Returns a data file and a gnuplot script per plot. A script must run in the
/// report's folder and writes a PNG file.
std::vector<ReportFile> plotFiles(const std::vector<RunResult> &Runs);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_REPORT_H
