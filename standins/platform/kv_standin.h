// Stand-in for the store of the users' platform.
#pragma once

#include "fault_controls.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** The store: keys with revisions, leases, transactions, ranges and watches. It
 * can return to an older copy. One thread. */
class KvStandin
{
public:
  /** @param aContext Event loop of its thread. */
  explicit KvStandin(asio::io_context& aContext);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);

  /** Writes a key as the platform's own parts do. */
  void put(const std::string& aKey, std::string aValue);
  /** Removes a key as the platform's own parts do. */
  void remove(const std::string& aKey);
  /** @return Value of a key. */
  std::optional<std::string> find(const std::string& aKey) const;
  /** @return Whether it serves. */
  bool isUp() const { return !faults_.down_ && !faults_.dead_; }

private:
  /** A stored value. */
  struct Item
  {
    std::string value_;         ///< Value.
    std::uint64_t changed_ = 0; ///< Revision of its last change.
    std::uint64_t created_ = 0; ///< Revision of its creation.
    std::uint64_t lease_ = 0;   ///< Lease it is bound to; 0 for none.
  };
  /** A lease. */
  struct Lease
  {
    std::chrono::milliseconds timeToLive_{};      ///< Its time to live.
    std::chrono::steady_clock::time_point until_; ///< When it ends.
  };
  /** A change of the history. */
  struct Change
  {
    std::uint64_t revision_ = 0; ///< Its revision.
    std::string key_;            ///< The key.
    nlohmann::json event_;       ///< The event that a watch returns.
  };

  /** Everything that a copy of the store has. */
  struct Data
  {
    std::map<std::string, Item> items_;     ///< Values by key.
    std::map<std::uint64_t, Lease> leases_; ///< Leases by identifier.
    std::deque<Change> history_;            ///< Changes kept for watches.
    std::uint64_t revision_ = 100;          ///< Newest revision.
    std::uint64_t forgotten_ = 0; ///< Newest revision without history.
    std::uint64_t nextLease_ = 1; ///< Identifier of the next lease.
  };

  void handleControl(Exchange& aExchange);
  void restore();
  void read(Exchange& aExchange);
  void range(Exchange& aExchange);
  void watch(Exchange& aExchange);
  void change(Exchange& aExchange);
  void lease(Exchange& aExchange);
  void keep(Exchange& aExchange);
  void endLease(Exchange& aExchange);
  void write(const std::string& aKey, std::string aValue, std::uint64_t aLease);
  void erase(const std::string& aKey);
  void note(Change aChange);
  void expire();
  void watchLeases();
  void dropLease(std::uint64_t aLease);
  nlohmann::json itemJson(const std::string& aKey, const Item& aItem) const;
  nlohmann::json eventsSince(const std::string& aPrefix,
                             std::uint64_t aAfter) const;
  void answer(Exchange& aExchange,
              unsigned aStatus,
              const nlohmann::json& aBody);

  Data data_;               ///< The present data.
  Data copy_;               ///< An older copy of it.
  std::uint64_t era_ = 1;   ///< Grows with each return to the copy.
  std::uint64_t calls_ = 0; ///< Calls, refused ones included.
  std::set<std::shared_ptr<asio::steady_timer>>
    watches_;                 ///< Watches that wait.
  asio::steady_timer expiry_; ///< Wakes the expiry of leases.
  FaultControls faults_;      ///< Faults.
};

} // namespace auburnhaven::standins
