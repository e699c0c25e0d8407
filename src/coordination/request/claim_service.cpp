// At-most-once claims of idempotency keys through the store.

#include "coordination/request/claim_service.h"

#include "state/digest_func.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kKeyDigits =
  32; ///< Length of a key digest in hexadecimal digits.
constexpr std::size_t kBodyDigits =
  16; ///< Length of a body digest in hexadecimal digits.

constexpr std::size_t kUuidLength = 36;       ///< Characters of a UUID.
constexpr std::size_t kUuidVersionIndex = 14; ///< Index of the version digit.
constexpr std::size_t kUuidTimeDigits = 12; ///< Hexadecimal digits of the time.

/** @return Truncated digest of account, scope and key for the journal. */
std::string
keyDigest(const ClaimRequest& aRequest)
{
  const std::string name = std::to_string(aRequest.account_.value().size()) +
                           ":" + aRequest.account_.value() +
                           std::to_string(aRequest.scope_.size()) + ":" +
                           aRequest.scope_ + aRequest.key_;
  return state::sha256Hex(name).substr(0, kKeyDigits);
}

/** @return Value of a hexadecimal digit, or -1 if it is not one. */
int
hexDigitValue(char aDigit)
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

/** @return Result of a claim that was refused without a store call. */
ClaimResult
refusedResult(ClaimToken aToken, ClaimStatus aStatus)
{
  ClaimResult result;
  result.status_ = aStatus;
  result.token_ = aToken;
  return result;
}

/** @return Whether the key has the format of a UUID. */
bool
isUuid(const std::string& aKey)
{
  if (aKey.size() != kUuidLength) {
    return false;
  }
  for (std::size_t index = 0; index < kUuidLength; ++index) {
    const bool hyphen = index == 8 || index == 13 || index == 18 || index == 23;
    if (hyphen ? aKey[index] != '-' : hexDigitValue(aKey[index]) < 0) {
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
      milliseconds = milliseconds * 16 + hexDigitValue(aKey[index]);
      ++digits;
    }
  }
  return state::WallTime(std::chrono::milliseconds(milliseconds));
}

ClaimService::ClaimService(Store& aStore,
                           const state::Clock& aClock,
                           const state::DaemonId& aDaemon,
                           state::Incarnation aIncarnation,
                           const ClaimSettings& aSettings,
                           ClaimPeers* aPeers)
  : store_(aStore)
  , clock_(aClock)
  , daemon_(aDaemon)
  , settings_(aSettings)
  , peers_(aPeers)
  , tokenSeed_(state::stableHash(aDaemon.value(), aIncarnation.value()))
{
  assert(aSettings.slots_ > 0 && aSettings.epochCount_ > 0);
  assert(aSettings.epochLength_ * aSettings.epochCount_ >=
         aSettings.maxRetention_ + std::chrono::hours(1));
}

ClaimToken
ClaimService::claim(const ClaimRequest& aRequest, ClaimHandler aHandler)
{
  ++counts_.claims_;
  const std::uint64_t number = nextToken_++;
  const ClaimToken token(state::stableHash(std::to_string(tokenSeed_) + "/" +
                                           std::to_string(number)));
  const ClaimStatus status = checkKey(aRequest.key_);
  if (status != ClaimStatus::kGranted) {
    aHandler(refusedResult(token, status));
    return token;
  }
  ClaimOperation operation;
  operation.token_ = token;
  operation.key_ = keyDigest(aRequest);
  operation.slot_ = slotName(operation.key_, aRequest.key_);
  operation.body_ = aRequest.bodyDigest_.substr(0, kBodyDigits);
  ownedClaims_[token.value()] = { operation.slot_, operation.key_ };
  const state::TimePoint until = clock_.now() + settings_.dispatchWindow_;
  route(operation,
        [this, until, handler = std::move(aHandler)](ClaimResult aResult) {
          if (aResult.status_ == ClaimStatus::kGranted) {
            ++counts_.granted_;
            aResult.dispatchUntil_ = until;
          } else {
            abandonRefused(aResult);
          }
          handler(aResult);
        });
  return token;
}

void
ClaimService::end(ClaimToken aToken,
                  ClaimEnd aEnd,
                  std::shared_ptr<const StoredAnswer> aAnswer)
{
  const auto found = ownedClaims_.find(aToken.value());
  if (found == ownedClaims_.end() || aEnd == ClaimEnd::kNone) {
    return;
  }
  ClaimOperation operation;
  operation.slot_ = found->second.slot_;
  operation.token_ = aToken;
  operation.key_ = found->second.key_;
  operation.end_ = aEnd;
  if (aAnswer && aAnswer->body_.size() <= settings_.maxAnswerBytes_) {
    operation.answer_ = std::move(aAnswer);
  }
  ownedClaims_.erase(found);
  route(operation, [](const ClaimResult&) {});
}

void
ClaimService::serve(const ClaimOperation& aOperation, ClaimHandler aHandler)
{
  slot(aOperation.slot_).add(aOperation, false, std::move(aHandler));
}

void
ClaimService::setDaemons(std::vector<state::DaemonId> aDaemons)
{
  daemons_ = std::move(aDaemons);
}

