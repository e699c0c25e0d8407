// Keeps requests away from targets whose prompts have parts that end targets.

#include "transport/relay/quarantine_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::transport {

namespace {

using coordination::CrashReport;
using coordination::QuarantinedParts;
using coordination::SuspectPart;
using state::PromptParts;
using std::chrono::milliseconds;

constexpr std::string_view kPart = "quarantine"; ///< Part that records name.
constexpr std::uint32_t kReportCopies =
  3; ///< Copies of a report for each coordinator, since datagrams get lost.
constexpr milliseconds kReportInterval(200); ///< Between two of them.
constexpr std::chrono::seconds kReportTime(
  60); ///< How long a new coordinator is still told of a report.
constexpr std::size_t kMaxReports = 128; ///< Reports that are kept.
constexpr std::uint32_t kQuickRepeats =
  2; ///< Quick repetitions of a notice with news.
constexpr milliseconds kQuickInterval(200);   ///< Between two of them.
constexpr milliseconds kNoticeInterval(1000); ///< Between notices without news,
                                              ///< for daemons that come back.
constexpr milliseconds kSuspectInterval(
  80); ///< Least time between notices whose only news are suspects.
constexpr std::chrono::seconds kLiftedTime(
  5); ///< How long notices name a lifted set.

/** @return Suspects without times, for comparisons. */
std::vector<SuspectPart>
withoutAges(std::vector<SuspectPart> aSuspects)
{
  for (SuspectPart& suspect : aSuspects) {
    suspect.age_ = {};
  }
  return aSuspects;
}

/** @return Sets without times, for comparisons. */
std::vector<QuarantinedParts>
withoutTimes(std::vector<QuarantinedParts> aSets)
{
  for (QuarantinedParts& set : aSets) {
    set.remaining_ = {};
  }
  return aSets;
}

} // namespace

QuarantineService::QuarantineService(const state::Clock& aClock,
                                     boost::asio::io_context& aContext,
                                     DatagramSocket& aSocket,
                                     coordination::Store& aStore,
                                     state::EventLog& aLog,
                                     state::Endpoint aSelf,
                                     const QuarantineStorePlace& aPlace,
                                     ChangeHandler aHandler)
  : clock_(aClock)
  , socket_(aSocket)
  , log_(aLog)
  , self_(std::move(aSelf))
  , handler_(std::move(aHandler))
  , quarantine_(aClock)
  , ledger_(aClock)
  , probe_(aContext)
  , record_(aClock, aStore, aLog, aPlace.prefix_, aPlace.holder_)
  , observer_(aClock, probe_, aLog, [this, &aContext] {
    boost::asio::post(aContext, [this] { collect(); });
  })
{
}

void
QuarantineService::tick(QuarantinePeers aPeers, bool aMayStore)
{
  peers_ = std::move(aPeers);
  collect();
  if (peers_.coordinates_ && aMayStore) {
    record_.update(quarantine_);
  }
}

void
QuarantineService::collect()
{
  observer_.poll();
  const state::TimePoint now = clock_.now();
  protocol::CrashNotice news;
  news.sound_ = observer_.takeSound();
  for (CrashReport& report : observer_.takeReports()) {
    ledger_.noteCrash(report);
    reports_.push_back({ std::move(report), now, {}, now });
  }
  if (!news.sound_.empty()) {
    ledger_.noteSound(news.sound_);
    tellCoordinators(news);
  }
  sendReports();
  decide();
}

void
QuarantineService::sendReports()
{
  const state::TimePoint now = clock_.now();
  while (!reports_.empty() && (reports_.size() > kMaxReports ||
                               now - reports_.front().madeAt_ > kReportTime)) {
    reports_.pop_front();
  }
  for (SentReport& sent : reports_) {
    if (now < sent.nextAt_) {
      continue;
    }
    sent.nextAt_ = now + kReportInterval;
    CrashReport report = sent.report_;
    report.age_ += now - sent.madeAt_;
    const auto pieces = protocol::encodeCrashNotice({ { report }, {} });
    for (const state::Endpoint& coordinator : peers_.coordinators_) {
      std::uint32_t& copies = sent.copies_[coordinator];
      if (coordinator == self_ || copies >= kReportCopies) {
        continue;
      }
      ++copies;
      for (const std::string& piece : pieces) {
        socket_.send(coordinator, piece);
      }
    }
  }
}

