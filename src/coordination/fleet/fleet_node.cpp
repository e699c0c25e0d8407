// Wires the parts with which one daemon takes part in the fleet.

#include "coordination/fleet/fleet_node.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kDigestPeriod =
  std::chrono::seconds(2); ///< Time between two digests sent to random links.
constexpr state::Duration kJoinPeriod =
  std::chrono::seconds(2); ///< Time between two attempts to contact daemons
                           ///< that are dead or not yet members.
constexpr state::Duration kCleanupPeriod = std::chrono::seconds(
  30); ///< Time between two searches for entries of lost daemons.
constexpr state::Duration kDemandPeriod =
  std::chrono::seconds(2); ///< Time between two checks of the store demand.
constexpr state::Duration kDemandRefresh = std::chrono::seconds(
  10); ///< Age after which a published demand is published again.
constexpr std::size_t kMaxWelcomeMembers =
  8; ///< Daemons considered for a welcome message.
constexpr char kDemandPrefix[] =
  "store/"; ///< Prefix of the names of published store demands.

/** @return A copy whose observation time is earlier by the transit time. */
template<class Item>
Item
correctForTransit(Item aItem, state::Duration aTransit)
{
  aItem.observedAt_ -= aTransit;
  return aItem;
}

/** @return Demand rounded up to a power of two, so that it rarely changes. */
double
roundedDemand(double aDemand)
{
  return std::exp2(std::ceil(std::log2(std::max(aDemand, 1.0))));
}

} // namespace

FleetNode::FleetNode(const FleetSettings& aSettings,
                     const FleetPorts& aPorts,
                     ConfigCheck aCheck,
                     std::uint64_t aSeed)
  : settings_(aSettings)
  , clock_(aPorts.clock_)
  , network_(aPorts.network_)
  , random_(aSeed)
  , linkClock_(clock_)
  , limiter_(settings_, clock_, aPorts.store_)
  , membership_(settings_, clock_)
  , table_(
      clock_,
      { settings_.tableBytesPerSecond_, settings_.tablePeakBytesPerSecond_ })
  , observer_(settings_,
              clock_,
              membership_,
              table_,
              aPorts.engines_,
              aPorts.list_)
  , follower_(settings_, clock_, membership_, table_, limiter_)
  , configStore_(
      limiter_,
      clock_,
      std::move(aCheck),
      [this] { return follower_.known(); },
      [this](const std::string& aName, const std::string& aDigest) {
        return follower_.findDocumentText(aName, aDigest);
      })
  , bridge_(settings_,
            clock_,
            membership_,
            table_,
            random_,
            [this](const state::Endpoint& aTo, PeerBody aBody) {
              send(aTo, std::move(aBody));
            })
  , directory_(settings_, clock_, membership_, limiter_)
{
  const auto phase = std::chrono::milliseconds(
    random_() % static_cast<std::uint64_t>(kGossipInterval.count()));
  nextGossipAt_ = clock_.now() + phase;
  nextHeartbeatAt_ =
    clock_.now() +
    std::chrono::milliseconds(
      random_() % static_cast<std::uint64_t>(kMinHeartbeatPeriod.count()));
  table_.subscribe(EntryKind::kDaemon, [this](const SharedEntry& aEntry) {
    handleDaemonEntry(aEntry);
  });
  membership_.onHeartbeat(
    [this](const Member& aMember) { observer_.receiveHeartbeat(aMember); });
  network_.onMessage(
    [this](const state::Endpoint& aFrom, const PeerMessage& aMessage) {
      receive(aFrom, aMessage);
    });
  announce();
}

void
FleetNode::announce()
{
  table_.publish(
    { { EntryKind::kDaemon, settings_.self_.id_.value() },
      { settings_.self_.incarnation_.value(), ++announcementVersion_ },
      stopped_ ? std::string() : encodeDaemon(settings_.self_),
      clock_.now() });
}

void
FleetNode::handleDaemonEntry(const SharedEntry& aEntry)
{
  const state::DaemonId id(aEntry.key_.name_);
  const state::Incarnation incarnation(aEntry.version_.major_);
  if (id == settings_.self_.id_) {
    const bool refute = incarnation == settings_.self_.incarnation_ &&
                        aEntry.version_.minor_ > announcementVersion_;
    if (refute && !stopped_) {
      announcementVersion_ = aEntry.version_.minor_;
      announce();
    }
    return;
  }
  const std::optional<PeerAddress> address =
    aEntry.payload_.empty() ? std::nullopt : decodeDaemon(aEntry);
  if (address) {
    membership_.addMember(*address);
  } else {
    membership_.removeMember(id, incarnation);
  }
}

