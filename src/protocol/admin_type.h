// Messages between operators' commands and a daemon.
#pragma once

#include "state/error_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** POST /admin/config/submit: a change of the configuration. */
struct SubmitRequest
{
  std::string submission_; ///< Identifies the change when it is repeated.
  std::string author_;     ///< Who submits it.
  std::string summary_;    ///< Why, in the author's words.
  state::Generation base_; ///< Generation that it was made from.
  std::map<std::string, std::string>
    put_;                        ///< Documents to add or replace, by name.
  std::set<std::string> remove_; ///< Names of documents to remove.
  bool operator==(const SubmitRequest&) const = default;
};

/** How a submission ended. */
enum class SubmitOutcome : std::uint8_t
{
  kCommitted,   ///< In the store, now or by an earlier attempt.
  kConflict,    ///< Another change came first; nothing of this one is in.
  kRefused,     ///< The configuration would be faulty; nothing is in.
  kUnavailable, ///< The store cannot be reached; nothing is in.
  kUnknown,     ///< May be in; repeating the submission tells.
};

/** Change of one document; an empty digest means that there is none. */
struct DocumentEntry
{
  std::string name_;   ///< Name of the document.
  std::string before_; ///< Digest before the change.
  std::string after_;  ///< Digest after the change.
  bool operator==(const DocumentEntry&) const = default;
};

/** One change of the configuration. */
struct HistoryEntry
{
  state::Generation generation_;         ///< Generation that it made.
  state::Generation from_;               ///< Generation that it was made from.
  std::string submission_;               ///< The submission.
  std::string author_;                   ///< Who submitted it.
  std::string summary_;                  ///< Why, in the author's words.
  state::WallTime at_{};                 ///< When it was submitted.
  std::vector<DocumentEntry> documents_; ///< What it changed.
  bool operator==(const HistoryEntry&) const = default;
};

/** Answer to a submission. */
struct SubmitReply
{
  SubmitOutcome outcome_ = SubmitOutcome::kUnknown; ///< How it ended.
  state::Generation generation_; ///< Generation made, or the present one.
  std::vector<state::InputError> errors_; ///< Why it was refused.
  HistoryEntry ours_;                     ///< The change as submitted.
  std::vector<HistoryEntry> theirs_; ///< On a conflict: changes since its base.
  bool operator==(const SubmitReply&) const = default;
};

/** Answer to GET /admin/config: the configuration in force. */
struct ConfigReply
{
  state::Generation generation_; ///< Its generation, 0 for none yet.
  std::map<std::string, std::string>
    documents_; ///< Canonical text of each document by name.
  bool operator==(const ConfigReply&) const = default;
};

/** Answer to GET /admin/config/history, newest first. */
struct HistoryReply
{
  std::vector<HistoryEntry> entries_; ///< The changes.
  bool operator==(const HistoryReply&) const = default;
};

/** Generation that one daemon is at. */
struct DaemonGeneration
{
  state::DaemonId id_;           ///< The daemon.
  state::ZoneId zone_;           ///< Its availability zone.
  state::Generation generation_; ///< Generation in force, as last heard.
  bool operator==(const DaemonGeneration&) const = default;
};

/** Answer to GET /admin/config/progress?generation=N. */
struct ProgressReply
{
  state::Generation generation_;              ///< Generation asked about.
  std::vector<DaemonGeneration> inForce_;     ///< Daemons that have it.
  std::vector<DaemonGeneration> lagging_;     ///< Reachable without it.
  std::vector<DaemonGeneration> unreachable_; ///< Not heard of now.
  bool operator==(const ProgressReply&) const = default;
};

/** One member of a copy. */
struct MemberStatus
{
  state::VmId vm_;         ///< The VM; empty when the place is open.
  std::uint32_t rank_ = 0; ///< Rank in the copy.
  std::string phase_;      ///< idle, loading, ready, failed or unknown.
  bool operator==(const MemberStatus&) const = default;
};

