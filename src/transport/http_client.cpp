// HTTP/1.1 client with kept connections for one event loop.

#include "transport/http_client.h"

#include "transport/http_connection.h"

#include <boost/asio.hpp>

#include <cassert>
#include <map>
#include <utility>
#include <vector>

namespace auburnhaven::transport {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kSweepPeriod{ 1 }; ///< Between two sweeps.

} // namespace

/** Connections that are kept open and not in use. One thread only. */
class HttpConnectionPool
{
public:
  /** @param aLimits Limits. */
  explicit HttpConnectionPool(const HttpClientLimits& aLimits)
    : limits_(aLimits)
  {
  }

  /** @return A kept connection, which may have ended, or nothing. */
  std::shared_ptr<HttpConnection> take(const state::Endpoint& aEndpoint)
  {
    sweep();
    const auto found = idle_.find(aEndpoint);
    if (found == idle_.end() || found->second.empty()) {
      return nullptr;
    }
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    return connection;
  }

  /** Keeps a connection whose call has ended. */
  void give(std::shared_ptr<HttpConnection> aConnection)
  {
    auto& idle = idle_[aConnection->endpoint()];
    const std::size_t limit =
      std::min(limits_.idlePerEndpoint_, aConnection->keptLimit());
    if (idle.size() < limit) {
      aConnection->markIdle();
      idle.push_back(std::move(aConnection));
    }
  }

  /** Closes the connection to an endpoint that is unused for longest. */
  void closeOldest(const state::Endpoint& aEndpoint)
  {
    const auto found = idle_.find(aEndpoint);
    if (found != idle_.end() && !found->second.empty()) {
      found->second.erase(found->second.begin());
    }
  }

  /** Closes all. */
  void clear() { idle_.clear(); }

  /** @return Kept connections. */
  std::size_t size() const
  {
    std::size_t sum = 0;
    for (const auto& [endpoint, idle] : idle_) {
      sum += idle.size();
    }
    return sum;
  }

  /** @return Limits. */
  const HttpClientLimits& limits() const { return limits_; }

private:
  /** Closes what was unused for too long; at most once a period. */
  void sweep()
  {
    const auto now = std::chrono::steady_clock::now();
    if (now < sweptAt_ + kSweepPeriod) {
      return;
    }
    sweptAt_ = now;
    for (auto at = idle_.begin(); at != idle_.end();) {
      std::erase_if(at->second, [&](const auto& aConnection) {
        return aConnection->idleSince() + limits_.idleTimeout_ < now;
      });
      at = at->second.empty() ? idle_.erase(at) : std::next(at);
    }
  }

  HttpClientLimits limits_; ///< Limits.
  std::map<state::Endpoint, std::vector<std::shared_ptr<HttpConnection>>>
    idle_; ///< Kept connections, the latest used at the end.
  std::chrono::steady_clock::time_point sweptAt_{}; ///< Latest sweep.
};

HttpCall::HttpCall(HttpFailure aFailure)
  : failure_(std::move(aFailure))
{
}

HttpCall::HttpCall(std::shared_ptr<HttpConnection> aConnection,
                   std::weak_ptr<HttpConnectionPool> aPool,
                   std::chrono::milliseconds aIdleTimeout,
                   bool aKept)
  : connection_(std::move(aConnection))
  , pool_(std::move(aPool))
  , idleTimeout_(aIdleTimeout)
  , kept_(aKept)
  , awaitsHead_(true)
{
}

HttpCall::~HttpCall()
{
  release();
}

HttpCall::HttpCall(HttpCall&&) noexcept = default;

HttpCall&
HttpCall::operator=(HttpCall&& aOther) noexcept
{
  if (this != &aOther) {
    release();
    failure_ = std::move(aOther.failure_);
    connection_ = std::move(aOther.connection_);
    pool_ = std::move(aOther.pool_);
    idleTimeout_ = aOther.idleTimeout_;
    kept_ = aOther.kept_;
    awaitsHead_ = aOther.awaitsHead_;
  }
  return *this;
}

void
HttpCall::takeHead(HttpFailure aFailure)
{
  awaitsHead_ = false;
  if (aFailure.kind_ != HttpFailureKind::kNone) {
    failure_ = std::move(aFailure);
    failure_.keptConnection_ = kept_;
    // What may still arrive on it belongs to no request.
    connection_->abort();
    release();
  }
}

void
HttpCall::readHead(const asio::yield_context& aYield)
{
  assert(awaitsHead());
  takeHead(connection_->readHead(aYield));
}

void
HttpCall::pollHead()
{
  assert(awaitsHead());
  if (auto failure = connection_->pollHead()) {
    takeHead(std::move(*failure));
  }
}

HttpPiece
HttpCall::poll()
{
  assert(hasResponse());
  return connection_->poll();
}

void
HttpCall::onReadable(std::function<void()> aHandler)
{
  if (connection_) {
    connection_->onReadable(std::move(aHandler));
  }
}

void
HttpCall::cancelWait()
{
  if (connection_) {
    connection_->cancelWait();
  }
}

void
HttpCall::release()
{
  if (!connection_) {
    return;
  }
  const auto pool = pool_.lock();
  if (pool && connection_->reusable()) {
    pool->give(std::move(connection_));
  } else {
    connection_->abort();
  }
  connection_ = nullptr;
}

