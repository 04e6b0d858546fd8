/// Poisson arrivals with a piecewise constant rate.
#include "load/arrivals.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crowstep::load {

namespace {

/// Appends random words until \p Text has \p Size characters.
void appendWords(std::string &Text, std::size_t Size, std::mt19937_64 &Random) {
  static constexpr const char *Letters = "abcdefghijklmnopqrstuvwxyz      ";
  while (Text.size() < Size) {
    std::uint64_t Bits = Random();
    for (int Index = 0; Index < 12 && Text.size() < Size; ++Index) {
      Text += Letters[Bits & 31U];
      Bits >>= 5U;
    }
  }
}

} // namespace

Arrivals::Arrivals(const Experiment &Plan)
    : m_Plan(Plan), m_End(Plan.m_WarmUp + Plan.m_Measured) {
  for (std::size_t Index = 0; Index < Plan.m_Sources.size(); ++Index) {
    std::seed_seq Seed{Plan.m_Seed, static_cast<std::uint64_t>(Index)};
    m_Streams.emplace_back();
    m_Streams.back().m_Random.seed(Seed);
    advance(Index);
  }
}

void Arrivals::advance(std::size_t Index) {
  ArrivalStream &Stream = m_Streams[Index];
  // The integral of the rate up to the next arrival is exponentially
  // distributed with mean 1.
  double Remaining = std::exponential_distribution<double>(1)(Stream.m_Random);
  while (Stream.m_Next < m_End) {
    const Duration NextChange = m_Plan.nextRateChange(Index, Stream.m_Next);
    const double Rate = m_Plan.rateAt(Index, Stream.m_Next);
    const double Span =
        std::chrono::duration<double>(NextChange - Stream.m_Next).count();
    if (Rate * Span >= Remaining) {
      Stream.m_Next += std::chrono::ceil<Duration>(
          std::chrono::duration<double>(Remaining / Rate));
      return;
    }
    Remaining -= Rate * Span;
    Stream.m_Next = NextChange;
  }
}

std::optional<Duration> Arrivals::nextTime() const {
  Duration Next = m_End;
  for (const ArrivalStream &Stream : m_Streams)
    Next = std::min(Next, Stream.m_Next);
  if (Next >= m_End)
    return std::nullopt;
  return Next;
}

std::size_t Arrivals::pickWorkspace(std::size_t Index) {
  const std::string &Only = m_Plan.m_Sources[Index].m_Workspace;
  std::vector<double> Shares;
  for (const LoadWorkspace &Workspace : m_Plan.m_Workspaces)
    Shares.push_back(Only.empty()               ? Workspace.m_Share
                     : Only == Workspace.m_Name ? 1.0
                                                : 0.0);
  std::discrete_distribution<std::size_t> Distribution(Shares.begin(),
                                                       Shares.end());
  return Distribution(m_Streams[Index].m_Random);
}

void Arrivals::writeCompletion(PlannedCall &Call, ArrivalStream &Stream) const {
  const Source &CallSource = m_Plan.m_Sources[Call.m_Source];
  const std::uint64_t Size = CallSource.m_PromptSize.draw(Stream.m_Random);
  const std::uint64_t Tokens = CallSource.m_AnswerTokens.draw(Stream.m_Random);
  std::mt19937_64 SharedRandom(m_Plan.m_Seed + Call.m_Workspace);
  std::string Prompt = m_Plan.m_Workspaces[Call.m_Workspace].m_Name + ' ';
  appendWords(Prompt, std::min(CallSource.m_SharedPrefix, Size), SharedRandom);
  Prompt +=
      ' ' + CallSource.m_Name + ' ' + std::to_string(Stream.m_Count) + ' ';
  appendWords(Prompt, Size, Stream.m_Random);
  Prompt += " [len=" + std::to_string(Tokens) + "]";
  nlohmann::json Body = {{"model", CallSource.m_Model},
                         {"stream", CallSource.m_Stream},
                         {"max_tokens", CallSource.m_AnswerTokens.m_Max}};
  if (CallSource.m_Path == "/v1/completions")
    Body["prompt"] = Prompt;
  else
    Body["messages"] = {{{"role", "user"}, {"content", Prompt}}};
  Call.m_Prompt = std::move(Prompt);
  Call.m_Body = Body.dump();
}

PlannedCall Arrivals::takeNext() {
  const auto First =
      std::min_element(m_Streams.begin(), m_Streams.end(),
                       [](const ArrivalStream &A, const ArrivalStream &B) {
                         return A.m_Next < B.m_Next;
                       });
  PlannedCall Call;
  Call.m_DueTime = First->m_Next;
  Call.m_Source = static_cast<std::size_t>(First - m_Streams.begin());
  Call.m_Workspace = pickWorkspace(Call.m_Source);
  const Source &CallSource = m_Plan.m_Sources[Call.m_Source];
  ++First->m_Count;
  if (CallSource.isCompletion())
    writeCompletion(Call, *First);
  else
    Call.m_Body = nlohmann::json{{"number", First->m_Count}}.dump();
  if (CallSource.m_UsesIdempotencyKey)
    Call.m_IdempotencyKey = CallSource.m_Name + '-' +
                            std::to_string(m_Plan.m_Seed) + '-' +
                            std::to_string(First->m_Count);
  advance(Call.m_Source);
  return Call;
}

} // namespace crowstep::load
