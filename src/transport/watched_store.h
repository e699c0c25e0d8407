// Store decorator that notes whether the store answers.
#pragma once

#include "coordination/store_port.h"
#include "state/time_type.h"

#include <string>

namespace auburnhaven::transport {

/** Passes all calls on and notes when answers fail. Control thread only. */
class WatchedStore : public coordination::Store
{
public:
  /**
   * @param aStore The store; outlives this object.
   * @param aClock Wall clock; outlives this object.
   */
  WatchedStore(coordination::Store& aStore, const state::Clock& aClock);

  void get(const std::string& aKey,
           coordination::StorePriority aPriority,
           ReplyHandler aHandler) override;
  void compareAndSwap(const std::string& aKey,
                      state::Revision aExpected,
                      std::string aValue,
                      coordination::StorePriority aPriority,
                      ReplyHandler aHandler) override;
  void watch(const std::string& aKey,
             state::Revision aAfter,
             state::Duration aTimeout,
             ReplyHandler aHandler) override;
  void acquireLease(const std::string& aName,
                    const std::string& aHolder,
                    state::Duration aTimeToLive,
                    LeaseHandler aHandler) override;
  void releaseLease(const std::string& aName,
                    const std::string& aHolder,
                    LeaseHandler aHandler) override;

  /** @return "available", "unavailable", or "unknown" before any answer. */
  const std::string& name() const { return name_; }
  /** @return Since when. */
  state::WallTime since() const { return since_; }

private:
  ReplyHandler noting(ReplyHandler aHandler);
  LeaseHandler noting(LeaseHandler aHandler);
  void note(coordination::StoreStatus aStatus);

  coordination::Store& store_;   ///< The store.
  const state::Clock& clock_;    ///< Wall clock.
  std::string name_ = "unknown"; ///< State as operators see it.
  state::WallTime since_{};      ///< Since when.
};

} // namespace auburnhaven::transport
