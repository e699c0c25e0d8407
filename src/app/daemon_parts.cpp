// Parts of the daemon that live on the control thread.

#include "app/daemon_parts.h"

#include "state/config_check.h"
#include "state/digest_func.h"

#include <utility>

namespace auburnhaven::app {

namespace {

/** @return Settings of the daemon as a member of its zone. */
coordination::FleetSettings
fleetSettings(const Settings& aSettings, state::Incarnation aIncarnation)
{
  coordination::FleetSettings fleet;
  fleet.self_ = { aSettings.daemon_,
                  aSettings.zone_,
                  aSettings.listeners_.peers_,
                  aIncarnation };
  fleet.seeds_ = aSettings.seedPeers_;
  for (const OtherZoneSettings& other : aSettings.otherZones_) {
    fleet.otherZones_[other.zone_] = other.peers_;
  }
  fleet.zones_ = static_cast<std::uint32_t>(aSettings.otherZones_.size()) + 1;
  return fleet;
}

/** @return Settings of the client of the store. */
transport::StoreClientSettings
storeSettings(const Settings& aSettings)
{
  transport::StoreClientSettings store;
  store.endpoints_ = aSettings.stores_;
  return store;
}

/** @return Settings of the client of the VM list. */
transport::VmListClientSettings
vmListSettings(const Settings& aSettings)
{
  transport::VmListClientSettings list;
  list.endpoints_ = { aSettings.vmList_ };
  return list;
}

/** @return Settings of the links to other daemons. */
transport::PeerLinksSettings
linkSettings(const Settings& aSettings, state::Incarnation aIncarnation)
{
  transport::PeerLinksSettings links;
  links.listen_ = aSettings.listeners_.peers_;
  links.key_ = aSettings.peerKey_;
  links.seed_ = aIncarnation.value();
  return links;
}

/** @return Limits by which serving groups are kept. */
coordination::GroupLimits
groupLimits(const Settings& aSettings)
{
  coordination::GroupLimits limits;
  limits.evidenceLimit_ = aSettings.evidenceLimit_;
  return limits;
}

} // namespace

ControlParts::ControlParts(const Settings& aSettings,
                           transport::SystemClock& aClock,
                           state::Incarnation aIncarnation,
                           coordination::AccountLimiter& aLimiter)
  : client_(control_.context())
  , caller_(control_.context(), client_)
  , store_(caller_, storeSettings(aSettings))
  , watch_(store_, aClock)
  , engines_(caller_, aClock)
  , vmList_(caller_, vmListSettings(aSettings))
  , links_(control_.context(), linkSettings(aSettings, aIncarnation))
  , channels_(links_)
  , network_(channels_.fleet(), aClock)
  , fleet_(fleetSettings(aSettings, aIncarnation),
           { aClock, network_, watch_, engines_, vmList_ },
           state::checkConfiguration,
           state::stableHash(aSettings.daemon_.value(), aIncarnation.value()))
  , groups_(aClock,
            fleet_.store(),
            engines_,
            fleet_.observation(),
            fleet_.table(),
            aSettings.daemon_,
            aSettings.zone_,
            groupLimits(aSettings))
  , claimPeers_(
      channels_.claims(),
      [this](const state::DaemonId& aDaemon) { return endpointOf(aDaemon); })
  , claims_(fleet_.store(),
            aClock,
            aSettings.daemon_,
            aIncarnation,
            coordination::ClaimSettings(),
            &claimPeers_)
  , usage_(fleet_.table(), aLimiter, aClock, aSettings.daemon_, aIncarnation)
{
  claimPeers_.serveWith(claims_);
  usage_.setZoneFraction(
    1.0 / (1.0 + static_cast<double>(aSettings.otherZones_.size())));
}

std::optional<state::Endpoint>
ControlParts::endpointOf(const state::DaemonId& aDaemon) const
{
  const auto found = fleet_.members().find(aDaemon);
  if (found == fleet_.members().end()) {
    return std::nullopt;
  }
  return found->second.address_.endpoint_;
}

} // namespace auburnhaven::app
