// Answers operators' commands.

#include "app/admin_handler.h"

#include "app/admin_report.h"
#include "protocol/admin_codec.h"
#include "protocol/chat_codec.h"
#include "state/config_codec.h"
#include "transport/await_control.h"
#include "transport/peer_auth.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburnhaven::app {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr std::size_t kHistoryEntries = 50; ///< Changes shown.

/** @return A response with a JSON body. */
HttpResponse
jsonResponse(std::uint32_t aStatus, std::string aBody)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  return response;
}

/** @return An error response. */
HttpResponse
errorResponse(std::uint32_t aStatus,
              const std::string& aCode,
              const std::string& aMessage)
{
  return jsonResponse(
    aStatus, protocol::encodeError({ "not_run", aCode, aMessage, {} }));
}

/** @return A number of the query, or 0. */
std::uint64_t
numberOf(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/** @return HTTP status for the end of a submission. */
std::uint32_t
statusOf(protocol::SubmitOutcome aOutcome)
{
  static constexpr std::uint32_t kStatuses[] = { 200, 409, 422, 503, 504 };
  return kStatuses[static_cast<std::size_t>(aOutcome)];
}

/** @return The decoded request, or nothing with aFault set. */
std::optional<protocol::SubmitRequest>
readSubmit(const std::string& aBody, std::string& aFault)
{
  using Result = std::optional<protocol::SubmitRequest>;
  return state::leaf::try_handle_all(
    [&]() -> state::leaf::result<Result> {
      BOOST_LEAF_AUTO(request,
                      protocol::decodeAdmin<protocol::SubmitRequest>(aBody));
      return Result(std::move(request));
    },
    [&](const state::InputErrors& aErrors) {
      const state::InputError& first = aErrors.errors_.front();
      aFault = first.key_ + " " + first.message_;
      return Result();
    },
    [&] {
      aFault = "the body cannot be read";
      return Result();
    });
}

} // namespace

const AdminHandler::Route AdminHandler::kRoutes[] = {
  { "POST", "/admin/config/submit", &AdminHandler::submit },
  { "GET", "/admin/config", &AdminHandler::config },
  { "GET", "/admin/config/history", &AdminHandler::history },
  { "GET", "/admin/config/progress", &AdminHandler::progress },
  { "GET", "/admin/status", &AdminHandler::status },
  { "GET", "/admin/audit", &AdminHandler::audit },
};

AdminHandler::AdminHandler(const Settings& aSettings,
                           ControlParts& aParts,
                           coordination::SloTracker& aPromises,
                           const state::Clock& aClock)
  : authorization_("Bearer " + aSettings.operatorKey_)
  , daemon_(aSettings.daemon_)
  , zone_(aSettings.zone_)
  , parts_(aParts)
  , promises_(aPromises)
  , clock_(aClock)
{
}

void
AdminHandler::handle(std::size_t /*aThread*/,
                     const HttpRequest& aRequest,
                     transport::HttpResponder& aResponder,
                     const boost::asio::yield_context& aYield)
{
  if (!isAuthorized(aRequest)) {
    aResponder.send(errorResponse(401,
                                  "unauthorized",
                                  "the operator key is missing or wrong"),
                    aYield);
    return;
  }
  const auto* route = std::find_if(
    std::begin(kRoutes), std::end(kRoutes), [&](const Route& aRoute) {
      return aRoute.method_ == aRequest.method_ &&
             aRoute.path_ == aRequest.path_;
    });
  if (route == std::end(kRoutes)) {
    aResponder.send(
      errorResponse(404, "unknown_path", "there is nothing at this path"),
      aYield);
    return;
  }
  const auto handler = route->handle_;
  const HttpResponse response = transport::awaitControl<HttpResponse>(
    parts_.control_,
    [this, handler, request = aRequest](const Reply& aReply) {
      (this->*handler)(request, aReply);
    },
    aYield);
  aResponder.send(response, aYield);
}

bool
AdminHandler::isAuthorized(const HttpRequest& aRequest) const
{
  return transport::sameSecret(std::string(aRequest.header("Authorization")),
                               authorization_);
}

