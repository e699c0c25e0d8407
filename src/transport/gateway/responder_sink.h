// Ties the answer of a request to the connection of its caller.
#pragma once

#include "transport/gateway/request_runner.h"
#include "transport/http_server.h"

#include <functional>
#include <utility>

namespace auburnhaven::transport {

/** A sink that asks the caller's connection whether the caller is still there.
 * Used on the request's thread only. */
class ResponderSink : public AnswerSink
{
public:
  /** @param aResponder The caller's connection; outlives the sink. */
  explicit ResponderSink(HttpResponder& aResponder)
    : responder_(aResponder)
  {
  }

  void onCallerGone(std::function<void()> aHandler) override
  {
    responder_.onCallerGone(std::move(aHandler));
  }
  bool confirmCaller(const boost::asio::yield_context& aYield) override
  {
    return responder_.confirmCaller(aYield);
  }

protected:
  /** @return The caller's connection. */
  HttpResponder& responder() const { return responder_; }

private:
  HttpResponder& responder_; ///< The caller's connection.
};

} // namespace auburnhaven::transport
