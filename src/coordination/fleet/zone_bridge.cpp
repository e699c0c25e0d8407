// Links between availability zones and what is known of the other zones.

#include "coordination/fleet/zone_bridge.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kGateways = 2;      ///< Gateway and its stand-by.
constexpr std::size_t kRosterDaemons = 8; ///< Daemons told to another zone.
constexpr std::size_t kMaxBehind = 8;     ///< Daemons named as behind.
constexpr state::Duration kAskPeriods[kGateways] = {
  std::chrono::seconds(2),
  std::chrono::seconds(15)
}; ///< Time between two questions by rank.
constexpr state::Duration kReachableAge =
  std::chrono::seconds(30); ///< Silence after which a zone is unreachable.
constexpr state::Duration kProgressAge =
  std::chrono::seconds(10); ///< Age at which the progress is renewed.
constexpr state::Duration kRosterAge =
  std::chrono::seconds(60); ///< Age at which the live daemons are renewed.
constexpr state::Duration kInboundAge =
  std::chrono::seconds(5); ///< Time for which a daemon that sent is a link.
constexpr std::size_t kMaxInbound = 16;   ///< Links beyond the chosen ones.
constexpr char kProgress[] = "/progress"; ///< Suffix of the progress entry.

/** @return Name of the work of being a zone's gateway. */
std::string
gatewayWork(const state::ZoneId& aZone)
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
    if (contact.askAt_ > clock_.now()) {
      continue;
    }
    const std::size_t rank =
      rankOf(gatewayWork(zone), membership_.live(), settings_.self_.id_);
    if (rank < kGateways) {
      ask(zone, contact, rank);
    } else {
      contact.askAt_ = clock_.now() + kGossipRound;
    }
  }
  std::erase_if(inbound_, [this](const auto& aItem) {
    return clock_.now() - aItem.second > kInboundAge;
  });
}

void
ZoneBridge::ask(const state::ZoneId& aZone,
                Contact& aContact,
                std::size_t aRank)
{
  aContact.askAt_ = clock_.now() + kAskPeriods[aRank];
  std::vector<state::Endpoint> choices;
  for (const PeerAddress& address : rosterOf(aZone)) {
    choices.push_back(address.endpoint_);
  }
  const bool heard = !choices.empty() &&
                     clock_.now() - aContact.heardAt_ < 3 * kAskPeriods[aRank];
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
  std::uniform_int_distribution<std::size_t> place(0, choices.size() - 1);
  send_(choices[place(random_)], ZoneMessage{ summaryFor(aZone), true });
}

ZoneSummary
ZoneBridge::summaryFor(const state::ZoneId& aZone) const
{
  ZoneSummary summary;
  summary.zone_ = settings_.self_.zone_;
  summary.live_ = static_cast<std::uint32_t>(membership_.live().size());
  for (const state::DaemonId& id :
       chooseDaemons(gatewayWork(aZone), membership_.live(), kRosterDaemons)) {
    summary.daemons_.push_back(membership_.members().at(id).address_);
  }
  state::Generation least(UINT64_MAX);
  state::Generation greatest;
  for (const state::DaemonId& id : membership_.live()) {
    const Heartbeat& beat = membership_.members().at(id).beat_;
    least = std::min(least, beat.generation_);
    greatest = std::max(greatest, beat.generation_);
  }
  summary.generation_ = least;
  for (const state::DaemonId& id : membership_.live()) {
    const Heartbeat& beat = membership_.members().at(id).beat_;
    if (beat.generation_ < greatest) {
      summary.behind_.push_back(id);
    }
  }
  if (summary.behind_.size() > kMaxBehind) {
    // A change is on its way; names are for the few that stay behind.
    summary.behind_.clear();
  }
  return summary;
}

void
ZoneBridge::receive(const state::Endpoint& aFrom, const ZoneMessage& aMessage)
{
  const ZoneSummary& told = aMessage.summary_;
  if (told.zone_ == settings_.self_.zone_ || told.zone_.empty()) {
    return;
  }
  contacts_[told.zone_].heardAt_ = clock_.now();
  ZoneSummary roster = told;
  roster.generation_ = state::Generation();
  roster.behind_.clear();
  publish(told.zone_.value(), roster, kRosterAge);
  ZoneSummary progress = told;
  progress.daemons_.clear();
  publish(told.zone_.value() + kProgress, progress, kProgressAge);
  if (aMessage.wantsAnswer_) {
    send_(aFrom, ZoneMessage{ summaryFor(told.zone_), false });
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
  const bool news = !held || held->payload_ != payload ||
                    clock_.now() - held->observedAt_ >= aMaxAge;
  if (news) {
    const std::uint64_t count = held ? held->version_.major_ + 1 : 1;
    table_.publish({ key, { count, 0 }, payload, clock_.now() });
  }
}

void
ZoneBridge::addInboundLink(const state::Endpoint& aFrom)
{
  if (inbound_.contains(aFrom) || inbound_.size() < kMaxInbound) {
    inbound_[aFrom] = clock_.now();
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
    const bool heard = clock_.now() - contact.heardAt_ < kReachableAge;
    const bool gateway =
      rankOf(gatewayWork(zone), membership_.live(), settings_.self_.id_) == 0;
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
  for (const auto& [endpoint, at] : inbound_) {
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
    const std::size_t suffix = entry.key_.name_.rfind(kProgress);
    const std::optional<ZoneSummary> summary =
      suffix == std::string::npos ? std::nullopt : decodeZoneSummary(entry);
    if (summary) {
      const state::ZoneId zone(entry.key_.name_.substr(0, suffix));
      zones[zone] = { zone,
                      summary->live_,
                      summary->generation_,
                      summary->behind_,
                      clock_.now() - entry.observedAt_ < kReachableAge };
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
