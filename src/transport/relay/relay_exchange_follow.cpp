// Follows the sends of a relayed request and takes what their targets send.

#include "transport/relay/relay_exchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace auburnhaven::transport {

using coordination::SendResult;

namespace {

constexpr std::uint32_t kMaxPauseFactor =
  10; ///< Limit of the growth of the pause after rejections.

} // namespace

void
RelayExchange::followAttempts()
{
  const bool mayHaveMore = pollAttempts();
  if (answered_) {
    return;
  }
  if (responder_.callerGone()) {
    endAttempts(SendEnder::kCaller);
    return;
  }
  const bool late = dependencies_.clock_.now() >= deadline_;
  // What has arrived by then is still forwarded.
  if (late || stopping_) {
    if (mayHaveMore && mayStillRead()) {
      goOn(mayHaveMore);
      return;
    }
    endAttempts(late ? SendEnder::kDeadline : SendEnder::kStop);
    giveUp();
    return;
  }
  if (isQuarantined()) {
    endUnansweredAttempts();
    if (attempts_.empty()) {
      refuseAsQuarantined();
    } else {
      goOn(mayHaveMore);
    }
    return;
  }
  if (dependencies_.clock_.now() >= nextTryAt_) {
    readmitRejecting();
  }
  if (isBackupDue()) {
    startBackup();
  } else if (!attempts_.empty()) {
    goOn(mayHaveMore);
  }
}

bool
RelayExchange::pollAttempts()
{
  ReadTurn turn;
  std::size_t quiet = 0;
  // In turn, since one that always has news would hide the others.
  for (std::size_t next = 0; quiet < attempts_.size(); ++next) {
    if (answered_ || responder_.callerGone() || !mayStillRead()) {
      return false;
    }
    if (turn.isOver()) {
      return true;
    }
    RelayAttempt& attempt = *attempts_[next % attempts_.size()];
    const AttemptProgress progress = attempt.poll(yield_, turn);
    quiet = progress == AttemptProgress::kNone ? quiet + 1 : 0;
    if (progress != AttemptProgress::kNone) {
      takeProgress(attempt, progress);
    }
  }
  return false;
}

bool
RelayExchange::mayStillRead() const
{
  return dependencies_.clock_.now() < readUntil_;
}

void
RelayExchange::goOn(bool aMayHaveMore)
{
  if (aMayHaveMore) {
    boost::asio::post(yield_);
  } else {
    waitForNews(nextCheck());
  }
}

void
RelayExchange::takeProgress(RelayAttempt& aAttempt, AttemptProgress aProgress)
{
  if (aProgress == AttemptProgress::kTaken) {
    return;
  }
  const bool goesOn = position_.isTorn_ || (streaming_ && attempts_.size() > 1);
  if (aProgress == AttemptProgress::kEvents) {
    forwardEvents(aAttempt);
  } else if (aProgress == AttemptProgress::kComplete &&
             aAttempt.mayEnd(goesOn)) {
    deliver(aAttempt);
  } else {
    conclude(aAttempt);
  }
}

void
RelayExchange::forwardEvents(RelayAttempt& aAttempt)
{
  for (std::string_view event = aAttempt.nextEvent(); !event.empty();
       event = aAttempt.nextEvent()) {
    supersedeOthers(aAttempt);
    if (!streaming_) {
      streaming_ = true;
      firstEventAt_ = dependencies_.clock_.now();
      dependencies_.metrics_.latency("auburnhaven_relay_first_event_seconds")
        .add(firstEventAt_ - startedAt_);
      if (!responder_.startStream(aAttempt.response(), yield_)) {
        return;
      }
    }
    if (!responder_.writeChunk(event, yield_)) {
      return;
    }
    ++forwardedEvents_;
    aAttempt.noteForwarded(position_);
    if (!mayStillRead()) {
      return;
    }
  }
}

void
RelayExchange::deliver(RelayAttempt& aAttempt)
{
  supersedeOthers(aAttempt);
  lastDetail_.clear();
  logSend(aAttempt, SendOutcome::kDelivered, SendEnder::kTarget);
  const bool taken = streaming_ ? responder_.endStream(yield_)
                                : responder_.send(aAttempt.response(), yield_);
  if (taken) {
    logOutcome(state::LogWeight::kRoutine,
               streaming_ ? "stream delivered" : "answered");
  } else {
    lastDetail_ = nameOf(responder_.callerEnd());
    logOutcome(state::LogWeight::kChange, "caller went away");
  }
  answered_ = true;
}

