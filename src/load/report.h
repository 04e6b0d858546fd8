/// The report over several runs: policies side by side, experiment by
/// experiment, as Markdown, CSV, and data with scripts for gnuplot.
#ifndef CROWSTEP_LOAD_REPORT_H
#define CROWSTEP_LOAD_REPORT_H

#include "load/result.h"

namespace crowstep::load {

/// A file of the report.
struct ReportFile {
  std::string m_Name; ///< Within the report's folder.
  std::string m_Text; ///< Whole content.
};

/// Returns the tables of all runs in Markdown.
std::string markdownReport(const std::vector<RunResult> &Runs);

/// Returns a line a source of each run.
std::string csvReport(const std::vector<RunResult> &Runs);

/// Returns data files and one gnuplot script a plot; each script, run in the
/// report's folder, writes a picture.
std::vector<ReportFile> plotFiles(const std::vector<RunResult> &Runs);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_REPORT_H