void
QuarantineService::tellCoordinators(const protocol::CrashNotice& aNotice)
{
  for (const std::string& piece : protocol::encodeCrashNotice(aNotice)) {
    for (const state::Endpoint& coordinator : peers_.coordinators_) {
      if (coordinator != self_) {
        socket_.send(coordinator, piece);
      }
    }
  }
}

void
QuarantineService::decide()
{
  // Without coordinators, the own reports must do.
  if (!peers_.coordinates_ && !peers_.coordinators_.empty()) {
    return;
  }
  const coordination::GuiltChanges changes = ledger_.decide();
  for (const PromptParts& parts : changes.lifted_) {
    lifted_[parts] = clock_.now();
    lift(parts, "ledger");
  }
  for (const PromptParts& parts : changes.added_) {
    quarantine({ parts, coordination::PromptQuarantine::kDuration }, "ledger");
  }
  tellDaemons();
}

void
QuarantineService::tellDaemons()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(lifted_, [&](const auto& aEntry) {
    return now - aEntry.second > kLiftedTime;
  });
  protocol::QuarantineNotice notice{
    quarantine_.sets(), {}, ledger_.suspects(), false
  };
  for (const auto& [parts, at] : lifted_) {
    notice.lifted_.push_back(parts);
  }
  observer_.setSuspects(notice.suspects_);
  if (!peers_.coordinates_) {
    return;
  }
  const protocol::QuarantineNotice news{ withoutTimes(notice.sets_),
                                         notice.lifted_,
                                         withoutAges(notice.suspects_),
                                         false };
  const bool newSets =
    news.sets_ != told_.sets_ || news.lifted_ != told_.lifted_;
  const bool newSuspects =
    news.suspects_ != told_.suspects_ && now - toldAt_ >= kSuspectInterval;
  const bool isEmpty = news == protocol::QuarantineNotice{};
  const state::Duration interval =
    repeats_ > 0 ? kQuickInterval : kNoticeInterval;
  const bool refresh = !isEmpty && now - toldAt_ >= interval;
  if (!newSets && !newSuspects && !refresh) {
    return;
  }
  if (newSets || newSuspects) {
    repeats_ = kQuickRepeats;
  } else if (repeats_ > 0) {
    --repeats_;
  }
  told_ = news;
  toldAt_ = now;
  for (const std::string& piece : protocol::encodeQuarantineNotice(notice)) {
    for (const state::Endpoint& daemon : peers_.others_) {
      socket_.send(daemon, piece);
    }
  }
}

bool
QuarantineService::take(const std::string& aDatagram)
{
  if (const auto notice = protocol::decodeCrashNotice(aDatagram)) {
    for (const CrashReport& report : notice->reports_) {
      ledger_.noteCrash(report);
    }
    ledger_.noteSound(notice->sound_);
    decide();
    return true;
  }
  const auto notice = protocol::decodeQuarantineNotice(aDatagram);
  if (!notice) {
    return false;
  }
  for (const PromptParts& parts : notice->lifted_) {
    lift(parts, "coordinator");
  }
  for (const QuarantinedParts& set : notice->sets_) {
    if (!lifted_.contains(set.parts_)) {
      quarantine(set, "coordinator");
    }
  }
  if (!peers_.coordinates_ && notice->continues_) {
    observer_.addSuspects(notice->suspects_);
  } else if (!peers_.coordinates_) {
    observer_.setSuspects(notice->suspects_);
  }
  return true;
}

void
QuarantineService::takeKey(const std::string& aKey,
                           const std::optional<std::string>& aValue)
{
  const auto parts = record_.take(aKey, aValue);
  if (parts && !lifted_.contains(*parts)) {
    quarantine({ *parts, coordination::PromptQuarantine::kDuration }, "store");
  }
}

void
QuarantineService::quarantine(const QuarantinedParts& aSet,
                              std::string_view aSource)
{
  if (!quarantine_.add(aSet)) {
    return;
  }
  const std::string text = state::textOf(aSet.parts_);
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "parts are quarantined",
    { state::logField("parts", std::string_view(text)),
      state::logField("source", aSource),
      state::logField("crashes", ledger_.crashes()),
      state::logField("remaining_ms", state::countMs(aSet.remaining_)) });
  handler_();
}

void
QuarantineService::lift(const PromptParts& aParts, std::string_view aSource)
{
  if (!quarantine_.lift(aParts)) {
    return;
  }
  const std::string text = state::textOf(aParts);
  log_.write(state::LogWeight::kChange,
             kPart,
             "quarantine is lifted",
             { state::logField("parts", std::string_view(text)),
               state::logField("source", aSource) });
}

} // namespace auburnhaven::transport
