// Attempts made through daemons of other availability zones.

#include "transport/forward_client.h"

#include "transport/forward_codec.h"
#include "transport/forward_session.h"

#include <boost/asio.hpp>

#include <optional>
#include <utility>

namespace auburnhaven::transport {

namespace {

/** One attempt through another daemon. */
class ForwardStream : public TargetStream
{
public:
  /**
   * @param aContext Event loop of the thread.
   * @param aSession Session with the daemon.
   * @param aRequest The request.
   */
  ForwardStream(boost::asio::io_context& aContext,
                std::shared_ptr<ForwardSession> aSession,
                ForwardedRequest aRequest)
    : session_(std::move(aSession))
    , exchange_(std::make_shared<ForwardExchange>(aContext))
    , request_(std::move(aRequest))
  {
  }
  ~ForwardStream() override { leave(); }

  TargetEvent next(const boost::asio::yield_context& aYield) override
  {
    const auto deadline =
      std::chrono::steady_clock::now() + request_.call_.timeout_;
    if (exchange_->stream_ == 0 && !sendOnceReady(deadline, aYield)) {
      return { TargetEventKind::kNotReached, 0, {}, nullptr };
    }
    for (;;) {
      if (auto event = takeEvent()) {
        return std::move(*event);
      }
      if (std::chrono::steady_clock::now() >= deadline) {
        abort();
        return { TargetEventKind::kTimedOut, 0, {}, nullptr };
      }
      wait(deadline, aYield);
    }
  }

  void abort() override
  {
    aborted_ = true;
    leave();
    exchange_->wake_.cancel();
  }

private:
  using Instant = std::chrono::steady_clock::time_point; ///< Local time.

  /** Breaks the stream when it is still open. */
  void leave()
  {
    if (exchange_->stream_ != 0 && !exchange_->closed_) {
      session_->reset(*exchange_);
    }
    exchange_->closed_ = true;
  }

  /** Waits until something happens. */
  void wait(Instant aDeadline, const boost::asio::yield_context& aYield)
  {
    boost::system::error_code ignored;
    exchange_->wake_.expires_at(aDeadline);
    exchange_->wake_.async_wait(aYield[ignored]);
  }

  /** @return Whether the request was sent; if not, nothing of it was. */
  bool sendOnceReady(Instant aDeadline,
                     const boost::asio::yield_context& aYield)
  {
    while (!session_->ready()) {
      const bool late = std::chrono::steady_clock::now() >= aDeadline;
      if (aborted_ || session_->closed() || late) {
        return false;
      }
      session_->notify(exchange_);
      wait(aDeadline, aYield);
    }
    return !aborted_ && session_->send(exchange_, request_);
  }

  /** @return The next event when it has arrived. */
  std::optional<TargetEvent> takeEvent()
  {
    const std::size_t before = exchange_->body_.size();
    if (isServiceCall()) {
      session_->consume(*exchange_, before - exchange_->consumed_);
      exchange_->consumed_ = before;
      if (before > kMaxForwardPayload) {
        abort();
        return TargetEvent();
      }
    } else {
      auto token = takeToken(exchange_->body_);
      session_->consume(*exchange_, before - exchange_->body_.size());
      if (token) {
        return token;
      }
    }
    if (exchange_->ended_ && !exchange_->trailers_.empty()) {
      return takeEnd();
    }
    if (exchange_->closed_) {
      TargetEvent event;
      event.kind_ = exchange_->refused_ ? TargetEventKind::kNotReached
                                        : TargetEventKind::kCutShort;
      return event;
    }
    return std::nullopt;
  }

  /** @return Whether the answer comes as one piece with the end. */
  bool isServiceCall() const { return !request_.call_.info_.service_.empty(); }

  /** @return The last event; a service's end is whole only with an answer. */
  TargetEvent takeEnd()
  {
    TargetEvent end =
      decodeEnd(exchange_->trailers_, std::move(exchange_->body_));
    const bool lacksAnswer = isServiceCall() && !end.answer_;
    return end.kind_ == TargetEventKind::kWhole && lacksAnswer ? TargetEvent()
                                                               : end;
  }

  std::shared_ptr<ForwardSession> session_;   ///< Session with the daemon.
  std::shared_ptr<ForwardExchange> exchange_; ///< What came of the attempt.
  ForwardedRequest request_;                  ///< The request.
  bool aborted_ = false;                      ///< Whether abort() was called.
};

} // namespace

ForwardClient::ForwardClient(boost::asio::io_context& aContext,
                             ForwardSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
{
}

ForwardClient::~ForwardClient()
{
  for (const auto& [endpoint, session] : sessions_) {
    session->close();
  }
}

std::unique_ptr<TargetStream>
ForwardClient::open(const state::Endpoint& aGateway, ForwardedRequest aRequest)
{
  std::shared_ptr<ForwardSession>& session = sessions_[aGateway];
  if (!session || !session->usable()) {
    session = std::make_shared<ForwardSession>(context_);
    session->dial(aGateway, settings_);
  }
  return std::make_unique<ForwardStream>(
    context_, session, std::move(aRequest));
}

} // namespace auburnhaven::transport
