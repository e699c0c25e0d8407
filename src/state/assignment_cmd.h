// Commands that change the assignments of a domain record.
#pragma once

#include "state/domain_record_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnhaven::state {

/** Fencing numbers between two versions of a record, free for replacements made
 * without the store. */
inline constexpr std::uint64_t kFencingStride = 65536;

/**
 * @param aVersion Version of a domain record.
 * @return Fencing number of the copies that change in that version.
 */
constexpr FencingNumber
fencingOf(std::uint64_t aVersion)
{
  return FencingNumber(aVersion * kFencingStride);
}

/** Whether a command is only tested or also carried out. */
enum class CommandMode : std::uint8_t
{
  kTest,    ///< Says whether the command is possible; changes nothing.
  kExecute, ///< Carries the command out when it is possible.
};

/** Why a command is not possible. */
enum class CommandFault : std::uint8_t
{
  kNone,           ///< It is possible.
  kUnknownCopy,    ///< The domain has no such copy.
  kCopyExists,     ///< The domain has the copy already.
  kNoRanks,        ///< A copy needs at least one rank.
  kUnknownRank,    ///< The copy has no such rank.
  kRankTaken,      ///< The rank has a member.
  kUnknownVm,      ///< The record does not know the VM, or it has no name.
  kVmIsMember,     ///< The VM is a member of a copy.
  kReservedToCopy, ///< The VM is reserved to another copy.
  kVmWithdrawn,    ///< The VM is withdrawn.
  kVmInUse,        ///< The VM is not withdrawn.
};

/** Result of a command. */
struct CommandResult
{
  CommandFault fault_ =
    CommandFault::kNone; ///< Why it is not possible, or none.
  /** @return Whether the command is possible, or done. */
  bool ok() const { return fault_ == CommandFault::kNone; }
  bool operator==(const CommandResult&) const = default;
};

/** Adds a copy without members. */
struct CreateCopy
{
  CopyId copy_;                       ///< The copy.
  std::string model_;                 ///< Model that it serves.
  std::string version_;               ///< Version of the model.
  std::vector<std::string> adapters_; ///< Adapters, sorted.
  std::uint32_t vms_ = 0;             ///< Number of ranks.
  bool operator==(const CreateCopy&) const = default;
};

/** Removes a copy; its members and reserves become spares. */
struct RemoveCopy
{
  CopyId copy_;        ///< The copy.
  std::string reason_; ///< Why, for its former members.
  bool operator==(const RemoveCopy&) const = default;
};

/** Changes what a copy serves and bumps its fencing number. */
struct ChangeModel
{
  CopyId copy_;                       ///< The copy.
  std::string model_;                 ///< Model that it serves.
  std::string version_;               ///< Version of the model.
  std::vector<std::string> adapters_; ///< Adapters, sorted.
  bool operator==(const ChangeModel&) const = default;
};

/** Bumps the fencing number of a copy so that each member is ordered anew. */
struct BumpFencing
{
  CopyId copy_; ///< The copy.
  bool operator==(const BumpFencing&) const = default;
};

/** Makes a spare, an unknown VM or a reserve of the copy a member. */
struct AssignMember
{
  VmId vm_;                ///< The VM.
  CopyId copy_;            ///< The copy.
  std::uint32_t rank_ = 0; ///< Rank without a member.
  std::string reason_;     ///< Why.
  bool operator==(const AssignMember&) const = default;
};

/** Makes any VM a spare; a member leaves its rank. */
struct MakeSpare
{
  VmId vm_;            ///< The VM.
  std::string reason_; ///< Why.
  bool operator==(const MakeSpare&) const = default;
};

/** Reserves a spare to one copy. */
struct ReserveVm
{
  VmId vm_;              ///< The VM.
  CopyId copy_;          ///< The copy.
  std::uint32_t rank_;   ///< Rank that it loads ahead, when it does.
  bool preload_ = false; ///< Whether it loads the shard of the rank ahead.
  std::string reason_;   ///< Why.
  bool operator==(const ReserveVm&) const = default;
};

/** Takes a VM out of use; a member leaves its rank. */
struct WithdrawVm
{
  VmId vm_;            ///< The VM.
  std::string reason_; ///< Why.
  bool operator==(const WithdrawVm&) const = default;
};

/** Drops a withdrawn VM from the record. */
struct ForgetVm
{
  VmId vm_; ///< The VM.
  bool operator==(const ForgetVm&) const = default;
};

/** One command on a domain record. */
using AssignmentCommand = std::variant<CreateCopy,
                                       RemoveCopy,
                                       ChangeModel,
                                       BumpFencing,
                                       AssignMember,
                                       MakeSpare,
                                       ReserveVm,
                                       WithdrawVm,
                                       ForgetVm>;

/**
 * Tests or executes a command. Each copy whose members or model change gets the
 * fencing number of the record's next version. Asserts the invariants of the
 * record after execution. Thread-safe for distinct records.
 * @param aRecord The record; its version is the last one written.
 * @param aCommand The command.
 * @param aMode Whether to execute it.
 * @return Whether it is possible; an impossible one changes nothing.
 */
CommandResult
runCommand(DomainRecord& aRecord,
           const AssignmentCommand& aCommand,
           CommandMode aMode);

/**
 * Describes a command as a short sentence for audit trails. Thread-safe.
 * @param aCommand The command.
 * @return The sentence.
 */
std::string
describe(const AssignmentCommand& aCommand);

} // namespace auburnhaven::state
