// One daemon as a part of the whole system.

#include "coordination/fleet/fleet_node.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kDigestPeriod =
  std::chrono::seconds(2); ///< Time between two comparisons.
constexpr state::Duration kJoinPeriod =
  std::chrono::seconds(2); ///< Time between two contacts with lost daemons.
constexpr state::Duration kRetirePeriod =
  std::chrono::seconds(30); ///< Time between two searches for old entries.
constexpr state::Duration kDeclarePeriod =
  std::chrono::seconds(2); ///< Time between two looks at the store's demand.
constexpr state::Duration kDeclareRefresh =
  std::chrono::seconds(10); ///< Age at which a declared demand is renewed.
constexpr std::size_t kWelcomed = 8;       ///< Daemons named to a new one.
constexpr char kDemandPrefix[] = "store/"; ///< Names of declared demands.

/** Moves times back by the transit time of their message. */
template<class Item>
Item
aged(Item aItem, state::Duration aTransit)
{
  aItem.observedAt_ -= aTransit;
  return aItem;
}

/** @return Demand rounded up to a power of two. */
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
        return follower_.textOf(aName, aDigest);
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
    random_() % static_cast<std::uint64_t>(kGossipRound.count()));
  gossipAt_ = clock_.now() + phase;
  beatAt_ = clock_.now() +
            std::chrono::milliseconds(
              random_() % static_cast<std::uint64_t>(kMinBeatPeriod.count()));
  table_.subscribe(EntryKind::kDaemon,
                   [this](const SharedEntry& aEntry) { takeDaemon(aEntry); });
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
  table_.publish({ { EntryKind::kDaemon, settings_.self_.id_.value() },
                   { settings_.self_.incarnation_.value(), ++announced_ },
                   stopped_ ? std::string() : encodeDaemon(settings_.self_),
                   clock_.now() });
}

