// Session over which forwarded requests come in.

#include "transport/forward_server_session.h"

#include "transport/forward_codec.h"

#include <boost/asio.hpp>

#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;

ForwardServerSession::ForwardServerSession(
  asio::io_context& aContext,
  std::size_t aThread,
  std::shared_ptr<H2Session> aH2,
  std::shared_ptr<ForwardServerState> aState)
  : context_(aContext)
  , thread_(aThread)
  , h2_(std::move(aH2))
  , state_(std::move(aState))
{
}

void
ForwardServerSession::onReady(const state::Endpoint& /*aPeer*/)
{
  auto& sessions = state_->threads_[thread_].sessions_;
  std::erase_if(sessions, [](const auto& aWeak) { return aWeak.expired(); });
  sessions.push_back(weak_from_this());
}

void
ForwardServerSession::onFields(H2StreamId aStream, const H2Fields& aFields)
{
  auto request = decodeForward(aFields);
  if (!request || state_->draining_) {
    h2_->reset(aStream, true);
    return;
  }
  auto attempt = std::make_shared<Attempt>(context_);
  attempt->request_ = std::move(*request);
  attempts_[aStream] = std::move(attempt);
}

void
ForwardServerSession::onData(H2StreamId aStream, std::string_view aData)
{
  h2_->consume(aStream, aData.size());
  const auto found = attempts_.find(aStream);
  if (found == attempts_.end() || found->second->started_) {
    return;
  }
  std::string& payload = found->second->request_.call_.payload_;
  if (payload.size() + aData.size() > kMaxForwardPayload) {
    attempts_.erase(found);
    h2_->reset(aStream, true);
    return;
  }
  payload.append(aData);
}

void
ForwardServerSession::onEnd(H2StreamId aStream)
{
  const auto found = attempts_.find(aStream);
  if (found == attempts_.end() || found->second->started_) {
    return;
  }
  found->second->started_ = true;
  found->second->inFlight_ = std::make_shared<InFlight>(state_);
  asio::spawn(
    context_,
    [self = shared_from_this(), aStream, attempt = found->second](
      const asio::yield_context& aYield) {
      self->run(aStream, attempt, aYield);
    },
    [](const std::exception_ptr& aError) {
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
}

void
ForwardServerSession::run(H2StreamId aStream,
                          const AttemptPtr& aAttempt,
                          const asio::yield_context& aYield)
{
  const auto target = state_->handler_->open(thread_, aAttempt->request_);
  if (!target) {
    finish(aStream, { TargetEventKind::kRefused, 0, {}, nullptr });
    return;
  }
  if (aAttempt->gone_) {
    return;
  }
  h2_->respond(aStream, { { ":status", "200" } }, true);
  aAttempt->target_ = target.get();
  TargetEvent event = target->next(aYield);
  while (event.kind_ == TargetEventKind::kToken &&
         pass(aStream, aAttempt, event, aYield)) {
    event = target->next(aYield);
  }
  aAttempt->target_ = nullptr;
  if (aAttempt->gone_) {
    target->abort();
    return;
  }
  if (event.answer_) {
    h2_->write(aStream, event.answer_->body_);
  }
  h2_->end(aStream, encodeEnd(event));
}

bool
ForwardServerSession::pass(H2StreamId aStream,
                           const AttemptPtr& aAttempt,
                           const TargetEvent& aToken,
                           const asio::yield_context& aYield)
{
  h2_->write(aStream, encodeToken(aToken));
  while (!aAttempt->gone_ &&
         h2_->queuedBytes(aStream) > state_->settings_.maxQueuedBytes_) {
    boost::system::error_code ignored;
    aAttempt->drained_.expires_at(asio::steady_timer::time_point::max());
    aAttempt->drained_.async_wait(aYield[ignored]);
  }
  return !aAttempt->gone_;
}

void
ForwardServerSession::finish(H2StreamId aStream, const TargetEvent& aEvent)
{
  h2_->respond(aStream, { { ":status", "200" } }, true);
  h2_->end(aStream, encodeEnd(aEvent));
}

void
ForwardServerSession::drop(const AttemptPtr& aAttempt)
{
  aAttempt->gone_ = true;
  aAttempt->drained_.cancel();
  if (aAttempt->target_ != nullptr) {
    aAttempt->target_->abort();
  }
}

void
ForwardServerSession::onStreamClosed(H2StreamId aStream, H2Close /*aClose*/)
{
  const auto found = attempts_.find(aStream);
  if (found != attempts_.end()) {
    // All of its answer is framed, but not written yet.
    h2_->afterWrite([counted = found->second->inFlight_] {});
    drop(found->second);
    attempts_.erase(found);
  }
}

void
ForwardServerSession::onDrained(H2StreamId aStream)
{
  const auto found = attempts_.find(aStream);
  if (found != attempts_.end()) {
    found->second->drained_.cancel();
  }
}

void
ForwardServerSession::onSessionClosed(const std::string& /*aReason*/)
{
  for (const auto& [stream, attempt] : std::exchange(attempts_, {})) {
    drop(attempt);
  }
}

} // namespace auburnhaven::transport
