/// Poisson arrivals with a piecewise constant rate.
#include "load/arrivals.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crowstep::load {

namespace {

/// Appends random words until \p Text has \p Size characters.
void fill(std::string &Text, std::size_t Size, std::mt19937_64 &Random) {
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
  Stream &Each = m_Streams[Index];
  // The integral of the rate up to the next arrival is exponentially
  // distributed with mean 1.
  double Left = std::exponential_distribution<double>(1)(Each.m_Random);
  while (Each.m_Next < m_End) {
    const Duration Edge = m_Plan.nextChange(Index, Each.m_Next);
    const double Rate = m_Plan.rateAt(Index, Each.m_Next);
    const double Span =
        std::chrono::duration<double>(Edge - Each.m_Next).count();
    if (Rate * Span >= Left) {
      Each.m_Next += std::chrono::ceil<Duration>(
          std::chrono::duration<double>(Left / Rate));
      return;
    }
    Left -= Rate * Span;
    Each.m_Next = Edge;
  }
}

std::optional<Duration> Arrivals::nextTime() const {
  Duration Next = m_End;
  for (const Stream &Each : m_Streams)
    Next = std::min(Next, Each.m_Next);
  if (Next >= m_End)
    return std::nullopt;
  return Next;
}

std::size_t Arrivals::pickWorkspace(std::size_t Index) {
  const std::string &Only = m_Plan.m_Sources[Index].m_Workspace;
  std::vector<double> Shares;
  for (const LoadWorkspace &Each : m_Plan.m_Workspaces)
    Shares.push_back(Only.empty()          ? Each.m_Share
                     : Only == Each.m_Name ? 1.0
                                           : 0.0);
  std::discrete_distribution<std::size_t> Pick(Shares.begin(), Shares.end());
  return Pick(m_Streams[Index].m_Random);
}

void Arrivals::writeCompletion(PlannedCall &Call, Stream &From) const {
  const Source &Of = m_Plan.m_Sources[Call.m_Source];
  const std::uint64_t Size = Of.m_Prompt.draw(From.m_Random);
  const std::uint64_t Tokens = Of.m_Tokens.draw(From.m_Random);
  std::mt19937_64 Shared(m_Plan.m_Seed + Call.m_Workspace);
  std::string Prompt = m_Plan.m_Workspaces[Call.m_Workspace].m_Name + ' ';
  fill(Prompt, std::min(Of.m_Shared, Size), Shared);
  Prompt += ' ' + Of.m_Name + ' ' + std::to_string(From.m_Count) + ' ';
  fill(Prompt, Size, From.m_Random);
  Prompt += " [len=" + std::to_string(Tokens) + "]";
  nlohmann::json Body = {{"model", Of.m_Model},
                         {"stream", Of.m_Stream},
                         {"max_tokens", Of.m_Tokens.m_Max}};
  if (Of.m_Path == "/v1/completions")
    Body["prompt"] = Prompt;
  else
    Body["messages"] = {{{"role", "user"}, {"content", Prompt}}};
  Call.m_Prompt = std::move(Prompt);
  Call.m_Body = Body.dump();
}

PlannedCall Arrivals::take() {
  const auto First = std::min_element(
      m_Streams.begin(), m_Streams.end(),
      [](const Stream &A, const Stream &B) { return A.m_Next < B.m_Next; });
  PlannedCall Call;
  Call.m_At = First->m_Next;
  Call.m_Source = static_cast<std::size_t>(First - m_Streams.begin());
  Call.m_Workspace = pickWorkspace(Call.m_Source);
  const Source &Of = m_Plan.m_Sources[Call.m_Source];
  ++First->m_Count;
  if (Of.isCompletion())
    writeCompletion(Call, *First);
  else
    Call.m_Body = nlohmann::json{{"number", First->m_Count}}.dump();
  if (Of.m_Keyed)
    Call.m_Key = Of.m_Name + '-' + std::to_string(m_Plan.m_Seed) + '-' +
                 std::to_string(First->m_Count);
  advance(Call.m_Source);
  return Call;
}

} // namespace crowstep::load
