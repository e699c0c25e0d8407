// Choice of the target for one attempt of a request.

#include "coordination/request/target_chooser.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint32_t kMaxDrawsPerComparison =
  4; ///< Maximum random draws per compared target, as some draws hit
     ///< unusable targets; when all do, every target is considered.
constexpr double kPermille = 1000.0; ///< Thousandths per unit.

} // namespace

/** One target of a pool: a copy or a target of a plain service. */
struct TargetChooser::Candidate
{
  const state::ServingCopy* copy_ = nullptr; ///< Copy, or null.
  const state::ServiceTarget* service_ =
    nullptr;                  ///< Target of a plain service, or null.
  TargetStatsPtr stats_;      ///< Statistics of the target.
  TargetHash targetHash_ = 0; ///< Hash in the prefix table.

  /** @return VM that receives the requests. */
  const state::VmId& vm() const { return copy_ ? copy_->head_ : service_->vm_; }
  /** @return Zone of the target. */
  const state::ZoneId& zone() const
  {
    return copy_ ? copy_->zone_ : service_->zone_;
  }
  /** @return Whether the evidence that the target is open is unexpired. */
  bool isOpen(state::TimePoint aNow) const
  {
    return copy_ == nullptr || aNow < copy_->evidenceUntil_;
  }
};

/** Targets of one serving group or plain service. */
struct TargetChooser::Pool
{
  std::vector<Candidate> local_; ///< Targets of this daemon's zone.
  std::vector<Candidate>
    remote_; ///< Targets of other zones that have a gateway.
  std::unordered_map<TargetHash, std::size_t>
    localIndexByHash_;               ///< Index in `local_` by target hash.
  state::Duration medianUnitTime_{}; ///< Median time per unit of work of the
                                     ///< local targets; zero when unknown.

  /**
   * Adds a target to `local_` or `remote_`; skips leaving VMs and targets of
   * other zones without a gateway.
   */
  void add(Candidate aCandidate,
           const state::ServingView& aView,
           const state::ZoneId& aOwnZone)
  {
    const auto& leaving = aView.leavingVms_;
    if (std::binary_search(leaving.begin(), leaving.end(), aCandidate.vm())) {
      return;
    }
    if (aCandidate.zone() == aOwnZone) {
      localIndexByHash_[aCandidate.targetHash_] = local_.size();
      local_.push_back(std::move(aCandidate));
      return;
    }
    const auto gateways = aView.gateways_.find(aCandidate.zone());
    if (gateways != aView.gateways_.end() && !gateways->second.empty()) {
      remote_.push_back(std::move(aCandidate));
    }
  }

  /** Sets `medianUnitTime_` from the local targets with a known speed. */
  void computeMedianUnitTime(state::TimePoint aNow)
  {
    std::vector<state::Duration> times;
    for (const Candidate& candidate : local_) {
      const state::Duration time = candidate.stats_->unitTime(aNow);
      if (time > state::Duration::zero()) {
        times.push_back(time);
      }
    }
    if (!times.empty()) {
      const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
      std::nth_element(times.begin(), middle, times.end());
      medianUnitTime_ = *middle;
    }
  }
};

/** Candidates of one snapshot by group and service. */
struct TargetChooser::Index
{
  state::ServingViewPtr view_; ///< Snapshot; the candidates point into it.
  std::map<state::GroupId, std::shared_ptr<Pool>>
    groups_; ///< Pool of each serving group.
  std::map<state::ServiceId, std::shared_ptr<Pool>>
    services_; ///< Pool of each plain service.
};

TargetChooser::TargetChooser(state::ZoneId aZone,
                             RandomSource aRandom,
                             TargetChooserSettings aSettings)
  : zone_(std::move(aZone))
  , settings_(aSettings)
  , prefixes_(aSettings.prefixEntries_)
  , random_(std::move(aRandom))
{
}

TargetChooser::~TargetChooser() = default;

void
TargetChooser::setView(const state::ServingViewPtr& aView)
{
  const std::lock_guard lock(mutex_);
  auto index = std::make_shared<Index>();
  index->view_ = aView;
  for (const auto& [group, copies] : aView->copies_) {
    index->groups_[group] = copyPool(*aView, copies);
  }
  if (aView->configuration_) {
    for (const auto& [id, service] : aView->configuration_->services_) {
      index->services_[id] = servicePool(*aView, service);
    }
  }
  // Drop statistics that neither the new snapshot nor outstanding work uses.
  // The old index is released first, because it also holds references to them.
  index_.reset();
  std::erase_if(
    stats_, [](const auto& aItem) { return aItem.second.use_count() == 1; });
  index_ = std::move(index);
}

