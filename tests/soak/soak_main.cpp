/// Runs real gateway processes under randomized faults and checks their
/// guarantees: crowstep-soak --seed N --seconds S.
#include "core/error.h"
#include "core/program.h"
#include "soak/soak_fleet.h"

#include <iostream>
#include <random>
#include <tclap/CmdLine.h>

using namespace crowstep;
using namespace crowstep::soak;

namespace {

struct Options {
  std::uint64_t m_Seed = 0;            ///< Of the first round.
  Duration m_TotalTime{};              ///< Rounds start for this long; 0: one.
  std::optional<FaultKind> m_OnlyKind; ///< Empty: all kinds.
  Duration m_RoundLength{}; ///< Faults of a round start for this long.
  FleetPlan m_Fleet;        ///< Its seed is set by round.
};

Options parse(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Plays faults on real gateways and checks the promises");
  TCLAP::ValueArg<std::uint64_t> Seed("", "seed", "first seed; 0: a fresh one",
                                      false, 0, "number", Line);
  TCLAP::ValueArg<unsigned> Total(
      "", "seconds", "rounds with further seeds begin for this long; 0: one",
      false, 0, "seconds", Line);
  TCLAP::ValueArg<unsigned> Round("", "round", "faults of a round come for",
                                  false, 8, "seconds", Line);
  TCLAP::ValueArg<int> Gateways("", "gateways", "processes", false, 4, "number",
                                Line);
  TCLAP::ValueArg<int> Upstreams("", "upstreams", "stand-ins", false, 5,
                                 "number", Line);
  TCLAP::ValueArg<int> Calls("", "calls", "a second", false, 150, "number",
                             Line);
  TCLAP::ValueArg<std::string> Keep("", "keep",
                                    "where logs go when a promise was broken",
                                    false, "", "folder", Line);
  TCLAP::ValueArg<std::string> Only("", "only", "one kind of faults", false, "",
                                    "name", Line);
  Line.parse(Argc, Argv);
  Options Result;
  Result.m_OnlyKind = faultKindOf(Only.getValue());
  if (!Only.getValue().empty() && !Result.m_OnlyKind)
    throw Error("unknown kind of fault: " + Only.getValue());
  Result.m_Seed = Seed.getValue();
  if (Result.m_Seed == 0)
    Result.m_Seed = std::random_device{}();
  Result.m_TotalTime = std::chrono::seconds(Total.getValue());
  Result.m_RoundLength = std::chrono::seconds(Round.getValue());
  Result.m_Fleet.m_GatewayCount = Gateways.getValue();
  Result.m_Fleet.m_UpstreamCount = Upstreams.getValue();
  Result.m_Fleet.m_RequestsPerSecond = Calls.getValue();
  Result.m_Fleet.m_LogFolder = Keep.getValue();
  return Result;
}

/// Plays one seed; returns whether all checks passed.
bool playRound(const Options &Chosen, std::uint64_t Seed) {
  FleetPlan Plan = Chosen.m_Fleet;
  Plan.m_Seed = Seed;
  if (!Plan.m_LogFolder.empty())
    Plan.m_LogFolder += "/" + std::to_string(Seed);
  const std::vector<Fault> Faults =
      makeSchedule(Seed, Chosen.m_RoundLength, Chosen.m_OnlyKind);
  std::cout << "seed " << Seed
            << (isPlannedWorkOnly(Seed) ? " (planned work)" : "")
            << "\nfaults:";
  for (const Fault &Scheduled : Faults)
    std::cout << "  "
              << std::chrono::duration<double>(Scheduled.m_Start).count()
              << " s " << nameOf(Scheduled.m_Kind);
  std::cout << std::endl;
  SoakFleet Fleet(Plan);
  if (!Fleet.start()) {
    std::cout << "VIOLATION start: not all gateways became ready\n";
    Fleet.copyLogs();
    return false;
  }
  Fleet.play(Faults, Chosen.m_RoundLength);
  Fleet.ledger().checkAll();
  Fleet.ledger().printReport();
  const bool Passed = Fleet.ledger().violations().empty();
  if (!Passed)
    Fleet.copyLogs();
  return Passed;
}

} // namespace

int main(int Argc, char **Argv) try {
  const Options Chosen = parse(Argc, Argv);
  const LoopClock Time;
  const TimePoint Begin = Time.readNow();
  int Rounds = 0;
  int FailedRounds = 0;
  for (std::uint64_t Seed = Chosen.m_Seed;; ++Seed) {
    ++Rounds;
    if (!playRound(Chosen, Seed)) {
      ++FailedRounds;
      std::cout << "soak: seed " << Seed << " broke a promise\n";
    }
    if (Time.readNow() - Begin >= Chosen.m_TotalTime)
      break;
  }
  std::cout << "soak: " << Rounds << " rounds, " << FailedRounds << " broken\n";
  return static_cast<int>(FailedRounds == 0 ? ExitCode::Success
                                            : ExitCode::Failure);
} catch (const Error &Err) {
  std::cerr << "crowstep-soak: " << Err.what() << '\n';
  return static_cast<int>(ExitCode::BadInput);
}
