// Batches the claims of one slot and writes them to the store.

#include "coordination/request/claim_slot.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kMinCompactionInterval =
  std::chrono::seconds(10); ///< Minimum interval between compactions of a slot
                            ///< that has grown by less than a quarter.

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
               bool aIsOwn,
               ClaimHandler aHandler)
{
  lastUsedAt_ = clock_.now();
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
  pending.enqueuedAt_ = lastUsedAt_;
  pending.isOwn_ = aIsOwn;
  pending.handler_ = std::move(aHandler);
  queue_.push_back(std::move(pending));
  advance();
}

bool
ClaimSlot::isIdle() const
{
  return phase_ == Phase::kIdle && queue_.empty() && batch_.empty();
}

bool
ClaimSlot::isExpired() const
{
  return isIdle() && clock_.now() - lastUsedAt_ >= settings_.idleSlotLifetime_;
}

bool
ClaimSlot::isDue() const
{
  const state::TimePoint now = clock_.now();
  if (phase_ != Phase::kIdle || queue_.empty() || now < nextCommit_) {
    return false;
  }
  return std::any_of(
    queue_.begin(), queue_.end(), [&](const Pending& aPending) {
      return aPending.isClaim() ||
             now - aPending.enqueuedAt_ >= settings_.endDelay_;
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
    handleReadReply(aReply);
  });
}

void
ClaimSlot::handleReadReply(const StoreReply& aReply)
{
  phase_ = Phase::kIdle;
  const bool found = aReply.status_ == StoreStatus::kOk;
  const bool answered = found || aReply.status_ == StoreStatus::kNotFound;
  // Without a valid journal no claim may be granted.
  if (!answered || !journal_.load(found ? aReply.value_ : "")) {
    nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims();
    return;
  }
  revision_ = found ? aReply.revision_ : state::Revision();
  loaded_ = true;
  justRead_ = true;
  if (!queue_.empty()) {
    commit();
  }
  justRead_ = false;
}

void
ClaimSlot::commit()
{
  assert(phase_ == Phase::kIdle && batch_.empty());
  compactIfNeeded();
  journal_.beginBatch();
  const std::size_t before = journal_.text().size();
  while (!queue_.empty()) {
    batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    apply(batch_.back());
  }
  if (journal_.text().size() == before) {
    if (needsReread()) {
      requeueBatch();
      read();
      return;
    }
    completeBatch();
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
    [this](const StoreReply& aReply) { handleWriteReply(aReply); });
}

void
ClaimSlot::handleWriteReply(const StoreReply& aReply)
{
  phase_ = Phase::kIdle;
  if (aReply.status_ == StoreStatus::kOk) {
    revision_ = aReply.revision_;
    completeBatch();
  } else {
    handleWriteFailure(aReply.status_);
  }
}

void
ClaimSlot::handleWriteFailure(StoreStatus aStatus)
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
    // If the write took effect, the read finds the tokens of the batch.
    ++counts_.unknown_;
    read();
  } else {
    nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims();
  }
}

void
ClaimSlot::completeBatch()
{
  std::vector<Pending> done = std::move(batch_);
  batch_.clear();
  journal_.beginBatch();
  for (const Pending& pending : done) {
    pending.handler_(pending.result_);
  }
}

bool
ClaimSlot::needsReread() const
{
  // Other daemons may have ended these claims since the content was read.
  const auto canChange = [](const Pending& aPending) {
    const ClaimStatus status = aPending.result_.status_;
    return status == ClaimStatus::kInProgress ||
           status == ClaimStatus::kHolderLost ||
           status == ClaimStatus::kKeyReused;
  };
  return !justRead_ && std::any_of(batch_.begin(), batch_.end(), canChange);
}

void
ClaimSlot::compactIfNeeded()
{
  const std::size_t limit = settings_.maxSlotBytes_ / 2;
  const std::size_t growthLimit = std::max(limit, compactedBytes_ * 5 / 4);
  const std::size_t size = journal_.text().size();
  const bool due = clock_.now() - compactedAt_ >= kMinCompactionInterval;
  if (size <= limit || (size <= growthLimit && !due)) {
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
  // The last quarter of the slot is reserved for the ends of its claims.
  if (size > settings_.maxSlotBytes_ * 3 / 4 ||
      journal_.isAbandoned(operation.token_)) {
    aPending.result_.retryAfter_ = std::chrono::minutes(1);
    return;
  }
  ClaimEntry entry;
  entry.token_ = operation.token_;
  entry.body_ = operation.body_;
  entry.claimedAt_ = clock_.wallNow();
  aPending.result_ =
    evaluateClaim(operation, journal_.claim(operation.key_, entry));
}

ClaimResult
ClaimSlot::evaluateClaim(const ClaimOperation& aOperation,
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
  const bool lost =
    clock_.wallNow() - aEntry.claimedAt_ > settings_.holderLostAfter_;
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
    if (pending.possiblyWritten_ && pending.isOwn_) {
      Pending undo;
      undo.operation_ = pending.operation_;
      undo.operation_.end_ = ClaimEnd::kNotRun;
      undo.enqueuedAt_ = clock_.now();
      undo.isOwn_ = true;
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
