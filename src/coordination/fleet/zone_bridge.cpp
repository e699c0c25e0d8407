// Links to other availability zones and the known state of these zones.

#include "coordination/fleet/zone_bridge.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kGateways = 2;      ///< Gateway and standby.
constexpr std::size_t kRosterDaemons = 8; ///< Daemons named to another zone.
constexpr std::size_t kMaxBehind =
  8; ///< Greatest number of daemons named as behind.
constexpr state::Duration kRequestPeriods[kGateways] = {
  std::chrono::seconds(2),
  std::chrono::seconds(15)
}; ///< Time between two summary requests, by rank.
constexpr state::Duration kUnreachableAfter = std::chrono::seconds(
  30); ///< Time without news of a zone until it counts as unreachable.
constexpr state::Duration kProgressRefresh = std::chrono::seconds(
  10); ///< Age at which unchanged progress is published again.
constexpr state::Duration kRosterRefresh = std::chrono::seconds(
  60); ///< Age at which an unchanged roster is published again.
constexpr state::Duration kInboundLinkTimeout =
  std::chrono::seconds(5); ///< Time until an inbound link lapses.
constexpr std::size_t kMaxInboundLinks =
  16; ///< Greatest number of inbound links.
constexpr char kProgressSuffix[] =
  "/progress"; ///< Suffix of the name of a progress entry.

/** @return Rendezvous key by which the gateway to a zone is chosen. */
std::string
gatewayKey(const state::ZoneId& aZone)
{
  return "gateway/" + aZone.value();
}

} // namespace

ZoneBridge::ZoneBridge(const FleetSettings& aSettings,
                       const state::Clock& aClock,
                       const Membership& aMembership,
                       GossipTable& aTable,
                       std::mt19937_64& aRandom,
                       SendHandler aSend)
  : settings_(aSettings)
  , clock_(aClock)
  , membership_(aMembership)
  , table_(aTable)
  , random_(aRandom)
  , send_(std::move(aSend))
{
  for (const auto& [zone, seeds] : settings_.otherZones_) {
    contacts_[zone];
  }
}

void
ZoneBridge::tick()
{
  for (auto& [zone, contact] : contacts_) {
    if (contact.nextRequestAt_ > clock_.now()) {
      continue;
    }
    const std::size_t rank =
      rankOf(gatewayKey(zone), membership_.live(), settings_.self_.id_);
    if (rank < kGateways) {
      requestSummary(zone, contact, rank);
    } else {
      contact.nextRequestAt_ = clock_.now() + kGossipInterval;
    }
  }
  std::erase_if(inboundLinks_, [this](const auto& aItem) {
    return clock_.now() - aItem.second > kInboundLinkTimeout;
  });
}

void
ZoneBridge::requestSummary(const state::ZoneId& aZone,
                           Contact& aContact,
                           std::size_t aRank)
{
  aContact.nextRequestAt_ = clock_.now() + kRequestPeriods[aRank];
  std::vector<state::Endpoint> choices;
  for (const PeerAddress& address : rosterOf(aZone)) {
    choices.push_back(address.endpoint_);
  }
  const bool heard = !choices.empty() && clock_.now() - aContact.heardAt_ <
                                           3 * kRequestPeriods[aRank];
  if (heard) {
    choices.resize(1);
  } else {
    const auto seeds = settings_.otherZones_.find(aZone);
    if (seeds != settings_.otherZones_.end()) {
      choices.insert(choices.end(), seeds->second.begin(), seeds->second.end());
    }
  }
  if (choices.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, choices.size() - 1);
  send_(choices[pick(random_)], ZoneMessage{ summaryFor(aZone), true });
}

ZoneSummary
ZoneBridge::summaryFor(const state::ZoneId& aZone) const
{
  ZoneSummary summary;
  summary.zone_ = settings_.self_.zone_;
  summary.live_ = static_cast<std::uint32_t>(membership_.live().size());
  for (const state::DaemonId& id :
       chooseDaemons(gatewayKey(aZone), membership_.live(), kRosterDaemons)) {
    summary.daemons_.push_back(membership_.members().at(id).address_);
  }
  state::Generation least(UINT64_MAX);
  state::Generation greatest;
  for (const state::DaemonId& id : membership_.live()) {
    const Heartbeat& heartbeat = membership_.members().at(id).heartbeat_;
    least = std::min(least, heartbeat.generation_);
    greatest = std::max(greatest, heartbeat.generation_);
  }
  summary.generation_ = least;
  for (const state::DaemonId& id : membership_.live()) {
    const Heartbeat& heartbeat = membership_.members().at(id).heartbeat_;
    if (heartbeat.generation_ < greatest) {
      summary.behind_.push_back(id);
    }
  }
  if (summary.behind_.size() > kMaxBehind) {
    // A change is still being rolled out; only a few daemons that stay behind
    // are worth naming.
    summary.behind_.clear();
  }
  return summary;
}

