// Discrete event model of engine queues that requests are sent to by several
// daemons, with the project's policies or simpler ones.
#pragma once

#include "coordination/request/admission.h"
#include "coordination/request/retry_budget.h"
#include "coordination/request/target_chooser.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** How targets are chosen. */
enum class ModelChoice : std::uint8_t
{
  kChooser,          ///< TargetChooser.
  kRoundRobin,       ///< Each daemon in turn.
  kLeastOutstanding, ///< Least own outstanding work.
};

/** Fault that lasts from its begin to the end of the run. */
enum class ModelFault : std::uint8_t
{
  kNone,      ///< No fault.
  kStraggler, ///< One copy is slower by a factor.
  kDeadCopy,  ///< One copy refuses connections and lost its requests.
  kFrozen,    ///< Load reports no longer change.
};

/** What one run does. */
struct ModelSettings
{
  std::uint64_t seed_ = 1;                     ///< Seed.
  double load_ = 0.8;                          ///< Parts of the capacity.
  ModelChoice choice_ = ModelChoice::kChooser; ///< Choice of target.
  bool admission_ = true;                      ///< Whether Admission runs.
  bool unlimitedRetry_ = false;                ///< Whether slow attempts
                                               ///< are retried endlessly.
  ModelFault fault_ = ModelFault::kNone;       ///< Fault.
  double stragglerFactor_ = 4;                 ///< Slowness of it.
  coordination::ChooserSettings chooser_;      ///< Weights of the choice.
  std::uint32_t copies_ = 12;                  ///< Copies.
  std::uint32_t slots_ = 16;                   ///< Slots of a copy.
  std::uint32_t daemons_ = 6;                  ///< Daemons.
  state::Duration length_ = std::chrono::minutes(6); ///< Arrivals last so long.
  state::Duration warmUp_ = std::chrono::minutes(1); ///< Not measured.
  state::Duration faultAt_ = std::chrono::minutes(2);   ///< Begin of the fault.
  state::Duration deadline_ = std::chrono::seconds(10); ///< Patience.
};

/** What one run measured. */
struct ModelReport
{
  std::uint64_t arrived_ = 0;          ///< Requests measured.
  std::uint64_t kept_ = 0;             ///< Whole with the first token in time.
  std::uint64_t answered_ = 0;         ///< Whole.
  std::uint64_t refused_ = 0;          ///< Refused before any attempt.
  std::uint64_t attempts_ = 0;         ///< Attempts.
  std::uint64_t hits_ = 0;             ///< Attempts that found their prefix.
  double seconds_ = 0;                 ///< Time measured.
  std::uint32_t worstPermille_ = 1000; ///< Share kept in the worst minute.
  std::uint32_t worstAdmitted_ = 1000; ///< Same, of the requests admitted.
  std::vector<double> firstTokens_;    ///< Seconds to the first token, sorted.

  /** @return Quantile of the time to the first token in seconds. */
  double quantile(double aPart) const
  {
    if (firstTokens_.empty()) {
      return 0;
    }
    const double last = static_cast<double>(firstTokens_.size() - 1);
    return firstTokens_[static_cast<std::size_t>(aPart * last)];
  }
  /** @return Requests a second whole with the first token in time. */
  double goodput() const { return static_cast<double>(kept_) / seconds_; }
};