void
ClaimService::setRetention(std::chrono::hours aRetention)
{
  settings_.retention_ = std::min(aRetention, settings_.maxRetention_);
}

void
ClaimService::tick()
{
  writeTimedOutForwards();
  for (const auto& [name, slot] : slots_) {
    slot->advance();
  }
  std::erase_if(slots_,
                [](const auto& aItem) { return aItem.second->isExpired(); });
}

bool
ClaimService::hasPending() const
{
  const auto busy = [](const auto& aItem) { return !aItem.second->isIdle(); };
  return !forwarded_.empty() || std::any_of(slots_.begin(), slots_.end(), busy);
}

void
ClaimService::abandonRefused(const ClaimResult& aResult)
{
  // The writer may still write the claim, and only the holder may end it.
  if (aResult.status_ == ClaimStatus::kUnavailable && peers_ != nullptr) {
    end(aResult.token_, ClaimEnd::kNotRun);
  }
  ownedClaims_.erase(aResult.token_.value());
}

ClaimStatus
ClaimService::checkKey(const std::string& aKey) const
{
  if (aKey.empty() || aKey.size() > settings_.maxKeyBytes_) {
    return ClaimStatus::kInvalid;
  }
  const std::optional<state::WallTime> issued = keyIssueTime(aKey);
  if (!issued) {
    return settings_.requireTimestampedKeys_ ? ClaimStatus::kInvalid
                                             : ClaimStatus::kGranted;
  }
  const state::WallTime now = clock_.wallNow();
  if (*issued > now + kClaimMaxClockSkew) {
    return ClaimStatus::kInvalid;
  }
  return *issued < now - settings_.retention_ ? ClaimStatus::kTooOld
                                              : ClaimStatus::kGranted;
}

std::string
ClaimService::slotName(const std::string& aDigest,
                       const std::string& aKey) const
{
  const std::string slot =
    std::to_string(state::stableHash(aDigest) % settings_.slots_);
  const std::optional<state::WallTime> issued = keyIssueTime(aKey);
  if (!issued) {
    return "claims/undated/" + slot;
  }
  const std::int64_t epoch =
    issued->time_since_epoch() / settings_.epochLength_;
  return "claims/" + std::to_string(epoch % settings_.epochCount_) + "/" + slot;
}

ClaimSlot&
ClaimService::slot(const std::string& aName)
{
  std::unique_ptr<ClaimSlot>& slot = slots_[aName];
  if (!slot) {
    slot =
      std::make_unique<ClaimSlot>(aName, store_, clock_, settings_, counts_);
  }
  return *slot;
}

const state::DaemonId&
ClaimService::preferredWriter(const std::string& aSlot) const
{
  const auto rank = [&aSlot](const state::DaemonId& aDaemon) {
    return state::stableHash(aDaemon.value(), state::stableHash(aSlot));
  };
  const auto first = std::max_element(
    daemons_.begin(),
    daemons_.end(),
    [&rank](const state::DaemonId& aLeft, const state::DaemonId& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  return first == daemons_.end() ? daemon_ : *first;
}

void
ClaimService::route(const ClaimOperation& aOperation, ClaimHandler aHandler)
{
  const state::DaemonId& writer = preferredWriter(aOperation.slot_);
  if (peers_ == nullptr || writer == daemon_) {
    slot(aOperation.slot_).add(aOperation, true, std::move(aHandler));
    return;
  }
  ++counts_.forwarded_;
  const std::uint64_t number = nextForward_++;
  state::TimePoint until = clock_.now() + settings_.forwardTimeout_;
  if (aOperation.end_ != ClaimEnd::kNone) {
    until += settings_.endDelay_ + settings_.commitSpacing_;
  }
  forwarded_[number] = { aOperation, std::move(aHandler), until };
  peers_->forward(
    writer, aOperation, [this, number](const ClaimResult& aResult) {
      handleForwardResult(number, aResult);
    });
}

void
ClaimService::handleForwardResult(std::uint64_t aNumber,
                                  const ClaimResult& aResult)
{
  const auto found = forwarded_.find(aNumber);
  if (found == forwarded_.end()) {
    return;
  }
  const Forwarded done = std::move(found->second);
  forwarded_.erase(found);
  const bool isEnd = done.operation_.end_ != ClaimEnd::kNone;
  if (isEnd && aResult.status_ != ClaimStatus::kGranted) {
    slot(done.operation_.slot_).add(done.operation_, true, done.handler_);
    return;
  }
  done.handler_(aResult);
}

void
ClaimService::writeTimedOutForwards()
{
  // The operation keeps its token, so it is harmless if the other daemon writes
  // it too.
  std::vector<Forwarded> timedOut;
  std::erase_if(forwarded_, [&](auto& aItem) {
    const bool isTimedOut = aItem.second.timeoutAt_ <= clock_.now();
    if (isTimedOut) {
      timedOut.push_back(std::move(aItem.second));
    }
    return isTimedOut;
  });
  for (const Forwarded& forwarded : timedOut) {
    slot(forwarded.operation_.slot_)
      .add(forwarded.operation_, true, forwarded.handler_);
  }
}

} // namespace auburnhaven::coordination