void
FleetNode::tick()
{
  if (stopped_) {
    return;
  }
  const state::TimePoint now = clock_.now();
  membership_.tick();
  table_.tick();
  updateStoreLimit();
  directory_.tick();
  observer_.tick(nextHeartbeatAt_, heartbeatPeriod(membership_.live().size()));
  follower_.tick();
  configStore_.tick();
  bridge_.tick();
  if (now >= nextJoinAt_) {
    nextJoinAt_ = now + kJoinPeriod;
    join();
  }
  if (now >= nextHeartbeatAt_) {
    nextHeartbeatAt_ = now + heartbeatPeriod(membership_.live().size());
    publishHeartbeat();
  }
  if (now >= nextGossipAt_) {
    const state::Duration round = gossipInterval(membership_.live().size());
    nextGossipAt_ = std::max(nextGossipAt_ + round, now);
    gossip();
  }
  if (now >= nextDigestAt_) {
    nextDigestAt_ = now + kDigestPeriod;
    sendDigestToRandomLink();
  }
  if (now >= nextCleanupAt_) {
    nextCleanupAt_ = now + kCleanupPeriod;
    linkClock_.forgetSilent();
    removeLostDaemons();
  }
}

void
FleetNode::stop()
{
  if (stopped_) {
    return;
  }
  stopped_ = true;
  announce();
  gossip();
}

void
FleetNode::updateStoreLimit()
{
  StoreDemand demand;
  demand.daemons_ = membership_.live().size();
  if (clock_.now() >= nextDemandAt_) {
    nextDemandAt_ = clock_.now() + kDemandPeriod;
    const bool busy = limiter_.demand() > limiter_.evenShare(demand.daemons_);
    const double declared = busy ? roundedDemand(limiter_.demand()) : 0;
    const EntryKey key{ EntryKind::kUsage,
                        kDemandPrefix + settings_.self_.id_.value() };
    const std::optional<SharedEntry> held = table_.find(key);
    const bool outdated =
      declared != declaredDemand_ ||
      (busy && held && clock_.now() - held->observedAt_ > kDemandRefresh);
    if (outdated) {
      const std::uint64_t count = held ? held->version_.minor_ + 1 : 1;
      declaredDemand_ = declared;
      table_.publish({ key,
                       { settings_.self_.incarnation_.value(), count },
                       busy ? std::to_string(std::lround(declared)) : "",
                       clock_.now() });
    }
  }
  demand.own_ = declaredDemand_;
  if (declaredDemand_ > 0) {
    for (const SharedEntry& entry : table_.list(EntryKind::kUsage)) {
      if (entry.key_.name_.starts_with(kDemandPrefix)) {
        demand.declared_ += std::strtod(entry.payload_.c_str(), nullptr);
      }
    }
  }
  limiter_.tick(demand);
}

void
FleetNode::publishHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.generation_ = follower_.inForce()->generation_;
  observer_.fillHeartbeat(heartbeat);
  membership_.publish(std::move(heartbeat));
}

std::vector<GossipLink>
FleetNode::allLinks() const
{
  std::vector<GossipLink> links;
  for (const state::Endpoint& endpoint : membership_.links()) {
    links.push_back({ endpoint, false });
  }
  for (const state::Endpoint& endpoint : bridge_.links()) {
    links.push_back({ endpoint, true });
  }
  return links;
}

void
FleetNode::gossip()
{
  const std::vector<GossipLink> links = allLinks();
  table_.setLinks(links);
  std::erase_if(digestSent_, [&](const GossipLink& aLink) {
    return std::find(links.begin(), links.end(), aLink) == links.end();
  });
  // Starts at a random link so that none is always last when the byte budget
  // runs out.
  const std::size_t first = links.empty() ? 0 : random_() % links.size();
  for (std::size_t step = 0; step < links.size(); ++step) {
    sendGossip(links[(first + step) % links.size()]);
  }
}

