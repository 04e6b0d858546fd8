/// Plain types and interfaces of the platform's services.
///
/// The daemons use the HTTP client in platform_client.h; tests use fakes.
#ifndef CROWSTEP_PLATFORM_PLATFORM_TYPE_H
#define CROWSTEP_PLATFORM_PLATFORM_TYPE_H

#include "instance_type.h"
#include "upstream_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::platform {

/// Version of one row; a row that does not exist has version 0.
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;

/// Era of the table service's content: rises each time that the service comes
/// back from an older copy. Versions of different eras can't be compared.
using TableEra = StrongId<struct TableEraTag, std::uint64_t>;

/// One row of a table in the table service. The value is JSON text.
struct Row {
  std::string m_Key;    ///< Unique within its table.
  RowVersion m_Version; ///< Increases with each write.
  std::string m_Value;  ///< JSON text.
};

/// A conditional write: takes effect only if the row's version is the expected
/// one; version 0 expects that there is no row (an insert).
struct RowWrite {
  std::string m_Key;     ///< Of the row.
  RowVersion m_Expected; ///< See above.
  std::string m_Value;   ///< New JSON text; empty deletes the row.

  /// Key of a row of the same table: while it exists, the write has no effect.
  /// Empty: there is no such row. Only for services that state an era.
  std::string m_UnlessKey{};

  /// Keys of rows of the same table that are written along, without content.
  std::vector<std::string> m_MarkerKeys{};
};

/// Outcome of one conditional write.
struct RowOutcome {
  bool m_Written = false;          ///< False: the version differed.
  std::optional<Row> m_CurrentRow; ///< The row after the call, if it exists.
};

/// Why a call to the platform has no outcome.
enum class PlatformFailure : std::uint8_t {
  Refused,   ///< Nothing took effect.
  Uncertain, ///< The write may have taken effect.
};

using WriteResult = std::variant<std::vector<RowOutcome>, PlatformFailure>;
using ReadResult = std::variant<std::vector<Row>, PlatformFailure>;

/// The transactional table service.
class TableService {
public:
  virtual ~TableService() = default;

  /// Sends several conditional writes to one table in one call, which counts as
  /// one write. Each of them succeeds or fails on its own.
  virtual void write(const std::string &Table, std::vector<RowWrite> Writes,
                     std::function<void(WriteResult)> Done) = 0;

  /// Reads the row \p Key; an absent row is an empty result.
  virtual void read(const std::string &Table, const std::string &Key,
                    std::function<void(ReadResult)> Done) = 0;

  /// Returns the highest era that an answer has stated; none: no answer has.
  [[nodiscard]] virtual std::optional<TableEra> era() const {
    return std::nullopt;
  }

  /// Reads all rows whose key starts with \p Prefix.
  virtual void list(const std::string &Table, const std::string &Prefix,
                    std::function<void(ReadResult)> Done) = 0;
};

/// The object store. get() yields nothing if the object is absent.
class ObjectStore {
public:
  using GetResult = std::variant<std::optional<std::string>, PlatformFailure>;
  using PutResult = std::variant<std::monostate, PlatformFailure>;
  virtual ~ObjectStore() = default;
  virtual void put(const std::string &Name, const std::string &Content,
                   std::function<void(PutResult)> Done) = 0;
  virtual void get(const std::string &Name,
                   std::function<void(GetResult)> Done) = 0;
};

/// An instance of crowstep in the platform's list.
struct ListedInstance {
  std::string m_Name;      ///< Its hash is the InstanceId.
  Address m_LinkAddress;   ///< Where its dispatcher accepts links.
  AvailabilityZone m_Zone; ///< Zone of the instance.
  bool m_Draining = false; ///< The platform is about to remove it.
};

/// The instance list, which may be out of date.
struct InstanceListing {
  std::vector<ListedInstance> m_Instances; ///< Those of crowstep.
  std::vector<Upstream> m_Upstreams;       ///< Engines and plain services.
};

/// The platform's list of instances and upstreams.
class InstanceList {
public:
  using Result = std::variant<InstanceListing, PlatformFailure>;
  virtual ~InstanceList() = default;
  virtual void fetch(std::function<void(Result)> Done) = 0;
};

/// Names of the tables that crowstep keeps in the table service.
inline constexpr const char *ContractTableName = "contracts";
inline constexpr const char *WorkspaceTableName = "workspaces";
inline constexpr const char *ClaimTableName = "claims";
inline constexpr const char *LeaseTableName = "leases";
inline constexpr const char *DrainTableName = "drains";
inline constexpr const char *DutyTableName = "duties";

} // namespace crowstep::platform

#endif // CROWSTEP_PLATFORM_PLATFORM_TYPE_H
