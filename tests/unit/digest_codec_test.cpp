/// Digests of other instances, as they arrive on links: valid, absurd and
/// damaged ones.
#define BOOST_TEST_MODULE digest_codec
#include "balance/balancer.h"
#include "gateway/digest_codec.h"
#include "link/frame_codec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t MaxFrame = 1U << 16;
constexpr const char *Service = "writer";

std::vector<Upstream> engines() {
  std::vector<Upstream> Result;
  for (const std::string Name : {"e1", "e2", "e3"})
    Result.push_back(
        {upstreamIdOf(Name), Name, Service, {1, 1}, {"a"}, Engine{8}, false});
  return Result;
}

/// Returns the id of an engine, or that of none.
std::uint64_t randomUpstream() {
  return *rc::gen::element(upstreamIdOf("e1").value(),
                           upstreamIdOf("e2").value(),
                           upstreamIdOf("e3").value(), std::uint64_t(99));
}

/// Returns small values, and those at the ends of the range.
template <typename Value> Value randomValue() {
  return *rc::gen::element(Value(0), Value(1), Value(7),
                           std::numeric_limits<Value>::max());
}

wire::UpstreamLoad randomLoad() {
  const auto Tokens = randomValue<std::uint32_t>();
  const auto Held = randomValue<std::uint32_t>();
  const auto Running = randomValue<std::uint16_t>();
  return {randomUpstream(),
          Tokens,
          Held,
          Running,
          randomValue<std::uint8_t>(),
          randomValue<std::uint16_t>()};
}

std::unique_ptr<wire::GatewayDigestT> randomDigest() {
  auto Result = std::make_unique<wire::GatewayDigestT>();
  const auto Count = [] { return *rc::gen::inRange(0, 4); };
  for (int I = Count(); I > 0; --I)
    Result->loads.push_back(randomLoad());
  for (int I = Count(); I > 0; --I)
    Result->parts.emplace_back(randomUpstream(), randomValue<std::uint64_t>(),
                               randomValue<std::uint32_t>());
  for (int I = Count(); I > 0; --I)
    Result->work.emplace_back(poolIdOf(Service, 0).value(),
                              randomValue<std::uint32_t>(),
                              randomValue<std::uint32_t>());
  for (int I = Count(); I > 0; --I)
    Result->crashes.emplace_back(randomValue<std::uint64_t>(), 1,
                                 randomUpstream(), *rc::gen::arbitrary<bool>());
  for (int I = Count(); I > 0; --I)
    Result->limits.emplace_back(randomUpstream(), randomValue<std::uint32_t>(),
                                randomValue<std::uint32_t>(),
                                *rc::gen::arbitrary<bool>());
  for (int I = Count(); I > 0; --I)
    Result->speeds.emplace_back(static_cast<std::uint32_t>(randomUpstream()),
                                randomValue<std::int16_t>(),
                                randomValue<std::uint8_t>(),
                                *rc::gen::arbitrary<bool>());
  for (int I = Count(); I > 0; --I)
    Result->service_speeds.emplace_back(
        static_cast<std::uint32_t>(poolIdOf(Service, 0).value()),
        randomValue<std::uint16_t>(), randomValue<std::uint8_t>(),
        randomValue<std::uint8_t>());
  for (int I = Count(); I > 0; --I)
    Result->machine_paces.emplace_back(
        static_cast<std::uint32_t>(randomUpstream()),
        randomValue<std::uint16_t>(), randomValue<std::uint16_t>());
  for (int I = *rc::gen::inRange(0, 2); I > 0; --I)
    Result->leaving.push_back(randomUpstream());
  return Result;
}

using Stream = std::vector<std::uint8_t>;

Stream encode(std::unique_ptr<wire::GatewayDigestT> Digest) {
  wire::FrameT Frame;
  Frame.digest = std::move(Digest);
  const auto Opening = link::preamble();
  Stream Result(Opening.begin(), Opening.end());
  link::appendFrame(Frame, Result);
  return Result;
}

