// Replaces a member of a copy by a reserve during a store outage.
#pragma once

#include "coordination/copy_readiness_func.h"
#include "coordination/group/group_limits_type.h"
#include "state/domain_record_type.h"

#include <optional>

namespace auburnhaven::coordination {

/** Replacement of one member of a copy by a reserve of that copy. */
struct Substitution
{
  state::CopyId copy_;           ///< The copy.
  std::uint32_t rank_ = 0;       ///< Rank of the replaced member.
  state::VmId reserve_;          ///< Reserve that takes the rank.
  state::FencingNumber fencing_; ///< Fencing number unique to this
                                 ///< replacement.
  bool operator==(const Substitution&) const = default;
};

/**
 * Applies a substitution to a record. Its fencing number lies between the
 * numbers of two record versions and is unique to the substitution, so that
 * engines with the same number have the same list of members. Asserts that the
 * reserve belongs to this copy. Pure; thread-safe.
 * @param aRecord Latest stored record.
 * @param aSubstitution Substitution to apply.
 * @return The record after the substitution.
 */
state::DomainRecord
substitute(state::DomainRecord aRecord, const Substitution& aSubstitution);

/**
 * Builds the substitution that assigns a rank to a reserve. Pure; thread-safe.
 * @param aRecord Latest stored record.
 * @param aCopy Copy that lost a member.
 * @param aRank Rank of the member to replace.
 * @param aReserve Reserve of the copy.
 * @return The substitution, or nullopt if the VM is not a reserve of the copy
 * or the copy has no such rank.
 */
std::optional<Substitution>
makeSubstitution(const state::DomainRecord& aRecord,
                 const state::CopyId& aCopy,
                 std::uint32_t aRank,
                 const state::VmId& aReserve);

/**
 * Finds the substitution in force, recognized by the role and fencing number
 * that a reserve of the copy reports. Pure; thread-safe.
 * @param aRecord Latest stored record.
 * @param aCopy Copy to search.
 * @param aReports Latest report of each VM.
 * @return The substitution, or nullopt if no reserve reports one.
 */
std::optional<Substitution>
reportedSubstitution(const state::DomainRecord& aRecord,
                     const state::CopyId& aCopy,
                     const ReportMap& aReports);

/** A copy with its effective members, and whether it accepts new work. */
struct EvaluatedCopy
{
  state::CopyRecord copy_;  ///< The copy, with any substitution applied.
  CopyReadiness readiness_; ///< Whether it accepts new work.
};

/**
 * Evaluates the readiness of a recorded copy. If the recorded members are not
 * ready, it is evaluated again with the substitution that is reported, if any.
 * Pure; thread-safe.
 * @param aRecord Latest stored record.
 * @param aCopy Copy to evaluate. Precondition: the record contains it.
 * @param aReports Latest report of each VM.
 * @param aNow Current time.
 * @param aLimit Age at which a report expires.
 * @return The copy and its readiness.
 */
EvaluatedCopy
evaluateRecordedCopy(const state::DomainRecord& aRecord,
                     const state::CopyId& aCopy,
                     const ReportMap& aReports,
                     state::TimePoint aNow,
                     state::Duration aLimit);

} // namespace auburnhaven::coordination
