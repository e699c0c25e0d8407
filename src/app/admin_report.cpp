// Reports for operators, made from the control state.

#include "app/admin_report.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::app {

namespace {

/** @return A member as operators see it. */
protocol::MemberStatus
memberStatus(const coordination::MemberStatus& aMember)
{
  return { aMember.vm_, aMember.rank_, aMember.health_ };
}

/** @return A copy as operators see it. */
protocol::CopyStatus
copyStatus(const coordination::CopyStatus& aCopy)
{
  protocol::CopyStatus copy;
  copy.index_ = aCopy.id_.index_;
  copy.zone_ = aCopy.zone_;
  copy.domain_ = aCopy.domain_;
  copy.fencing_ = aCopy.fencing_;
  copy.serving_ = aCopy.open_;
  copy.whyNot_ = aCopy.closedReason_;
  copy.since_ = aCopy.since_;
  std::transform(aCopy.members_.begin(),
                 aCopy.members_.end(),
                 std::back_inserter(copy.members_),
                 memberStatus);
  return copy;
}

/** @return The worst minute of a group over all accounts. */
protocol::WorstMinute
worstMinute(const std::vector<coordination::SloStatus>& aStandings,
            const state::GroupId& aGroup)
{
  protocol::WorstMinute worst;
  for (const coordination::SloStatus& standing : aStandings) {
    if (standing.group_ != aGroup || standing.worst_.total_ == 0) {
      continue;
    }
    if (worst.requests_ == 0 ||
        standing.worst_.sharePermille() < worst.keptPermille_) {
      worst = { standing.worst_.at_,
                standing.worst_.total_,
                standing.worst_.sharePermille() };
    }
  }
  return worst;
}

/** @return Why no copy of a group serves; empty when one does. */
std::string
whyNot(const coordination::GroupStatus& aGroup)
{
  if (aGroup.open_ > 0) {
    return {};
  }
  return aGroup.copies_.empty() ? "no copy is assigned"
                                : aGroup.copies_.front().closedReason_;
}

/** @return Since when a group serves or does not. */
state::WallTime
since(const coordination::GroupStatus& aGroup)
{
  state::WallTime earliestOpen{};
  state::WallTime latestClosed{};
  for (const coordination::CopyStatus& copy : aGroup.copies_) {
    if (!copy.open_) {
      latestClosed = std::max(latestClosed, copy.since_);
    } else if (earliestOpen == state::WallTime{} ||
               copy.since_ < earliestOpen) {
      earliestOpen = copy.since_;
    }
  }
  return aGroup.open_ > 0 ? earliestOpen : latestClosed;
}

/** @return A daemon and its generation. */
protocol::DaemonGeneration
daemonGeneration(const coordination::DaemonProgress& aDaemon)
{
  return { aDaemon.id_, aDaemon.zone_, aDaemon.generation_ };
}

} // namespace

protocol::HistoryEntry
historyEntry(const coordination::ConfigChange& aChange)
{
  protocol::HistoryEntry entry;
  entry.generation_ = aChange.generation_;
  entry.from_ = aChange.from_;
  entry.submission_ = aChange.submission_.value();
  entry.author_ = aChange.author_;
  entry.summary_ = aChange.summary_;
  entry.at_ = aChange.at_;
  for (const coordination::DocumentChange& change : aChange.documents_) {
    entry.documents_.push_back({ change.name_, change.before_, change.after_ });
  }
  return entry;
}

protocol::SubmitReply
submitReply(const coordination::SubmitResult& aResult)
{
  protocol::SubmitReply reply;
  static_assert(static_cast<int>(protocol::SubmitOutcome::kUnknown) ==
                static_cast<int>(coordination::SubmitStatus::kUnknown));
  reply.outcome_ = static_cast<protocol::SubmitOutcome>(aResult.status_);
  reply.generation_ = aResult.generation_;
  reply.errors_ = aResult.errors_;
  reply.ours_ = historyEntry(aResult.ours_);
  std::transform(aResult.theirs_.begin(),
                 aResult.theirs_.end(),
                 std::back_inserter(reply.theirs_),
                 historyEntry);
  return reply;
}

protocol::ProgressReply
progressReply(const coordination::FleetProgress& aProgress,
              state::Generation aGeneration)
{
  protocol::ProgressReply reply;
  reply.generation_ = aGeneration;
  for (const coordination::DaemonProgress& daemon : aProgress.daemons_) {
    auto& list = !daemon.reachable_                  ? reply.unreachable_
                 : daemon.generation_ >= aGeneration ? reply.inForce_
                                                     : reply.lagging_;
    list.push_back(daemonGeneration(daemon));
  }
  for (const coordination::ZoneProgress& zone : aProgress.zones_) {
    auto& list = !zone.reachable_                  ? reply.unreachable_
                 : zone.generation_ >= aGeneration ? reply.inForce_
                                                   : reply.lagging_;
    const state::DaemonId all("all " + std::to_string(zone.live_) + " daemons");
    list.push_back({ all, zone.zone_, zone.generation_ });
  }
  return reply;
}

void
addGroups(const coordination::GroupStatusReport& aGroups,
          const std::vector<coordination::SloStatus>& aStandings,
          const state::ZoneId& aZone,
          protocol::StatusReport& aReport)
{
  for (const coordination::GroupStatus& group : aGroups.groups_) {
    protocol::GroupStatus status;
    status.id_ = group.id_;
    status.serving_ = group.open_ > 0;
    status.whyNot_ = whyNot(group);
    status.since_ = since(group);
    status.copiesWanted_ = group.wanted_;
    status.downtime_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(group.downtime_);
    status.worstMinute_ = worstMinute(aStandings, group.id_);
    std::transform(group.copies_.begin(),
                   group.copies_.end(),
                   std::back_inserter(status.copies_),
                   copyStatus);
    aReport.groups_.push_back(std::move(status));
  }
  for (const coordination::DomainStatus& domain : aGroups.domains_) {
    aReport.spares_.push_back(
      { aZone,
        domain.domain_,
        static_cast<std::uint32_t>(domain.spares_.size()) });
  }
  for (const auto& [cause, count] : aGroups.strandedAccelerators_) {
    aReport.stranded_.push_back({ cause, count });
  }
}

void
addDaemons(const coordination::FleetProgress& aProgress,
           protocol::StatusReport& aReport)
{
  for (const coordination::DaemonProgress& daemon : aProgress.daemons_) {
    aReport.daemons_.push_back(
      { daemon.id_, daemon.zone_, daemon.reachable_, daemon.generation_ });
  }
  for (const coordination::ZoneProgress& zone : aProgress.zones_) {
    const state::DaemonId all("all " + std::to_string(zone.live_) + " daemons");
    aReport.daemons_.push_back(
      { all, zone.zone_, zone.reachable_, zone.generation_ });
  }
}

} // namespace auburnhaven::app
