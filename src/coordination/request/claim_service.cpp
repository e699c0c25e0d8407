// At-most-once claims of idempotency keys through the store.

#include "coordination/request/claim_service.h"

#include "state/digest_func.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kKeyDigits = 32; ///< Hexadecimal digits of a key digest.
constexpr std::size_t kBodyDigits =
  16; ///< Hexadecimal digits of a body digest.
constexpr std::chrono::minutes kClockMargin{
  10
}; ///< Greatest difference between the wall clocks of callers and daemons.

constexpr state::Duration kCompactionPause =
  std::chrono::seconds(10); ///< Time after which a slot that hardly grew is
                            ///< compacted again.

constexpr std::size_t kUuidLength = 36;       ///< Characters of a UUID.
constexpr std::size_t kUuidVersionIndex = 14; ///< Place of the version digit.
constexpr std::size_t kUuidTimeDigits = 12;   ///< Digits that hold the time.

/** @return Short digest that names a key in the journal. */
std::string
keyDigest(const ClaimRequest& aRequest)
{
  const std::string name = std::to_string(aRequest.account_.value().size()) +
                           ":" + aRequest.account_.value() +
                           std::to_string(aRequest.scope_.size()) + ":" +
                           aRequest.scope_ + aRequest.key_;
  return state::sha256Hex(name).substr(0, kKeyDigits);
}

/** @return Value of a hexadecimal digit, or -1. */
int
digitValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return -1;
}

/** @return Whether hyphens and digits stand where a UUID has them. */
bool
isUuid(const std::string& aKey)
{
  if (aKey.size() != kUuidLength) {
    return false;
  }
  for (std::size_t index = 0; index < kUuidLength; ++index) {
    const bool hyphen = index == 8 || index == 13 || index == 18 || index == 23;
    if (hyphen ? aKey[index] != '-' : digitValue(aKey[index]) < 0) {
      return false;
    }
  }
  return true;
}

} // namespace

std::optional<state::WallTime>
keyIssueTime(const std::string& aKey)
{
  if (!isUuid(aKey) || aKey[kUuidVersionIndex] != '7') {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  std::size_t digits = 0;
  for (std::size_t index = 0; digits < kUuidTimeDigits; ++index) {
    if (aKey[index] != '-') {
      milliseconds = milliseconds * 16 + digitValue(aKey[index]);
      ++digits;
    }
  }
  return state::WallTime(std::chrono::milliseconds(milliseconds));
}

ClaimService::ClaimService(Store& aStore,
                           const state::Clock& aClock,
                           const state::DaemonId& aDaemon,
                           state::Incarnation aIncarnation,
                           ClaimSettings aSettings)
  : store_(aStore)
  , clock_(aClock)
  , settings_(aSettings)
  , tokenSeed_(state::stableHash(aDaemon.value(), aIncarnation.value()))
  , slots_(aSettings.slots_)
{
  assert(aSettings.slots_ > 0);
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    slots_[index].name_ = "claims/" + std::to_string(index);
  }
}

ClaimToken
ClaimService::claim(const ClaimRequest& aRequest, ClaimHandler aHandler)
{
  ++counts_.claims_;
  Operation operation;
  const std::uint64_t number = nextToken_++;
  operation.token_ = ClaimToken(state::stableHash(
    std::to_string(tokenSeed_) + "/" + std::to_string(number)));
  const ClaimToken token = operation.token_;
  operation.result_.token_ = token;
  operation.handler_ = std::move(aHandler);
  const ClaimStatus refusal = checkKey(aRequest.key_);
  if (refusal != ClaimStatus::kGranted) {
    operation.result_.status_ = refusal;
    operation.handler_(operation.result_);
    return token;
  }
  operation.key_ = keyDigest(aRequest);
  operation.body_ = aRequest.bodyDigest_.substr(0, kBodyDigits);
  operation.queuedAt_ = clock_.now();
  const std::size_t index =
    state::stableHash(operation.key_) % settings_.slots_;
  Slot& slot = slots_[index];
  if (slot.queue_.size() >= settings_.maxQueued_) {
    operation.result_.retryAfter_ = settings_.storeBackoff_;
    operation.handler_(operation.result_);
    return token;
  }
  own_[token.value()] = { index, operation.key_ };
  slot.queue_.push_back(std::move(operation));
  advance(slot);
  return token;
}

void
ClaimService::end(ClaimToken aToken,
                  ClaimEnd aEnd,
                  std::shared_ptr<const StoredAnswer> aAnswer)
{
  const auto found = own_.find(aToken.value());
  if (found == own_.end() || aEnd == ClaimEnd::kNone) {
    return;
  }
  Operation operation;
  operation.token_ = aToken;
  operation.key_ = found->second.key_;
  operation.end_ = aEnd;
  operation.queuedAt_ = clock_.now();
  if (aAnswer && aAnswer->body_.size() <= settings_.maxAnswerBytes_) {
    operation.answer_ = std::move(aAnswer);
  }
  Slot& slot = slots_[found->second.slot_];
  own_.erase(found);
  slot.queue_.push_back(std::move(operation));
  advance(slot);
}

