// Extends the authority of this daemon's coordinators by datagrams.

#include "app/lease_extender.h"

#include <algorithm>

namespace auburnhaven::app {

LeaseExtender::LeaseExtender(const state::Clock& aClock,
                             transport::DatagramSocket& aSocket,
                             Leaderships& aLeaderships,
                             coordination::LeaderLease& aRegistration,
                             state::EventLog& aLog)
  : socket_(aSocket)
  , leaderships_(aLeaderships)
  , promises_(aClock)
  , registration_(aRegistration)
  , log_(aLog)
{
}

void
LeaseExtender::tick(const std::vector<state::Endpoint>& aDaemons)
{
  daemons_ = aDaemons.size() + 1;
  logEndedExtensions();
  for (auto& [zone, leadership] : leaderships_) {
    const auto number = leadership->extension().nextRequest();
    if (!number) {
      continue;
    }
    const std::string datagram = protocol::encodeExtensionRequest(
      { *number, zone, leadership->authority() });
    for (const state::Endpoint& daemon : aDaemons) {
      socket_.send(daemon, datagram);
    }
  }
}

bool
LeaseExtender::take(const state::Endpoint& aFrom, const std::string& aDatagram)
{
  if (const auto handover = protocol::decodeHandover(aDatagram)) {
    takeOver(*handover);
    return true;
  }
  if (const auto request = protocol::decodeExtensionRequest(aDatagram)) {
    if (stopping_) {
      return true;
    }
    noteAuthority(request->zone_, request->authority_);
    const std::optional<coordination::ExtensionReply> reply =
      promises_.answer(request->zone_, request->authority_, storeAnsweredAt());
    if (reply) {
      socket_.send(aFrom,
                   protocol::encodeExtensionReply(
                     { request->number_, request->zone_, *reply }));
    }
    return true;
  }
  const auto reply = protocol::decodeExtensionReply(aDatagram);
  if (!reply) {
    return false;
  }
  const auto found = leaderships_.find(reply->zone_);
  const bool extends = found != leaderships_.end() &&
                       found->second->extension().noteReply(
                         reply->number_, aFrom, reply->reply_, daemons_);
  if (extends && extended_.insert(reply->zone_).second) {
    log("authority extended", reply->zone_, found->second->authority());
  }
  return true;
}

void
LeaseExtender::logEndedExtensions()
{
  std::erase_if(extended_, [&](const state::ZoneId& aZone) {
    const coordination::ZoneLeadership& leadership = *leaderships_.at(aZone);
    const bool ended = !leadership.isHeld() || leadership.isRenewed();
    if (ended) {
      log(leadership.isHeld() ? "lease renewed after an extension"
                              : "extended authority ended",
          aZone,
          leadership.authority());
    }
    return ended;
  });
}

void
LeaseExtender::log(std::string_view aEvent,
                   const state::ZoneId& aZone,
                   std::uint64_t aAuthority)
{
  log_.write(state::LogWeight::kChange,
             "lease",
             aEvent,
             { state::logField("zone", std::string_view(aZone.value())),
               state::logField("authority", aAuthority),
               state::logField("daemons", daemons_) });
}

void
LeaseExtender::handOver(const state::ZoneId& aZone)
{
  coordination::ZoneLeadership& leadership = *leaderships_.at(aZone);
  if (const auto heir = leadership.extension().heir()) {
    socket_.send(
      *heir,
      protocol::encodeHandover({ aZone,
                                 leadership.authority(),
                                 leadership.coordinator().epochsUsed() }));
    log("authority handed over", aZone, leadership.authority());
  }
}

void
LeaseExtender::takeOver(const protocol::HandoverMessage& aHandover)
{
  const auto found = leaderships_.find(aHandover.zone_);
  const auto until = promises_.takeOver(aHandover.zone_, aHandover.authority_);
  if (found != leaderships_.end() && until && !stopping_) {
    found->second->takeOver(aHandover.authority_, aHandover.epochs_, *until);
    log("authority taken over", aHandover.zone_, aHandover.authority_);
  }
}

void
LeaseExtender::noteAuthority(const state::ZoneId& aZone,
                             std::uint64_t aAuthority)
{
  promises_.noteAuthority(aZone, aAuthority);
  const auto found = leaderships_.find(aZone);
  if (found != leaderships_.end()) {
    found->second->noteAuthority(aAuthority);
  }
}

state::TimePoint
LeaseExtender::storeAnsweredAt()
{
  registration_.probe();
  state::TimePoint latest = registration_.lastReplyTime();
  for (const auto& [zone, leadership] : leaderships_) {
    latest = std::max(latest, leadership->storeAnsweredAt());
  }
  return latest;
}

} // namespace auburnhaven::app