bool
FleetNode::isChosen(const GossipLink& aLink) const
{
  if (!aLink.otherZone_) {
    return membership_.isChosenLink(aLink.endpoint_);
  }
  const std::vector<state::Endpoint> links = bridge_.chosenLinks();
  return std::find(links.begin(), links.end(), aLink.endpoint_) != links.end();
}

void
FleetNode::sendGossip(const GossipLink& aTo)
{
  GossipMessage message;
  if (!aTo.otherZone_) {
    message.beats_ = membership_.collect(aTo.endpoint_);
  }
  if (linkClock_.stamp(aTo.endpoint_).echoMs_) {
    message.entries_ = table_.collect(aTo);
    if (digestSent_.insert(aTo).second) {
      sendDigest(aTo);
    }
  }
  message.chosen_ = isChosen(aTo);
  if (!message.beats_.empty() || !message.entries_.empty()) {
    send(aTo.endpoint_, std::move(message));
  }
}

void
FleetNode::sendDigest(const GossipLink& aTo)
{
  send(aTo.endpoint_, table_.digest(aTo));
}

void
FleetNode::sendDigestToRandomLink()
{
  const std::vector<GossipLink> links = allLinks();
  if (!links.empty()) {
    sendDigest(links[random_() % links.size()]);
  }
}

std::vector<state::Endpoint>
FleetNode::joinTargets() const
{
  std::vector<state::Endpoint> targets = membership_.deadEndpoints();
  std::vector<state::Endpoint> known;
  for (const auto& [id, member] : membership_.members()) {
    known.push_back(member.address_.endpoint_);
  }
  std::vector<state::Endpoint> listed = settings_.seeds_;
  for (const PeerAddress& address : directory_.listed()) {
    listed.push_back(address.endpoint_);
  }
  for (const state::Endpoint& endpoint : listed) {
    if (std::find(known.begin(), known.end(), endpoint) == known.end()) {
      targets.push_back(endpoint);
    }
  }
  return targets;
}

void
FleetNode::join()
{
  for (const state::Endpoint& suspect : membership_.suspectsToProbe()) {
    sendJoin(suspect);
  }
  const std::vector<state::Endpoint> targets = joinTargets();
  if (!targets.empty()) {
    sendJoin(targets[random_() % targets.size()]);
  }
}

void
FleetNode::sendJoin(const state::Endpoint& aTo)
{
  send(aTo, JoinMessage{ settings_.self_ });
  const Heartbeat& own =
    membership_.members().at(settings_.self_.id_).heartbeat_;
  if (own.count_ > 0) {
    send(aTo, GossipMessage{ { own }, {} });
  }
}

void
FleetNode::removeLostDaemons()
{
  for (const SharedEntry& entry : table_.list(EntryKind::kDaemon)) {
    const state::DaemonId id(entry.key_.name_);
    const bool lost = !membership_.members().contains(id);
    if (lost &&
        rankOf("retire", membership_.live(), settings_.self_.id_) == 0) {
      table_.publish({ entry.key_,
                       { entry.version_.major_, entry.version_.minor_ + 1 },
                       {},
                       clock_.now() });
    }
  }
  for (const SharedEntry& entry : table_.list(EntryKind::kObservedSet)) {
    const std::optional<SharedEntry> daemon =
      table_.find({ EntryKind::kDaemon, entry.key_.name_ });
    const bool lost = daemon && daemon->payload_.empty();
    if (lost &&
        rankOf("retire", membership_.live(), settings_.self_.id_) == 0) {
      table_.publish({ entry.key_,
                       { entry.version_.major_, UINT64_MAX },
                       {},
                       clock_.now() });
    }
  }
}

void
FleetNode::send(const state::Endpoint& aTo, PeerBody aBody)
{
  if (aTo != settings_.self_.endpoint_) {
    network_.send(
      aTo, { settings_.self_.zone_, linkClock_.stamp(aTo), std::move(aBody) });
  }
}

void
FleetNode::receive(const state::Endpoint& aFrom, const PeerMessage& aMessage)
{
  if (stopped_) {
    return;
  }
  const std::optional<state::Duration> transit =
    linkClock_.recordArrival(aFrom, aMessage.stamp_);
  const GossipLink from{ aFrom, aMessage.zone_ != settings_.self_.zone_ };
  std::visit(
    [&](const auto& aBody) {
      if constexpr (std::is_same_v<std::decay_t<decltype(aBody)>,
                                   GossipMessage>) {
        handle(from, aBody, transit);
      } else {
        handle(from, aBody);
      }
    },
    aMessage.body_);
}

