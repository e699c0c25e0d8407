// Stand-in for one model worker of the users' platform.
#pragma once

#include "fault_controls.h"
#include "platform/kv_standin.h"
#include "platform/run_book.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** Where a worker is and what it belongs to. */
struct WorkerPlace
{
  std::string id_;         ///< Its name.
  std::string service_;    ///< Its service.
  std::string zone_;       ///< Its availability zone.
  std::string domain_;     ///< Its fabric domain.
  std::uint16_t port_ = 0; ///< Port on 127.0.0.1.
};

/** How workers behave. */
struct WorkerPace
{
  std::uint32_t slots_ = 8;                    ///< Requests at once.
  std::chrono::milliseconds event_{ 20 };      ///< Between two events.
  std::chrono::milliseconds load_{ 600 };      ///< Load of a model.
  std::chrono::milliseconds warm_{ 150 };      ///< Join with a staged model.
  std::chrono::milliseconds open_{ 50 };       ///< From the order to open.
  std::chrono::milliseconds stall_{ 1500 };    ///< Until a copy is broken.
  std::chrono::milliseconds heartbeat_{ 300 }; ///< Between two entries.
};

class ModelWorker;
using WorkerTable =
  std::map<std::string, std::unique_ptr<ModelWorker>>; ///< Workers by name.

/** One model worker: takes orders, forms copies with others, runs streams and
 * registers itself in the store. One thread. */
class ModelWorker
{
public:
  /**
   * @param aContext Event loop of its thread.
   * @param aPlace Where it is.
   * @param aPace How it behaves.
   * @param aWorkers All model workers; outlive this object.
   * @param aStore The store; outlives this object.
   * @param aBook Runs and breaches; outlives this object.
   */
  ModelWorker(asio::io_context& aContext,
              WorkerPlace aPlace,
              const WorkerPace& aPace,
              const WorkerTable& aWorkers,
              KvStandin& aStore,
              RunBook& aBook);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);
  /** @return Whether it is the head of an open copy. */
  bool isOpenHead() const;
  /** @return Whether all members of its copy are alive and in it. */
  bool isWhole() const;
  /** @return Where it is. */
  const WorkerPlace& place() const { return place_; }
  /** @return Its place in a copy and all members, for operators. */
  nlohmann::json describe() const;

private:
  /** Its place in a copy. */
  struct Membership
  {
    std::string copy_;                 ///< Name of the copy.
    std::uint64_t epoch_ = 0;          ///< Its epoch.
    std::string model_;                ///< Its model.
    std::vector<std::string> members_; ///< Members, the head first.
    std::string state_;                ///< State on the wire.
  };
  using Handler = void (ModelWorker::*)(Exchange&); ///< Answers a call.

  void handleControl(Exchange& aExchange);
  void report(Exchange& aExchange);
  void order(Exchange& aExchange);
  unsigned apply(const nlohmann::json& aOrder);
  unsigned join(const nlohmann::json& aOrder);
  unsigned changeState(const nlohmann::json& aOrder);
  unsigned stage(const nlohmann::json& aOrder);
  void serve(Exchange& aExchange);
  /** @return Why the stream ended. */
  RunEnding stream(Exchange& aExchange);
  bool waitWhole(Exchange& aExchange);
  bool refuses(Exchange& aExchange);
  template<class Predicate>
  bool allMembers(Predicate aPredicate) const;
  bool wasWhole() const;
  bool belongsTo(const Membership& aMembership) const;
  bool wasReady(const Membership& aMembership) const;
  void later(std::chrono::milliseconds aTime, std::function<void()> aWork);
  void restart();
  void beat();
  void publish();
  nlohmann::json state() const;
  nlohmann::json entry() const;

  asio::io_context& context_;  ///< Event loop of its thread.
  const WorkerPlace place_;    ///< Where it is.
  const WorkerPace& pace_;     ///< How it behaves.
  const WorkerTable& workers_; ///< All model workers.
  KvStandin& store_;           ///< The store.
  RunBook& book_;              ///< Runs and breaches.
  FaultControls faults_;       ///< Faults.
  std::uint32_t garble_ = 0;   ///< Next answers that are no answers.
  std::chrono::milliseconds lateOrders_{}; ///< How late orders are done,
                                           ///< without an answer; 0 for at
                                           ///< once.
  bool leaving_ = false;                   ///< Whether it leaves.
  std::uint64_t bornAtMs_ = 0;             ///< Start of this life.
  std::uint64_t orders_ = 0;               ///< Orders begun in this life.
  std::uint64_t highestEpoch_ = 0;         ///< Highest epoch of this life.
  std::optional<Membership> membership_;   ///< Its place in a copy.
  bool orderedAway_ = false;      ///< Whether it was told to leave a whole copy
                                  ///< that it served, since its latest start.
  std::set<std::string> readyIn_; ///< Copies in which it has been ready.
  std::string staged_;            ///< Model on its host.
  std::string lastModel_;         ///< Model of its latest copy.
  std::atomic<std::uint32_t> running_ = 0; ///< Requests that run.
  std::uint32_t silentBeats_ = 0;          ///< Heartbeats missed while dead.
  std::string published_;                  ///< Entry as last written.
  asio::steady_timer heart_;               ///< Wakes the next heartbeat.
};

} // namespace auburnhaven::standins
