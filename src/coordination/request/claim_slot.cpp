// Claims of one slot and their way into the store.

#include "coordination/request/claim_slot.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kCompactionPause =
  std::chrono::seconds(10); ///< Time after which a slot that hardly grew is
                            ///< compacted again.

} // namespace

ClaimSlot::ClaimSlot(std::string aName,
                     Store& aStore,
                     const state::Clock& aClock,
                     const ClaimSettings& aSettings,
                     ClaimCounts& aCounts)
  : name_(std::move(aName))
  , store_(aStore)
  , clock_(aClock)
  , settings_(aSettings)
  , counts_(aCounts)
{
}

void
ClaimSlot::add(const ClaimOperation& aOperation,
               bool aOwn,
               ClaimHandler aHandler)
{
  usedAt_ = clock_.now();
  const bool claim = aOperation.end_ == ClaimEnd::kNone;
  if (claim && queue_.size() >= settings_.maxQueued_) {
    ClaimResult result;
    result.token_ = aOperation.token_;
    result.retryAfter_ = settings_.storeBackoff_;
    aHandler(result);
    return;
  }
  Pending pending;
  pending.operation_ = aOperation;
  pending.queuedAt_ = usedAt_;
  pending.own_ = aOwn;
  pending.handler_ = std::move(aHandler);
  queue_.push_back(std::move(pending));
  advance();
}

bool
ClaimSlot::idle() const
{
  return phase_ == Phase::kIdle && queue_.empty() && batch_.empty();
}

bool
ClaimSlot::unused() const
{
  return idle() && clock_.now() - usedAt_ >= settings_.idleSlotLifetime_;
}

bool
ClaimSlot::isDue() const
{
  const state::TimePoint now = clock_.now();
  if (phase_ != Phase::kIdle || queue_.empty() || now < nextCommit_) {
    return false;
  }
  return std::any_of(
    queue_.begin(), queue_.end(), [&](const Pending& aWaiting) {
      return aWaiting.isClaim() ||
             now - aWaiting.queuedAt_ >= settings_.endDelay_;
    });
}

void
ClaimSlot::advance()
{
  if (!isDue()) {
    return;
  }
  if (loaded_) {
    commit();
  } else {
    read();
  }
}

void
ClaimSlot::read()
{
  ++counts_.reads_;
  phase_ = Phase::kReading;
  nextCommit_ = clock_.now() + settings_.commitSpacing_;
  store_.get(name_, StorePriority::kClaim, [this](const StoreReply& aReply) {
    readDone(aReply);
  });
}

void
ClaimSlot::readDone(const StoreReply& aReply)
{
  phase_ = Phase::kIdle;
  const bool found = aReply.status_ == StoreStatus::kOk;
  const bool answered = found || aReply.status_ == StoreStatus::kNotFound;
  // A journal that cannot be read grants nothing.
  if (!answered || !journal_.load(found ? aReply.value_ : "")) {
    nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims();
    return;
  }
  revision_ = found ? aReply.revision_ : state::Revision();
  loaded_ = true;
  fresh_ = true;
  if (!queue_.empty()) {
    commit();
  }
  fresh_ = false;
}

void
ClaimSlot::commit()
{
  assert(phase_ == Phase::kIdle && batch_.empty());
  makeRoom();
  journal_.beginBatch();
  const std::size_t before = journal_.text().size();
  while (!queue_.empty()) {
    batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    apply(batch_.back());
  }
  if (journal_.text().size() == before) {
    if (needsFreshContent()) {
      requeueBatch();
      read();
      return;
    }
    deliverBatch();
    return;
  }
  ++counts_.writes_;
  phase_ = Phase::kWriting;
  nextCommit_ = clock_.now() + settings_.commitSpacing_;
  store_.compareAndSwap(
    name_,
    revision_,
    journal_.text(),
    StorePriority::kClaim,
    [this](const StoreReply& aReply) { writeDone(aReply); });
}

void
ClaimSlot::writeDone(const StoreReply& aReply)
{
  phase_ = Phase::kIdle;
  if (aReply.status_ == StoreStatus::kOk) {
    revision_ = aReply.revision_;
    deliverBatch();
  } else {
    writeFailed(aReply.status_);
  }
}

void
ClaimSlot::writeFailed(StoreStatus aStatus)
{
  for (Pending& pending : batch_) {
    pending.possiblyWritten_ |= aStatus == StoreStatus::kUnknown;
  }
  journal_.rollBack();
  loaded_ = false;
  requeueBatch();
  if (aStatus == StoreStatus::kConflict) {
    ++counts_.conflicts_;
    read();
  } else if (aStatus == StoreStatus::kUnknown) {
    // The read tells whether the write took effect: its tokens are there.
    ++counts_.unknown_;
    read();
  } else {
    nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims();
  }
}

