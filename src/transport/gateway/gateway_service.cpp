// Plain service requests of the gateway.

#include "transport/gateway/gateway.h"

#include "state/digest_func.h"
#include "transport/gateway/responder_sink.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::string_view kPathPrefix = "/v1/services/";

/** Service and operation in the path of a request. */
struct ServicePath
{
  std::string service_;   ///< Service ID.
  std::string operation_; ///< Operation name; empty if the path has none.
};

/** @return Service and operation of a path that starts with kPathPrefix. */
ServicePath
parsePath(const std::string& aPath)
{
  const std::string rest = aPath.substr(kPathPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    return { rest, {} };
  }
  return { rest.substr(0, slash), rest.substr(slash + 1) };
}

/** @return Whether an operation name can be put into a path unescaped. */
bool
isUsableOperation(const std::string& aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' ||
                  aByte == '.';
         });
}

/** @return The configured operation with this name, or null. */
const state::ServiceOperation*
findOperation(const state::PlainService& aService, const std::string& aName)
{
  const auto& all = aService.operations_;
  const auto found =
    std::find_if(all.begin(), all.end(), [&](const auto& aOperation) {
      return aOperation.name_ == aName;
    });
  return found == all.end() ? nullptr : &*found;
}

/** Ignores tokens, because plain services return their answer as a whole. */
class NoTokenSink : public ResponderSink
{
public:
  using ResponderSink::ResponderSink;

  bool passToken(std::string_view /*aText*/,
                 const boost::asio::yield_context& /*aYield*/) override
  {
    return !responder().callerGone();
  }
};

} // namespace

void
Gateway::service(Exchange& aExchange)
{
  const state::ClientAccount* account = authenticate(aExchange);
  if (account == nullptr) {
    return;
  }
  const ServicePath path = parsePath(aExchange.request_.path_);
  const auto& services = aExchange.view_->configuration().services_;
  const auto found = services.find(state::ServiceId(path.service_));
  if (found == services.end() || !isUsableOperation(path.operation_)) {
    refuse(aExchange,
           404,
           "service_not_found",
           "there is no such service or operation");
    return;
  }
  if (!serves(found->second.accounts_, account->id_)) {
    refuse(aExchange,
           403,
           "service_not_allowed",
           "the account may not use this service");
    return;
  }
  TargetCall call;
  call.info_ = newInfo(aExchange, account->id_);
  call.info_.service_ = found->first;
  call.info_.operation_ = path.operation_;
  call.info_.idempotencyKey_ =
    std::string(aExchange.request_.header("Idempotency-Key"));
  const state::ServiceOperation* operation =
    findOperation(found->second, path.operation_);
  if (operation != nullptr) {
    call.info_.idempotent_ = operation->idempotent_;
    call.info_.deadline_ = std::min(
      call.info_.deadline_, dependencies_.clock_.now() + operation->timeout_);
  }
  if (!call.info_.idempotent_ && !call.info_.idempotencyKey_.empty()) {
    call.info_.bodyDigest_ = state::sha256Hex(aExchange.request_.body_);
  }
  call.payload_ = aExchange.request_.body_;
  call.contentType_ = std::string(aExchange.request_.header("Content-Type"));
  runService(aExchange, std::move(call));
}

void
Gateway::runService(Exchange& aExchange, TargetCall aCall)
{
  const coordination::RequestInfo info = aCall.info_;
  NoTokenSink sink(aExchange.responder_);
  RequestRunner runner(
    dependencies_, aExchange.thread_, std::move(aCall), sink);
  const RequestResult result = runner.run(aExchange.yield_);
  recordResult(info, result);
  if (result.outcome_.kind_ != coordination::OutcomeKind::kAnswered) {
    sendOutcome(aExchange, result.outcome_);
    return;
  }
  const auto stored =
    result.outcome_.replay_ ? result.outcome_.replay_ : result.answer_;
  assert(stored);
  HttpResponse answer = response(aExchange, stored->status_);
  answer.contentType_ = stored->contentType_;
  answer.body_ = stored->body_;
  if (result.outcome_.replay_) {
    answer.headers_.push_back({ "X-Idempotent-Replay", "true" });
  }
  aExchange.responder_.send(answer, aExchange.yield_);
}

} // namespace auburnhaven::transport
