// Session over which forwarded requests go out.
#pragma once

#include "transport/forward_type.h"
#include "transport/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/** What the session knows of one attempt. */
struct ForwardExchange
{
  /** @param aContext Event loop of the thread. */
  explicit ForwardExchange(boost::asio::io_context& aContext)
    : wake_(aContext)
  {
  }

  boost::asio::steady_timer wake_; ///< Wakes the waiting coroutine.
  H2StreamId stream_ = 0;          ///< The stream; 0 before it is open.
  std::string body_;               ///< Answer bytes that came.
  std::size_t consumed_ = 0;       ///< Bytes of body_ that opened the window.
  H2Fields trailers_;              ///< Trailers, once they came.
  bool ended_ = false;             ///< Whether the peer ended the stream.
  bool closed_ = false;            ///< Whether the stream is gone.
  bool refused_ = false; ///< Whether the peer certainly did not act on it.
};

/** One session with a daemon of another zone. One thread. */
class ForwardSession
  : public PeerSessionUser
  , public std::enable_shared_from_this<ForwardSession>
{
public:
  /** @param aContext Event loop of the thread. */
  explicit ForwardSession(boost::asio::io_context& aContext);

  /**
   * Dials. Call once.
   * @param aTo The daemon.
   * @param aSettings Settings.
   */
  void dial(const state::Endpoint& aTo, const ForwardSettings& aSettings);
  /** Closes at once. */
  void close();
  /** @return Whether new attempts may go over it, now or once it is ready. */
  bool usable() const;
  /** @return Whether attempts may be sent now. */
  bool ready() const { return ready_ && !closed_; }
  /** @return Whether it is gone. */
  bool closed() const { return closed_; }
  /** Wakes an attempt when the session is ready or gone. */
  void notify(const std::shared_ptr<ForwardExchange>& aExchange);
  /**
   * Sends a request.
   * @param aExchange Takes the answer.
   * @param aRequest The request.
   * @return Whether it was queued; if not, nothing of it was sent.
   */
  bool send(const std::shared_ptr<ForwardExchange>& aExchange,
            const ForwardedRequest& aRequest);
  /** Lets the peer send on. */
  void consume(const ForwardExchange& aExchange, std::size_t aBytes);
  /** Breaks a stream. */
  void reset(const ForwardExchange& aExchange);

  void onReady(const state::Endpoint& aPeer) override;
  void onFields(H2StreamId aStream, const H2Fields& aFields) override;
  void onData(H2StreamId aStream, std::string_view aData) override;
  void onEnd(H2StreamId aStream) override;
  void onStreamClosed(H2StreamId aStream, H2Close aClose) override;
  void onSessionClosed(const std::string& aReason) override;

private:
  void wakeAll();
  ForwardExchange* find(H2StreamId aStream);

  boost::asio::io_context& context_;                     ///< Event loop.
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_; ///< While dialling.
  std::shared_ptr<H2Session> h2_;                        ///< Once connected.
  std::vector<std::weak_ptr<ForwardExchange>> waiting_;  ///< To wake.
  std::map<H2StreamId, std::shared_ptr<ForwardExchange>>
    exchanges_;         ///< Attempts by stream.
  bool ready_ = false;  ///< Whether both sides have proved the key.
  bool closed_ = false; ///< Whether it is gone.
};

} // namespace auburnhaven::transport
