// Store over HTTP.

#include "transport/store_client.h"

#include "protocol/base64_func.h"
#include "protocol/store_codec.h"

#include <cassert>
#include <utility>

namespace auburnhaven::transport {

using coordination::LeaseReply;
using coordination::StoreReply;
using coordination::StoreStatus;

namespace {

constexpr std::size_t kMaxValueBytes =
  std::size_t{ 1024 } * 1024; ///< Largest value that the store holds.
constexpr std::uint32_t kOkStatus = 200;          ///< Done.
constexpr std::uint32_t kNoContentStatus = 204;   ///< Nothing newer.
constexpr std::uint32_t kNotFoundStatus = 404;    ///< No such key.
constexpr std::uint32_t kConflictStatus = 409;    ///< Nothing changed.
constexpr std::uint32_t kUnavailableStatus = 503; ///< Not done.

/** @return What an answer other than 200 and 409 says of a write. */
StoreStatus
failedWrite(const ServiceAnswer& aAnswer)
{
  const bool notDone =
    !aAnswer.mayHaveRun_ || aAnswer.status_ == kUnavailableStatus;
  return notDone ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
}

/** @return Whether an answer says that a write was done or refused. */
bool
isDecided(const ServiceAnswer& aAnswer)
{
  return aAnswer.status_ == kOkStatus || aAnswer.status_ == kConflictStatus;
}

/** @return The status that a decided write has. */
StoreStatus
decidedStatus(const ServiceAnswer& aAnswer)
{
  return aAnswer.status_ == kOkStatus ? StoreStatus::kOk
                                      : StoreStatus::kConflict;
}

/** @return Outcome of a get or watch. */
StoreReply
readReply(const ServiceAnswer& aAnswer, std::uint32_t aNothingStatus)
{
  StoreReply reply;
  if (aAnswer.status_ == aNothingStatus) {
    reply.status_ = StoreStatus::kNotFound;
  } else if (aAnswer.status_ == kOkStatus) {
    if (auto decoded = protocol::decodeValue(aAnswer.body_)) {
      reply = std::move(*decoded);
    }
  }
  return reply;
}

/** @return Outcome of a compare-and-swap. */
StoreReply
swapReply(const ServiceAnswer& aAnswer)
{
  StoreReply reply;
  reply.status_ = failedWrite(aAnswer);
  if (isDecided(aAnswer)) {
    if (auto decoded =
          protocol::decodeRevision(aAnswer.body_, decidedStatus(aAnswer))) {
      reply = std::move(*decoded);
    }
  }
  return reply;
}

/** @return Outcome of an acquire. */
LeaseReply
acquireReply(const ServiceAnswer& aAnswer)
{
  LeaseReply reply;
  reply.status_ = failedWrite(aAnswer);
  if (isDecided(aAnswer)) {
    if (auto decoded =
          protocol::decodeLease(aAnswer.body_, decidedStatus(aAnswer))) {
      reply = std::move(*decoded);
    }
  }
  return reply;
}

/** @return Outcome of a release. */
LeaseReply
releaseReply(const ServiceAnswer& aAnswer)
{
  LeaseReply reply;
  reply.status_ =
    isDecided(aAnswer) ? decidedStatus(aAnswer) : failedWrite(aAnswer);
  return reply;
}

} // namespace

StoreClient::StoreClient(ServiceCaller& aCaller, StoreClientSettings aSettings)
  : caller_(aCaller)
  , settings_(std::move(aSettings))
{
  assert(!settings_.endpoints_.empty());
}

void
StoreClient::call(ServiceCall aCall, AnswerHandler aHandler)
{
  caller_.start([this, call = std::move(aCall), handler = std::move(aHandler)](
                  const boost::asio::yield_context& aYield) {
    ServiceAnswer answer =
      caller_.callAny(settings_.endpoints_, preferred_, call, aYield);
    caller_.later([handler, result = std::move(answer)] { handler(result); });
  });
}

void
StoreClient::get(const std::string& aKey,
                 coordination::StorePriority /*aPriority*/,
                 ReplyHandler aHandler)
{
  call({ makePost("/v1/get", protocol::encodeGet(aKey)),
         settings_.timeout_,
         true,
         settings_.transferTimeout_ },
       [handler = std::move(aHandler)](const ServiceAnswer& aAnswer) {
         handler(readReply(aAnswer, kNotFoundStatus));
       });
}

void
StoreClient::compareAndSwap(const std::string& aKey,
                            state::Revision aExpected,
                            std::string aValue,
                            coordination::StorePriority /*aPriority*/,
                            ReplyHandler aHandler)
{
  if (protocol::toText(aValue).size() > kMaxValueBytes) {
    caller_.later([handler = std::move(aHandler)] { handler(StoreReply{}); });
    return;
  }
  call({ makePost("/v1/cas", protocol::encodeSwap(aKey, aExpected, aValue)),
         settings_.timeout_,
         false },
       [handler = std::move(aHandler)](const ServiceAnswer& aAnswer) {
         handler(swapReply(aAnswer));
       });
}

void
StoreClient::watch(const std::string& aKey,
                   state::Revision aAfter,
                   state::Duration aTimeout,
                   ReplyHandler aHandler)
{
  call({ makePost("/v1/watch", protocol::encodeWatch(aKey, aAfter, aTimeout)),
         aTimeout + settings_.watchGrace_,
         false,
         settings_.transferTimeout_ },
       [handler = std::move(aHandler)](const ServiceAnswer& aAnswer) {
         handler(readReply(aAnswer, kNoContentStatus));
       });
}

void
StoreClient::acquireLease(const std::string& aName,
                          const std::string& aHolder,
                          state::Duration aTimeToLive,
                          LeaseHandler aHandler)
{
  call({ makePost("/v1/lease/acquire",
                  protocol::encodeAcquire(aName, aHolder, aTimeToLive)),
         settings_.timeout_,
         false },
       [handler = std::move(aHandler)](const ServiceAnswer& aAnswer) {
         handler(acquireReply(aAnswer));
       });
}

void
StoreClient::releaseLease(const std::string& aName,
                          const std::string& aHolder,
                          LeaseHandler aHandler)
{
  call({ makePost("/v1/lease/release", protocol::encodeRelease(aName, aHolder)),
         settings_.timeout_,
         false },
       [handler = std::move(aHandler)](const ServiceAnswer& aAnswer) {
         handler(releaseReply(aAnswer));
       });
}

} // namespace auburnhaven::transport
