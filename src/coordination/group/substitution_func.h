// Replacement of a member by a reserve while the store is down.
#pragma once

#include "coordination/copy_readiness_func.h"
#include "coordination/group/group_limits_type.h"
#include "state/domain_record_type.h"

#include <optional>

namespace auburnhaven::coordination {

/** One member of a copy replaced by a reserve of that copy. */
struct Substitution
{
  state::CopyId copy_;           ///< The copy.
  std::uint32_t rank_ = 0;       ///< Rank of the member replaced.
  state::VmId reserve_;          ///< Reserve that takes the rank.
  state::FencingNumber fencing_; ///< Number that stands for exactly this
                                 ///< replacement.
  bool operator==(const Substitution&) const = default;
};

/**
 * The record as it is with a substitution. The fencing number lies between
 * those of two versions and tells the substitution apart from every other one,
 * so that members with equal numbers have equal lists of members. Asserts that
 * the reserve is reserved to this copy. Pure; thread-safe.
 * @param aRecord Record last written.
 * @param aSubstitution The substitution.
 * @return The record with it.
 */
state::DomainRecord
substitute(state::DomainRecord aRecord, const Substitution& aSubstitution);

/**
 * The substitution that puts a reserve into a rank. Pure; thread-safe.
 * @param aRecord Record last written.
 * @param aCopy The copy.
 * @param aRank Rank of the member to replace.
 * @param aReserve A reserve of the copy.
 * @return The substitution, or nothing when the VM is no reserve of the copy.
 */
std::optional<Substitution>
makeSubstitution(const state::DomainRecord& aRecord,
                 const state::CopyId& aCopy,
                 std::uint32_t aRank,
                 const state::VmId& aReserve);

/**
 * The substitution that the members of a copy report to follow. Pure;
 * thread-safe.
 * @param aRecord Record last written.
 * @param aCopy The copy.
 * @param aReports Newest reports.
 * @return The substitution, or nothing.
 */
std::optional<Substitution>
reportedSubstitution(const state::DomainRecord& aRecord,
                     const state::CopyId& aCopy,
                     const ReportMap& aReports);

/** A copy as it serves, and whether it takes new work. */
struct EvaluatedCopy
{
  state::CopyRecord copy_;  ///< The copy, a substitution applied.
  CopyReadiness readiness_; ///< Whether it takes new work.
};

/**
 * Judges a copy by the record, and by a reported substitution when it is closed
 * by the record. Pure; thread-safe.
 * @param aRecord Record last written.
 * @param aCopy The copy. Precondition: the record has it.
 * @param aReports Newest reports.
 * @param aNow Present time.
 * @param aLimit Greatest age of evidence.
 * @return The copy and its verdict.
 */
EvaluatedCopy
evaluateRecordedCopy(const state::DomainRecord& aRecord,
                     const state::CopyId& aCopy,
                     const ReportMap& aReports,
                     state::TimePoint aNow,
                     state::Duration aLimit);

} // namespace auburnhaven::coordination
