/// Test bench for an entry's request service: real HTTP on loopback, with fakes
/// of placement, claims and upstreams, so that a test controls what fails and
/// when.
#ifndef CROWSTEP_TESTS_UNIT_ENTRY_HARNESS_H
#define CROWSTEP_TESTS_UNIT_ENTRY_HARNESS_H

#include "core/digest.h"
#include "entry/request_service.h"
#include "unit/loopback_peer.h"

#include <deque>
#include <map>
#include <optional>

namespace crowstep::entry::test {

using namespace std::chrono_literals;

using namespace crowstep::test;

/// Grants slots at the given addresses in order, then leaves bids waiting.
class FakePlacement final : public Placement {
public:
  explicit FakePlacement(Scheduler &Timers) : m_Timers(Timers) {}

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override {
    const BidNumber Number(++m_LastNumber);
    m_Bids.push_back(Terms);
    m_Waiting[Number.value()] = &Listener;
    m_Timers.runAfter(Duration::zero(), [this] { serve(); });
    return Number;
  }
  void withdraw(BidNumber Bid) override { m_Waiting.erase(Bid.value()); }
  void reportFirstToken(BidNumber, Duration) override { ++m_FirstTokens; }
  void release(BidNumber, const ReleaseSlot &Release) override {
    m_Released.push_back(Release);
  }
  /// Grants the next bid a slot at \p Target.
  void grantAt(const Address &Target, Duration ValidFor = 2s,
               bool Resumes = true) {
    GrantedSlot Slot;
    Slot.m_Upstream = UpstreamId(Target.m_Port);
    Slot.m_Address = Target;
    Slot.m_Priority = 3;
    Slot.m_CanResume = Resumes;
    Slot.m_ValidFor = ValidFor;
    m_Grants.push_back(Slot);
    m_Timers.runAfter(Duration::zero(), [this] { serve(); });
  }
  void refuseNext(RefusalReason Reason, Duration RetryAfter) {
    m_Refusal = {Reason, RetryAfter};
  }

  std::vector<BidTerms> m_Bids;
  std::vector<ReleaseSlot> m_Released;
  int m_FirstTokens = 0;
  std::map<std::uint64_t, PlacementListener *> m_Waiting;
  PlacementListener *m_Holder = nullptr; ///< Listener of the last grant.

private:
  void serve() {
    if (m_Waiting.empty() || (m_Grants.empty() && !m_Refusal))
      return;
    PlacementListener *Listener = m_Waiting.begin()->second;
    m_Waiting.erase(m_Waiting.begin());
    if (m_Refusal) {
      const auto Refusal = *m_Refusal;
      m_Refusal.reset();
      Listener->bidRefused(Refusal.first, Refusal.second);
      return;
    }
    const GrantedSlot Slot = m_Grants.front();
    m_Grants.pop_front();
    m_Holder = Listener;
    Listener->slotGranted(Slot);
  }

  Scheduler &m_Timers;
  std::uint64_t m_LastNumber = 0;
  std::deque<GrantedSlot> m_Grants;
  std::optional<std::pair<RefusalReason, Duration>> m_Refusal;
};

/// Claims in memory; a test can set the outcome of the next one.
class FakeClaims final : public claim::Claims {
public:
  explicit FakeClaims(Scheduler &Timers) : m_Timers(Timers) {}

  void claim(const claim::ClaimKey &Key, std::uint64_t BodyHash,
             const claim::AttemptId &Attempt, Duration, Done OnDone) override {
    ++m_ClaimCount;
    if (m_NextStatus) {
      const claim::ClaimStatus Status = *m_NextStatus;
      m_NextStatus.reset();
      completeLater(std::move(OnDone), {Status, {}});
      return;
    }
    Row &Stored = m_Rows.try_emplace(Key, Row{BodyHash, Attempt}).first->second;
    completeLater(std::move(OnDone), outcomeFor(Stored, BodyHash, Attempt));
  }
  void recordNotRun(const claim::ClaimKey &Key, const claim::AttemptId &,
                    Done OnDone) override {
    m_Rows.erase(Key);
    ++m_NotRunCount;
    completeLater(std::move(OnDone), {claim::ClaimStatus::Done, {}});
  }
  void recordRan(const claim::ClaimKey &Key, const claim::AttemptId &,
                 const claim::KeptAnswer &Answer, Done OnDone) override {
    m_Rows[Key].m_Answer = Answer;
    completeLater(std::move(OnDone), {claim::ClaimStatus::Done, {}});
  }
  void read(const claim::ClaimKey &Key, std::uint64_t BodyHash,
            Done OnDone) override {
    const auto Found = m_Rows.find(Key);
    if (Found == m_Rows.end())
      completeLater(std::move(OnDone), {claim::ClaimStatus::Done, {}});
    else
      completeLater(std::move(OnDone), outcomeFor(Found->second, BodyHash, ""));
  }

