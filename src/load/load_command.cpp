/// Runs the load tool's commands.
#include "load/load_command.h"

#include "core/log.h"
#include "load/load_error.h"
#include "load/report.h"
#include "load/runner.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace crowstep::load {

namespace {

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  File.close();
  if (!File)
    throw LoadFileError(Path.string(), "can't be written");
}

RunResult readResult(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw LoadFileError(Path, "can't be read");
  try {
    return resultFromJson(nlohmann::json::parse(File));
  } catch (const nlohmann::json::exception &Failure) {
    throw LoadFileError(Path,
                        std::string("not a result file: ") + Failure.what());
  }
}

ExitCode execute(const SendCommand &Parsed) {
  if (Parsed.m_CheckOnly) {
    std::cout << "valid\n";
    return ExitCode::Success;
  }
  GMainLoop *Loop = g_main_loop_new(nullptr, 0);
  RunResult Result;
  logEvent(LogEvent::LoadStarted,
           {{"experiment", Parsed.m_Plan.m_Name}, {"policy", Parsed.m_Policy}});
  {
    Runner Run(Parsed.m_Plan, Parsed.m_Targets, Parsed.m_Policy);
    Run.start([&](RunResult Measured) {
      Result = std::move(Measured);
      g_main_loop_quit(Loop);
    });
    g_main_loop_run(Loop);
  }
  g_main_loop_unref(Loop);
  logEvent(LogEvent::LoadFinished);
  std::cout << markdownReport({Result});
  if (!Parsed.m_ResultFile.empty())
    writeFile(Parsed.m_ResultFile, toJson(Result).dump(1) + "\n");
  return ExitCode::Success;
}

ExitCode execute(const ReportCommand &Parsed) {
  std::vector<RunResult> Runs;
  for (const std::string &Path : Parsed.m_ResultFiles)
    Runs.push_back(readResult(Path));
  const std::filesystem::path Folder = Parsed.m_Folder;
  std::filesystem::create_directories(Folder);
  writeFile(Folder / "report.md", markdownReport(Runs));
  writeFile(Folder / "report.csv", csvReport(Runs));
  for (const ReportFile &File : plotFiles(Runs))
    writeFile(Folder / File.m_Name, File.m_Text);
  return ExitCode::Success;
}

} // namespace

ExitCode execute(const Command &Parsed) {
  return std::visit([](const auto &Typed) { return execute(Typed); }, Parsed);
}

} // namespace crowstep::load
