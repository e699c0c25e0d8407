// Which daemons of the own zone live, and which of them this one has links to.

#include "coordination/fleet/membership.h"

#include "coordination/fleet/rendezvous_func.h"
#include "state/digest_func.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr int kSuspectAfterPeriods = 3; ///< Silence that makes a suspect.
constexpr int kIntervalWeight = 4;      ///< Part by which one interval counts.
constexpr int kDeadAfterPeriods = 5;    ///< Silence that means death.
constexpr state::Duration kSpreadTime =
  std::chrono::seconds(1); ///< Time for a heartbeat to reach all daemons.
constexpr state::Duration kPauseGap =
  std::chrono::seconds(1); ///< Gap between ticks that shows an own pause.
constexpr state::Duration kForgetAfter =
  std::chrono::minutes(10); ///< Time after which a dead daemon is forgotten.
constexpr state::Duration kInboundAge =
  std::chrono::seconds(5); ///< Time for which a peer that sent is a link.
constexpr std::size_t kMaxInbound = 8; ///< Links beyond the own neighbours.
constexpr std::size_t kAskers = 2;     ///< Daemons that ask a suspect.
constexpr std::uint64_t kRingSeeds[] = { 11, 23 }; ///< Hash seed of each ring.

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
  introduce(settings_.self_);
  rebuild();
}

void
Membership::introduce(const PeerAddress& aAddress)
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
  member.beat_.session_ = sessionOf(aAddress);
  sessions_[member.beat_.session_] = aAddress.id_;
  members_[aAddress.id_] = std::move(member);
  changed_ = true;
}

void
Membership::leave(const state::DaemonId& aId, state::Incarnation aIncarnation)
{
  const auto found = members_.find(aId);
  const bool applies = found != members_.end() && aId != settings_.self_.id_ &&
                       found->second.address_.incarnation_ <= aIncarnation;
  if (!applies) {
    return;
  }
  sessions_.erase(found->second.beat_.session_);
  members_.erase(found);
  changed_ = true;
}

void
Membership::receive(const state::Endpoint& aFrom, const Heartbeat& aBeat)
{
  const auto session = sessions_.find(aBeat.session_);
  if (session == sessions_.end() || session->second == settings_.self_.id_) {
    return;
  }
  Member& member = members_.at(session->second);
  if (aBeat.count_ <= member.beat_.count_) {
    const auto pending = pending_.find(aFrom);
    if (pending != pending_.end() && aBeat.count_ == member.beat_.count_) {
      pending->second.erase(session->second);
    }
    return;
  }
  if (member.beat_.count_ > 0 && member.liveness_ == Liveness::kLive) {
    const auto steps =
      static_cast<std::int64_t>(aBeat.count_ - member.beat_.count_);
    const state::Duration interval = (clock_.now() - member.heardAt_) / steps;
    member.interval_ += (interval - member.interval_) / kIntervalWeight;
  }
  member.beat_ = aBeat;
  member.heardAt_ = clock_.now();
  if (member.liveness_ != Liveness::kLive) {
    counts_.recoveries_ += member.liveness_ == Liveness::kDead ? 1 : 0;
    member.liveness_ = Liveness::kLive;
    changed_ = true;
  }
  spread(session->second, aFrom);
  if (beatHandler_) {
    beatHandler_(member);
  }
}

void
Membership::addInboundLink(const state::Endpoint& aFrom)
{
  const auto found = inbound_.find(aFrom);
  if (found != inbound_.end()) {
    found->second = clock_.now();
    return;
  }
  if (!chosen_.contains(aFrom) && inbound_.size() < kMaxInbound) {
    inbound_[aFrom] = clock_.now();
    changed_ = true;
  }
}

void
Membership::publish(Heartbeat aBeat)
{
  Member& own = members_.at(settings_.self_.id_);
  aBeat.session_ = own.beat_.session_;
  aBeat.count_ = own.beat_.count_ + 1;
  own.beat_ = std::move(aBeat);
  own.heardAt_ = clock_.now();
  spread(settings_.self_.id_, settings_.self_.endpoint_);
}

