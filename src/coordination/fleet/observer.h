// Observes some VMs of the zone and learns of the others from its peers.
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

inline constexpr std::size_t kObserversPerVm = 2; ///< Daemons that ask a VM.
inline constexpr std::size_t kListReaders = 2; ///< Daemons that read the list.

/**
 * Asks the VMs that rendezvous hashing gives to this daemon. What a VM states
 * spreads as an entry when it changes; that it still states it is attested by
 * one digest in each heartbeat. Ages are kept end to end. Control thread only.
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
   * @param aEngines Asks VMs.
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
   * Reads the list and asks the VMs shortly before a heartbeat, so that it
   * attests young answers. Call at each tick.
   * @param aNextBeat When the next heartbeat is due.
   * @param aBeatPeriod Time between two heartbeats.
   */
  void tick(state::TimePoint aNextBeat, state::Duration aBeatPeriod);
  /**
   * Fills in what the next heartbeat attests.
   * @param aBeat The heartbeat.
   */
  void fillHeartbeat(Heartbeat& aBeat);
  /**
   * Renews the evidence that a heartbeat of another daemon attests.
   * @param aMember The daemon with its heartbeat.
   */
  void receiveHeartbeat(const Member& aMember);
  /** @return VMs that this daemon asks. */
  std::size_t observedCount() const { return own_.size(); }
  /** @return Questions sent to VMs since the start. */
  std::uint64_t questions() const { return questions_; }
  /** @return Heartbeats whose digest did not match what is known here. */
  std::uint64_t mismatches() const { return mismatches_; }

private:
  /** A VM that this daemon asks. */
  struct Target
  {
    state::VmId vm_;                        ///< The VM.
    VmHash hash_ = 0;                       ///< Hash of its name.
    bool first_ = false;                    ///< Whether it reports the load.
    bool asking_ = false;                   ///< Whether an answer is awaited.
    std::optional<state::VmReport> report_; ///< Last answer.
    std::uint64_t evidence_ = 0;            ///< Digest of what it states.
    std::optional<state::EngineLoad> sent_; ///< Load last sent.
    int repeats_ = 0;                       ///< Times to send it again.
    state::TimePoint sentAt_{};             ///< When it was sent.
  };
  /** What is known of a VM by the hash of its name. */
  struct Known
  {
    state::VmId vm_;             ///< The VM.
    std::uint64_t evidence_ = 0; ///< Digest of what it states.
  };

  void readList();
  void takeList(const std::vector<state::VmInfo>& aVms);
  void publishInfo(const state::VmInfo& aInfo);
  void publishGone(const state::VmId& aVm);
  void chooseTargets();
  void askAll(state::Duration aBeatPeriod);
  void ask(Target& aTarget);
  void takeAnswer(const state::VmId& aVm,
                  const std::optional<state::VmReport>& aReport);
  void publishState(const Target& aTarget);
  void takeInfo(const SharedEntry& aEntry);
  void takeState(const SharedEntry& aEntry);
  void takeReport(const state::VmReport& aReport);
  bool attestable(const Target& aTarget, bool aLate) const;
  bool loadDue(Target& aTarget) const;

  const FleetSettings& settings_;                  ///< Settings of this daemon.
  const state::Clock& clock_;                      ///< Source of time.
  const Membership& membership_;                   ///< Daemons of the zone.
  GossipTable& table_;                             ///< Shared entries.
  EngineClient& engines_;                          ///< Asks VMs.
  VmList& list_;                                   ///< The platform's list.
  std::map<state::VmId, state::VmInfo> vms_;       ///< VMs of the zone.
  std::map<state::VmId, state::VmReport> reports_; ///< Newest reports.
  std::map<state::VmId, Target> own_;       ///< VMs asked by this daemon.
  std::unordered_map<VmHash, Known> known_; ///< VMs by the hash of their names.
  std::vector<state::DaemonId> chosenFor_; ///< Live daemons of the last choice.
  bool vmsChanged_ = true;       ///< Whether VMs came or went since then.
  std::uint64_t setCount_ = 0;   ///< Version of the own observed set.
  std::string setPayload_;       ///< Its payload.
  state::TimePoint askedFor_{};  ///< Heartbeat for which VMs were asked.
  state::TimePoint askedAt_{};   ///< When they were asked.
  std::uint64_t beats_ = 0;      ///< Heartbeats prepared.
  state::TimePoint listAt_{};    ///< When the list was last asked for.
  bool listing_ = false;         ///< Whether the list is awaited.
  std::uint64_t questions_ = 0;  ///< Questions sent.
  std::uint64_t mismatches_ = 0; ///< Digests that did not match.
};

} // namespace auburnhaven::coordination
