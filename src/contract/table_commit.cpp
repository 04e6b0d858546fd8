/// Builds new versions of the document.
#include "contract/table_commit.h"

#include "contract/contract_func.h"

#include <algorithm>
#include <map>

namespace crowstep::contract {

namespace {

/// Covers about a day of changes for operators. holdsCommit() only needs the
/// changes of the last few seconds.
constexpr std::size_t HistoryLength = 50;

void addQuorum(std::vector<Voters> &Quorums, const Voters &Quorum) {
  if (!Quorum.empty() && std::ranges::find(Quorums, Quorum) == Quorums.end())
    Quorums.push_back(Quorum);
}

/// An instance that uses an earlier version relies on that version's voters, so
/// their lists are kept until no earlier version is in use. The voters are not
/// replaced before that, which limits the number of lists to two.
TableDocument nextDocument(const TableDocument &Present,
                           const CommitContext &Context) {
  TableDocument Next = Present;
  Next.m_Table.m_Version = TableVersion(Present.version().value() + 1);
  Next.m_Commit = Context.m_Commit;
  if (Context.m_IsSettled)
    Next.m_Quorums.clear();
  addQuorum(Next.m_Quorums, Present.m_Voters);
  if (Context.m_IsSettled || Present.m_Voters.empty())
    Next.m_Voters = Context.m_NextVoters;
  return Next;
}

} // namespace

bool isPresent(const membership::Member &Member) {
  return Member.m_State == membership::MemberState::Alive ||
         Member.m_State == membership::MemberState::Suspect;
}

bool isPresent(const std::vector<membership::Member> &Members,
               const std::string &Name) {
  return std::ranges::any_of(Members, [&](const membership::Member &Member) {
    return Member.m_Name == Name && isPresent(Member);
  });
}

bool isVoter(const Voters &List, InstanceId Instance) {
  return std::ranges::any_of(List, [&](const std::string &Name) {
    return instanceIdOf(Name) == Instance;
  });
}

ChangeTest testChange(const TableDocument &Present,
                      const ChangeRequested &Request) {
  ContractTable Changed;
  Changed.m_Contracts = Request.m_Contracts;
  std::vector<std::string> Difference = difference(Present.m_Table, Changed);
  if (Request.m_BaseVersion < Present.m_EditedVersion ||
      Request.m_BaseVersion > Present.version())
    return ChangeConflict{Present.version(), std::move(Difference)};
  if (Difference.empty())
    return NothingToChange();
  return Changeable();
}

TableDocument documentWithNewRows(const TableDocument &Present,
                                  const ChangeRequested &Request,
                                  const CommitContext &Context) {
  TableDocument Next = nextDocument(Present, Context);
  Next.m_Table.m_Contracts = Request.m_Contracts;
  Next.m_EditedVersion = Next.version();
  Next.m_History.insert(
      Next.m_History.begin(),
      {Next.version(), Context.m_Commit, Request.m_Operator, Request.m_Time});
  if (Next.m_History.size() > HistoryLength)
    Next.m_History.resize(HistoryLength);
  return Next;
}

TableDocument documentWithNewVoters(const TableDocument &Present,
                                    const CommitContext &Context) {
  return nextDocument(Present, Context);
}

Voters chooseVoters(const Voters &Present,
                    const std::vector<membership::Member> &Members,
                    std::size_t Limit) {
  Voters Result;
  std::map<AvailabilityZone, std::size_t> VotersInZone;
  std::vector<const membership::Member *> Others;
  for (const membership::Member &Member : Members) {
    if (!isPresent(Member))
      continue;
    if (std::ranges::find(Present, Member.m_Name) == Present.end() ||
        Result.size() == Limit) {
      Others.push_back(&Member);
      continue;
    }
    Result.push_back(Member.m_Name);
    ++VotersInZone[Member.m_Zone];
  }
  std::ranges::sort(Others, {}, &membership::Member::m_Id);
  while (Result.size() < Limit && !Others.empty()) {
    const auto Next =
        std::ranges::min_element(Others, {}, [&](const auto *Member) {
          return VotersInZone[Member->m_Zone];
        });
    Result.push_back((*Next)->m_Name);
    ++VotersInZone[(*Next)->m_Zone];
    Others.erase(Next);
  }
  std::ranges::sort(Result);
  return Result;
}

} // namespace crowstep::contract
