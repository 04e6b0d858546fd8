/// Origins of streams in one table, and lookups that a test answers.
#ifndef CROWSTEP_TESTS_UNIT_FAKE_ORIGINS_H
#define CROWSTEP_TESTS_UNIT_FAKE_ORIGINS_H

#include "resume/origin_directory.h"

#include <map>
#include <vector>

namespace crowstep::test {

class FakeOrigins final : public resume::OriginDirectory {
public:
  void record(const resume::StreamRecord &Begun) override {
    m_Records.push_back(Begun);
    if (m_OnRecord)
      m_OnRecord();
  }
  [[nodiscard]] const resume::StreamOrigin *
  findLocal(const resume::StreamKey &Key) const override {
    const auto Found = m_Known.find(Key);
    return Found == m_Known.end() ? nullptr : &Found->second;
  }
  std::unique_ptr<resume::OriginLookup>
  ask(const resume::StreamKey &Key, resume::LookupCallback OnDone) override {
    m_Asked.push_back(Key);
    m_OnDone = std::move(OnDone);
    return std::make_unique<Handle>(*this);
  }

  std::map<resume::StreamKey, resume::StreamOrigin> m_Known; ///< Locally.
  std::vector<resume::StreamRecord> m_Records;               ///< In order.
  std::function<void()> m_OnRecord;                          ///< May be empty.
  std::vector<resume::StreamKey> m_Asked;                    ///< In order.
  resume::LookupCallback m_OnDone; ///< Of the last lookup; empty: cancelled.

private:
  class Handle final : public resume::OriginLookup {
  public:
    explicit Handle(FakeOrigins &Owner) : m_Owner(Owner) {}
    ~Handle() override { m_Owner.m_OnDone = nullptr; }
    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;

  private:
    FakeOrigins &m_Owner; ///< Outlives it.
  };
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_FAKE_ORIGINS_H
