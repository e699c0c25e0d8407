// Store decorator that notes whether the store answers.

#include "transport/watched_store.h"

#include <utility>

namespace auburnhaven::transport {

using coordination::LeaseReply;
using coordination::StoreReply;
using coordination::StoreStatus;

WatchedStore::WatchedStore(coordination::Store& aStore,
                           const state::Clock& aClock)
  : store_(aStore)
  , clock_(aClock)
{
}

void
WatchedStore::get(const std::string& aKey,
                  coordination::StorePriority aPriority,
                  ReplyHandler aHandler)
{
  store_.get(aKey, aPriority, noting(std::move(aHandler)));
}

void
WatchedStore::compareAndSwap(const std::string& aKey,
                             state::Revision aExpected,
                             std::string aValue,
                             coordination::StorePriority aPriority,
                             ReplyHandler aHandler)
{
  store_.compareAndSwap(
    aKey, aExpected, std::move(aValue), aPriority, noting(std::move(aHandler)));
}

void
WatchedStore::watch(const std::string& aKey,
                    state::Revision aAfter,
                    state::Duration aTimeout,
                    ReplyHandler aHandler)
{
  store_.watch(aKey, aAfter, aTimeout, noting(std::move(aHandler)));
}

void
WatchedStore::acquireLease(const std::string& aName,
                           const std::string& aHolder,
                           state::Duration aTimeToLive,
                           LeaseHandler aHandler)
{
  store_.acquireLease(aName, aHolder, aTimeToLive, noting(std::move(aHandler)));
}

void
WatchedStore::releaseLease(const std::string& aName,
                           const std::string& aHolder,
                           LeaseHandler aHandler)
{
  store_.releaseLease(aName, aHolder, noting(std::move(aHandler)));
}

coordination::Store::ReplyHandler
WatchedStore::noting(ReplyHandler aHandler)
{
  return [this, handler = std::move(aHandler)](const StoreReply& aReply) {
    note(aReply.status_);
    handler(aReply);
  };
}

coordination::Store::LeaseHandler
WatchedStore::noting(LeaseHandler aHandler)
{
  return [this, handler = std::move(aHandler)](const LeaseReply& aReply) {
    note(aReply.status_);
    handler(aReply);
  };
}

void
WatchedStore::note(StoreStatus aStatus)
{
  const bool failed =
    aStatus == StoreStatus::kUnavailable || aStatus == StoreStatus::kUnknown;
  const char* name = failed ? "unavailable" : "available";
  if (name_ != name) {
    name_ = name;
    since_ = clock_.wallNow();
  }
}

} // namespace auburnhaven::transport
