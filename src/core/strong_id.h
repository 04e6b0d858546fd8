/// Strong identifier types.
///
/// An id of one kind of object can't be passed where another kind is expected;
/// the tag makes every instantiation a type of its own.
#ifndef CROWSTEP_CORE_STRONG_ID_H
#define CROWSTEP_CORE_STRONG_ID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace crowstep {

/// An integer that identifies an object of the kind \p Tag.
template <typename Tag, typename Rep> class StrongId {
public:
  using RepType = Rep;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep Value) : m_Value(Value) {}

  /// Returns the plain number, for codecs and logs.
  [[nodiscard]] constexpr Rep value() const { return m_Value; }

  // These checks report the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  constexpr auto operator<=>(const StrongId &) const = default;

private:
  Rep m_Value = 0; ///< 0 is a valid id unless the kind of object excludes it.
};

} // namespace crowstep

template <typename Tag, typename Rep>
struct std::hash<crowstep::StrongId<Tag, Rep>> {
  std::size_t operator()(crowstep::StrongId<Tag, Rep> Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};

#endif // CROWSTEP_CORE_STRONG_ID_H