/// Returns the digest in the first frame of \p Bytes, if that is valid and has
/// one.
std::optional<LoadDigest> decode(const Stream &Bytes) {
  link::FrameReader Reader(MaxFrame);
  link::Bytes Input(Bytes);
  const link::ReadResult Result = Reader.read(Input);
  const auto *Received = std::get_if<link::FrameArrived>(&Result);
  if (Received == nullptr || Received->m_Frame->digest() == nullptr)
    return std::nullopt;
  return gateway::unpack(*Received->m_Frame->digest());
}

/// Returns a query of the least urgent class, before which all others are read.
PlacementQuery query() {
  PlacementQuery Result;
  Result.m_Service = Service;
  Result.m_Urgency = UrgencyCount - 1;
  Result.m_Prompt = {{{7, 500}, {8, 500}}, 1000, 10, 10};
  return Result;
}

/// Places a call and ends it at once, if it was placed; returns what the
/// decision was based on.
PlacementInputs placeAndEnd(Balancer &At, TimePoint Now,
                            const PlacementQuery &Query = query()) {
  const PlacementResult Result = At.place(Query, Now);
  if (const auto *Call = std::get_if<Placed>(&Result))
    At.recordCallEnd(Call->m_Ticket, CallOutcome::Dropped, Now);
  return std::visit([](const auto &Any) { return Any.m_Inputs; }, Result);
}

/// Returns how many tokens are queued at an engine before a new call's.
std::uint64_t queuedTokensAt(Balancer &At, UpstreamId Engine, TimePoint Now) {
  PlacementQuery Query = query();
  for (const Upstream &Other : engines())
    if (Other.m_Id != Engine)
      Query.m_Excluded.push_back(Other.m_Id);
  return placeAndEnd(At, Now, Query).m_QueuedPrefillTokens;
}

} // namespace

// Guards against digests of other instances that stop this one: absurd values,
// and damaged bytes that are still a valid frame.
RC_BOOST_PROP(AnyDigestCanBeApplied, ()) {
  Balancer Applied({"a"});
  Applied.setUpstreams(engines());
  TimePoint Now{100s};
  for (int Step = 0; Step < 20; ++Step) {
    Stream Bytes = encode(randomDigest());
    for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
      Bytes[*rc::gen::inRange<std::size_t>(link::PreambleSize, Bytes.size())] =
          *rc::gen::arbitrary<std::uint8_t>();
    if (const auto Digest = decode(Bytes))
      Applied.applyPeerDigest(InstanceId(*rc::gen::inRange(1, 4)), *Digest,
                              Now);
    placeAndEnd(Applied, Now);
    Applied.takeDigest(Now);
    RC_ASSERT(Applied.fullDigest(Now).m_Loads.empty());
    Now += 300ms;
  }
}

// Guards against loads of a digest that still count after its lifetime.
RC_BOOST_PROP(LoadsOfADigestEndWithItsLifetime, ()) {
  Balancer Disturbed({"a"});
  Balancer Calm({"a"});
  TimePoint Now{100s};
  LoadDigest Usual;
  for (const Upstream &Engine : engines())
    Usual.m_Loads.push_back({Engine.m_Id, 5, 2, 300, 100, 1});
  const auto ApplyUsual = [&] {
    for (Balancer *Target : {&Disturbed, &Calm})
      for (const InstanceId Peer : {InstanceId(1), InstanceId(2)})
        Target->applyPeerDigest(Peer, Usual, Now);
    Now += 100ms;
  };
  for (Balancer *Target : {&Disturbed, &Calm})
    Target->setUpstreams(engines());
  for (int Step = 0; Step < 10; ++Step) {
    wire::GatewayDigestT Digest;
    for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
      Digest.loads.push_back(randomLoad());
    const auto Decoded =
        decode(encode(std::make_unique<wire::GatewayDigestT>(Digest)));
    Disturbed.applyPeerDigest(InstanceId(*rc::gen::inRange(3, 5)), *Decoded,
                              Now);
    placeAndEnd(Disturbed, Now);
    if (Step < 5)
      Now += 100ms;
    else
      ApplyUsual();
  }
  for (Duration Waited{}; Waited <= PeerLoads::DigestLifetime; Waited += 100ms)
    ApplyUsual();
  for (const Upstream &Engine : engines())
    RC_ASSERT(queuedTokensAt(Disturbed, Engine.m_Id, Now) ==
              queuedTokensAt(Calm, Engine.m_Id, Now));
}

