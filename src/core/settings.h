/// Checked INI settings.
///
/// Every key is read by a typed getter that checks its value. A key that no
/// getter has read is an error, so that a misspelt key is not ignored.
#ifndef CROWSTEP_CORE_SETTINGS_H
#define CROWSTEP_CORE_SETTINGS_H

#include "core/clock.h"
#include "instance_type.h"

#include <cstdint>
#include <glib.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crowstep {

/// One settings file. All getters throw a SettingError that names the file,
/// section, key, value and allowed values.
class Settings {
public:
  /// Reads the file at \p Path. \throws SettingsFileError if it can't.
  static Settings load(const std::string &Path);

  /// Parses \p Text; errors call it \p Name. \throws SettingsFileError.
  static Settings parse(const std::string &Text, const std::string &Name);

  /// Returns the value, or \p Default if the key is absent. Without a default
  /// an absent key is an error.
  std::string text(const std::string &Section, const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  std::int64_t integer(const std::string &Section, const std::string &Key,
                       std::int64_t Min, std::int64_t Max,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(const std::string &Section, const std::string &Key, double Min,
                double Max, std::optional<double> Default = std::nullopt);
  /// Returns the position of the value in \p Allowed.
  std::size_t choice(const std::string &Section, const std::string &Key,
                     const std::vector<std::string> &Allowed,
                     std::size_t Default);

  bool boolean(const std::string &Section, const std::string &Key,
               std::optional<bool> Default = std::nullopt);
  Address address(const std::string &Section, const std::string &Key,
                  std::optional<Address> Default = std::nullopt);

  /// Reads a semicolon-separated list of addresses; empty if absent.
  std::vector<Address> addresses(const std::string &Section,
                                 const std::string &Key);

  /// Returns a whole number of milliseconds between \p Min and \p Max.
  Duration milliseconds(const std::string &Section, const std::string &Key,
                        Duration Min, Duration Max,
                        std::optional<Duration> Default = std::nullopt);

  /// Returns the names of all sections that start with \p Prefix.
  [[nodiscard]] std::vector<std::string>
  sections(const std::string &Prefix) const;

  /// \throws SettingError for the first key that no getter has read.
  void rejectUnknown() const;

private:
  Settings() = default;
  template <typename Number>
  Number numberBetween(const std::string &Section, const std::string &Key,
                       Number Min, Number Max, std::optional<Number> Default);
  std::optional<std::string> find(const std::string &Section,
                                  const std::string &Key);
  [[noreturn]] void throwSettingError(const std::string &Section,
                                      const std::string &Key,
                                      const std::string &Value,
                                      const std::string &Allowed) const;

  std::string m_Name;               ///< File name for errors.
  std::shared_ptr<GKeyFile> m_File; ///< Never null after load or parse.
  std::set<std::pair<std::string, std::string>> m_KnownKeys; ///< Keys that
                                                             ///< getters read.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_SETTINGS_H
