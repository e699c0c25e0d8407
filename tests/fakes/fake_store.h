// In-memory store for tests with outages, delays and lost answers.
#pragma once

#include "coordination/prefix_store_port.h"
#include "fakes/fake_clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/** What the store does with the calls of one client. */
struct StoreFaults
{
  bool down_ = false; ///< Calls fail cleanly.
  std::uint32_t loseAnswers_ =
    0; ///< So many of the next writes take effect and answer kUnknown.
  std::uint32_t failWrites_ =
    0; ///< So many of the next writes do nothing and answer kUnknown.
  state::Duration latency_ =
    std::chrono::milliseconds(2); ///< Time until an answer arrives.
};

/** The one copy of the data that all FakeStore clients of a test share. Not
 * thread-safe. */
class FakeStoreData
{
public:
  /** A stored value. */
  struct Item
  {
    std::string value_;        ///< Value.
    state::Revision revision_; ///< Revision, from 1.
  };
  /** A lease. */
  struct Lease
  {
    std::string holder_;       ///< Holder, empty when released.
    state::TimePoint until_{}; ///< When it lapses.
    std::uint64_t number_ = 0; ///< Changes of the holder.
  };

  std::map<std::string, Item> items_;   ///< Values by key.
  std::map<std::string, Lease> leases_; ///< Leases by name.
  std::uint64_t reads_ = 0;             ///< Reads answered, watches included.
  std::uint64_t writes_ = 0;       ///< Writes answered, lease calls included.
  std::uint64_t readBytes_ = 0;    ///< Bytes of the values told.
  std::uint64_t nextRevision_ = 1; ///< Revision of the next write.
  std::uint64_t era_ = 0;          ///< Returns to an older copy.
  std::vector<coordination::StoreChange> history_; ///< Changes in order.
  state::Revision compactedAt_; ///< Newest change that was dropped.
  std::optional<coordination::ListReply>
    oldList_; ///< What lists that may lag tell; none to tell the newest.

  /** @return All keys as they are. */
  coordination::ListReply listNow() const
  {
    coordination::ListReply reply;
    reply.status_ = coordination::StoreStatus::kOk;
    reply.at_ = revision(nextRevision_ - 1);
    for (const auto& [key, item] : items_) {
      reply.items_.push_back(
        { key, item.value_, revision(item.revision_.value()) });
    }
    return reply;
  }
  /** Writes a key without a condition. @return Its revision. */
  state::Revision put(const std::string& aKey, std::string aValue)
  {
    const state::Revision at = revision(nextRevision_++);
    history_.push_back({ aKey, aValue, at });
    items_[aKey] = { std::move(aValue), at };
    return at;
  }
  /** Removes a key. */
  void remove(const std::string& aKey)
  {
    items_.erase(aKey);
    history_.push_back({ aKey, std::nullopt, revision(nextRevision_++) });
  }
  /** Returns to an older copy of the data and loses all later writes. */
  void restore(const FakeStoreData& aCopy)
  {
    items_ = aCopy.items_;
    leases_ = aCopy.leases_;
    nextRevision_ = aCopy.nextRevision_;
    history_ = aCopy.history_;
    compactedAt_ = aCopy.compactedAt_;
    ++era_;
  }
  /** @return A revision of the present era. */
  state::Revision revision(std::uint64_t aNumber) const
  {
    return state::Revision(aNumber, state::StoreEra(era_));
  }
  /** @return A change as the present era tells it. */
  coordination::StoreChange told(coordination::StoreChange aChange) const
  {
    aChange.revision_ = revision(aChange.revision_.value());
    return aChange;
  }
  /** Drops all history. */
  void compact()
  {
    history_.clear();
    compactedAt_ = revision(nextRevision_ - 1);
  }
};

/** One client's connection to the shared data. Answers arrive in step(). Not
 * thread-safe. */
class FakeStore : public coordination::PrefixStore
{
public:
  /**
   * @param aClock Clock of the test.
   * @param aData Data shared with other clients.
   */
  FakeStore(FakeClock& aClock, std::shared_ptr<FakeStoreData> aData)
    : clock_(aClock)
    , data_(std::move(aData))
  {
  }

  /** @return Faults that apply to the next calls. */
  StoreFaults& faults() { return faults_; }

  /** Runs the callbacks whose time has come. */
  void step()
  {
    answerWatches();
    answerPrefixWatches();
    std::vector<Pending> due;
    std::vector<Pending> rest;
    for (Pending& pending : pending_) {
      (pending.at_ <= clock_.now() ? due : rest).push_back(std::move(pending));
    }
    pending_ = std::move(rest);
    for (const Pending& pending : due) {
      pending.run_();
    }
  }

  /** Drops all calls that wait, as a stopped process does. */
  void dropPending()
  {
    pending_.clear();
    watches_.clear();
    prefixWatches_.clear();
  }

