/// Version of an upstream's software.
#ifndef CROWSTEP_SOFTWARE_VERSION_H
#define CROWSTEP_SOFTWARE_VERSION_H

#include <string>
#include <utility>

namespace crowstep {

/// Opaque: versions are compared for equality only and have no order.
class SoftwareVersion {
public:
  /// Unknown.
  SoftwareVersion() = default;

  /// Known, unless \p Text is empty.
  explicit SoftwareVersion(std::string Text) : m_Text(std::move(Text)) {}

  [[nodiscard]] bool isKnown() const { return !m_Text.empty(); }

  /// Returns whether both are known and equal. An unknown version matches none,
  /// not even another unknown one.
  [[nodiscard]] bool matches(const SoftwareVersion &Other) const {
    return isKnown() && m_Text == Other.m_Text;
  }

  /// Adds another statement about the same process. Contradicting statements
  /// make the version unknown for good; one without a version changes nothing.
  void merge(const SoftwareVersion &Stated) {
    if (m_IsContradictory || !Stated.isKnown())
      return;
    m_IsContradictory = isKnown() && m_Text != Stated.m_Text;
    m_Text = m_IsContradictory ? std::string() : Stated.m_Text;
  }

  /// Makes the version unknown for good.
  void invalidate() {
    m_IsContradictory = true;
    m_Text.clear();
  }

  /// Returns the text for logs and the wire; empty: unknown.
  [[nodiscard]] const std::string &text() const { return m_Text; }

  bool operator==(const SoftwareVersion &) const = default;

private:
  std::string m_Text;             ///< As stated; empty: unknown.
  bool m_IsContradictory = false; ///< It stays unknown.
};

} // namespace crowstep

#endif // CROWSTEP_SOFTWARE_VERSION_H
