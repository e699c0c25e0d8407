// Runs one request from admission to its outcome.

#include "transport/gateway/request_runner.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using coordination::Action;
using coordination::ActionKind;
using coordination::AdmissionResult;
using coordination::AdmissionStatus;
using coordination::AttemptResult;
using coordination::WorkResult;

namespace {

/** Maps the last event of an attempt to the results reported to the state
 * machine and the target statistics. */
struct AttemptEndRow
{
  TargetEventKind event_; ///< Last event of the attempt.
  AttemptResult attempt_; ///< Result for the state machine.
  WorkResult work_;       ///< Result for the target statistics.
};

constexpr std::array<AttemptEndRow, 5> kAttemptEnds{ {
  { TargetEventKind::kWhole, AttemptResult::kWhole, WorkResult::kDone },
  { TargetEventKind::kRefused,
    AttemptResult::kRefused,
    WorkResult::kAbandoned },
  { TargetEventKind::kNotReached,
    AttemptResult::kRefused,
    WorkResult::kFailed },
  { TargetEventKind::kCutShort, AttemptResult::kCutShort, WorkResult::kFailed },
  { TargetEventKind::kTimedOut, AttemptResult::kTimedOut, WorkResult::kFailed },
} };

constexpr std::uint64_t kTokensPerSample =
  10; ///< Tokens per sample of the target's speed.

/** @return Row for the last event of an attempt. Precondition: not kToken. */
const AttemptEndRow&
attemptEndRow(TargetEventKind aKind)
{
  const auto* found = std::find_if(
    kAttemptEnds.begin(), kAttemptEnds.end(), [&](const AttemptEndRow& aRow) {
      return aRow.event_ == aKind;
    });
  assert(found != kAttemptEnds.end());
  return *found;
}

} // namespace

RequestRunner::Mailbox::Mailbox(const asio::any_io_executor& aExecutor)
  : wake_(aExecutor, asio::steady_timer::time_point::max())
{
}

RequestRunner::RequestRunner(const RunnerDependencies& aDependencies,
                             std::size_t aThread,
                             TargetCall aCall,
                             AnswerSink& aSink)
  : dependencies_(aDependencies)
  , thread_(aThread)
  , call_(std::move(aCall))
  , sink_(aSink)
  , machine_(call_.info_, aDependencies.budget_)
{
}

RequestResult
RequestRunner::run(const asio::yield_context& aYield)
{
  result_.times_.startedAt_ = now();
  mailbox_ = std::make_shared<Mailbox>(aYield.get_executor());
  asio::steady_timer deadline(aYield.get_executor());
  watchDeadline(deadline);
  sink_.onCallerGone([this] { interrupt(machine_.callerGone()); });
  Action action = admit(aYield);
  while (action.kind_ != ActionKind::kFinish) {
    action = perform(action, aYield);
  }
  sink_.onCallerGone({});
  deadline.cancel();
  release(action);
  result_.outcome_ = action.outcome_;
  return result_;
}

Action
RequestRunner::admit(const asio::yield_context& aYield)
{
  const auto executor = aYield.get_executor();
  AdmissionResult admission = dependencies_.admission_.admit(
    call_.info_,
    now(),
    dependencies_.clock_.wallNow(),
    [mailbox = mailbox_, executor](const AdmissionResult& aResult) {
      asio::post(executor, [mailbox, aResult] {
        mailbox->admission_ = aResult;
        mailbox->wake_.cancel();
      });
    });
  if (admission.status_ == AdmissionStatus::kQueued) {
    ticket_ = admission.ticket_;
    while (!mailbox_->admission_ && !finish_) {
      boost::system::error_code ignored;
      mailbox_->wake_.async_wait(aYield[ignored]);
    }
    if (finish_) {
      return *finish_;
    }
    admission = *mailbox_->admission_;
  }
  if (admission.status_ == AdmissionStatus::kRefused) {
    ticket_.reset();
    return machine_.refused(admission.reason_, admission.retryAfter_);
  }
  ticket_ = admission.ticket_;
  result_.times_.admittedAt_ = now();
  return machine_.admitted(result_.times_.admittedAt_);
}

Action
RequestRunner::perform(const Action& aAction, const asio::yield_context& aYield)
{
  if (finish_) {
    return *finish_;
  }
  if (aAction.kind_ == ActionKind::kClaim) {
    return claim(aYield);
  }
  assert(aAction.kind_ == ActionKind::kDispatch);
  return attempt(aAction, aYield);
}

Action
RequestRunner::claim(const asio::yield_context& aYield)
{
  const coordination::RequestInfo& info = call_.info_;
  claim_ = dependencies_.claims_.claim(
    { info.account_,
      info.service_.value() + "/" + info.operation_,
      info.idempotencyKey_,
      info.bodyDigest_ },
    aYield.get_executor(),
    [mailbox = mailbox_](const coordination::ClaimResult& aResult) {
      mailbox->claim_ = aResult;
      mailbox->wake_.cancel();
    });
  while (!mailbox_->claim_ && !finish_) {
    boost::system::error_code ignored;
    mailbox_->wake_.async_wait(aYield[ignored]);
  }
  return finish_ ? *finish_ : machine_.claimEnded(*mailbox_->claim_, now());
}