  std::optional<claim::ClaimStatus>
      m_NextStatus; ///< Outcome of the next claim.
  int m_ClaimCount = 0;
  int m_NotRunCount = 0;

private:
  struct Row {
    std::uint64_t m_BodyHash = 0;
    claim::AttemptId m_Owner;
    std::optional<claim::KeptAnswer> m_Answer;
  };
  static claim::ClaimOutcome outcomeFor(const Row &Stored,
                                        std::uint64_t BodyHash,
                                        const claim::AttemptId &Attempt) {
    if (Stored.m_BodyHash != BodyHash)
      return {claim::ClaimStatus::OtherBody, {}};
    if (Stored.m_Answer)
      return {claim::ClaimStatus::Ran, *Stored.m_Answer};
    return {Stored.m_Owner == Attempt ? claim::ClaimStatus::Owned
                                      : claim::ClaimStatus::InProgress,
            {}};
  }
  void completeLater(Done OnDone, claim::ClaimOutcome Outcome) {
    m_Timers.runAfter(Duration::zero(),
                      [OnDone = std::move(OnDone),
                       Outcome = std::move(Outcome)] { OnDone(Outcome); });
  }
  Scheduler &m_Timers;
  std::map<claim::ClaimKey, Row> m_Rows;
};

/// The service under test. Its classes are guide (engine, repeatable), hold
/// (service, not repeatable) and check (service, repeatable), its workspaces
/// have the keys alpha and beta.
struct Bench {
  Bench() {
    Contract Guide;
    Guide.m_Id = ClassId(1);
    Guide.m_Name = "guide";
    Guide.m_Service = "guide-writer";
    Guide.m_Model = "guide-7b";
    Guide.m_FirstTokenTarget = 1s;
    Guide.m_TotalLimit = 5s;
    Guide.m_MaxTokens = 64;
    Contract Hold = Guide;
    Hold.m_Id = ClassId(2);
    Hold.m_Name = "hold";
    Hold.m_Service = "pass-desk";
    Hold.m_Model.clear();
    Hold.m_Repeatable = false;
    Hold.m_TotalLimit = 2s;
    Contract Check = Hold;
    Check.m_Id = ClassId(3);
    Check.m_Name = "check";
    Check.m_Repeatable = true;
    m_Directory.setTable({TableVersion(1), {Guide, Hold, Check}});
    m_Directory.setWorkspaces({{WorkspaceId(1), sha256Hex("alpha")},
                               {WorkspaceId(2), sha256Hex("beta")}});
    m_Service.tableChanged();
    m_Service.listen(m_Address);
  }

  static RequestLimits limits() {
    RequestLimits Result;
    Result.m_MaxBodyBytes = 64 << 10;
    Result.m_MaxHeaderBytes = 512;
    Result.m_ReceiveTimeout = 300ms;
    Result.m_UpstreamSilenceTimeout = 5s;
    Result.m_MaxCallerBacklogBytes = 64 << 10;
    Result.m_MaxAttempts = 4;
    return Result;
  }

  /// Returns an address with a free port, which the bind of a fake upstream
  /// finds.
  static Address freeAddress() { return FakeUpstream().m_Address; }

  static std::string requestText(const std::string &Path,
                                 const std::string &Class,
                                 const std::string &Body,
                                 const std::string &ExtraHeaders = "",
                                 const std::string &Key = "alpha") {
    return "POST " + Path + " HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " +
           Key + "\r\nCrowstep-Class: " + Class +
           "\r\nContent-Type: application/json\r\n" + ExtraHeaders +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  std::unique_ptr<Peer> send(const std::string &Text) const {
    auto Caller = Peer::connect(m_Address);
    Caller->send(Text);
    return Caller;
  }
  std::unique_ptr<Peer> sendGuide(bool Streamed) const {
    return send(requestText("/v1/chat/completions", "guide",
                            std::string(R"({"messages":[{"role":"user",)") +
                                R"("content":"pass"}],"stream":)" +
                                (Streamed ? "true}" : "false}")));
  }
  std::unique_ptr<Peer>
  sendHold(const std::string &Key = "k1",
           const std::string &Body = R"({"seat":4})") const {
    return send(requestText("/v1/services/pass-desk/hold", "hold", Body,
                            "Idempotency-Key: " + Key + "\r\n"));
  }

  LoopClock m_Clock;
  LoopScheduler m_Timers;
  Metrics m_Metrics;
  Directory m_Directory;
  FakePlacement m_Placement{m_Timers};
  FakeClaims m_Claims{m_Timers};
  HttpUpstreamClient m_Upstream{m_Clock, m_Timers};
  HttpClient m_Http;
  bool m_HasRight = true;
  Address m_Address = freeAddress();
  RequestService m_Service{
      {m_Clock, m_Timers, m_Placement, m_Claims, m_Upstream, m_Http, limits()},
      m_Directory,
      {[this] { return m_HasRight; }, [] { return false; }},
      m_Metrics};
};

inline std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}
inline std::string chunk(const std::string &Text) {
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}
inline std::string tokenEvent(const std::string &Text) {
  return R"(data: {"choices":[{"delta":{"content":")" + Text + "\"}}]}\n\n";
}
inline std::string streamEnd() {
  return chunk("data: [DONE]\n\n") + "0\r\n\r\n";
}
inline std::string plainAnswer(unsigned Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}
inline std::string notRunAnswer(const std::string &Code) {
  return plainAnswer(503,
                     R"({"error":{"type":"not_run","code":")" + Code + "\"}}");
}

} // namespace crowstep::entry::test

#endif // CROWSTEP_TESTS_UNIT_ENTRY_HARNESS_H
