// Keeps requests away from targets whose prompts have parts that end targets.
#pragma once

#include "coordination/quarantine/crash_ledger.h"
#include "coordination/quarantine/crash_observer.h"
#include "coordination/quarantine/prompt_quarantine.h"
#include "coordination/quarantine/quarantine_record.h"
#include "protocol/quarantine_codec.h"
#include "transport/connect_probe.h"
#include "transport/datagram_socket.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/** Where the quarantines of this daemon are kept in the store. */
struct QuarantineStorePlace
{
  std::string prefix_; ///< Key prefix of the entries.
  std::string holder_; ///< Name of this daemon.
  bool operator==(const QuarantineStorePlace&) const = default;
};

/** What a daemon knows of the other daemons. */
struct QuarantinePeers
{
  std::vector<state::Endpoint> coordinators_; ///< Datagram endpoints of all
                                              ///< coordinators, which may
                                              ///< include this daemon.
  std::vector<state::Endpoint> others_;       ///< Those of all other daemons.
  bool coordinates_ = false; ///< Whether this daemon is a coordinator.
  bool operator==(const QuarantinePeers&) const = default;
};

/**
 * Joins what all daemons see of targets that end under requests. Daemons report
 * to all coordinators; these decide, each by itself on the same reports, and
 * tell all daemons. The store keeps the result for daemons that start. Control
 * thread only, except quarantine() and the note functions of observer().
 */
class QuarantineService
{
public:
  using ChangeHandler =
    std::function<void()>; ///< Called when a set was quarantined.

  /**
   * @param aClock Clock; outlives this object.
   * @param aContext Event loop of the control thread; outlives this object.
   * @param aSocket Sends datagrams; outlives this object.
   * @param aStore Store; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSelf Datagram endpoint of this daemon.
   * @param aPlace Place in the store.
   * @param aHandler Called when requests in flight must be checked again.
   */
  QuarantineService(const state::Clock& aClock,
                    boost::asio::io_context& aContext,
                    DatagramSocket& aSocket,
                    coordination::Store& aStore,
                    state::EventLog& aLog,
                    state::Endpoint aSelf,
                    const QuarantineStorePlace& aPlace,
                    ChangeHandler aHandler);
  QuarantineService(const QuarantineService&) = delete;
  QuarantineService& operator=(const QuarantineService&) = delete;

  /** @return The quarantined sets. */
  coordination::PromptQuarantine& quarantine() { return quarantine_; }
  /** @return Takes what requests have seen. */
  coordination::CrashObserver& observer() { return observer_; }

  /**
   * Does what is due. To be called about every 50 ms.
   * @param aPeers The other daemons.
   * @param aMayStore Whether the store answers.
   */
  void tick(QuarantinePeers aPeers, bool aMayStore);
  /**
   * Takes a datagram.
   * @param aDatagram Any bytes.
   * @return Whether it was one of this service.
   */
  bool take(const std::string& aDatagram);
  /** Notes that the store has returned to an older state; the keys that it has
   * follow by takeKey(). */
  void noteRestored() { record_.noteRestored(); }
  /**
   * Takes a changed key of the store; other keys are ignored.
   * @param aKey The key.
   * @param aValue Its value; nothing when it does not exist.
   */
  void takeKey(const std::string& aKey,
               const std::optional<std::string>& aValue);

private:
  /** A report of this daemon. */
  struct SentReport
  {
    coordination::CrashReport report_; ///< The report, with its age when made.
    state::TimePoint madeAt_{};        ///< When it was made.
    std::map<state::Endpoint, std::uint32_t>
      copies_;                  ///< Copies sent to each coordinator.
    state::TimePoint nextAt_{}; ///< When to send the next copies.
  };

  void collect();
  void sendReports();
  void tellCoordinators(const protocol::CrashNotice& aNotice);
  void decide();
  void quarantine(const coordination::QuarantinedParts& aSet,
                  std::string_view aSource);
  void lift(const state::PromptParts& aParts, std::string_view aSource);
  void tellDaemons();

  const state::Clock& clock_;                 ///< Clock.
  DatagramSocket& socket_;                    ///< Sends datagrams.
  state::EventLog& log_;                      ///< Log.
  const state::Endpoint self_;                ///< This daemon.
  ChangeHandler handler_;                     ///< Called for new sets.
  coordination::PromptQuarantine quarantine_; ///< Quarantined sets.
  coordination::CrashLedger ledger_;          ///< Reports of all daemons.
  ConnectProbe probe_;                        ///< Checks targets.
  coordination::QuarantineRecord record_;     ///< Sets in the store.
  QuarantinePeers peers_;                     ///< The other daemons.
  std::deque<SentReport> reports_;            ///< Reports of this daemon.
  std::map<state::PromptParts, state::TimePoint>
    lifted_;                        ///< Sets lifted of late, and when.
  protocol::QuarantineNotice told_; ///< Latest notice, without times.
  state::TimePoint toldAt_{};       ///< When it was sent.
  std::uint32_t repeats_ = 0;       ///< Quick repetitions of it that are due.
  // Its handler posts work for this object.
  coordination::CrashObserver observer_; ///< What requests have seen.
};

} // namespace auburnhaven::transport
