/// Upstreams of several software versions for one request through the gateway.
#ifndef CROWSTEP_TESTS_UNIT_VERSIONED_ENV_H
#define CROWSTEP_TESTS_UNIT_VERSIONED_ENV_H

#include "unit/forwarded_request_env.h"

namespace crowstep::test {

inline const SoftwareVersion Old("v1");
inline const SoftwareVersion New("v2");

/// Gives the upstreams u0, u1 and u2 these versions.
inline std::function<void(TestEnv &)>
withVersions(const std::vector<SoftwareVersion> &Versions) {
  return [Versions](TestEnv &Env) {
    std::vector<Upstream> List;
    for (std::size_t I = 0; I < Versions.size(); ++I) {
      const std::string Name = "u" + std::to_string(I);
      List.push_back({upstreamIdOf(Name),
                      Name,
                      "s",
                      {1, 1},
                      {"a"},
                      PlainService{4},
                      false});
      List.back().m_Software = Versions[I];
    }
    Env.setUpstreams(List);
  };
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_VERSIONED_ENV_H
