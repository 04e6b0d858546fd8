/// Records what a call of an upstream delivers.
#ifndef CROWSTEP_TESTS_UNIT_RECORDING_LISTENER_H
#define CROWSTEP_TESTS_UNIT_RECORDING_LISTENER_H

#include "http/upstream_call.h"

#include <optional>
#include <string>

namespace crowstep::test {

struct RecordingListener final : UpstreamListener {
  void upstreamConnected() override { m_Connected = true; }
  void upstreamHeaders(unsigned Status, const HeaderList &) override {
    m_HasHead = true;
    m_Status = Status;
  }
  void upstreamBytes(std::string_view Bytes) override { m_Body += Bytes; }
  void upstreamEnded(TransportEnd End) override { m_End = End; }

  bool m_Connected = false; ///< A held call may be sent.
  bool m_HasHead = false;   ///< The final head has arrived.
  unsigned m_Status = 0;    ///< Of that head.
  std::string m_Body;
  std::optional<TransportEnd> m_End; ///< Unset: the call is open.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_RECORDING_LISTENER_H