std::optional<Choice>
TargetChooser::choose(const RequestInfo& aInfo,
                      state::TimePoint aNow,
                      const std::vector<state::VmId>& aTried)
{
  const std::shared_ptr<const Index> current = index();
  if (!current) {
    return std::nullopt;
  }
  std::shared_ptr<const Pool> pool;
  if (aInfo.group_.empty()) {
    const auto found = current->services_.find(aInfo.service_);
    pool = found == current->services_.end() ? nullptr : found->second;
  } else {
    const auto found = current->groups_.find(aInfo.group_);
    pool = found == current->groups_.end() ? nullptr : found->second;
  }
  if (!pool) {
    return std::nullopt;
  }
  double localScore = 0;
  const Candidate* best =
    pick(pool->local_, *pool, aInfo, aNow, aTried, localScore);
  if (best == nullptr || localScore > settings_.spilloverThreshold_) {
    double remoteScore = 0;
    const Candidate* remote =
      pick(pool->remote_, *pool, aInfo, aNow, aTried, remoteScore);
    remoteScore += settings_.remotePenalty_;
    if (remote != nullptr && (best == nullptr || remoteScore < localScore)) {
      best = remote;
      localScore = remoteScore;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return makeChoice(*best, *current->view_, localScore);
}

OutstandingWork
TargetChooser::start(const Choice& aChoice, const RequestInfo& aInfo)
{
  for (const std::uint64_t hash : aInfo.prefixHashes_) {
    prefixes_.add(hash, aChoice.targetHash_);
  }
  return OutstandingWork(aChoice.stats_);
}

std::uint32_t
TargetChooser::outstanding(const state::VmId& aVm) const
{
  const std::lock_guard lock(mutex_);
  const auto found = stats_.find(aVm);
  return found == stats_.end() ? 0 : found->second->outstanding();
}

std::uint64_t
TargetChooser::random()
{
  const std::lock_guard lock(randomMutex_);
  return random_();
}

std::shared_ptr<const TargetChooser::Index>
TargetChooser::index() const
{
  const std::lock_guard lock(mutex_);
  return index_;
}

TargetStatsPtr
TargetChooser::statsOf(const state::VmId& aVm)
{
  TargetStatsPtr& stats = stats_[aVm];
  if (!stats) {
    stats = std::make_shared<TargetStats>();
  }
  return stats;
}

std::shared_ptr<TargetChooser::Pool>
TargetChooser::copyPool(const state::ServingView& aView,
                        const std::vector<state::ServingCopy>& aCopies)
{
  auto pool = std::make_shared<Pool>();
  state::TimePoint newestReport{};
  for (const state::ServingCopy& copy : aCopies) {
    newestReport = std::max(newestReport, copy.loadObservedAt_);
    if (copy.open_) {
      pool->add({ &copy,
                  nullptr,
                  statsOf(copy.head_),
                  targetHash(copy.head_, copy.fencing_) },
                aView,
                zone_);
    }
  }
  pool->computeMedianUnitTime(newestReport);
  return pool;
}

std::shared_ptr<TargetChooser::Pool>
TargetChooser::servicePool(const state::ServingView& aView,
                           const state::PlainService& aService)
{
  auto pool = std::make_shared<Pool>();
  for (const state::ServiceTarget& target : aService.targets_) {
    pool->add({ nullptr,
                &target,
                statsOf(target.vm_),
                targetHash(target.vm_, state::FencingNumber()) },
              aView,
              zone_);
  }
  return pool;
}

double
TargetChooser::score(const Candidate& aCandidate,
                     const Pool& aPool,
                     const RequestInfo& aInfo,
                     state::TimePoint aNow) const
{
  double work = aCandidate.stats_->outstanding() + 1.0;
  double slots = 1.0;
  double slowdown = 1.0;
  if (aCandidate.copy_ != nullptr) {
    const state::ServingCopy& copy = *aCandidate.copy_;
    const double age = std::max(
      0.0, std::chrono::duration<double>(aNow - copy.loadObservedAt_).count());
    const double halfLife =
      std::chrono::duration<double>(settings_.reportHalfLife_).count();
    const std::uint32_t externalWork = aCandidate.stats_->estimateExternalWork(
      copy.load_.running_ + copy.load_.queued_, copy.loadObservedAt_);
    work += settings_.reportWeight_ * externalWork * std::exp2(-age / halfLife);
    slots = std::max(1U, copy.load_.slots_);
    slowdown = copy.slowdownPermille_ / kPermille;
  }
  const state::Duration unit = aCandidate.stats_->unitTime(aNow);
  if (aPool.medianUnitTime_ > state::Duration::zero() &&
      unit > state::Duration::zero()) {
    slowdown = std::max(slowdown,
                        static_cast<double>(unit.count()) /
                          static_cast<double>(aPool.medianUnitTime_.count()));
  }
  slowdown = std::clamp(slowdown, 1.0, settings_.maxSlowdown_);
  return work / slots * slowdown -
         settings_.prefixBonus_ * cachedPrefixShare(aCandidate, aInfo);
}

template<class Consider>
void
TargetChooser::considerRandomCandidates(
  const std::vector<Candidate>& aCandidates,
  const Consider& aConsider)
{
  std::uint32_t compared = 0;
  const std::uint32_t draws = kMaxDrawsPerComparison * settings_.choices_;
  for (std::uint32_t draw = 0; draw < draws && compared < settings_.choices_;
       ++draw) {
    const std::size_t index = random() % aCandidates.size();
    compared += aConsider(aCandidates[index], false) ? 1U : 0U;
  }
}

const TargetChooser::Candidate*
TargetChooser::pick(const std::vector<Candidate>& aCandidates,
                    const Pool& aPool,
                    const RequestInfo& aInfo,
                    state::TimePoint aNow,
                    const std::vector<state::VmId>& aTried,
                    double& aScore)
{
  const Candidate* best = nullptr;
  const auto consider = [&](const Candidate& aCandidate, bool aIncludeBackoff) {
    const bool tried =
      std::find(aTried.begin(), aTried.end(), aCandidate.vm()) != aTried.end();
    if (tried || !aCandidate.isOpen(aNow) || &aCandidate == best ||
        (!aIncludeBackoff && aCandidate.stats_->backoffUntil() > aNow)) {
      return false;
    }
    const double score = this->score(aCandidate, aPool, aInfo, aNow);
    if (best == nullptr || score < aScore) {
      best = &aCandidate;
      aScore = score;
    }
    return true;
  };
  const Candidate* prefixMatch =
    &aCandidates == &aPool.local_ ? longestPrefixMatch(aPool, aInfo) : nullptr;
  const auto considerAll = [&](bool aIncludeBackoff) {
    for (const Candidate& candidate : aCandidates) {
      consider(candidate, aIncludeBackoff);
    }
  };
  if (aCandidates.size() <= settings_.choices_) {
    considerAll(false);
  } else {
    considerRandomCandidates(aCandidates, consider);
  }
  if (prefixMatch != nullptr) {
    consider(*prefixMatch, false);
  }
  // Fall back to all candidates, then to those in backoff as well.
  for (const bool includeBackoff : { false, true }) {
    if (best == nullptr) {
      considerAll(includeBackoff);
    }
  }
  return best;
}

const TargetChooser::Candidate*
TargetChooser::longestPrefixMatch(const Pool& aPool,
                                  const RequestInfo& aInfo) const
{
  const auto& hashes = aInfo.prefixHashes_;
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    for (const TargetHash target : prefixes_.find(*hash)) {
      const auto found = aPool.localIndexByHash_.find(target);
      if (found != aPool.localIndexByHash_.end()) {
        return &aPool.local_[found->second];
      }
    }
  }
  return nullptr;
}

double
TargetChooser::cachedPrefixShare(const Candidate& aCandidate,
                                 const RequestInfo& aInfo) const
{
  const auto& hashes = aInfo.prefixHashes_;
  for (std::size_t length = hashes.size(); length > 0; --length) {
    const PrefixTable::Targets targets = prefixes_.find(hashes[length - 1]);
    if (std::find(targets.begin(), targets.end(), aCandidate.targetHash_) !=
        targets.end()) {
      return static_cast<double>(length) / static_cast<double>(hashes.size());
    }
  }
  return 0;
}

Choice
TargetChooser::makeChoice(const Candidate& aCandidate,
                          const state::ServingView& aView,
                          double aScore)
{
  Choice choice;
  choice.vm_ = aCandidate.vm();
  choice.zone_ = aCandidate.zone();
  choice.stats_ = aCandidate.stats_;
  choice.targetHash_ = aCandidate.targetHash_;
  choice.score_ = aScore;
  if (aCandidate.copy_ != nullptr) {
    choice.copy_ = aCandidate.copy_->id_;
    choice.endpoint_ = aCandidate.copy_->endpoint_;
    choice.fencing_ = aCandidate.copy_->fencing_;
  } else {
    choice.endpoint_ = aCandidate.service_->endpoint_;
  }
  if (choice.zone_ != zone_) {
    const auto& gateways = aView.gateways_.at(choice.zone_);
    choice.gateway_ = gateways[random() % gateways.size()];
  }
  return choice;
}

} // namespace auburnhaven::coordination