void
ClaimService::setRetention(std::chrono::hours aRetention)
{
  settings_.retention_ = aRetention;
}

void
ClaimService::tick()
{
  for (Slot& slot : slots_) {
    if (!slot.queue_.empty()) {
      advance(slot);
    }
  }
}

bool
ClaimService::hasPending() const
{
  return std::any_of(slots_.begin(), slots_.end(), [](const Slot& aSlot) {
    return !aSlot.queue_.empty() || !aSlot.batch_.empty();
  });
}

ClaimStatus
ClaimService::checkKey(const std::string& aKey) const
{
  if (aKey.empty() || aKey.size() > settings_.maxKeyBytes_) {
    return ClaimStatus::kInvalid;
  }
  const std::optional<state::WallTime> issued = keyIssueTime(aKey);
  if (!issued) {
    return settings_.requireDatedKeys_ ? ClaimStatus::kInvalid
                                       : ClaimStatus::kGranted;
  }
  const state::WallTime now = clock_.wallNow();
  if (*issued > now + kClockMargin) {
    return ClaimStatus::kInvalid;
  }
  return *issued < now - settings_.retention_ ? ClaimStatus::kTooOld
                                              : ClaimStatus::kGranted;
}

bool
ClaimService::isDue(const Slot& aSlot, state::TimePoint aNow) const
{
  if (aSlot.phase_ != SlotPhase::kIdle || aSlot.queue_.empty() ||
      aNow < aSlot.nextCommit_) {
    return false;
  }
  return std::any_of(
    aSlot.queue_.begin(), aSlot.queue_.end(), [&](const Operation& aWaiting) {
      return aWaiting.end_ == ClaimEnd::kNone ||
             aNow - aWaiting.queuedAt_ >= settings_.endDelay_;
    });
}

void
ClaimService::advance(Slot& aSlot)
{
  if (!isDue(aSlot, clock_.now())) {
    return;
  }
  if (aSlot.loaded_) {
    commit(aSlot);
  } else {
    read(aSlot);
  }
}

void
ClaimService::read(Slot& aSlot)
{
  ++counts_.reads_;
  aSlot.phase_ = SlotPhase::kReading;
  aSlot.nextCommit_ = clock_.now() + settings_.commitSpacing_;
  store_.get(
    aSlot.name_,
    StorePriority::kClaim,
    [this, &aSlot](const StoreReply& aReply) { readDone(aSlot, aReply); });
}

void
ClaimService::readDone(Slot& aSlot, const StoreReply& aReply)
{
  aSlot.phase_ = SlotPhase::kIdle;
  const bool found = aReply.status_ == StoreStatus::kOk;
  const bool answered = found || aReply.status_ == StoreStatus::kNotFound;
  // A journal that cannot be read grants nothing.
  if (!answered || !aSlot.journal_.load(found ? aReply.value_ : "")) {
    aSlot.nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims(aSlot);
    return;
  }
  aSlot.revision_ = found ? aReply.revision_ : state::Revision();
  aSlot.loaded_ = true;
  aSlot.fresh_ = true;
  if (!aSlot.queue_.empty()) {
    commit(aSlot);
  }
  aSlot.fresh_ = false;
}

void
ClaimService::commit(Slot& aSlot)
{
  assert(aSlot.phase_ == SlotPhase::kIdle && aSlot.batch_.empty());
  makeRoom(aSlot);
  aSlot.journal_.beginBatch();
  const std::size_t before = aSlot.journal_.text().size();
  while (!aSlot.queue_.empty()) {
    aSlot.batch_.push_back(std::move(aSlot.queue_.front()));
    aSlot.queue_.pop_front();
    apply(aSlot, aSlot.batch_.back());
  }
  if (aSlot.journal_.text().size() == before) {
    if (needsFreshContent(aSlot)) {
      requeueBatch(aSlot);
      read(aSlot);
      return;
    }
    writeDone(aSlot, { StoreStatus::kOk, {}, aSlot.revision_ });
    return;
  }
  ++counts_.writes_;
  aSlot.phase_ = SlotPhase::kWriting;
  aSlot.nextCommit_ = clock_.now() + settings_.commitSpacing_;
  store_.compareAndSwap(
    aSlot.name_,
    aSlot.revision_,
    aSlot.journal_.text(),
    StorePriority::kClaim,
    [this, &aSlot](const StoreReply& aReply) { writeDone(aSlot, aReply); });
}

void
ClaimService::writeDone(Slot& aSlot, const StoreReply& aReply)
{
  aSlot.phase_ = SlotPhase::kIdle;
  if (aReply.status_ == StoreStatus::kOk) {
    aSlot.revision_ = aReply.revision_;
    std::vector<Operation> done = std::move(aSlot.batch_);
    aSlot.batch_.clear();
    aSlot.journal_.beginBatch();
    for (Operation& operation : done) {
      deliver(operation);
    }
    return;
  }
  for (Operation& operation : aSlot.batch_) {
    operation.mayBeWritten_ |= aReply.status_ == StoreStatus::kUnknown;
  }
  aSlot.journal_.rollBack();
  aSlot.loaded_ = false;
  requeueBatch(aSlot);
  if (aReply.status_ == StoreStatus::kConflict) {
    ++counts_.conflicts_;
    read(aSlot);
  } else if (aReply.status_ == StoreStatus::kUnknown) {
    // The read tells whether the write took effect: its tokens are there.
    ++counts_.unknown_;
    read(aSlot);
  } else {
    aSlot.nextCommit_ = clock_.now() + settings_.storeBackoff_;
    refuseClaims(aSlot);
  }
}

