// Commands of operators on the configuration.

#include "app/command_config.h"

#include "app/command_func.h"
#include "app/config_file.h"
#include "auburnhaven/operator.h"
#include "state/config_codec.h"

#include <random>
#include <sstream>
#include <thread>

namespace auburnhaven::app {

using protocol::ConfigReply;
using protocol::ProgressReply;
using protocol::SubmitOutcome;
using protocol::SubmitReply;
using protocol::SubmitRequest;

namespace {

constexpr int kSubmitAttempts = 4; ///< Attempts with one submission identifier.
constexpr std::chrono::milliseconds kPoll{ 200 }; ///< Between two questions.
const std::vector<unsigned> kSubmitStatuses = {
  409,
  422,
  503,
  504
}; ///< HTTP statuses beside 200 that carry a SubmitReply.

/** Exit status of each outcome, by its number. */
constexpr int kOutcomeStatus[] = { kExitOk,
                                   kExitConflict,
                                   kExitBadInput,
                                   kExitFailed,
                                   kExitFailed };

/** Text of each outcome, by its number. */
constexpr const char* kOutcomeText[] = {
  "committed",
  "refused: another change came first; nothing was changed",
  "refused: the configuration has faults; nothing was changed",
  "failed: the store cannot be reached; nothing was changed",
  "unknown: the change may be committed; repeat with the same --submission",
};

/** @return A new identifier of a submission. */
std::string
newSubmission()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

/** @return The request that makes the configuration of a file the new one. */
SubmitRequest
makeRequest(const SubmitOptions& aOptions,
            const state::Configuration& aWanted,
            const ConfigReply& aCurrent)
{
  SubmitRequest request;
  request.submission_ =
    aOptions.submission_.empty() ? newSubmission() : aOptions.submission_;
  request.author_ = aOptions.author_;
  request.summary_ = aOptions.summary_;
  request.base_ =
    aOptions.base_ ? state::Generation(*aOptions.base_) : aCurrent.generation_;
  request.put_ = state::encodeConfiguration(aWanted);
  for (const auto& [name, text] : aCurrent.documents_) {
    const auto found = request.put_.find(name);
    if (found == request.put_.end()) {
      request.remove_.insert(name);
    } else if (found->second == text) {
      request.put_.erase(found);
    }
  }
  return request;
}

/** Sends a submission, again while its outcome is not known. */
state::leaf::result<SubmitReply>
sendSubmission(const OperatorClient& aClient, const SubmitRequest& aRequest)
{
  const std::string body = protocol::encodeAdmin(aRequest);
  SubmitReply reply;
  for (int attempt = 0; attempt < kSubmitAttempts; ++attempt) {
    OperatorReply answer = aClient.post("/admin/config/submit", body);
    if (answer.status_ == 0) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    BOOST_LEAF_AUTO(text, expectReply(std::move(answer), kSubmitStatuses));
    BOOST_LEAF_ASSIGN(reply, protocol::decodeAdmin<SubmitReply>(text));
    if (reply.outcome_ != SubmitOutcome::kUnknown) {
      return reply;
    }
  }
  return reply;
}

/** Prints how a submission ended. */
void
printOutcome(const OperatorOptions& aOptions,
             const SubmitRequest& aRequest,
             const SubmitReply& aReply)
{
  if (aOptions.json_) {
    std::cout << protocol::encodeAdmin(aReply) << '\n';
    return;
  }
  std::cout << "submission " << aRequest.submission_ << ' '
            << kOutcomeText[static_cast<std::size_t>(aReply.outcome_)]
            << ", generation " << aReply.generation_ << '\n';
  printInputErrors(std::cout, { aReply.errors_ });
  if (aReply.outcome_ == SubmitOutcome::kConflict) {
    std::cout << "changes since generation " << aRequest.base_ << ":\n";
    printHistory(std::cout, aReply.theirs_);
    std::cout << "your change:\n";
    printHistory(std::cout, { aReply.ours_ });
  }
}

/** Waits until no reachable daemon lags behind a generation. */
state::leaf::result<int>
waitUntilInForce(const OperatorClient& aClient,
                 const SubmitOptions& aOptions,
                 state::Generation aGeneration)
{
  const std::string path =
    "/admin/config/progress?generation=" + std::to_string(aGeneration.value());
  const auto end = std::chrono::steady_clock::now() + aOptions.waitLimit_;
  for (;;) {
    BOOST_LEAF_AUTO(progress, fetchMessage<ProgressReply>(aClient, path));
    const bool done = progress.lagging_.empty() && !progress.inForce_.empty();
    if (!done && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    if (aOptions.operator_.json_) {
      std::cout << protocol::encodeAdmin(progress) << '\n';
    } else {
      printProgress(std::cout, progress);
    }
    return static_cast<int>(done ? kExitOk : kExitFailed);
  }
}

} // namespace

int
runConfigCheck(const std::string& aFile)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(wanted, readConfigurationFile(aFile));
    std::cout << aFile << ": " << wanted.groups_.size() << " groups, "
              << wanted.accounts_.size() << " client accounts, "
              << wanted.services_.size() << " services, no faults\n";
    return static_cast<int>(kExitOk);
  });
}

int
runConfigDiff(const OperatorOptions& aOptions, const std::string& aFile)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(wanted, readConfigurationFile(aFile));
    BOOST_LEAF_AUTO(client, makeOperatorClient(aOptions));
    BOOST_LEAF_AUTO(current,
                    fetchMessage<ConfigReply>(client, "/admin/config"));
    std::cout << "against generation " << current.generation_ << '\n';
    const bool differs = printDifference(
      std::cout, current.documents_, state::encodeConfiguration(wanted));
    std::cout << (differs ? "" : "no difference\n");
    return static_cast<int>(kExitOk);
  });
}

int
runConfigSubmit(const SubmitOptions& aOptions)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(wanted, readConfigurationFile(aOptions.file_));
    BOOST_LEAF_AUTO(client, makeOperatorClient(aOptions.operator_));
    BOOST_LEAF_AUTO(current,
                    fetchMessage<ConfigReply>(client, "/admin/config"));
    const SubmitRequest request = makeRequest(aOptions, wanted, current);
    BOOST_LEAF_AUTO(reply, sendSubmission(client, request));
    printOutcome(aOptions.operator_, request, reply);
    const bool committed = reply.outcome_ == SubmitOutcome::kCommitted;
    if (!committed || !aOptions.wait_) {
      return kOutcomeStatus[static_cast<std::size_t>(reply.outcome_)];
    }
    return waitUntilInForce(client, aOptions, reply.generation_);
  });
}

int
runConfigShow(const OperatorOptions& aOptions)
{
  if (aOptions.json_) {
    return runShow<ConfigReply>(
      aOptions, "/admin/config", [](std::ostream&, const ConfigReply&) {});
  }
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(client, makeOperatorClient(aOptions));
    BOOST_LEAF_AUTO(current,
                    fetchMessage<ConfigReply>(client, "/admin/config"));
    BOOST_LEAF_AUTO(
      configuration,
      state::decodeConfiguration(current.generation_, current.documents_));
    std::cout << "# generation " << current.generation_ << '\n'
              << library::toToml(configuration);
    return static_cast<int>(kExitOk);
  });
}

int
runConfigHistory(const OperatorOptions& aOptions, std::uint32_t aCount)
{
  return runShow<protocol::HistoryReply>(
    aOptions,
    "/admin/config/history?count=" + std::to_string(aCount),
    [](std::ostream& aOut, const protocol::HistoryReply& aReply) {
      printHistory(aOut, aReply.entries_);
    });
}

} // namespace auburnhaven::app