  void get(const std::string& aKey,
           coordination::StorePriority /*aPriority*/,
           ReplyHandler aHandler) override
  {
    coordination::StoreReply reply;
    if (!faults_.down_) {
      ++data_->reads_;
      reply = read(aKey);
      data_->readBytes_ += reply.value_.size();
    }
    answer(std::move(aHandler), reply);
  }

  void compareAndSwap(const std::string& aKey,
                      state::Revision aExpected,
                      std::string aValue,
                      coordination::StorePriority /*aPriority*/,
                      ReplyHandler aHandler) override
  {
    coordination::StoreReply reply;
    if (faults_.down_) {
      answer(std::move(aHandler), reply);
      return;
    }
    ++data_->writes_;
    if (faults_.failWrites_ > 0) {
      --faults_.failWrites_;
      reply.status_ = coordination::StoreStatus::kUnknown;
      answer(std::move(aHandler), reply);
      return;
    }
    reply = swap(aKey, aExpected, std::move(aValue));
    if (faults_.loseAnswers_ > 0) {
      --faults_.loseAnswers_;
      reply = { coordination::StoreStatus::kUnknown, {}, {} };
    }
    answer(std::move(aHandler), reply);
  }

  void watch(const std::string& aKey,
             state::Revision aAfter,
             state::Duration aTimeout,
             ReplyHandler aHandler) override
  {
    if (faults_.down_) {
      answer(std::move(aHandler), coordination::StoreReply{});
      return;
    }
    ++data_->reads_;
    watches_.push_back(
      { aKey, aAfter, clock_.now() + aTimeout, std::move(aHandler) });
  }

  void acquireLease(const std::string& aName,
                    const std::string& aHolder,
                    state::Duration aTimeToLive,
                    LeaseHandler aHandler) override
  {
    coordination::LeaseReply reply;
    if (!faults_.down_) {
      ++data_->writes_;
      reply = take(aName, aHolder, aTimeToLive);
      if (faults_.loseAnswers_ > 0) {
        --faults_.loseAnswers_;
        reply = { coordination::StoreStatus::kUnknown, {}, 0 };
      }
    }
    answer(std::move(aHandler), reply);
  }

  void releaseLease(const std::string& aName,
                    const std::string& aHolder,
                    LeaseHandler aHandler) override
  {
    coordination::LeaseReply reply;
    if (!faults_.down_) {
      ++data_->writes_;
      FakeStoreData::Lease& lease = data_->leases_[aName];
      reply.status_ = coordination::StoreStatus::kConflict;
      if (lease.holder_ == aHolder) {
        lease.holder_.clear();
        reply.status_ = coordination::StoreStatus::kOk;
      }
      reply.number_ = lease.number_;
    }
    answer(std::move(aHandler), reply);
  }

  void list(const std::string& aPrefix,
            coordination::ListConsistency aConsistency,
            ListHandler aHandler) override
  {
    coordination::ListReply reply;
    const bool lags =
      aConsistency == coordination::ListConsistency::kMayBeStale &&
      data_->oldList_.has_value();
    if (!faults_.down_) {
      data_->reads_ += lags ? 0 : 1;
      reply = lags ? *data_->oldList_ : data_->listNow();
    }
    std::erase_if(reply.items_, [&](const coordination::StoreItem& aItem) {
      return !aItem.key_.starts_with(aPrefix);
    });
    for (const coordination::StoreItem& item : reply.items_) {
      data_->readBytes_ += item.value_.size();
    }
    answer(std::move(aHandler), reply);
  }

  void watchPrefix(const std::string& aPrefix,
                   state::Revision aAfter,
                   state::Duration aTimeout,
                   WatchHandler aHandler) override
  {
    if (faults_.down_) {
      answer(std::move(aHandler), coordination::WatchReply{});
      return;
    }
    ++data_->reads_;
    prefixWatches_.push_back(
      { aPrefix, aAfter, clock_.now() + aTimeout, std::move(aHandler) });
  }

private:
  static constexpr std::uint64_t kLeaseNumbersOfEra =
    1000; ///< Lease numbers by which an era lies above the one before.

  /** A watch of a prefix that waits. */
  struct PrefixWatch
  {
    std::string prefix_;     ///< Prefix.
    state::Revision after_;  ///< Revision already known.
    state::TimePoint until_; ///< When it gives up.
    WatchHandler handler_;   ///< Takes the answer.
  };

  coordination::WatchStatus statusOf(const PrefixWatch& aWatch,
                                     state::Revision aNow) const
  {
    if (aWatch.after_ != state::Revision() &&
        aWatch.after_.era() != aNow.era()) {
      return coordination::WatchStatus::kRestored;
    }
    const bool compacted = aWatch.after_.value() < data_->compactedAt_.value();
    return compacted ? coordination::WatchStatus::kCompacted
                     : coordination::WatchStatus::kChanges;
  }

