// Bounded list of a zone's daemons in the store, by which new daemons discover
// the zone.

#include "coordination/fleet/directory.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxListed =
  16; ///< Largest number of daemons on the list.
constexpr state::Duration kAloneReadPeriod = std::chrono::seconds(
  3); ///< Time between two reads by a daemon that knows no other one.
constexpr state::Duration kCheckPeriod = std::chrono::seconds(
  30); ///< Time between two checks of the list by its maintainer.

} // namespace

Directory::Directory(const FleetSettings& aSettings,
                     const state::Clock& aClock,
                     const Membership& aMembership,
                     Store& aStore)
  : settings_(aSettings)
  , clock_(aClock)
  , membership_(aMembership)
  , store_(aStore)
  , key_("zone/" + aSettings.self_.zone_.value() + "/daemons")
{
}

void
Directory::tick()
{
  const bool alone = membership_.live().size() == 1;
  if (replyPending_ || clock_.now() < nextReadAt_) {
    return;
  }
  const bool isMaintainer =
    rankOf("directory", membership_.live(), settings_.self_.id_) == 0;
  if (alone || isMaintainer) {
    nextReadAt_ = clock_.now() + (alone ? kAloneReadPeriod : kCheckPeriod);
    read();
  }
}

void
Directory::read()
{
  replyPending_ = true;
  store_.get(key_, StorePriority::kOther, [this](const StoreReply& aReply) {
    replyPending_ = false;
    handleReply(aReply);
  });
}

void
Directory::handleReply(const StoreReply& aReply)
{
  if (aReply.status_ == StoreStatus::kOk) {
    const SharedEntry entry{ { EntryKind::kOtherZone,
                               settings_.self_.zone_.value() },
                             {},
                             aReply.value_,
                             {} };
    const std::optional<ZoneSummary> summary = decodeZoneSummary(entry);
    listed_ = summary ? summary->daemons_ : std::vector<PeerAddress>{};
  } else if (aReply.status_ != StoreStatus::kNotFound) {
    return;
  }
  const bool isFirstRead = !hasRead_;
  hasRead_ = true;
  const bool alone = membership_.live().size() == 1;
  // After its first read, a daemon that knows no other one gives the listed
  // daemons time to answer before it rewrites the list.
  if (!isOutdated() || (alone && isFirstRead && !listed_.empty())) {
    return;
  }
  ZoneSummary summary;
  summary.daemons_ = chooseListed();
  replyPending_ = true;
  store_.compareAndSwap(key_,
                        aReply.revision_,
                        encodeZoneSummary(summary),
                        StorePriority::kOther,
                        [this](const StoreReply&) { replyPending_ = false; });
}

std::vector<PeerAddress>
Directory::chooseListed() const
{
  std::vector<PeerAddress> chosen;
  for (const state::DaemonId& id :
       chooseDaemons("listed", membership_.live(), kMaxListed)) {
    chosen.push_back(membership_.members().at(id).address_);
  }
  if (chosen.size() > 1) {
    return chosen;
  }
  // A daemon that knows no other one puts itself first and keeps the listed
  // daemons after it, the newest of which come first.
  for (const PeerAddress& address : listed_) {
    if (chosen.size() < kMaxListed && address.id_ != settings_.self_.id_) {
      chosen.push_back(address);
    }
  }
  return chosen;
}

bool
Directory::isOutdated() const
{
  const std::vector<PeerAddress> chosen = chooseListed();
  const auto missing =
    std::count_if(chosen.begin(), chosen.end(), [&](const auto& aAddress) {
      return std::find(listed_.begin(), listed_.end(), aAddress) ==
             listed_.end();
    });
  return missing * 4 > static_cast<std::ptrdiff_t>(chosen.size()) ||
         (missing > 0 && listed_.size() < chosen.size());
}

} // namespace auburnhaven::coordination
