/// What a new version of the table looks like: the commands on the document,
/// each tested without effect before it is executed.
#ifndef CROWSTEP_CONTRACT_TABLE_COMMIT_H
#define CROWSTEP_CONTRACT_TABLE_COMMIT_H

#include "contract/table_core_type.h"

namespace crowstep::contract {

/// Returns whether \p Each is neither removed nor gone.
bool isPresent(const membership::Member &Each);

/// Returns whether the instance \p Name is one of the present \p Members.
bool isPresent(const std::vector<membership::Member> &Members,
               const std::string &Name);

/// Returns whether \p Who is one of \p List.
bool isVoter(const Voters &List, InstanceId Who);

/// The change alters nothing: the rows are the present ones.
struct NothingToChange {};
/// The change may be committed.
struct Changeable {};

using ChangeTest = std::variant<Changeable, NothingToChange, ChangeConflict>;

/// Tests \p What against the document that the table service holds.
ChangeTest testChange(const TableDocument &Present, const ChangeAsked &What);

/// What a new version needs to know besides the rows.
struct CommitContext {
  CommitId m_Commit;      ///< Of the new version.
  bool m_Settled = false; ///< No version below the present one is in use.
  Voters m_Wanted;        ///< Voters for the new version.
};

/// Returns the version after \p Present with the rows of \p What.
TableDocument changedDocument(const TableDocument &Present,
                              const ChangeAsked &What,
                              const CommitContext &Context);

/// Returns the version after \p Present with other voters and the same rows.
TableDocument revotedDocument(const TableDocument &Present,
                              const CommitContext &Context);

/// Returns up to \p Limit voters among the \p Members that are not removed:
/// the present ones first, then from the zones with the fewest.
Voters chooseVoters(const Voters &Present,
                    const std::vector<membership::Member> &Members,
                    std::size_t Limit);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_COMMIT_H