void
AdminHandler::submit(const HttpRequest& aRequest, const Reply& aReply)
{
  std::string fault;
  const auto request = readSubmit(aRequest.body_, fault);
  if (!request) {
    aReply(errorResponse(400, "bad_request", fault));
    return;
  }
  coordination::Submission submission;
  submission.id_ = coordination::SubmissionId(request->submission_);
  submission.author_ = request->author_;
  submission.summary_ = request->summary_;
  submission.base_ = request->base_;
  submission.put_ = request->put_;
  submission.remove_ = request->remove_;
  parts_.fleet_.configStore().submit(
    submission,
    [aReply, submission](const coordination::SubmitResult& aResult) {
      const protocol::SubmitReply reply = submitReply(aResult);
      LOG(INFO) << "config: submission " << submission.id_ << " of "
                << submission.author_ << " ended with outcome "
                << static_cast<int>(reply.outcome_) << " at generation "
                << reply.generation_;
      aReply(
        jsonResponse(statusOf(reply.outcome_), protocol::encodeAdmin(reply)));
    });
}

void
AdminHandler::config(const HttpRequest& /*aRequest*/, const Reply& aReply)
{
  const state::ConfigurationPtr& configuration = parts_.fleet_.configuration();
  protocol::ConfigReply reply;
  reply.generation_ = configuration->generation_;
  reply.documents_ = state::encodeConfiguration(*configuration);
  aReply(jsonResponse(200, protocol::encodeAdmin(reply)));
}

void
AdminHandler::history(const HttpRequest& /*aRequest*/, const Reply& aReply)
{
  parts_.fleet_.configStore().history(
    kHistoryEntries,
    [aReply](
      const std::optional<std::vector<coordination::ConfigChange>>& aChanges) {
      if (!aChanges) {
        aReply(errorResponse(
          503, "store-unavailable", "the store cannot be reached"));
        return;
      }
      protocol::HistoryReply reply;
      std::transform(aChanges->begin(),
                     aChanges->end(),
                     std::back_inserter(reply.entries_),
                     historyEntry);
      aReply(jsonResponse(200, protocol::encodeAdmin(reply)));
    });
}

void
AdminHandler::progress(const HttpRequest& aRequest, const Reply& aReply)
{
  const state::Generation generation(
    numberOf(aRequest.parameter("generation")));
  const protocol::ProgressReply reply =
    progressReply(parts_.fleet_.progress(), generation);
  aReply(jsonResponse(200, protocol::encodeAdmin(reply)));
}

void
AdminHandler::status(const HttpRequest& /*aRequest*/, const Reply& aReply)
{
  protocol::StatusReport report;
  report.daemon_ = daemon_;
  report.zone_ = zone_;
  report.at_ = clock_.wallNow();
  report.generation_ = parts_.fleet_.configuration()->generation_;
  report.store_ = parts_.watch_.name();
  report.storeSince_ = parts_.watch_.since();
  addGroups(
    parts_.groups_.status(), promises_.sloStatuses(report.at_), zone_, report);
  addDaemons(parts_.fleet_.progress(), report);
  aReply(jsonResponse(200, protocol::encodeAdmin(report)));
}

void
AdminHandler::audit(const HttpRequest& /*aRequest*/, const Reply& aReply)
{
  // Each domain's trail is read from the store; the last answer sends all.
  struct Collected
  {
    protocol::AuditReply reply_; ///< Lines so far.
    std::size_t waiting_ = 1;    ///< Answers awaited, one for the start.
  };
  auto collected = std::make_shared<Collected>();
  const auto done = [collected, aReply] {
    if (--collected->waiting_ > 0) {
      return;
    }
    auto& entries = collected->reply_.entries_;
    std::stable_sort(entries.begin(),
                     entries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.at_ > aRight.at_;
                     });
    aReply(jsonResponse(200, protocol::encodeAdmin(collected->reply_)));
  };
  for (const auto& domain : parts_.groups_.status().domains_) {
    ++collected->waiting_;
    parts_.groups_.fetchAuditTrail(
      domain.domain_,
      [collected, done](const coordination::AuditTrail& aTrail) {
        for (const coordination::AuditEntry& entry : aTrail) {
          collected->reply_.entries_.push_back(
            { entry.time_,
              state::DaemonId(entry.coordinator_),
              "assignment",
              entry.domain_.value(),
              entry.change_ });
        }
        done();
      });
  }
  ++collected->waiting_;
  parts_.fleet_.configStore().history(
    kHistoryEntries,
    [collected, done](
      const std::optional<std::vector<coordination::ConfigChange>>& aChanges) {
      for (const auto& change :
           aChanges.value_or(std::vector<coordination::ConfigChange>())) {
        collected->reply_.entries_.push_back(
          { change.at_,
            {},
            "configuration",
            "generation " + std::to_string(change.generation_.value()),
            change.author_ + ": " + change.summary_ });
      }
      done();
    });
  done();
}

} // namespace auburnhaven::app
