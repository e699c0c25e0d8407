// Bounded list of a zone's daemons in the store, by which new ones find it.

#include "coordination/fleet/directory.h"

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/rendezvous_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kListed = 16; ///< Daemons in the list.
constexpr state::Duration kLonelyPeriod =
  std::chrono::seconds(3); ///< Time between two readings when alone.
constexpr state::Duration kKeepPeriod =
  std::chrono::seconds(30); ///< Time between two checks of the list.

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
  if (waiting_ || clock_.now() < readAt_) {
    return;
  }
  const bool keeper =
    rankOf("directory", membership_.live(), settings_.self_.id_) == 0;
  if (alone || keeper) {
    readAt_ = clock_.now() + (alone ? kLonelyPeriod : kKeepPeriod);
    read();
  }
}

void
Directory::read()
{
  waiting_ = true;
  store_.get(key_, StorePriority::kOther, [this](const StoreReply& aReply) {
    waiting_ = false;
    take(aReply);
  });
}

void
Directory::take(const StoreReply& aReply)
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
  const bool first = !answered_;
  answered_ = true;
  const bool alone = membership_.live().size() == 1;
  // The first time, the listed daemons get a chance to answer.
  if (!isOld() || (alone && first && !listed_.empty())) {
    return;
  }
  ZoneSummary summary;
  summary.daemons_ = wanted();
  waiting_ = true;
  store_.compareAndSwap(key_,
                        aReply.revision_,
                        encodeZoneSummary(summary),
                        StorePriority::kOther,
                        [this](const StoreReply&) { waiting_ = false; });
}

std::vector<PeerAddress>
Directory::wanted() const
{
  std::vector<PeerAddress> wanted;
  for (const state::DaemonId& id :
       chooseDaemons("listed", membership_.live(), kListed)) {
    wanted.push_back(membership_.members().at(id).address_);
  }
  if (wanted.size() > 1) {
    return wanted;
  }
  // A lonely daemon adds itself and keeps the newest of the others.
  for (const PeerAddress& address : listed_) {
    if (wanted.size() < kListed && address.id_ != settings_.self_.id_) {
      wanted.push_back(address);
    }
  }
  return wanted;
}

bool
Directory::isOld() const
{
  const std::vector<PeerAddress> desired = wanted();
  const auto missing =
    std::count_if(desired.begin(), desired.end(), [&](const auto& aAddress) {
      return std::find(listed_.begin(), listed_.end(), aAddress) ==
             listed_.end();
    });
  return missing * 4 > static_cast<std::ptrdiff_t>(desired.size()) ||
         (missing > 0 && listed_.size() < desired.size());
}

} // namespace auburnhaven::coordination