/** Model of one availability zone. Not thread-safe. */
class EngineModel
{
public:
  /** @param aSettings What to run. */
  explicit EngineModel(const ModelSettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
    , now_(std::chrono::hours(1))
    , start_(now_)
    , engines_(aSettings.copies_)
  {
    makeConfiguration();
    for (std::uint32_t index = 0; index < settings_.daemons_; ++index) {
      daemons_.push_back(std::make_unique<Daemon>(settings_, index));
    }
    publishView();
  }

  /** @return What the run measured. */
  ModelReport run()
  {
    arriveLater();
    every(std::chrono::seconds(1), [this] { publishView(); });
    every(std::chrono::milliseconds(20), [this] { tickDaemons(); });
    at(start_ + settings_.faultAt_, [this] { beginFault(); });
    const auto end = start_ + settings_.length_ + settings_.deadline_ * 2;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      now_ = events_.begin()->first.first;
      const std::function<void()> handle = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      handle();
    }
    summarise();
    return report_;
  }

private:
  static constexpr std::uint32_t kPrefixes = 240;    ///< Different prompts.
  static constexpr std::size_t kCachedPrefixes = 60; ///< In one engine.
  static constexpr std::uint32_t kPrefixBlocks = 8;  ///< Hashes of a prompt.
  static constexpr double kPrefillSeconds = 0.20;    ///< Without its prefix.
  static constexpr double kHitPrefillSeconds = 0.04; ///< With its prefix.
  static constexpr double kTokenSeconds = 0.020;     ///< Between two tokens.
  static constexpr double kSampleTokens = 10;        ///< Until the speed is
                                                     ///< measured.
  static constexpr std::uint32_t kMinTokens = 20;    ///< Shortest answer.
  static constexpr std::uint32_t kMaxTokens = 100;   ///< Longest answer.
  static constexpr double kAttemptSeconds = 2;       ///< Wait for the first
                                                     ///< token of an attempt.
  static constexpr std::uint32_t kMaxAttempts = 3;   ///< With a budget.

  /** A request. */
  struct Request
  {
    coordination::RequestInfo info_;     ///< The request.
    std::uint32_t prefix_ = 0;           ///< Which prompt.
    std::uint32_t tokens_ = 0;           ///< Tokens still wanted.
    std::size_t daemon_ = 0;             ///< Where it arrived.
    state::TimePoint arrivedAt_{};       ///< When it arrived.
    state::TimePoint firstTokenAt_{};    ///< Its first token, or zero.
    coordination::TicketId ticket_;      ///< Ticket of admission.
    std::uint32_t attempt_ = 0;          ///< Attempts so far.
    bool done_ = false;                  ///< Whether it ended.
    bool refused_ = false;               ///< Whether it was refused at first.
    std::vector<state::VmId> tried_;     ///< Targets so far.
    coordination::OutstandingWork work_; ///< Work at the target.
    std::size_t engine_ = 0;             ///< Target of the attempt.
  };
  using RequestPtr = std::shared_ptr<Request>;
  /** An attempt in an engine. */
  using Job = std::pair<RequestPtr, std::uint32_t>;

  /** One copy. */
  struct Engine
  {
    std::vector<Job> running_;       ///< In slots.
    std::list<Job> queue_;           ///< Waiting.
    std::set<Job> cancelled_;        ///< Waiting jobs that will not run.
    std::list<std::uint32_t> cache_; ///< Prefixes, latest first.
    double slowness_ = 1;            ///< Factor on all times.
    bool dead_ = false;              ///< Whether it refuses connections.
    state::TimePoint closedAt_ = state::TimePoint::max(); ///< Evidence ends.
    state::EngineLoad load_;    ///< Load as last reported.
    state::TimePoint loadAt_{}; ///< When it was.
  };

  /** One daemon. */
  struct Daemon
  {
    Daemon(const ModelSettings& aSettings, std::uint64_t aIndex)
      : random_((aSettings.seed_ + aIndex) * 7919)
      , chooser_(
          state::ZoneId("z"),
          [this] { return random_(); },
          aSettings.chooser_)
      , admission_(limiter_)
    {
    }
    std::mt19937_64 random_;                 ///< Random numbers of the choice.
    coordination::AccountLimiter limiter_;   ///< No limits here.
    coordination::TargetChooser chooser_;    ///< Choice of target.
    coordination::Admission admission_;      ///< Admission.
    coordination::RetryBudget budget_;       ///< Retries.
    std::size_t turn_ = 0;                   ///< For round-robin.
    std::vector<std::uint32_t> outstanding_; ///< For least outstanding.
  };

  /** Share of a minute. */
  struct Minute
  {
    std::uint64_t arrived_ = 0;  ///< Requests.
    std::uint64_t admitted_ = 0; ///< Requests not refused.
    std::uint64_t kept_ = 0;     ///< Requests within the promise.
  };

