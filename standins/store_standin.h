// Stand-in for the platform's key-value service.
#pragma once

#include "fault_controls.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** Data and counters that all fronts of the store share. One thread. */
struct StoreData
{
  /** A stored value. */
  struct Item
  {
    std::string value_;          ///< Value.
    std::uint64_t revision_ = 0; ///< Revision, from 1.
  };
  /** A lease. */
  struct Lease
  {
    std::string holder_; ///< Holder, empty when released.
    std::chrono::steady_clock::time_point until_; ///< When it lapses.
    std::uint64_t number_ = 0;                    ///< Changes of the holder.
  };

  std::map<std::string, Item> items_;   ///< Values by key.
  std::map<std::string, Lease> leases_; ///< Leases by name.
  std::map<std::string, std::vector<std::weak_ptr<asio::steady_timer>>>
    watchers_;                     ///< Waiting watches by key.
  std::uint64_t nextRevision_ = 1; ///< Revision of the next write.
  std::uint64_t reads_ = 0;        ///< Calls of get.
  std::uint64_t writes_ = 0;       ///< Calls of compare-and-swap.
  std::uint64_t watches_ = 0;      ///< Calls of watch.
  std::uint64_t leaseCalls_ = 0;   ///< Calls on leases.
};

/** One address of the store with faults of its own, so that a part of its
 * clients can be cut off. */
class StoreStandin
{
public:
  /** @param aData Data shared by all fronts. */
  explicit StoreStandin(std::shared_ptr<StoreData> aData);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);

private:
  void handleControl(Exchange& aExchange); ///< Shows or sets faults.
  void get(Exchange& aExchange);           ///< Reads a key.
  void cas(Exchange& aExchange);           ///< Compares and swaps.
  void watch(Exchange& aExchange);         ///< Waits for a change.
  void acquire(Exchange& aExchange);       ///< Acquires or renews a lease.
  void release(Exchange& aExchange);       ///< Gives a lease back.
  void answerWrite(Exchange& aExchange,
                   unsigned aStatus,
                   const std::string& aBody); ///< Answers, or loses the answer.

  std::shared_ptr<StoreData> data_; ///< Shared data.
  FaultControls faults_;            ///< Faults of this front.
};

} // namespace auburnhaven::standins