  void answerPrefixWatches()
  {
    std::vector<PrefixWatch> rest;
    for (PrefixWatch& watch : prefixWatches_) {
      coordination::WatchReply reply;
      reply.at_ = data_->revision(data_->nextRevision_ - 1);
      reply.status_ = statusOf(watch, reply.at_);
      std::uint64_t bytes = 0;
      for (const coordination::StoreChange& change : data_->history_) {
        if (change.revision_.value() > watch.after_.value() &&
            change.key_.starts_with(watch.prefix_)) {
          reply.changes_.push_back(data_->told(change));
          bytes += change.value_.value_or("").size();
        }
      }
      const bool done = reply.status_ != coordination::WatchStatus::kChanges ||
                        !reply.changes_.empty() || watch.until_ <= clock_.now();
      if (faults_.down_) {
        answer(std::move(watch.handler_), coordination::WatchReply{});
      } else if (done) {
        data_->readBytes_ += bytes;
        answer(std::move(watch.handler_), reply);
      } else {
        rest.push_back(std::move(watch));
      }
    }
    prefixWatches_ = std::move(rest);
  }

  /** An answer on its way. */
  struct Pending
  {
    state::TimePoint at_;       ///< When it arrives.
    std::function<void()> run_; ///< Hands it over.
  };
  /** A watch that waits. */
  struct Watch
  {
    std::string key_;        ///< Key.
    state::Revision after_;  ///< Revision already known.
    state::TimePoint until_; ///< When it gives up.
    ReplyHandler handler_;   ///< Takes the answer.
  };

  template<class Handler, class Reply>
  void answer(Handler aHandler, const Reply& aReply)
  {
    pending_.push_back(
      { clock_.now() + faults_.latency_,
        [handler = std::move(aHandler), aReply] { handler(aReply); } });
  }

  coordination::StoreReply read(const std::string& aKey) const
  {
    const auto found = data_->items_.find(aKey);
    if (found == data_->items_.end()) {
      return { coordination::StoreStatus::kNotFound, {}, {} };
    }
    return { coordination::StoreStatus::kOk,
             found->second.value_,
             data_->revision(found->second.revision_.value()) };
  }

  coordination::StoreReply swap(const std::string& aKey,
                                state::Revision aExpected,
                                std::string aValue)
  {
    const auto found = data_->items_.find(aKey);
    const state::Revision present =
      found == data_->items_.end()
        ? state::Revision()
        : data_->revision(found->second.revision_.value());
    if (present != aExpected) {
      return { coordination::StoreStatus::kConflict, {}, present };
    }
    const state::Revision revision = data_->put(aKey, std::move(aValue));
    return { coordination::StoreStatus::kOk, {}, revision };
  }

  coordination::LeaseReply take(const std::string& aName,
                                const std::string& aHolder,
                                state::Duration aTimeToLive)
  {
    FakeStoreData::Lease& lease = data_->leases_[aName];
    const bool held = !lease.holder_.empty() && lease.until_ > clock_.now();
    if (held && lease.holder_ != aHolder) {
      return { coordination::StoreStatus::kConflict,
               lease.holder_,
               lease.number_ };
    }
    if (!held || lease.holder_ != aHolder) {
      ++lease.number_;
    }
    lease.number_ = std::max(lease.number_, data_->era_ * kLeaseNumbersOfEra);
    lease.holder_ = aHolder;
    lease.until_ = clock_.now() + aTimeToLive;
    return { coordination::StoreStatus::kOk, aHolder, lease.number_ };
  }

  void answerWatches()
  {
    std::vector<Watch> rest;
    for (Watch& watch : watches_) {
      const coordination::StoreReply reply = read(watch.key_);
      if (faults_.down_) {
        answer(std::move(watch.handler_), coordination::StoreReply{});
      } else if (reply.revision_ > watch.after_) {
        answer(std::move(watch.handler_), reply);
      } else if (watch.until_ <= clock_.now()) {
        answer(std::move(watch.handler_),
               coordination::StoreReply{
                 coordination::StoreStatus::kNotFound, {}, {} });
      } else {
        rest.push_back(std::move(watch));
      }
    }
    watches_ = std::move(rest);
  }

  FakeClock& clock_;                    ///< Clock of the test.
  std::shared_ptr<FakeStoreData> data_; ///< Data shared with other clients.
  StoreFaults faults_;           ///< Faults that apply to the next calls.
  std::vector<Pending> pending_; ///< Answers on their way.
  std::vector<Watch> watches_;   ///< Watches that wait.
  std::vector<PrefixWatch> prefixWatches_; ///< Watches of prefixes.
};

} // namespace auburnhaven::fakes