  void at(state::TimePoint aTime, std::function<void()> aHandle)
  {
    events_.emplace(std::make_pair(aTime, ++eventCount_), std::move(aHandle));
  }
  void after(double aSeconds, std::function<void()> aHandle)
  {
    at(now_ + std::chrono::duration_cast<state::Duration>(
                std::chrono::duration<double>(aSeconds)),
       std::move(aHandle));
  }
  void every(state::Duration aPeriod, const std::function<void()>& aHandle)
  {
    at(now_ + aPeriod, [this, aPeriod, aHandle] {
      aHandle();
      every(aPeriod, aHandle);
    });
  }
  double uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void makeConfiguration()
  {
    auto configuration = std::make_shared<state::Configuration>();
    state::ServingGroup group;
    group.id_ = state::GroupId("g");
    group.copies_ = settings_.copies_;
    configuration->groups_[group.id_] = group;
    configuration_ = configuration;
  }

  /** Reports reach the daemons one second late. */
  void publishView()
  {
    auto view = std::make_shared<state::ServingView>();
    view->configuration_ = configuration_;
    std::vector<state::ServingCopy>& copies =
      view->copies_[state::GroupId("g")];
    for (std::uint32_t index = 0; index < engines_.size(); ++index) {
      Engine& engine = engines_[index];
      state::ServingCopy copy;
      copy.id_ = { state::GroupId("g"), index };
      copy.zone_ = state::ZoneId("z");
      copy.head_ = state::VmId(std::to_string(index));
      copy.open_ = now_ < engine.closedAt_;
      copy.load_ = engine.load_;
      copy.load_.slots_ = settings_.slots_;
      copy.loadObservedAt_ = engine.loadAt_;
      copy.evidenceUntil_ = std::min(engine.closedAt_, now_ + kEvidence);
      copies.push_back(copy);
      if (!frozen_ && !engine.dead_) {
        engine.load_.running_ =
          static_cast<std::uint32_t>(engine.running_.size());
        engine.load_.queued_ = static_cast<std::uint32_t>(
          engine.queue_.size() - engine.cancelled_.size());
        engine.loadAt_ = now_;
      }
    }
    for (const auto& daemon : daemons_) {
      daemon->chooser_.setView(view);
      daemon->admission_.setView(*view, settings_.daemons_);
      daemon->outstanding_.resize(engines_.size());
    }
  }

  void tickDaemons()
  {
    for (const auto& daemon : daemons_) {
      daemon->admission_.tick(now_);
    }
  }

  void beginFault()
  {
    if (settings_.fault_ == ModelFault::kStraggler) {
      engines_[0].slowness_ = settings_.stragglerFactor_;
    } else if (settings_.fault_ == ModelFault::kFrozen) {
      frozen_ = true;
    } else if (settings_.fault_ == ModelFault::kDeadCopy) {
      Engine& engine = engines_[0];
      engine.dead_ = true;
      engine.closedAt_ = now_ + kEvidence;
      std::vector<Job> lost(engine.queue_.begin(), engine.queue_.end());
      lost.insert(lost.end(), engine.running_.begin(), engine.running_.end());
      engine.queue_.clear();
      engine.cancelled_.clear();
      engine.running_.clear();
      for (const Job& job : lost) {
        if (isPresent(job)) {
          endAttempt(job.first, coordination::WorkEnd::kFailed);
          retry(job.first);
        }
      }
    }
  }

  double meanServiceSeconds() const
  {
    return kPrefillSeconds + kTokenSeconds * (kMinTokens + kMaxTokens) / 2;
  }

  void arriveLater()
  {
    const double capacity =
      settings_.copies_ * settings_.slots_ / meanServiceSeconds();
    const double wait = std::exponential_distribution<double>(
      capacity * settings_.load_)(random_);
    after(wait, [this] {
      if (now_ < start_ + settings_.length_) {
        arrive();
        arriveLater();
      }
    });
  }

