/// HTTP client of the administration API and of gateways' probe listeners, for
/// the operators' command.
#ifndef CROWSTEP_CTL_ADMIN_CLIENT_H
#define CROWSTEP_CTL_ADMIN_CLIENT_H

#include "core/error.h"
#include "instance_type.h"

#include <libsoup/soup.h>
#include <string>

namespace crowstep::ctl {

/// The administration API can't be reached, or its answer is incomplete.
class AdminUnreachable : public Error {
public:
  AdminUnreachable(const Address &Api, const std::string &Reason)
      : Error(toString(Api) + ": " + Reason) {}
};

/// An answer of the administration API.
struct AdminAnswer {
  unsigned m_Status = 0;      ///< HTTP status.
  std::string m_Body;         ///< JSON, or CSV of the table.
  std::string m_TableVersion; ///< Of the table; empty in other answers.
};

/// One call to the administration API.
struct AdminCall {
  std::string m_Method;                   ///< HTTP method.
  std::string m_Path;                     ///< For example "/v1/table".
  std::string m_Body;                     ///< CSV or JSON, or empty.
  std::string m_IfMatch;                  ///< Table version, or empty.
  std::string m_ContentType = "text/csv"; ///< Of the body.
};

/// Makes blocking calls, with an operator's key unless it is empty.
class AdminClient {
public:
  AdminClient(const Address &Api, std::string Key);
  ~AdminClient();
  AdminClient(const AdminClient &) = delete;
  AdminClient &operator=(const AdminClient &) = delete;

  /// \throws AdminUnreachable.
  AdminAnswer call(const AdminCall &Call);

private:
  Address m_Address;      ///< Where calls go.
  std::string m_Key;      ///< The operator's key; may be empty.
  SoupSession *m_Session; ///< Owned.
};

} // namespace crowstep::ctl

#endif // CROWSTEP_CTL_ADMIN_CLIENT_H