void
Membership::spread(const state::DaemonId& aId, const state::Endpoint& aExcept)
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
    if (gap > kPauseGap) {
      // This process has been paused: silence proves nothing about the others.
      member.heardAt_ = std::min(now, member.heardAt_ + gap);
    }
    if (id != settings_.self_.id_) {
      judge(member);
    }
  }
  const auto forgotten = std::erase_if(members_, [&](const auto& aItem) {
    const bool forget = aItem.second.liveness_ == Liveness::kDead &&
                        now - aItem.second.heardAt_ > kForgetAfter;
    if (forget) {
      sessions_.erase(aItem.second.beat_.session_);
    }
    return forget;
  });
  changed_ = changed_ || forgotten > 0;
  const auto silent = std::erase_if(inbound_, [&](const auto& aItem) {
    return now - aItem.second > kInboundAge;
  });
  if (changed_ || silent > 0) {
    rebuild();
  }
}

void
Membership::judge(Member& aMember)
{
  const state::Duration silence = clock_.now() - aMember.heardAt_;
  const state::Duration period =
    std::max<state::Duration>(aMember.interval_, kMinBeatPeriod);
  Liveness verdict = Liveness::kLive;
  if (silence > kDeadAfterPeriods * period + kSpreadTime) {
    verdict = Liveness::kDead;
  } else if (silence > kSuspectAfterPeriods * period + kSpreadTime) {
    verdict = Liveness::kSuspect;
  }
  if (verdict <= aMember.liveness_) {
    return;
  }
  counts_.deaths_ += verdict == Liveness::kDead ? 1 : 0;
  aMember.liveness_ = verdict;
  changed_ = true;
}

void
Membership::rebuild()
{
  changed_ = false;
  live_.clear();
  for (const auto& [id, member] : members_) {
    if (member.liveness_ == Liveness::kLive) {
      live_.push_back(id);
    }
  }
  assert(!live_.empty());
  std::set<state::Endpoint> links;
  for (const std::uint64_t seed : kRingSeeds) {
    addRingNeighbours(seed, links);
  }
  links.erase(settings_.self_.endpoint_);
  chosen_ = links;
  for (const auto& [endpoint, at] : inbound_) {
    links.insert(endpoint);
  }
  for (const state::Endpoint& link : links) {
    if (!std::binary_search(links_.begin(), links_.end(), link)) {
      // A new link gets all heartbeats once.
      pending_[link].insert(live_.begin(), live_.end());
    }
  }
  links_.assign(links.begin(), links.end());
  std::erase_if(
    pending_, [&](const auto& aItem) { return !links.contains(aItem.first); });
}

void
Membership::addRingNeighbours(std::uint64_t aSeed,
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
  const std::size_t place = static_cast<std::size_t>(own - ring.begin());
  for (const std::size_t step : { std::size_t{ 1 }, ring.size() - 1 }) {
    const state::DaemonId& id = ring[(place + step) % ring.size()].second;
    aLinks.insert(members_.at(id).address_.endpoint_);
  }
}

std::vector<Heartbeat>
Membership::collect(const state::Endpoint& aTo)
{
  std::vector<Heartbeat> beats;
  const auto pending = pending_.find(aTo);
  if (pending == pending_.end()) {
    return beats;
  }
  for (const state::DaemonId& id : pending->second) {
    const auto found = members_.find(id);
    if (found != members_.end() && found->second.beat_.count_ > 0) {
      beats.push_back(found->second.beat_);
    }
  }
  pending->second.clear();
  return beats;
}

std::vector<state::Endpoint>
Membership::suspectsToProbe() const
{
  std::vector<state::Endpoint> suspects;
  for (const auto& [id, member] : members_) {
    if (member.liveness_ == Liveness::kSuspect &&
        rankOf("ask/" + id.value(), live_, settings_.self_.id_) < kAskers) {
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