void
ZoneBridge::receive(const state::Endpoint& aFrom, const ZoneMessage& aMessage)
{
  const ZoneSummary& received = aMessage.summary_;
  if (received.zone_ == settings_.self_.zone_ || received.zone_.empty()) {
    return;
  }
  contacts_[received.zone_].heardAt_ = clock_.now();
  ZoneSummary roster = received;
  roster.generation_ = state::Generation();
  roster.behind_.clear();
  publish(received.zone_.value(), roster, kRosterRefresh);
  ZoneSummary progress = received;
  progress.daemons_.clear();
  publish(received.zone_.value() + kProgressSuffix, progress, kProgressRefresh);
  if (aMessage.wantsAnswer_) {
    send_(aFrom, ZoneMessage{ summaryFor(received.zone_), false });
  }
}

void
ZoneBridge::publish(const std::string& aName,
                    const ZoneSummary& aSummary,
                    state::Duration aMaxAge)
{
  const EntryKey key{ EntryKind::kOtherZone, aName };
  const std::optional<SharedEntry> held = table_.find(key);
  const std::string payload = encodeZoneSummary(aSummary);
  const bool outdated = !held || held->payload_ != payload ||
                        clock_.now() - held->observedAt_ >= aMaxAge;
  if (outdated) {
    const std::uint64_t count = held ? held->version_.major_ + 1 : 1;
    table_.publish({ key, { count, 0 }, payload, clock_.now() });
  }
}

void
ZoneBridge::addInboundLink(const state::Endpoint& aFrom)
{
  if (inboundLinks_.contains(aFrom) ||
      inboundLinks_.size() < kMaxInboundLinks) {
    inboundLinks_[aFrom] = clock_.now();
  }
}

std::vector<PeerAddress>
ZoneBridge::rosterOf(const state::ZoneId& aZone) const
{
  const std::optional<SharedEntry> entry =
    table_.find({ EntryKind::kOtherZone, aZone.value() });
  const std::optional<ZoneSummary> summary =
    entry ? decodeZoneSummary(*entry) : std::nullopt;
  return summary ? summary->daemons_ : std::vector<PeerAddress>{};
}

std::vector<state::Endpoint>
ZoneBridge::chosenLinks() const
{
  std::vector<state::Endpoint> links;
  for (const auto& [zone, contact] : contacts_) {
    const bool heard = clock_.now() - contact.heardAt_ < kUnreachableAfter;
    const bool gateway =
      rankOf(gatewayKey(zone), membership_.live(), settings_.self_.id_) == 0;
    const std::vector<PeerAddress> roster =
      heard && gateway ? rosterOf(zone) : std::vector<PeerAddress>{};
    if (!roster.empty()) {
      links.push_back(roster.front().endpoint_);
    }
  }
  return links;
}

std::vector<state::Endpoint>
ZoneBridge::links() const
{
  std::vector<state::Endpoint> links = chosenLinks();
  for (const auto& [endpoint, at] : inboundLinks_) {
    if (std::find(links.begin(), links.end(), endpoint) == links.end()) {
      links.push_back(endpoint);
    }
  }
  return links;
}

std::map<state::ZoneId, std::vector<state::GatewayPeer>>
ZoneBridge::otherZones() const
{
  std::map<state::ZoneId, std::vector<state::GatewayPeer>> zones;
  for (const ZoneProgress& zone : progress()) {
    if (!zone.reachable_) {
      continue;
    }
    for (const PeerAddress& address : rosterOf(zone.zone_)) {
      zones[zone.zone_].push_back(
        { address.id_, zone.zone_, address.endpoint_ });
    }
  }
  return zones;
}

std::vector<ZoneProgress>
ZoneBridge::progress() const
{
  std::map<state::ZoneId, ZoneProgress> zones;
  for (const auto& [zone, seeds] : settings_.otherZones_) {
    zones[zone].zone_ = zone;
  }
  for (const SharedEntry& entry : table_.list(EntryKind::kOtherZone)) {
    const std::size_t suffix = entry.key_.name_.rfind(kProgressSuffix);
    const std::optional<ZoneSummary> summary =
      suffix == std::string::npos ? std::nullopt : decodeZoneSummary(entry);
    if (summary) {
      const state::ZoneId zone(entry.key_.name_.substr(0, suffix));
      zones[zone] = { zone,
                      summary->live_,
                      summary->generation_,
                      summary->behind_,
                      clock_.now() - entry.observedAt_ < kUnreachableAfter };
    }
  }
  std::vector<ZoneProgress> list;
  list.reserve(zones.size());
  for (auto& [zone, progress] : zones) {
    list.push_back(std::move(progress));
  }
  return list;
}

} // namespace auburnhaven::coordination