  void arrive()
  {
    auto request = std::make_shared<Request>();
    // Few prompts are frequent, most are rare.
    request->prefix_ =
      static_cast<std::uint32_t>(kPrefixes * uniform() * uniform());
    request->tokens_ =
      kMinTokens +
      static_cast<std::uint32_t>(uniform() * (kMaxTokens - kMinTokens + 1));
    request->daemon_ = random_() % daemons_.size();
    request->arrivedAt_ = now_;
    coordination::RequestInfo& info = request->info_;
    info.group_ = state::GroupId("g");
    info.account_ = state::AccountId("a");
    info.idempotent_ = info.stream_ = true;
    info.deadline_ = now_ + settings_.deadline_;
    for (std::uint32_t block = 1; block <= kPrefixBlocks; ++block) {
      info.prefixHashes_.push_back(request->prefix_ * 1000ULL + block);
    }
    at(info.deadline_, [this, request] { expire(request); });
    requests_.push_back(request);
    admit(request);
  }

  void admit(const RequestPtr& aRequest)
  {
    Daemon& daemon = *daemons_[aRequest->daemon_];
    daemon.budget_.requestStarted();
    if (!settings_.admission_) {
      dispatch(aRequest);
      return;
    }
    const auto released =
      [this, aRequest](const coordination::AdmissionResult& aEnd) {
        aRequest->ticket_ = aEnd.ticket_;
        if (aEnd.status_ == coordination::AdmissionStatus::kAdmitted) {
          dispatch(aRequest);
        } else {
          refuse(aRequest);
        }
      };
    const coordination::AdmissionResult result =
      daemon.admission_.admit(aRequest->info_, now_, {}, released);
    if (result.status_ == coordination::AdmissionStatus::kQueued) {
      aRequest->ticket_ = result.ticket_;
    } else {
      released(result);
    }
  }

  void refuse(const RequestPtr& aRequest)
  {
    aRequest->done_ = true;
    aRequest->refused_ = true;
  }

  void dispatch(const RequestPtr& aRequest)
  {
    Daemon& daemon = *daemons_[aRequest->daemon_];
    if (aRequest->done_) {
      return;
    }
    const std::optional<coordination::Choice> choice = choose(*aRequest);
    if (!choice) {
      finish(aRequest);
      return;
    }
    const auto index =
      static_cast<std::size_t>(std::stoul(choice->vm_.value()));
    aRequest->engine_ = index;
    aRequest->tried_.push_back(choice->vm_);
    ++aRequest->attempt_;
    ++daemon.outstanding_[index];
    if (choice->stats_) {
      aRequest->work_ = daemon.chooser_.start(*choice, aRequest->info_);
    }
    Engine& engine = engines_[index];
    if (engine.dead_) {
      after(0.001, [this, aRequest] {
        endAttempt(aRequest, coordination::WorkEnd::kFailed);
        retry(aRequest);
      });
      return;
    }
    if (isMeasured(*aRequest)) {
      ++report_.attempts_;
    }
    engine.queue_.emplace_back(aRequest, aRequest->attempt_);
    const std::uint32_t attempt = aRequest->attempt_;
    after(kAttemptSeconds,
          [this, aRequest, attempt] { attemptIsSlow(aRequest, attempt); });
    fillSlots(engine);
  }