std::uint32_t
HttpCall::status() const
{
  return connection_ ? connection_->status() : 0;
}

std::string_view
HttpCall::header(std::string_view aName) const
{
  return connection_ ? connection_->header(aName) : std::string_view();
}

std::vector<HttpField>
HttpCall::headers() const
{
  return connection_ ? connection_->headers() : std::vector<HttpField>();
}

HttpPiece
HttpCall::readChunk(const asio::yield_context& aYield)
{
  assert(connection_);
  return connection_->readChunk(idleTimeout_, aYield);
}

HttpPiece
HttpCall::readLine(const asio::yield_context& aYield)
{
  assert(connection_);
  return connection_->readLine(idleTimeout_, aYield);
}

HttpBody
HttpCall::readAll(std::size_t aMaxBytes, const asio::yield_context& aYield)
{
  HttpBody body;
  for (;;) {
    const HttpPiece piece = readChunk(aYield);
    if (piece.status_ != HttpReadStatus::kData) {
      body.status_ = piece.status_;
      return body;
    }
    if (body.data_.size() + piece.data_.size() > aMaxBytes) {
      abort();
      body.status_ = HttpReadStatus::kTooLong;
      return body;
    }
    body.data_.append(piece.data_);
  }
}

void
HttpCall::limitTime(std::chrono::milliseconds aLimit)
{
  if (connection_) {
    connection_->limitTime(aLimit);
  }
}

void
HttpCall::abort()
{
  if (connection_) {
    connection_->abort();
  }
}

void
HttpAborter::abort()
{
  aborted_ = true;
  const auto connection = connection_.lock();
  if (connection && connection->use() == use_) {
    connection->abort();
  }
}

void
HttpAborter::bind(const std::shared_ptr<HttpConnection>& aConnection)
{
  connection_ = aConnection;
  use_ = aConnection->use();
  if (aborted_) {
    aConnection->abort();
  }
}

bool
HttpAborter::maySend(const asio::yield_context& aYield)
{
  aborted_ = aborted_ || (isWanted_ && !isWanted_(aYield));
  return !aborted_;
}

HttpClient::HttpClient(asio::io_context& aContext, HttpClientLimits aLimits)
  : context_(aContext)
  , pool_(std::make_shared<HttpConnectionPool>(aLimits))
{
}

HttpClient::~HttpClient() = default;

HttpCall
HttpClient::send(const state::Endpoint& aEndpoint,
                 const HttpClientRequest& aRequest,
                 const HttpTimeouts& aTimeouts,
                 const asio::yield_context& aYield,
                 HttpAborter* aAborter)
{
  HttpAborter unused;
  HttpAborter& aborter = aAborter != nullptr ? *aAborter : unused;
  const HttpFailure aborted{ HttpFailureKind::kAborted, false, "aborted" };
  if (aborter.aborted()) {
    return HttpCall(aborted);
  }
  if (aRequest.freshConnection_) {
    pool_->closeOldest(aEndpoint);
  }
  while (auto kept =
           aRequest.freshConnection_ ? nullptr : pool_->take(aEndpoint)) {
    if (!aborter.maySend(aYield)) {
      pool_->give(std::move(kept));
      return HttpCall(aborted);
    }
    aborter.bind(kept);
    kept->setKeptLimit(aRequest.keptConnections_);
    HttpFailure failure = kept->send(aRequest, aTimeouts, aYield);
    if (failure.kind_ == HttpFailureKind::kNone) {
      return { std::move(kept), pool_, aTimeouts.idle_, true };
    }
    const bool retry = failure.kind_ == HttpFailureKind::kClosed &&
                       !failure.bytesMayHaveArrived_;
    if (!retry) {
      failure.keptConnection_ = true;
      return HttpCall(std::move(failure));
    }
  }
  auto fresh =
    std::make_shared<HttpConnection>(context_, aEndpoint, pool_->limits());
  aborter.bind(fresh);
  fresh->setKeptLimit(aRequest.keptConnections_);
  HttpFailure failure = fresh->connect(aTimeouts.connect_, aYield);
  if (failure.kind_ == HttpFailureKind::kNone) {
    failure = aborter.maySend(aYield) ? fresh->send(aRequest, aTimeouts, aYield)
                                      : aborted;
  }
  if (failure.kind_ != HttpFailureKind::kNone) {
    return HttpCall(std::move(failure));
  }
  return { std::move(fresh), pool_, aTimeouts.idle_, false };
}

HttpCall
HttpClient::open(const state::Endpoint& aEndpoint,
                 const HttpClientRequest& aRequest,
                 const HttpTimeouts& aTimeouts,
                 const asio::yield_context& aYield,
                 HttpAborter* aAborter)
{
  HttpCall call = send(aEndpoint, aRequest, aTimeouts, aYield, aAborter);
  if (call.awaitsHead()) {
    call.readHead(aYield);
  }
  return call;
}

void
HttpClient::closeIdle()
{
  pool_->clear();
}

std::size_t
HttpClient::idleConnections() const
{
  return pool_->size();
}

} // namespace auburnhaven::transport
