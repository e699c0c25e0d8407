// Failure detection among the daemons of a zone and choice of gossip links.

#include "coordination/fleet/membership.h"

#include "coordination/fleet/rendezvous_func.h"
#include "state/digest_func.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr int kSuspectAfterPeriods =
  3; ///< Heartbeat periods of silence until a daemon is suspect.
constexpr int kIntervalWeight =
  4; ///< The moving average moves by 1/4 of the difference to a new interval.
constexpr int kDeadAfterPeriods =
  5; ///< Heartbeat periods of silence until a daemon is dead.
constexpr state::Duration kPropagationTime = std::chrono::seconds(
  1); ///< Time for a heartbeat to reach all daemons of the zone.
constexpr state::Duration kPauseThreshold = std::chrono::seconds(
  1); ///< Gap between ticks from which this process counts as paused.
constexpr state::Duration kForgetAfter =
  std::chrono::minutes(10); ///< Silence after which a dead daemon is removed.
constexpr state::Duration kInboundLinkTimeout =
  std::chrono::seconds(5); ///< Time until an inbound link lapses.
constexpr std::size_t kMaxInboundLinks =
  8; ///< Greatest number of inbound links.
constexpr std::size_t kSuspectProbers = 2; ///< Daemons that probe a suspect.
constexpr std::uint64_t kRingSeeds[] = {
  11,
  23
}; ///< Hash seeds that order the two rings.

} // namespace

SessionId
sessionOf(const PeerAddress& aAddress)
{
  const std::string text = aAddress.id_.value() + '\n' +
                           aAddress.endpoint_.address_ + '\n' +
                           std::to_string(aAddress.endpoint_.port_) + '\n' +
                           std::to_string(aAddress.incarnation_.value());
  return SessionId(state::stableHash(text));
}

Membership::Membership(const FleetSettings& aSettings,
                       const state::Clock& aClock)
  : settings_(aSettings)
  , clock_(aClock)
  , lastTick_(aClock.now())
{
  addMember(settings_.self_);
  rebuildLinks();
}

void
Membership::addMember(const PeerAddress& aAddress)
{
  if (aAddress.zone_ != settings_.self_.zone_) {
    return;
  }
  const auto found = members_.find(aAddress.id_);
  if (found != members_.end()) {
    if (found->second.address_.incarnation_ >= aAddress.incarnation_) {
      return;
    }
    sessions_.erase(sessionOf(found->second.address_));
  }
  Member member;
  member.address_ = aAddress;
  member.heardAt_ = clock_.now();
  member.heartbeat_.session_ = sessionOf(aAddress);
  sessions_[member.heartbeat_.session_] = aAddress.id_;
  members_[aAddress.id_] = std::move(member);
  rebuildNeeded_ = true;
}

void
Membership::removeMember(const state::DaemonId& aId,
                         state::Incarnation aIncarnation)
{
  const auto found = members_.find(aId);
  const bool applies = found != members_.end() && aId != settings_.self_.id_ &&
                       found->second.address_.incarnation_ <= aIncarnation;
  if (!applies) {
    return;
  }
  sessions_.erase(found->second.heartbeat_.session_);
  members_.erase(found);
  rebuildNeeded_ = true;
}

void
Membership::receive(const state::Endpoint& aFrom, const Heartbeat& aHeartbeat)
{
  const auto session = sessions_.find(aHeartbeat.session_);
  if (session == sessions_.end() || session->second == settings_.self_.id_) {
    return;
  }
  Member& member = members_.at(session->second);
  if (aHeartbeat.count_ <= member.heartbeat_.count_) {
    const auto pending = pending_.find(aFrom);
    if (pending != pending_.end() &&
        aHeartbeat.count_ == member.heartbeat_.count_) {
      pending->second.erase(session->second);
    }
    return;
  }
  if (member.heartbeat_.count_ > 0 && member.liveness_ == Liveness::kLive) {
    const auto steps =
      static_cast<std::int64_t>(aHeartbeat.count_ - member.heartbeat_.count_);
    const state::Duration interval = (clock_.now() - member.heardAt_) / steps;
    member.interval_ += (interval - member.interval_) / kIntervalWeight;
  }
  member.heartbeat_ = aHeartbeat;
  member.heardAt_ = clock_.now();
  if (member.liveness_ != Liveness::kLive) {
    counts_.recoveries_ += member.liveness_ == Liveness::kDead ? 1 : 0;
    member.liveness_ = Liveness::kLive;
    rebuildNeeded_ = true;
  }
  enqueue(session->second, aFrom);
  if (heartbeatHandler_) {
    heartbeatHandler_(member);
  }
}

void
Membership::addInboundLink(const state::Endpoint& aFrom)
{
  const auto found = inboundLinks_.find(aFrom);
  if (found != inboundLinks_.end()) {
    found->second = clock_.now();
    return;
  }
  if (!ringNeighbors_.contains(aFrom) &&
      inboundLinks_.size() < kMaxInboundLinks) {
    inboundLinks_[aFrom] = clock_.now();
    rebuildNeeded_ = true;
  }
}

void
Membership::publish(Heartbeat aHeartbeat)
{
  Member& own = members_.at(settings_.self_.id_);
  aHeartbeat.session_ = own.heartbeat_.session_;
  aHeartbeat.count_ = own.heartbeat_.count_ + 1;
  own.heartbeat_ = std::move(aHeartbeat);
  own.heardAt_ = clock_.now();
  enqueue(settings_.self_.id_, settings_.self_.endpoint_);
}