/// Guards against sums of speeds that another instance reads differently.
BOOST_AUTO_TEST_CASE(speeds_arrive_as_they_were_sent) {
  using namespace speed;
  LoadDigest Sent;
  const UpstreamId Engine = upstreamIdOf("e1");
  Sent.m_Speeds = {
      UpstreamSpeedUpdate{Engine, true, 40, -40 * 0.693},
      UpstreamSpeedUpdate{Engine, false, 1000, 1000 * 2.079},
      ServiceSpeedUpdate{poolIdOf(Service, 0), 5, 100, 100 * 8.294},
      MachinePaceUpdate{Engine, 250, 120ms}};
  auto Packed = std::make_unique<wire::GatewayDigestT>();
  gateway::packDigest(Sent, Packed);
  const auto Received = decode(encode(std::move(Packed)));
  BOOST_TEST_REQUIRE(Received.has_value());
  BOOST_TEST_REQUIRE(Received->m_Speeds.size() == 4U);
  const auto &Crowded = std::get<UpstreamSpeedUpdate>(Received->m_Speeds[0]);
  BOOST_TEST(Crowded.m_Upstream.value() == shortId(Engine).value());
  BOOST_TEST(Crowded.m_IsCrowded);
  BOOST_TEST(Crowded.m_Samples == 40U);
  BOOST_TEST(std::abs(Crowded.m_LogSum + 40 * 0.693) < 0.1);
  // The number of samples is bounded, and their mean stays.
  const auto &Many = std::get<UpstreamSpeedUpdate>(Received->m_Speeds[1]);
  BOOST_TEST(Many.m_Samples == 255U);
  BOOST_TEST(std::abs(Many.m_LogSum / Many.m_Samples - 2.079) < 0.001);
  const auto &State = std::get<ServiceSpeedUpdate>(Received->m_Speeds[2]);
  BOOST_TEST(State.m_State == 5);
  BOOST_TEST(std::abs(State.m_LogSum / State.m_Samples - 8.294) < 0.001);
  const auto &Pace = std::get<MachinePaceUpdate>(Received->m_Speeds[3]);
  BOOST_TEST(Pace.m_Percent == 250U);
  BOOST_TEST((Pace.m_Age == 120ms));
}

/// Guards against waiting calls that arrive under another urgency or group, and
/// against groups of later versions that would be counted as one of these.
BOOST_AUTO_TEST_CASE(WaitingCallsArriveAsSent) {
  LoadDigest Sent;
  Sent.m_Waiting = {{PoolId(7), {waiting::CallGroup::Late, 9}, 3, 70000},
                    {PoolId(7), {waiting::CallGroup::AtOnce, 0}, 0, 5}};
  wire::FrameT Frame;
  gateway::packDigest(Sent, Frame.digest);
  // A digest that is still queued is replaced.
  gateway::packDigest(Sent, Frame.digest);
  Frame.digest->waiting.emplace_back(7, 1, 1, 30);
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  const std::vector<waiting::WaitingCalls> Received =
      gateway::unpack(
          *flatbuffers::GetRoot<wire::Frame>(Builder.GetBufferPointer())
               ->digest())
          .m_Waiting;
  BOOST_REQUIRE(Received.size() == 2U);
  BOOST_TEST((Received[0].m_Standing ==
              waiting::CallStanding{waiting::CallGroup::Late, 9}));
  BOOST_TEST(Received[0].m_Waiting == 3U);
  BOOST_TEST(Received[0].m_Placed == 65535U);
  BOOST_TEST((Received[1].m_Standing ==
              waiting::CallStanding{waiting::CallGroup::AtOnce, 0}));
}