void
ClaimSlot::deliverBatch()
{
  std::vector<Pending> done = std::move(batch_);
  batch_.clear();
  journal_.beginBatch();
  for (const Pending& pending : done) {
    pending.handler_(pending.result_);
  }
}

bool
ClaimSlot::needsFreshContent() const
{
  // Others may have ended these claims since the content was read.
  const auto canChange = [](const Pending& aPending) {
    const ClaimStatus status = aPending.result_.status_;
    return status == ClaimStatus::kInProgress ||
           status == ClaimStatus::kHolderLost ||
           status == ClaimStatus::kKeyReused;
  };
  return !fresh_ && std::any_of(batch_.begin(), batch_.end(), canChange);
}

void
ClaimSlot::makeRoom()
{
  const std::size_t limit = settings_.maxSlotBytes_ / 2;
  const std::size_t grown = std::max(limit, compactedBytes_ * 5 / 4);
  const std::size_t size = journal_.text().size();
  const bool due = clock_.now() - compactedAt_ >= kCompactionPause;
  if (size <= limit || (size <= grown && !due)) {
    return;
  }
  const state::WallTime oldest =
    clock_.wallNow() - settings_.retention_ - kClaimMaxClockSkew;
  journal_.compact(oldest, true);
  if (journal_.text().size() > limit) {
    journal_.compact(oldest, false);
  }
  compactedAt_ = clock_.now();
  compactedBytes_ = journal_.text().size();
}

void
ClaimSlot::apply(Pending& aPending)
{
  const ClaimOperation& operation = aPending.operation_;
  aPending.result_ = {};
  aPending.result_.token_ = operation.token_;
  const std::size_t size = journal_.text().size();
  if (!aPending.isClaim()) {
    const bool fits =
      size < settings_.maxSlotBytes_ - 2 * settings_.maxAnswerBytes_;
    journal_.end(operation.key_,
                 operation.token_,
                 operation.end_,
                 fits ? operation.answer_ : nullptr);
    aPending.result_.status_ = ClaimStatus::kGranted;
    return;
  }
  // The rest of the slot is left for the ends of the claims in it.
  if (size > settings_.maxSlotBytes_ * 3 / 4 ||
      journal_.isAbandoned(operation.token_)) {
    aPending.result_.retryAfter_ = std::chrono::minutes(1);
    return;
  }
  ClaimEntry entry;
  entry.token_ = operation.token_;
  entry.body_ = operation.body_;
  entry.at_ = clock_.wallNow();
  aPending.result_ = judge(operation, journal_.claim(operation.key_, entry));
}

ClaimResult
ClaimSlot::judge(const ClaimOperation& aOperation,
                 const ClaimEntry& aEntry) const
{
  ClaimResult result;
  result.token_ = aOperation.token_;
  if (aEntry.token_ == aOperation.token_) {
    result.status_ = ClaimStatus::kGranted;
    return result;
  }
  if (aEntry.body_ != aOperation.body_) {
    result.status_ = ClaimStatus::kKeyReused;
    return result;
  }
  if (aEntry.state_ == ClaimState::kFinished) {
    result.status_ = ClaimStatus::kFinished;
    result.answer_ = aEntry.answer_;
    return result;
  }
  const bool lost = clock_.wallNow() - aEntry.at_ > settings_.holderLostAfter_;
  if (aEntry.state_ == ClaimState::kUnknown) {
    result.status_ = ClaimStatus::kUnknown;
  } else if (lost) {
    result.status_ = ClaimStatus::kHolderLost;
  } else {
    result.status_ = ClaimStatus::kInProgress;
    result.retryAfter_ = std::chrono::seconds(1);
  }
  return result;
}

void
ClaimSlot::requeueBatch()
{
  for (auto pending = batch_.rbegin(); pending != batch_.rend(); ++pending) {
    queue_.push_front(std::move(*pending));
  }
  batch_.clear();
}

void
ClaimSlot::refuseClaims()
{
  std::deque<Pending> kept;
  std::vector<Pending> refused;
  for (Pending& pending : queue_) {
    if (!pending.isClaim()) {
      kept.push_back(std::move(pending));
      continue;
    }
    if (pending.possiblyWritten_ && pending.own_) {
      Pending undo;
      undo.operation_ = pending.operation_;
      undo.operation_.end_ = ClaimEnd::kNotRun;
      undo.queuedAt_ = clock_.now();
      undo.own_ = true;
      undo.handler_ = [](const ClaimResult&) {};
      kept.push_back(std::move(undo));
    }
    refused.push_back(std::move(pending));
  }
  queue_ = std::move(kept);
  for (const Pending& pending : refused) {
    ClaimResult result;
    result.token_ = pending.operation_.token_;
    result.retryAfter_ = settings_.storeBackoff_;
    pending.handler_(result);
  }
}

} // namespace auburnhaven::coordination