void
Membership::enqueue(const state::DaemonId& aId, const state::Endpoint& aExcept)
{
  for (const state::Endpoint& link : links_) {
    if (link != aExcept) {
      pending_[link].insert(aId);
    }
  }
}

void
Membership::tick()
{
  const state::TimePoint now = clock_.now();
  const state::Duration gap = now - lastTick_;
  lastTick_ = now;
  for (auto& [id, member] : members_) {
    if (gap > kPauseThreshold) {
      // This process was paused and could not receive heartbeats, so the gap
      // does not count as silence of the others.
      member.heardAt_ = std::min(now, member.heardAt_ + gap);
    }
    if (id != settings_.self_.id_) {
      updateLiveness(member);
    }
  }
  const auto forgotten = std::erase_if(members_, [&](const auto& aItem) {
    const bool forget = aItem.second.liveness_ == Liveness::kDead &&
                        now - aItem.second.heardAt_ > kForgetAfter;
    if (forget) {
      sessions_.erase(aItem.second.heartbeat_.session_);
    }
    return forget;
  });
  rebuildNeeded_ = rebuildNeeded_ || forgotten > 0;
  const auto silent = std::erase_if(inboundLinks_, [&](const auto& aItem) {
    return now - aItem.second > kInboundLinkTimeout;
  });
  if (rebuildNeeded_ || silent > 0) {
    rebuildLinks();
  }
}

void
Membership::updateLiveness(Member& aMember)
{
  const state::Duration silence = clock_.now() - aMember.heardAt_;
  const state::Duration period =
    std::max<state::Duration>(aMember.interval_, kMinHeartbeatPeriod);
  Liveness verdict = Liveness::kLive;
  if (silence > kDeadAfterPeriods * period + kPropagationTime) {
    verdict = Liveness::kDead;
  } else if (silence > kSuspectAfterPeriods * period + kPropagationTime) {
    verdict = Liveness::kSuspect;
  }
  if (verdict <= aMember.liveness_) {
    return;
  }
  counts_.deaths_ += verdict == Liveness::kDead ? 1 : 0;
  aMember.liveness_ = verdict;
  rebuildNeeded_ = true;
}

void
Membership::rebuildLinks()
{
  rebuildNeeded_ = false;
  live_.clear();
  for (const auto& [id, member] : members_) {
    if (member.liveness_ == Liveness::kLive) {
      live_.push_back(id);
    }
  }
  assert(!live_.empty());
  std::set<state::Endpoint> links;
  for (const std::uint64_t seed : kRingSeeds) {
    addRingNeighbors(seed, links);
  }
  links.erase(settings_.self_.endpoint_);
  ringNeighbors_ = links;
  for (const auto& [endpoint, at] : inboundLinks_) {
    links.insert(endpoint);
  }
  for (const state::Endpoint& link : links) {
    if (!std::binary_search(links_.begin(), links_.end(), link)) {
      // The peer of a new link gets the heartbeats of all live daemons once.
      pending_[link].insert(live_.begin(), live_.end());
    }
  }
  links_.assign(links.begin(), links.end());
  std::erase_if(
    pending_, [&](const auto& aItem) { return !links.contains(aItem.first); });
}

void
Membership::addRingNeighbors(std::uint64_t aSeed,
                             std::set<state::Endpoint>& aLinks)
{
  std::vector<std::pair<std::uint64_t, state::DaemonId>> ring;
  for (const state::DaemonId& id : live_) {
    ring.emplace_back(state::stableHash(id.value(), aSeed), id);
  }
  std::sort(ring.begin(), ring.end());
  const auto own =
    std::find_if(ring.begin(), ring.end(), [&](const auto& aItem) {
      return aItem.second == settings_.self_.id_;
    });
  const std::size_t position = static_cast<std::size_t>(own - ring.begin());
  for (const std::size_t step : { std::size_t{ 1 }, ring.size() - 1 }) {
    const state::DaemonId& id = ring[(position + step) % ring.size()].second;
    aLinks.insert(members_.at(id).address_.endpoint_);
  }
}

std::vector<Heartbeat>
Membership::collect(const state::Endpoint& aTo)
{
  std::vector<Heartbeat> heartbeats;
  const auto pending = pending_.find(aTo);
  if (pending == pending_.end()) {
    return heartbeats;
  }
  for (const state::DaemonId& id : pending->second) {
    const auto found = members_.find(id);
    if (found != members_.end() && found->second.heartbeat_.count_ > 0) {
      heartbeats.push_back(found->second.heartbeat_);
    }
  }
  pending->second.clear();
  return heartbeats;
}

std::vector<state::Endpoint>
Membership::suspectsToProbe() const
{
  std::vector<state::Endpoint> suspects;
  for (const auto& [id, member] : members_) {
    if (member.liveness_ == Liveness::kSuspect &&
        rankOf("ask/" + id.value(), live_, settings_.self_.id_) <
          kSuspectProbers) {
      suspects.push_back(member.address_.endpoint_);
    }
  }
  return suspects;
}

std::vector<state::Endpoint>
Membership::deadEndpoints() const
{
  std::vector<state::Endpoint> dead;
  for (const auto& [id, member] : members_) {
    if (member.liveness_ == Liveness::kDead) {
      dead.push_back(member.address_.endpoint_);
    }
  }
  return dead;
}

} // namespace auburnhaven::coordination