/** One copy of a serving group. */
struct CopyStatus
{
  std::uint32_t index_ = 0;           ///< Index in the group.
  state::ZoneId zone_;                ///< Its availability zone.
  state::DomainId domain_;            ///< Its fabric domain.
  state::FencingNumber fencing_;      ///< Number of its assignment.
  bool serving_ = false;              ///< Whether it takes new work.
  std::string whyNot_;                ///< Why it does not; empty when it does.
  state::WallTime since_{};           ///< Since when it does or does not.
  std::vector<MemberStatus> members_; ///< Members by rank.
  bool operator==(const CopyStatus&) const = default;
};

/** Requests of a group's worst minute so far. */
struct WorstMinute
{
  state::WallTime minute_{};          ///< Start of the minute.
  std::uint64_t requests_ = 0;        ///< Requests of the minute.
  std::uint32_t keptPermille_ = 1000; ///< Requests in 1,000 within the promise.
  bool operator==(const WorstMinute&) const = default;
};

/** One serving group. */
struct GroupStatus
{
  state::GroupId id_;              ///< The group.
  bool serving_ = false;           ///< Whether any copy takes new work.
  std::string whyNot_;             ///< Why none does; empty when one does.
  state::WallTime since_{};        ///< Since when it does or does not.
  std::uint32_t copiesWanted_ = 0; ///< Copies wanted.
  std::chrono::milliseconds downtime_{ 0 }; ///< Time in which none served.
  WorstMinute worstMinute_;                 ///< Worst minute so far.
  std::vector<CopyStatus> copies_;          ///< Known copies.
  bool operator==(const GroupStatus&) const = default;
};

/** Spare VMs of one fabric domain. */
struct SpareStatus
{
  state::ZoneId zone_;       ///< Availability zone.
  state::DomainId domain_;   ///< The fabric domain.
  std::uint32_t spares_ = 0; ///< Spare VMs.
  bool operator==(const SpareStatus&) const = default;
};

/** Accelerators that sit idle for one cause. */
struct StrandedStatus
{
  std::string cause_;              ///< The cause.
  std::uint32_t accelerators_ = 0; ///< Accelerators.
  bool operator==(const StrandedStatus&) const = default;
};

/** One daemon as the asked one sees it. */
struct DaemonStatus
{
  state::DaemonId id_;           ///< The daemon.
  state::ZoneId zone_;           ///< Its availability zone.
  bool reachable_ = false;       ///< Whether it is heard of now.
  state::Generation generation_; ///< Configuration in force, as last heard.
  bool operator==(const DaemonStatus&) const = default;
};

/** Answer to GET /admin/status. */
struct StatusReport
{
  state::DaemonId daemon_;               ///< The daemon that answers.
  state::ZoneId zone_;                   ///< Its availability zone.
  state::WallTime at_{};                 ///< When it answers.
  state::Generation generation_;         ///< Configuration in force.
  std::string store_;                    ///< available, slow or unavailable.
  state::WallTime storeSince_{};         ///< Since when the store is so.
  std::vector<GroupStatus> groups_;      ///< Serving groups.
  std::vector<SpareStatus> spares_;      ///< Spare VMs by fabric domain.
  std::vector<StrandedStatus> stranded_; ///< Idle accelerators by cause.
  std::vector<DaemonStatus> daemons_;    ///< Known daemons.
  bool operator==(const StatusReport&) const = default;
};

/** One line of the audit trail. */
struct AuditEntry
{
  state::WallTime at_{};   ///< When it happened.
  state::DaemonId daemon_; ///< Daemon that did or saw it.
  std::string kind_;       ///< configuration, assignment, listing and the like.
  std::string subject_;    ///< What it concerns, such as a copy or VM.
  std::string text_;       ///< What happened, as a short sentence.
  bool operator==(const AuditEntry&) const = default;
};

/** Answer to GET /admin/audit, newest first. */
struct AuditReply
{
  std::vector<AuditEntry> entries_; ///< The lines.
  bool operator==(const AuditReply&) const = default;
};

} // namespace auburnhaven::protocol