void
FleetNode::takeDaemon(const SharedEntry& aEntry)
{
  const state::DaemonId id(aEntry.key_.name_);
  const state::Incarnation incarnation(aEntry.version_.major_);
  if (id == settings_.self_.id_) {
    const bool refute = incarnation == settings_.self_.incarnation_ &&
                        aEntry.version_.minor_ > announced_;
    if (refute && !stopped_) {
      announced_ = aEntry.version_.minor_;
      announce();
    }
    return;
  }
  const std::optional<PeerAddress> address =
    aEntry.payload_.empty() ? std::nullopt : decodeDaemon(aEntry);
  if (address) {
    membership_.introduce(*address);
  } else {
    membership_.leave(id, incarnation);
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
  limitStore();
  directory_.tick();
  observer_.tick(beatAt_, beatPeriod(membership_.live().size()));
  follower_.tick();
  configStore_.tick();
  bridge_.tick();
  if (now >= joinAt_) {
    joinAt_ = now + kJoinPeriod;
    join();
  }
  if (now >= beatAt_) {
    beatAt_ = now + beatPeriod(membership_.live().size());
    beat();
  }
  if (now >= gossipAt_) {
    const state::Duration round = gossipRound(membership_.live().size());
    gossipAt_ = std::max(gossipAt_ + round, now);
    gossip();
  }
  if (now >= digestAt_) {
    digestAt_ = now + kDigestPeriod;
    compareWithOne();
  }
  if (now >= retireAt_) {
    retireAt_ = now + kRetirePeriod;
    linkClock_.forgetSilent();
    retire();
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
FleetNode::limitStore()
{
  StoreDemand demand;
  demand.daemons_ = membership_.live().size();
  if (clock_.now() >= declareAt_) {
    declareAt_ = clock_.now() + kDeclarePeriod;
    const bool busy = limiter_.demand() > limiter_.evenShare(demand.daemons_);
    const double declared = busy ? roundedDemand(limiter_.demand()) : 0;
    const EntryKey key{ EntryKind::kUsage,
                        kDemandPrefix + settings_.self_.id_.value() };
    const std::optional<SharedEntry> held = table_.find(key);
    const bool news =
      declared != declared_ ||
      (busy && held && clock_.now() - held->observedAt_ > kDeclareRefresh);
    if (news) {
      const std::uint64_t count = held ? held->version_.minor_ + 1 : 1;
      declared_ = declared;
      table_.publish({ key,
                       { settings_.self_.incarnation_.value(), count },
                       busy ? std::to_string(std::lround(declared)) : "",
                       clock_.now() });
    }
  }
  demand.own_ = declared_;
  if (declared_ > 0) {
    for (const SharedEntry& entry : table_.list(EntryKind::kUsage)) {
      if (entry.key_.name_.starts_with(kDemandPrefix)) {
        demand.declared_ += std::strtod(entry.payload_.c_str(), nullptr);
      }
    }
  }
  limiter_.tick(demand);
}

void
FleetNode::beat()
{
  Heartbeat beat;
  beat.generation_ = follower_.inForce()->generation_;
  observer_.fillHeartbeat(beat);
  membership_.publish(std::move(beat));
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
  std::erase_if(greeted_, [&](const GossipLink& aLink) {
    return std::find(links.begin(), links.end(), aLink) == links.end();
  });
  // The order changes so that no link is always last when bytes are short.
  const std::size_t first = links.empty() ? 0 : random_() % links.size();
  for (std::size_t step = 0; step < links.size(); ++step) {
    sendGossip(links[(first + step) % links.size()]);
  }
}

bool
FleetNode::isChosen(const GossipLink& aLink) const
{
  if (!aLink.otherZone_) {
    return membership_.chosen(aLink.endpoint_);
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
    if (greeted_.insert(aTo).second) {
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
FleetNode::compareWithOne()
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
    askToJoin(suspect);
  }
  const std::vector<state::Endpoint> targets = joinTargets();
  if (!targets.empty()) {
    askToJoin(targets[random_() % targets.size()]);
  }
}

void
FleetNode::askToJoin(const state::Endpoint& aTo)
{
  send(aTo, JoinMessage{ settings_.self_ });
  const Heartbeat& own = membership_.members().at(settings_.self_.id_).beat_;
  if (own.count_ > 0) {
    send(aTo, GossipMessage{ { own }, {} });
  }
}

void
FleetNode::retire()
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
    linkClock_.arrived(aFrom, aMessage.stamp_);
  const GossipLink from{ aFrom, aMessage.zone_ != settings_.self_.zone_ };
  std::visit(
    [&](const auto& aBody) {
      if constexpr (std::is_same_v<std::decay_t<decltype(aBody)>,
                                   GossipMessage>) {
        take(from, aBody, transit);
      } else {
        take(from, aBody);
      }
    },
    aMessage.body_);
}

void
FleetNode::take(const GossipLink& aFrom,
                const GossipMessage& aMessage,
                std::optional<state::Duration> aTransit)
{
  if (aMessage.chosen_ && aFrom.otherZone_) {
    bridge_.addInboundLink(aFrom.endpoint_);
  } else if (aMessage.chosen_) {
    membership_.addInboundLink(aFrom.endpoint_);
  }
  // Heartbeats refer to the entries, so these come first.
  for (const WireEntry& entry : aMessage.entries_) {
    const bool allowed =
      !aFrom.otherZone_ ||
      ruleOf(entry.entry_.key_.kind_).scope_ == EntryScope::kAllZones;
    if (allowed && aTransit) {
      WireEntry late = entry;
      late.entry_.observedAt_ -= *aTransit;
      table_.receive(aFrom, late);
    }
  }
  // Without a bound of the transit time, heartbeats prove life but no evidence.
  constexpr state::Duration kUnknownTransit = std::chrono::hours(1);
  for (const Heartbeat& beat : aMessage.beats_) {
    if (!aFrom.otherZone_) {
      membership_.receive(aFrom.endpoint_,
                          aged(beat, aTransit.value_or(kUnknownTransit)));
    }
  }
}

void
FleetNode::take(const GossipLink& aFrom, const DigestMessage& aMessage)
{
  BucketMessage buckets = table_.compare(aFrom, aMessage);
  if (!buckets.buckets_.empty()) {
    send(aFrom.endpoint_, std::move(buckets));
  }
}

void
FleetNode::take(const GossipLink& aFrom, const BucketMessage& aMessage)
{
  EntryRequestMessage want = table_.compare(aFrom, aMessage);
  if (!want.keys_.empty()) {
    send(aFrom.endpoint_, std::move(want));
  }
}

void
FleetNode::take(const GossipLink& aFrom, const EntryRequestMessage& aMessage)
{
  table_.answer(aFrom, aMessage);
}

void
FleetNode::take(const GossipLink& aFrom, const JoinMessage& aMessage)
{
  if (aFrom.otherZone_ || aMessage.from_.zone_ != settings_.self_.zone_) {
    return;
  }
  membership_.introduce(aMessage.from_);
  WelcomeMessage welcome;
  welcome.members_.push_back(settings_.self_);
  const std::vector<state::DaemonId>& live = membership_.live();
  for (const state::DaemonId& id : chooseDaemons(
         "welcome/" + aMessage.from_.id_.value(), live, kWelcomed)) {
    const PeerAddress& address = membership_.members().at(id).address_;
    if (id != settings_.self_.id_ && id != aMessage.from_.id_) {
      welcome.members_.push_back(address);
    }
  }
  send(aFrom.endpoint_, std::move(welcome));
  const Heartbeat& own = membership_.members().at(settings_.self_.id_).beat_;
  if (own.count_ > 0) {
    send(aFrom.endpoint_, GossipMessage{ { own }, {} });
  }
}

void
FleetNode::take(const GossipLink& aFrom, const WelcomeMessage& aMessage)
{
  if (aFrom.otherZone_) {
    return;
  }
  for (const PeerAddress& address : aMessage.members_) {
    membership_.introduce(address);
  }
}

void
FleetNode::take(const GossipLink& aFrom, const ZoneMessage& aMessage)
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
                                           : member.beat_.generation_;
    progress.daemons_.push_back({ id,
                                  member.address_.zone_,
                                  generation,
                                  member.liveness_ == Liveness::kLive });
  }
  progress.zones_ = bridge_.progress();
  return progress;
}

} // namespace auburnhaven::coordination
