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

ExitCode execute(const SendCommand &What) {
  if (What.m_CheckOnly) {
    std::cout << "valid\n";
    return ExitCode::Success;
  }
  GMainLoop *Loop = g_main_loop_new(nullptr, 0);
  RunResult Result;
  logEvent(LogEvent::LoadStarted,
           {{"experiment", What.m_Plan.m_Name}, {"policy", What.m_Policy}});
  {
    Runner Run(What.m_Plan, What.m_Targets, What.m_Policy);
    Run.start([&](RunResult Measured) {
      Result = std::move(Measured);
      g_main_loop_quit(Loop);
    });
    g_main_loop_run(Loop);
  }
  g_main_loop_unref(Loop);
  logEvent(LogEvent::LoadFinished);
  std::cout << markdownReport({Result});
  if (!What.m_Out.empty())
    writeFile(What.m_Out, toJson(Result).dump(1) + "\n");
  return ExitCode::Success;
}

ExitCode execute(const ReportCommand &What) {
  std::vector<RunResult> Runs;
  for (const std::string &Path : What.m_Results)
    Runs.push_back(readResult(Path));
  const std::filesystem::path Folder = What.m_Folder;
  std::filesystem::create_directories(Folder);
  writeFile(Folder / "report.md", markdownReport(Runs));
  writeFile(Folder / "report.csv", csvReport(Runs));
  for (const ReportFile &Each : plotFiles(Runs))
    writeFile(Folder / Each.m_Name, Each.m_Text);
  return ExitCode::Success;
}

} // namespace

ExitCode execute(const Command &What) {
  return std::visit([](const auto &Each) { return execute(Each); }, What);
}

} // namespace crowstep::load