Action
RequestRunner::attempt(const Action& aAction, const asio::yield_context& aYield)
{
  const state::AttemptId id = aAction.attempt_;
  // The request may have waited while the caller left.
  if (!sink_.confirmCaller(aYield)) {
    interrupt(machine_.callerGone());
  }
  if (finish_) {
    return *finish_;
  }
  const auto choice =
    dependencies_.chooser_.choose(call_.info_, now(), machine_.triedTargets());
  if (!choice) {
    return machine_.attemptEnded(id, AttemptResult::kNoTarget, now());
  }
  machine_.targetChosen(id, choice->vm_);
  call_.attempt_ = id;
  call_.resumeOffset_ = aAction.resumeOffset_;
  call_.timeout_ = call_.info_.deadline_ - now();
  stream_ = dependencies_.opener_.open(thread_, *choice, call_);
  if (!machine_.beginSending(id, now())) {
    return machine_.attemptEnded(id, AttemptResult::kNotSent, now());
  }
  coordination::OutstandingWork work =
    dependencies_.chooser_.start(*choice, call_.info_);
  Action action = readAttempt(id, work, aYield);
  stream_.reset();
  return action;
}

Action
RequestRunner::readAttempt(state::AttemptId aAttempt,
                           coordination::OutstandingWork& aWork,
                           const asio::yield_context& aYield)
{
  while (true) {
    const TargetEvent event = stream_->next(aYield);
    if (finish_) {
      return *finish_;
    }
    if (event.kind_ != TargetEventKind::kToken) {
      return recordAttemptEnd(aAttempt, event, aWork);
    }
    Action action = deliverToken(aAttempt, event, aWork, aYield);
    if (action.kind_ != ActionKind::kNone) {
      return action;
    }
  }
}

Action
RequestRunner::deliverToken(state::AttemptId aAttempt,
                            const TargetEvent& aEvent,
                            coordination::OutstandingWork& aWork,
                            const asio::yield_context& aYield)
{
  Action action = machine_.tokenArrived(aAttempt, aEvent.offset_, now());
  if (action.kind_ != ActionKind::kDeliverToken) {
    return action;
  }
  recordToken(aWork);
  if (!sink_.passToken(aEvent.text_, aYield)) {
    interrupt(machine_.callerGone());
  }
  return finish_ ? *finish_ : Action{};
}

Action
RequestRunner::recordAttemptEnd(state::AttemptId aAttempt,
                                const TargetEvent& aEvent,
                                coordination::OutstandingWork& aWork)
{
  const AttemptEndRow& row = attemptEndRow(aEvent.kind_);
  const state::TimePoint time = now();
  if (aEvent.answer_) {
    result_.answer_ = aEvent.answer_;
    aWork.sample(time - result_.times_.startedAt_, time);
    if (ticket_) {
      dependencies_.admission_.recordFirstToken(*ticket_, time);
    }
  }
  aWork.finish(row.work_, time);
  return machine_.attemptEnded(aAttempt, row.attempt_, time, aEvent.offset_);
}

void
RequestRunner::recordToken(coordination::OutstandingWork& aWork)
{
  RequestTimes& times = result_.times_;
  const state::TimePoint time = now();
  if (times.tokens_ == 0) {
    times.firstTokenAt_ = time;
    if (ticket_) {
      dependencies_.admission_.recordFirstToken(*ticket_, time);
    }
  } else {
    const state::Duration gap = time - lastTokenAt_;
    times.longestGap_ = std::max(times.longestGap_, gap);
    times.meanGap_ = (time - times.firstTokenAt_) / times.tokens_;
    if (times.tokens_ % kTokensPerSample == 0) {
      aWork.sample(times.meanGap_, time);
    }
  }
  lastTokenAt_ = time;
  ++times.tokens_;
}

void
RequestRunner::interrupt(const Action& aAction)
{
  if (aAction.kind_ != ActionKind::kFinish) {
    return;
  }
  finish_ = aAction;
  mailbox_->wake_.cancel();
  if (stream_) {
    stream_->abort();
  }
}

void
RequestRunner::watchDeadline(asio::steady_timer& aTimer)
{
  aTimer.expires_after(call_.info_.deadline_ - now());
  aTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      interrupt(machine_.deadlinePassed());
    }
  });
}

void
RequestRunner::release(const Action& aAction)
{
  if (claim_ && aAction.claimEnd_ != coordination::ClaimEnd::kNone) {
    dependencies_.claims_.end(claim_, aAction.claimEnd_, result_.answer_);
  }
  if (ticket_) {
    dependencies_.admission_.finish(*ticket_, result_.times_.tokens_, now());
  }
}

} // namespace auburnhaven::transport
