// Store over HTTP.
#pragma once

#include "coordination/store_port.h"
#include "transport/service_caller.h"

#include <functional>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/** Where the store is and how long to wait for it. */
struct StoreClientSettings
{
  std::vector<state::Endpoint> endpoints_; ///< Addresses, at least one.
  state::Duration timeout_ =
    std::chrono::seconds(2); ///< Until one address has begun to answer.
  state::Duration watchGrace_ =
    std::chrono::seconds(2); ///< Beyond the wait of a watch.
  state::Duration transferTimeout_ = std::chrono::seconds(
    10); ///< For the rest of a value that has begun to come.
  bool operator==(const StoreClientSettings&) const = default;
};

/**
 * Makes the store's calls. A read that gets no answer is kUnavailable; a write
 * is kUnknown as soon as the store could have got any byte of it. Control
 * thread only; outlives the event loop's run.
 */
class StoreClient : public coordination::Store
{
public:
  /**
   * @param aCaller Makes the calls on the control thread.
   * @param aSettings Addresses and timeouts.
   */
  StoreClient(ServiceCaller& aCaller, StoreClientSettings aSettings);

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

private:
  using AnswerHandler =
    std::function<void(const ServiceAnswer&)>; ///< Takes how a call ended.

  void call(ServiceCall aCall, AnswerHandler aHandler);

  ServiceCaller& caller_;        ///< Makes the calls.
  StoreClientSettings settings_; ///< Addresses and timeouts.
  std::size_t preferred_ = 0;    ///< Address that answered last.
};

} // namespace auburnhaven::transport