void
RelayExchange::conclude(const RelayAttempt& aAttempt)
{
  const auto found = std::find_if(
    attempts_.begin(), attempts_.end(), [&](const AttemptPtr& aEntry) {
      return aEntry.get() == &aAttempt;
    });
  const AttemptPtr ended = std::move(*found);
  attempts_.erase(found);
  const SendOutcome outcome = ended->outcome();
  lastDetail_ = ended->detail();
  logSend(*ended, outcome, SendEnder::kTarget);
  if (ended->hasLostConnection() && dependencies_.crashes_ != nullptr) {
    dependencies_.crashes_->noteLost({ ended->target().vm_,
                                       ended->target().endpoint_,
                                       identity_.parts(),
                                       dependencies_.clock_.now(),
                                       ended->hasBegun() });
  }
  position_.isTorn_ = position_.isTorn_ || ended->streamGoesOn();
  staleConnection_ = ended->hadStaleConnection();
  if (!staleConnection_) {
    need_.excluded_.push_back(ended->target().vm_);
  }
  if (ended->isRejected()) {
    rejectedBy_.push_back(ended->target().vm_);
  }
  if (outcome == SendOutcome::kRan) {
    failure_ = ended->response();
  }
  if (outcome == SendOutcome::kNotRun) {
    ++rejections_;
    nextTryAt_ =
      dependencies_.clock_.now() +
      settings_.resumePause_ * std::min(rejections_, kMaxPauseFactor);
  } else {
    ++runs_;
  }
  if (attempts_.empty() && !mayRetry(outcome)) {
    giveUp();
  }
}

void
RelayExchange::supersedeOthers(const RelayAttempt& aWinner)
{
  for (const AttemptPtr& attempt : attempts_) {
    if (attempt.get() == &aWinner) {
      continue;
    }
    // A target that a later send overtakes is slow.
    const bool overtaken = attempt == attempts_.front();
    attempt->setResult(overtaken ? SendResult::kFailed : SendResult::kAborted);
    need_.excluded_.push_back(attempt->target().vm_);
    ++runs_;
    logSend(*attempt, SendOutcome::kSuperseded, SendEnder::kOtherTarget);
  }
  std::erase_if(attempts_, [&](const AttemptPtr& aAttempt) {
    return aAttempt.get() != &aWinner;
  });
}

void
RelayExchange::endAttempts(SendEnder aEnder)
{
  for (const AttemptPtr& attempt : attempts_) {
    attempt->setResult(SendResult::kAborted);
    logSend(*attempt, SendOutcome::kOver, aEnder);
  }
  attempts_.clear();
}

void
RelayExchange::endUnansweredAttempts()
{
  std::erase_if(attempts_, [this](const AttemptPtr& aAttempt) {
    if (aAttempt->hasBegun()) {
      return false;
    }
    aAttempt->setResult(SendResult::kAborted);
    ++runs_;
    logSend(*aAttempt, SendOutcome::kOver, SendEnder::kQuarantine);
    return true;
  });
}

state::TimePoint
RelayExchange::nextCheck() const
{
  const state::TimePoint now = dependencies_.clock_.now();
  state::TimePoint check = now + settings_.monitorPeriod_;
  const RelayAttempt& attempt = *attempts_.front();
  const std::optional<state::Duration> limit = silenceLimit(attempt);
  if (limit && attempt.lastNewsAt() + *limit > now) {
    check = std::min(check, attempt.lastNewsAt() + *limit);
  }
  return std::min(check, deadline_);
}

void
RelayExchange::waitForNews(state::TimePoint aUntil)
{
  wait_ = std::make_shared<boost::asio::steady_timer>(
    yield_.get_executor(), aUntil - dependencies_.clock_.now());
  for (const AttemptPtr& attempt : attempts_) {
    attempt->onReadable([wait = wait_] { wait->cancel(); });
  }
  boost::system::error_code ignored;
  wait_->async_wait(yield_[ignored]);
  wait_.reset();
  for (const AttemptPtr& attempt : attempts_) {
    attempt->cancelWait();
  }
}

} // namespace auburnhaven::transport
