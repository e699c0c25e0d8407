// Commands that change the assignments of a domain record.

#include "state/assignment_cmd.h"

#include "state/domain_record_func.h"

#include <cassert>
#include <sstream>

namespace auburnhaven::state {

namespace {

/** Tests and executes the commands on one record. */
class Runner
{
public:
  Runner(DomainRecord& aRecord, CommandMode aMode)
    : record_(aRecord)
    , execute_(aMode == CommandMode::kExecute)
  {
  }

  CommandFault operator()(const CreateCopy& aCommand)
  {
    if (record_.copies_.contains(aCommand.copy_)) {
      return CommandFault::kCopyExists;
    }
    if (aCommand.vms_ == 0) {
      return CommandFault::kNoRanks;
    }
    if (execute_) {
      record_.copies_[aCommand.copy_] = {
        aCommand.copy_,    nextFencing(),      aCommand.model_,
        aCommand.version_, aCommand.adapters_, std::vector<VmId>(aCommand.vms_)
      };
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const RemoveCopy& aCommand)
  {
    if (!record_.copies_.contains(aCommand.copy_)) {
      return CommandFault::kUnknownCopy;
    }
    if (execute_) {
      freeVmsOf(aCommand.copy_, aCommand.reason_);
      record_.copies_.erase(aCommand.copy_);
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const ChangeModel& aCommand)
  {
    const auto found = record_.copies_.find(aCommand.copy_);
    if (found == record_.copies_.end()) {
      return CommandFault::kUnknownCopy;
    }
    if (execute_) {
      found->second.model_ = aCommand.model_;
      found->second.version_ = aCommand.version_;
      found->second.adapters_ = aCommand.adapters_;
      found->second.fencing_ = nextFencing();
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const BumpFencing& aCommand)
  {
    const auto found = record_.copies_.find(aCommand.copy_);
    if (found == record_.copies_.end()) {
      return CommandFault::kUnknownCopy;
    }
    if (execute_) {
      found->second.fencing_ = nextFencing();
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const AssignMember& aCommand)
  {
    const CommandFault fault = testAssign(aCommand);
    if (fault == CommandFault::kNone && execute_) {
      CopyRecord& copy = record_.copies_[aCommand.copy_];
      copy.members_[aCommand.rank_] = aCommand.vm_;
      copy.fencing_ = nextFencing();
      record_.assignments_[aCommand.vm_] = { AssignmentKind::kMember,
                                             aCommand.copy_,
                                             aCommand.rank_,
                                             aCommand.reason_ };
    }
    return fault;
  }

  CommandFault operator()(const MakeSpare& aCommand)
  {
    if (aCommand.vm_.empty()) {
      return CommandFault::kUnknownVm;
    }
    if (execute_) {
      leaveRank(aCommand.vm_);
      record_.assignments_[aCommand.vm_] = {
        AssignmentKind::kSpare, {}, 0, aCommand.reason_
      };
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const ReserveVm& aCommand)
  {
    const CommandFault fault = testReserve(aCommand);
    if (fault == CommandFault::kNone && execute_) {
      record_.assignments_[aCommand.vm_] = { AssignmentKind::kReserve,
                                             aCommand.copy_,
                                             aCommand.rank_,
                                             aCommand.reason_,
                                             aCommand.preload_ };
    }
    return fault;
  }

  CommandFault operator()(const WithdrawVm& aCommand)
  {
    if (!record_.assignments_.contains(aCommand.vm_)) {
      return CommandFault::kUnknownVm;
    }
    if (execute_) {
      leaveRank(aCommand.vm_);
      record_.assignments_[aCommand.vm_] = {
        AssignmentKind::kWithdrawn, {}, 0, aCommand.reason_
      };
    }
    return CommandFault::kNone;
  }

  CommandFault operator()(const ForgetVm& aCommand)
  {
    const auto found = record_.assignments_.find(aCommand.vm_);
    if (found == record_.assignments_.end()) {
      return CommandFault::kUnknownVm;
    }
    if (found->second.kind_ != AssignmentKind::kWithdrawn) {
      return CommandFault::kVmInUse;
    }
    if (execute_) {
      record_.assignments_.erase(found);
    }
    return CommandFault::kNone;
  }

private:
  FencingNumber nextFencing() const { return fencingOf(record_.version_ + 1); }

  /** @return Why the VM cannot be given to the copy, or none. */
  CommandFault testTake(const VmId& aVm, const CopyId& aCopy) const
  {
    if (aVm.empty()) {
      return CommandFault::kUnknownVm;
    }
    const auto found = record_.assignments_.find(aVm);
    if (found == record_.assignments_.end()) {
      return CommandFault::kNone;
    }
    switch (found->second.kind_) {
      case AssignmentKind::kMember:
        return CommandFault::kVmIsMember;
      case AssignmentKind::kWithdrawn:
        return CommandFault::kVmWithdrawn;
      case AssignmentKind::kReserve:
        return found->second.copy_ == aCopy ? CommandFault::kNone
                                            : CommandFault::kReservedToCopy;
      case AssignmentKind::kSpare:
        break;
    }
    return CommandFault::kNone;
  }

  CommandFault testAssign(const AssignMember& aCommand) const
  {
    const auto copy = record_.copies_.find(aCommand.copy_);
    if (copy == record_.copies_.end()) {
      return CommandFault::kUnknownCopy;
    }
    if (aCommand.rank_ >= copy->second.members_.size()) {
      return CommandFault::kUnknownRank;
    }
    if (!copy->second.members_[aCommand.rank_].empty()) {
      return CommandFault::kRankTaken;
    }
    return testTake(aCommand.vm_, aCommand.copy_);
  }

  CommandFault testReserve(const ReserveVm& aCommand) const
  {
    const auto copy = record_.copies_.find(aCommand.copy_);
    if (copy == record_.copies_.end()) {
      return CommandFault::kUnknownCopy;
    }
    if (aCommand.rank_ >= copy->second.members_.size()) {
      return CommandFault::kUnknownRank;
    }
    return testTake(aCommand.vm_, aCommand.copy_);
  }

  void leaveRank(const VmId& aVm)
  {
    const auto found = record_.assignments_.find(aVm);
    if (found == record_.assignments_.end() ||
        found->second.kind_ != AssignmentKind::kMember) {
      return;
    }
    CopyRecord& copy = record_.copies_[found->second.copy_];
    copy.members_[found->second.rank_] = VmId();
    copy.fencing_ = nextFencing();
  }

  void freeVmsOf(const CopyId& aCopy, const std::string& aReason)
  {
    for (auto& [vm, assignment] : record_.assignments_) {
      const bool uses = assignment.kind_ == AssignmentKind::kMember ||
                        assignment.kind_ == AssignmentKind::kReserve;
      if (uses && assignment.copy_ == aCopy) {
        assignment = { AssignmentKind::kSpare, {}, 0, aReason };
      }
    }
  }

  DomainRecord& record_; ///< The record.
  bool execute_;         ///< Whether commands are carried out.
};

/** Writes each command as a sentence. */
struct Describer
{
  std::ostream& out_; ///< Where to.

  void operator()(const CreateCopy& aCommand) const
  {
    out_ << "create copy " << aCommand.copy_ << " of " << aCommand.vms_
         << " VMs with " << aCommand.model_ << ' ' << aCommand.version_;
  }
  void operator()(const RemoveCopy& aCommand) const
  {
    out_ << "remove copy " << aCommand.copy_ << ": " << aCommand.reason_;
  }
  void operator()(const ChangeModel& aCommand) const
  {
    out_ << "change copy " << aCommand.copy_ << " to " << aCommand.model_ << ' '
         << aCommand.version_;
  }
  void operator()(const BumpFencing& aCommand) const
  {
    out_ << "order copy " << aCommand.copy_ << " anew";
  }
  void operator()(const AssignMember& aCommand) const
  {
    out_ << "assign VM " << aCommand.vm_ << " to rank " << aCommand.rank_
         << " of copy " << aCommand.copy_ << ": " << aCommand.reason_;
  }
  void operator()(const MakeSpare& aCommand) const
  {
    out_ << "make VM " << aCommand.vm_ << " a spare: " << aCommand.reason_;
  }
  void operator()(const ReserveVm& aCommand) const
  {
    out_ << "reserve VM " << aCommand.vm_ << " to copy " << aCommand.copy_
         << ": " << aCommand.reason_;
  }
  void operator()(const WithdrawVm& aCommand) const
  {
    out_ << "withdraw VM " << aCommand.vm_ << ": " << aCommand.reason_;
  }
  void operator()(const ForgetVm& aCommand) const
  {
    out_ << "forget VM " << aCommand.vm_;
  }
};

} // namespace

CommandResult
runCommand(DomainRecord& aRecord,
           const AssignmentCommand& aCommand,
           CommandMode aMode)
{
  const CommandResult result{ std::visit(Runner(aRecord, aMode), aCommand) };
  if (result.ok() && aMode == CommandMode::kExecute) {
    assert(brokenInvariant(aRecord).empty());
  }
  return result;
}

std::string
describe(const AssignmentCommand& aCommand)
{
  std::ostringstream out;
  std::visit(Describer{ out }, aCommand);
  return out.str();
}

} // namespace auburnhaven::state
