// Polls some VMs of the zone and learns of the others by gossip.
#pragma once

#include "coordination/fleet/fleet_codec.h"
#include "coordination/fleet/gossip_table.h"
#include "coordination/fleet/membership.h"
#include "coordination/observation_port.h"
#include "coordination/target_port.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::size_t kObserversPerVm =
  2; ///< Daemons that poll each VM.
inline constexpr std::size_t kListReaders =
  2; ///< Daemons of a zone that read the VM list.

/**
 * Polls the VMs that rendezvous hashing assigns to this daemon. The state that
 * a VM reports is published as a shared entry when it changes. One digest in
 * each heartbeat attests that the VMs still report the published state, and
 * peers then renew the age of their reports. The age of a report counts from
 * its observation, transit times included. Control thread only.
 */
class Observer : public Observation
{
public:
  /**
   * All arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Daemons of the zone.
   * @param aTable Shared entries.
   * @param aEngines Fetches the reports of VMs.
   * @param aList The platform's list.
   */
  Observer(const FleetSettings& aSettings,
           const state::Clock& aClock,
           const Membership& aMembership,
           GossipTable& aTable,
           EngineClient& aEngines,
           VmList& aList);

  const std::map<state::VmId, state::VmInfo>& vms() const override
  {
    return vms_;
  }
  const std::map<state::VmId, state::VmReport>& reports() const override
  {
    return reports_;
  }

  /**
   * Reads the VM list and polls the VMs shortly before a heartbeat, so that the
   * heartbeat attests fresh reports. Call at each tick.
   * @param aNextHeartbeat When the next heartbeat is due.
   * @param aHeartbeatPeriod Time between two heartbeats.
   */
  void tick(state::TimePoint aNextHeartbeat, state::Duration aHeartbeatPeriod);
  /**
   * Fills in the evidence and loads of the next heartbeat.
   * @param aHeartbeat Heartbeat to fill in.
   */
  void fillHeartbeat(Heartbeat& aHeartbeat);
  /**
   * Renews the age of the reports that a heartbeat of another daemon attests,
   * and takes over its loads. A heartbeat whose digest differs from the state
   * known here is only counted.
   * @param aMember The daemon and its newest heartbeat.
   */
  void receiveHeartbeat(const Member& aMember);
  /** @return Number of VMs that this daemon polls. */
  std::size_t observedCount() const { return observed_.size(); }
  /** @return Number of report requests sent to VMs since the start. */
  std::uint64_t requestsSent() const { return requestsSent_; }
  /** @return Number of heartbeats whose digest did not match the state known
   * here. */
  std::uint64_t digestMismatches() const { return digestMismatches_; }

private:
  /** A VM that this daemon polls. */
  struct ObservedVm
  {
    state::VmId vm_;  ///< The VM.
    VmHash hash_ = 0; ///< Hash of its name.
    bool reportsLoad_ =
      false; ///< Whether this daemon sends its load; the first observer does.
    bool requestPending_ = false;           ///< Whether a request is in flight.
    std::optional<state::VmReport> report_; ///< Last report.
    std::uint64_t evidence_ = 0;            ///< Digest of its reported state.
    std::optional<state::EngineLoad> sentLoad_; ///< Load sent last.
    int repeatsLeft_ = 0;           ///< Times still to send the load again.
    state::TimePoint loadSentAt_{}; ///< When the load was sent.
  };
  /** A VM of the zone, found by the hash of its name. */
  struct KnownVm
  {
    state::VmId vm_;             ///< The VM.
    std::uint64_t evidence_ = 0; ///< Digest of its reported state.
  };

  void readList();
  void handleList(const std::vector<state::VmInfo>& aVms);
  void publishInfo(const state::VmInfo& aInfo);
  void publishRemoval(const state::VmId& aVm);
  void chooseObservedVms();
  void pollObservedVms(state::Duration aHeartbeatPeriod);
  void requestReport(ObservedVm& aObserved);
  void handleReport(const state::VmId& aVm,
                    const std::optional<state::VmReport>& aReport);
  void publishState(const ObservedVm& aObserved);
  void handleInfoEntry(const SharedEntry& aEntry);
  void handleStateEntry(const SharedEntry& aEntry);
  void updateReport(const state::VmReport& aReport);
  bool canAttest(const ObservedVm& aObserved, bool aLate) const;
  bool shouldSendLoad(ObservedVm& aObserved) const;

  const FleetSettings& settings_;            ///< Settings of this daemon.
  const state::Clock& clock_;                ///< Source of time.
  const Membership& membership_;             ///< Daemons of the zone.
  GossipTable& table_;                       ///< Shared entries.
  EngineClient& engines_;                    ///< Fetches the reports of VMs.
  VmList& list_;                             ///< The platform's list.
  std::map<state::VmId, state::VmInfo> vms_; ///< VMs of the zone.
  std::map<state::VmId, state::VmReport> reports_; ///< Newest reports.
  std::map<state::VmId, ObservedVm> observed_; ///< VMs that this daemon polls.
  std::unordered_map<VmHash, KnownVm>
    knownVms_; ///< VMs by the hash of their names.
  std::vector<state::DaemonId>
    assignedAmong_;        ///< Live daemons at the last assignment of VMs.
  bool vmsChanged_ = true; ///< Whether VMs were added or removed since then.
  std::uint64_t setVersion_ = 0; ///< Version of the published observed set.
  std::string setPayload_;       ///< Payload of that set.
  state::TimePoint polledHeartbeat_{}; ///< Due time of the last heartbeat that
                                       ///< VMs were polled for.
  state::TimePoint lastPolledAt_{};    ///< When all of them were last polled.
  std::uint64_t heartbeatCount_ =
    0; ///< Heartbeats since the start; VMs are polled only for some of them.
  state::TimePoint listRequestedAt_{}; ///< When the list was last requested.
  bool listRequestPending_ =
    false; ///< Whether a request for the list is in flight.
  std::uint64_t requestsSent_ = 0; ///< Report requests sent to VMs.
  std::uint64_t digestMismatches_ =
    0; ///< Heartbeats whose digest did not match.
};

} // namespace auburnhaven::coordination