  std::optional<coordination::Choice> choose(const Request& aRequest)
  {
    Daemon& daemon = *daemons_[aRequest.daemon_];
    if (settings_.choice_ == ModelChoice::kChooser) {
      return daemon.chooser_.choose(aRequest.info_, now_, aRequest.tried_);
    }
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
      if (now_ < engines_[index].closedAt_) {
        open.push_back(index);
      }
    }
    std::size_t best = open[daemon.turn_++ % open.size()];
    if (settings_.choice_ == ModelChoice::kLeastOutstanding) {
      for (const std::size_t index : open) {
        if (daemon.outstanding_[index] < daemon.outstanding_[best]) {
          best = index;
        }
      }
    }
    coordination::Choice choice;
    choice.vm_ = state::VmId(std::to_string(best));
    return choice;
  }

  /** No first token came in time. */
  void attemptIsSlow(const RequestPtr& aRequest, std::uint32_t aAttempt)
  {
    if (aRequest->done_ || aRequest->attempt_ != aAttempt ||
        aRequest->firstTokenAt_ != state::TimePoint()) {
      return;
    }
    const bool again = settings_.unlimitedRetry_ ||
                       (settings_.choice_ == ModelChoice::kChooser &&
                        aRequest->attempt_ < kMaxAttempts &&
                        daemons_[aRequest->daemon_]->budget_.tryRetry());
    if (again) {
      Engine& engine = engines_[aRequest->engine_];
      endAttempt(aRequest, coordination::WorkEnd::kFailed);
      // The abandoned attempt keeps its place until the engine notices.
      after(kCancelSeconds, [this, &engine, job = Job(aRequest, aAttempt)] {
        cancel(engine, job);
      });
      dispatch(aRequest);
    }
  }

  void retry(const RequestPtr& aRequest)
  {
    if (!aRequest->done_) {
      dispatch(aRequest);
    }
  }

  void fillSlots(Engine& aEngine)
  {
    while (!aEngine.queue_.empty() &&
           aEngine.running_.size() < settings_.slots_) {
      const Job job = aEngine.queue_.front();
      aEngine.queue_.pop_front();
      if (aEngine.cancelled_.erase(job) > 0) {
        continue;
      }
      aEngine.running_.push_back(job);
      runJob(aEngine, job);
    }
  }

  void runJob(Engine& aEngine, const Job& aJob)
  {
    const bool hit = touchCache(aEngine, aJob.first->prefix_);
    if (isMeasured(*aJob.first)) {
      report_.hits_ += hit ? 1 : 0;
    }
    const double prefill =
      (hit ? kHitPrefillSeconds : kPrefillSeconds) * aEngine.slowness_;
    const double decode =
      aJob.first->tokens_ * kTokenSeconds * aEngine.slowness_;
    after(prefill, [this, aJob] { recordFirstToken(aJob); });
    after(prefill + kSampleTokens * kTokenSeconds * aEngine.slowness_,
          [this, &aEngine, aJob] { sampleSpeed(aEngine, aJob); });
    after(prefill + decode, [this, &aEngine, aJob] { jobDone(aEngine, aJob); });
  }

  void sampleSpeed(const Engine& aEngine, const Job& aJob)
  {
    if (isPresent(aJob)) {
      aJob.first->work_.sample(
        std::chrono::duration_cast<state::Duration>(
          std::chrono::duration<double>(kTokenSeconds * aEngine.slowness_)),
        now_);
    }
  }

  bool touchCache(Engine& aEngine, std::uint32_t aPrefix)
  {
    std::list<std::uint32_t>& cache = aEngine.cache_;
    const auto found = std::find(cache.begin(), cache.end(), aPrefix);
    const bool hit = found != cache.end();
    if (hit) {
      cache.erase(found);
    }
    cache.push_front(aPrefix);
    if (cache.size() > kCachedPrefixes) {
      cache.pop_back();
    }
    return hit;
  }

  bool isPresent(const Job& aJob) const
  {
    return !aJob.first->done_ && aJob.first->attempt_ == aJob.second;
  }

  void recordFirstToken(const Job& aJob)
  {
    const RequestPtr& request = aJob.first;
    if (!isPresent(aJob) || engines_[request->engine_].dead_ ||
        request->firstTokenAt_ != state::TimePoint()) {
      return;
    }
    request->firstTokenAt_ = now_;
    if (settings_.admission_) {
      daemons_[request->daemon_]->admission_.recordFirstToken(request->ticket_,
                                                              now_);
    }
  }

  void jobDone(Engine& aEngine, const Job& aJob)
  {
    const auto place =
      std::find(aEngine.running_.begin(), aEngine.running_.end(), aJob);
    if (place == aEngine.running_.end()) {
      return;
    }
    aEngine.running_.erase(place);
    if (isPresent(aJob)) {
      endAttempt(aJob.first, coordination::WorkEnd::kDone);
      ++aJob.first->attempt_;
      answered(aJob.first);
    }
    fillSlots(aEngine);
  }

  void cancel(Engine& aEngine, const Job& aJob)
  {
    if (std::erase(aEngine.running_, aJob) == 0) {
      aEngine.cancelled_.insert(aJob);
    }
    fillSlots(aEngine);
  }

  void endAttempt(const RequestPtr& aRequest, coordination::WorkEnd aEnd)
  {
    --daemons_[aRequest->daemon_]->outstanding_[aRequest->engine_];
    aRequest->work_.finish(aEnd, now_);
  }

  void answered(const RequestPtr& aRequest)
  {
    finish(aRequest);
    if (!isMeasured(*aRequest)) {
      return;
    }
    const state::Duration first =
      aRequest->firstTokenAt_ - aRequest->arrivedAt_;
    ++report_.answered_;
    report_.firstTokens_.push_back(
      std::chrono::duration<double>(first).count());
    if (first <= kPromise) {
      ++report_.kept_;
      ++minuteOf(*aRequest).kept_;
    }
  }

  /** The caller goes away. */
  void expire(const RequestPtr& aRequest)
  {
    if (aRequest->done_) {
      return;
    }
    if (aRequest->attempt_ > 0) {
      endAttempt(aRequest, coordination::WorkEnd::kAbandoned);
      cancel(engines_[aRequest->engine_], Job(aRequest, aRequest->attempt_));
    }
    finish(aRequest);
  }

  void finish(const RequestPtr& aRequest)
  {
    aRequest->done_ = true;
    if (settings_.admission_) {
      daemons_[aRequest->daemon_]->admission_.finish(
        aRequest->ticket_, aRequest->tokens_, now_);
    }
  }

  bool isMeasured(const Request& aRequest) const
  {
    return aRequest.arrivedAt_ >= start_ + settings_.warmUp_;
  }

  Minute& minuteOf(const Request& aRequest)
  {
    return minutes_[(aRequest.arrivedAt_ - start_) / std::chrono::minutes(1)];
  }

  void summarise()
  {
    for (const RequestPtr& request : requests_) {
      if (isMeasured(*request)) {
        ++report_.arrived_;
        ++minuteOf(*request).arrived_;
        report_.refused_ += request->refused_ ? 1 : 0;
        minuteOf(*request).admitted_ += request->refused_ ? 0 : 1;
      }
    }
    for (const auto& [number, minute] : minutes_) {
      const auto share = [&minute = minute](std::uint64_t aAll) {
        return static_cast<std::uint32_t>(minute.kept_ * 1000 /
                                          std::max<std::uint64_t>(1, aAll));
      };
      report_.worstPermille_ =
        std::min(report_.worstPermille_, share(minute.arrived_));
      report_.worstAdmitted_ =
        std::min(report_.worstAdmitted_, share(minute.admitted_));
    }
    report_.seconds_ =
      std::chrono::duration<double>(settings_.length_ - settings_.warmUp_)
        .count();
    std::sort(report_.firstTokens_.begin(), report_.firstTokens_.end());
  }

  static constexpr state::Duration kPromise =
    std::chrono::milliseconds(1800); ///< Promise for the first token.
  static constexpr state::Duration kEvidence =
    std::chrono::seconds(3); ///< Life of evidence.
  static constexpr double kCancelSeconds =
    0.5; ///< Time until an abandoned attempt frees its slot.

  const ModelSettings settings_; ///< What to run.
  std::mt19937_64 random_;       ///< Random numbers of the load.
  state::TimePoint now_;         ///< Present time.
  const state::TimePoint start_; ///< Begin.
  std::vector<Engine> engines_;  ///< Copies.
  std::vector<std::unique_ptr<Daemon>> daemons_; ///< Daemons.
  state::ConfigurationPtr configuration_;        ///< Configuration.
  std::map<std::pair<state::TimePoint, std::uint64_t>, std::function<void()>>
    events_;                               ///< Events by time.
  std::uint64_t eventCount_ = 0;           ///< Events so far.
  bool frozen_ = false;                    ///< Whether reports are frozen.
  std::vector<RequestPtr> requests_;       ///< All requests.
  std::map<std::int64_t, Minute> minutes_; ///< Minutes.
  ModelReport report_;                     ///< What was measured.
};

} // namespace auburnhaven::fakes
