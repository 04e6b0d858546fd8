/// Probes of upstreams whose results a test sets.
#ifndef CROWSTEP_TESTS_UNIT_FAKE_PROBER_H
#define CROWSTEP_TESTS_UNIT_FAKE_PROBER_H

#include "http/upstream_call.h"

#include <memory>
#include <utility>
#include <vector>

namespace crowstep::test {

class FakeProber final : public UpstreamProber {
public:
  std::unique_ptr<UpstreamProbe> probe(const Address &, Duration,
                                       ProbeCallback OnDone) override {
    m_Callbacks.push_back(std::move(OnDone));
    return std::make_unique<UpstreamProbe>();
  }
  std::vector<ProbeCallback> m_Callbacks; ///< Of all probes, in order.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_FAKE_PROBER_H
