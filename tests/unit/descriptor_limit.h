/// A limit of file descriptors for a part of a test.
#ifndef CROWSTEP_TESTS_UNIT_DESCRIPTOR_LIMIT_H
#define CROWSTEP_TESTS_UNIT_DESCRIPTOR_LIMIT_H

#include <sys/resource.h>

namespace crowstep::test {

/// Lowers the limit of this process, and of those that it starts, while it
/// lives.
class DescriptorLimit {
public:
  explicit DescriptorLimit(rlim_t Count) {
    getrlimit(RLIMIT_NOFILE, &m_Before);
    const rlimit Lowered{Count, m_Before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_Before); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit m_Before{}; ///< Of the test.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_DESCRIPTOR_LIMIT_H
