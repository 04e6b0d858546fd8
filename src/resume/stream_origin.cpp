/// Keys of streams.
#include "resume/stream_origin.h"

namespace crowstep::resume {

StreamKey streamKeyOf(std::string_view Workspace, std::string_view Attempt) {
  RequestContent Content;
  Content.m_Method = "stream";
  Content.m_Workspace = Workspace;
  Content.m_Target = Attempt;
  return contentHashOf(Content);
}

} // namespace crowstep::resume