bool
ClaimService::needsFreshContent(const Slot& aSlot) const
{
  // Others may have ended these claims since the content was read.
  const auto canChange = [](const Operation& aOperation) {
    const ClaimStatus status = aOperation.result_.status_;
    return status == ClaimStatus::kInProgress ||
           status == ClaimStatus::kHolderLost ||
           status == ClaimStatus::kKeyReused;
  };
  return !aSlot.fresh_ &&
         std::any_of(aSlot.batch_.begin(), aSlot.batch_.end(), canChange);
}

void
ClaimService::makeRoom(Slot& aSlot)
{
  const std::size_t limit = settings_.maxSlotBytes_ / 2;
  const std::size_t grown = std::max(limit, aSlot.compactedBytes_ * 5 / 4);
  const std::size_t size = aSlot.journal_.text().size();
  const bool due = clock_.now() - aSlot.compactedAt_ >= kCompactionPause;
  if (size <= limit || (size <= grown && !due)) {
    return;
  }
  const state::WallTime oldest =
    clock_.wallNow() - settings_.retention_ - kClockMargin;
  aSlot.journal_.compact(oldest, true);
  if (aSlot.journal_.text().size() > limit) {
    aSlot.journal_.compact(oldest, false);
  }
  aSlot.compactedAt_ = clock_.now();
  aSlot.compactedBytes_ = aSlot.journal_.text().size();
}

void
ClaimService::apply(Slot& aSlot, Operation& aOperation)
{
  if (aOperation.end_ != ClaimEnd::kNone) {
    const bool fits = aSlot.journal_.text().size() <
                      settings_.maxSlotBytes_ - 2 * settings_.maxAnswerBytes_;
    aSlot.journal_.end(aOperation.key_,
                       aOperation.token_,
                       aOperation.end_,
                       fits ? aOperation.answer_ : nullptr);
    return;
  }
  // The rest of the slot is left for the ends of the claims in it.
  if (aSlot.journal_.text().size() > settings_.maxSlotBytes_ * 3 / 4) {
    aOperation.result_.status_ = ClaimStatus::kUnavailable;
    aOperation.result_.retryAfter_ = std::chrono::minutes(1);
    return;
  }
  ClaimEntry entry;
  entry.token_ = aOperation.token_;
  entry.body_ = aOperation.body_;
  entry.at_ = clock_.wallNow();
  aOperation.result_ =
    judge(aOperation, aSlot.journal_.claim(aOperation.key_, entry));
}

ClaimResult
ClaimService::judge(const Operation& aOperation, const ClaimEntry& aEntry) const
{
  ClaimResult result;
  result.token_ = aOperation.token_;
  if (aEntry.token_ == aOperation.token_) {
    result.status_ = ClaimStatus::kGranted;
    result.dispatchUntil_ = aOperation.queuedAt_ + settings_.dispatchWindow_;
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
ClaimService::deliver(Operation& aOperation)
{
  if (aOperation.end_ != ClaimEnd::kNone) {
    return;
  }
  if (aOperation.result_.status_ == ClaimStatus::kGranted) {
    ++counts_.granted_;
  } else {
    own_.erase(aOperation.token_.value());
  }
  aOperation.handler_(aOperation.result_);
}

void
ClaimService::requeueBatch(Slot& aSlot)
{
  for (auto operation = aSlot.batch_.rbegin(); operation != aSlot.batch_.rend();
       ++operation) {
    aSlot.queue_.push_front(std::move(*operation));
  }
  aSlot.batch_.clear();
}

void
ClaimService::refuseClaims(Slot& aSlot)
{
  std::deque<Operation> kept;
  std::vector<Operation> refused;
  for (Operation& operation : aSlot.queue_) {
    if (operation.end_ != ClaimEnd::kNone) {
      kept.push_back(std::move(operation));
      continue;
    }
    if (operation.mayBeWritten_ && own_.contains(operation.token_.value())) {
      Operation undo;
      undo.token_ = operation.token_;
      undo.key_ = operation.key_;
      undo.end_ = ClaimEnd::kNotRun;
      undo.queuedAt_ = clock_.now();
      kept.push_back(std::move(undo));
    }
    refused.push_back(std::move(operation));
  }
  aSlot.queue_ = std::move(kept);
  for (Operation& operation : refused) {
    own_.erase(operation.token_.value());
    operation.result_ = {};
    operation.result_.token_ = operation.token_;
    operation.result_.retryAfter_ = settings_.storeBackoff_;
    operation.handler_(operation.result_);
  }
}

} // namespace auburnhaven::coordination
