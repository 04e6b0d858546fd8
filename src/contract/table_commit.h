/// Builds new versions of the document, and checks a change before it is
/// committed.
#ifndef CROWSTEP_CONTRACT_TABLE_COMMIT_H
#define CROWSTEP_CONTRACT_TABLE_COMMIT_H

#include "contract/table_core_type.h"

namespace crowstep::contract {

/// Returns whether \p Member is alive or suspect.
bool isPresent(const membership::Member &Member);

/// Returns whether \p Members contains a present member called \p Name.
bool isPresent(const std::vector<membership::Member> &Members,
               const std::string &Name);

/// Returns whether \p Instance is in \p List.
bool isVoter(const Voters &List, InstanceId Instance);

/// The requested rows equal the present ones.
struct NothingToChange {};
/// The change may be committed.
struct Changeable {};

using ChangeTest = std::variant<Changeable, NothingToChange, ChangeConflict>;

/// Checks \p Request against the document that the table service holds.
ChangeTest testChange(const TableDocument &Present,
                      const ChangeRequested &Request);

/// Data for a new version besides its rows.
struct CommitContext {
  CommitId m_Commit;        ///< Of the new version.
  bool m_IsSettled = false; ///< No version below the present one is in
                            ///< use.
  Voters m_NextVoters;      ///< Of the new version, if they can be replaced.
};

/// Returns the version after \p Present with the rows of \p Request.
TableDocument documentWithNewRows(const TableDocument &Present,
                                  const ChangeRequested &Request,
                                  const CommitContext &Context);

/// Returns the version after \p Present with new voters and the same rows.
TableDocument documentWithNewVoters(const TableDocument &Present,
                                    const CommitContext &Context);

/// Chooses up to \p Limit voters among the present \p Members: first those in
/// \p Present, then members in the availability zones with the fewest voters.
Voters chooseVoters(const Voters &Present,
                    const std::vector<membership::Member> &Members,
                    std::size_t Limit);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_COMMIT_H