void
FleetNode::handle(const GossipLink& aFrom,
                  const GossipMessage& aMessage,
                  std::optional<state::Duration> aTransit)
{
  if (aMessage.chosen_ && aFrom.otherZone_) {
    bridge_.addInboundLink(aFrom.endpoint_);
  } else if (aMessage.chosen_) {
    membership_.addInboundLink(aFrom.endpoint_);
  }
  // A heartbeat attests entries, so the entries are applied first.
  for (const WireEntry& entry : aMessage.entries_) {
    const bool allowed =
      !aFrom.otherZone_ ||
      ruleOf(entry.entry_.key_.kind_).scope_ == EntryScope::kAllZones;
    if (allowed && aTransit) {
      WireEntry corrected = entry;
      corrected.entry_.observedAt_ -= *aTransit;
      table_.receive(aFrom, corrected);
    }
  }
  // While the transit time has no known bound, a heartbeat proves liveness but
  // must not renew reports of VMs. This age is too great to renew any.
  constexpr state::Duration kUnknownTransit = std::chrono::hours(1);
  for (const Heartbeat& heartbeat : aMessage.beats_) {
    if (!aFrom.otherZone_) {
      membership_.receive(
        aFrom.endpoint_,
        correctForTransit(heartbeat, aTransit.value_or(kUnknownTransit)));
    }
  }
}

void
FleetNode::handle(const GossipLink& aFrom, const DigestMessage& aMessage)
{
  BucketMessage buckets = table_.compare(aFrom, aMessage);
  if (!buckets.buckets_.empty()) {
    send(aFrom.endpoint_, std::move(buckets));
  }
}

void
FleetNode::handle(const GossipLink& aFrom, const BucketMessage& aMessage)
{
  EntryRequestMessage request = table_.compare(aFrom, aMessage);
  if (!request.keys_.empty()) {
    send(aFrom.endpoint_, std::move(request));
  }
}

void
FleetNode::handle(const GossipLink& aFrom, const EntryRequestMessage& aMessage)
{
  table_.enqueueRequested(aFrom, aMessage);
}

void
FleetNode::handle(const GossipLink& aFrom, const JoinMessage& aMessage)
{
  if (aFrom.otherZone_ || aMessage.from_.zone_ != settings_.self_.zone_) {
    return;
  }
  membership_.addMember(aMessage.from_);
  WelcomeMessage welcome;
  welcome.members_.push_back(settings_.self_);
  const std::vector<state::DaemonId>& live = membership_.live();
  for (const state::DaemonId& id : chooseDaemons(
         "welcome/" + aMessage.from_.id_.value(), live, kMaxWelcomeMembers)) {
    const PeerAddress& address = membership_.members().at(id).address_;
    if (id != settings_.self_.id_ && id != aMessage.from_.id_) {
      welcome.members_.push_back(address);
    }
  }
  send(aFrom.endpoint_, std::move(welcome));
  const Heartbeat& own =
    membership_.members().at(settings_.self_.id_).heartbeat_;
  if (own.count_ > 0) {
    send(aFrom.endpoint_, GossipMessage{ { own }, {} });
  }
}

void
FleetNode::handle(const GossipLink& aFrom, const WelcomeMessage& aMessage)
{
  if (aFrom.otherZone_) {
    return;
  }
  for (const PeerAddress& address : aMessage.members_) {
    membership_.addMember(address);
  }
}

void
FleetNode::handle(const GossipLink& aFrom, const ZoneMessage& aMessage)
{
  if (aFrom.otherZone_) {
    bridge_.receive(aFrom.endpoint_, aMessage);
  }
}

FleetProgress
FleetNode::progress() const
{
  FleetProgress progress;
  for (const auto& [id, member] : membership_.members()) {
    const state::Generation generation = id == settings_.self_.id_
                                           ? follower_.inForce()->generation_
                                           : member.heartbeat_.generation_;
    progress.daemons_.push_back({ id,
                                  member.address_.zone_,
                                  generation,
                                  member.liveness_ == Liveness::kLive });
  }
  progress.zones_ = bridge_.progress();
  return progress;
}

} // namespace auburnhaven::coordination
