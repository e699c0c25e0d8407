// Drives daemons of two zones through random faults and checks invariants.

#include "fleet_support.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kZones = 2;   ///< Zones of a run.
constexpr std::size_t kDaemons = 6; ///< Daemons of each zone.
constexpr std::size_t kVms = 8;     ///< VMs of each zone.

/** Ends the program when an invariant is broken. */
void
require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::printf("broken: %s\n", aWhat);
    std::abort();
  }
}

/** One run of random faults. */
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : switch_(clock_, aSeed)
    , fleet_(
        clock_,
        [this](const state::Endpoint& aOwn) {
          return std::make_unique<bench::CodedLinks>(switch_, clock_, aOwn);
        },
        aSeed)
    , random_(aSeed)
  {
    fleet_.onDeliver([this] { switch_.step(); });
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      fleet_.vms().add(fakes::FakeFleet::zoneName(zone), kVms);
    }
    fleet_.startAll(kZones, kDaemons);
  }

  void run(std::uint64_t aSteps)
  {
    for (std::uint64_t step = 0; step < aSteps; ++step) {
      fault();
      // FakeFleet asserts that no generation goes back.
      fleet_.run(state::Duration(1ms) * (100 + pick(3000)));
      checkEvidence();
    }
    heal();
    fleet_.run(60s);
    require(fleet_.agreed(), "the daemons of a zone know each other");
    require(fleet_.inForce(committed_), "the last change is in force");
    for (const auto& [id, daemon] : fleet_.daemons()) {
      require(daemon.node_->configuration()->generation_ == head(),
              "the generation of the store is in force");
    }
    std::printf("%llu steps, generation %llu, %llu conflicts, %llu unknown\n",
                static_cast<unsigned long long>(aSteps),
                static_cast<unsigned long long>(head().value()),
                static_cast<unsigned long long>(conflicts_),
                static_cast<unsigned long long>(unknown_));
  }

private:
  std::uint64_t pick(std::uint64_t aBelow) { return random_() % aBelow; }

  void fault()
  {
    const std::size_t zone = pick(kZones);
    const std::size_t index = pick(kDaemons);
    const state::DaemonId id = fakes::FakeFleet::idOf(zone, index);
    fakes::FleetDaemon& daemon = fleet_.daemons().at(id);
    switch (pick(10)) {
      case 0:
        switch_.hold(daemon.settings_.self_.endpoint_, !daemon.paused_);
        daemon.paused_ = !daemon.paused_;
        break;
      case 1:
        switch_.hold(daemon.settings_.self_.endpoint_, false);
        fleet_.start(zone, index, kZones);
        break;
      case 2:
        switch_.faults().loss_ = static_cast<double>(pick(3)) / 10;
        break;
      case 3:
        cut(pick(3));
        break;
      case 4:
        fleet_.platformDown(zone, pick(2) == 0);
        break;
      case 5:
        daemon.store_->faults().loseAnswers_ = 1 + pick(2);
        break;
      case 6:
        silence(zone);
        break;
      default:
        submit(daemon);
        break;
    }
  }

  /** Sets no cut, a cut between the zones, or one inside them. */
  void cut(std::uint64_t aKind)
  {
    switch_.cut(
      [aKind](const state::Endpoint& aFrom, const state::Endpoint& aTo) {
        return (aKind == 1 && aFrom.address_ != aTo.address_) ||
               (aKind == 2 && aFrom.port_ % 2 != aTo.port_ % 2);
      });
  }

  void silence(std::size_t aZone)
  {
    const state::VmId vm(fakes::FakeFleet::zoneName(aZone) + "-vm-" +
                         std::to_string(pick(kVms)));
    auto& fake = fleet_.vms().vms_.at(vm);
    fake.silent_ = !fake.silent_;
    if (fake.silent_) {
      silentSince_[vm] = clock_.now();
    } else {
      silentSince_.erase(vm);
    }
  }

  void submit(fakes::FleetDaemon& aDaemon)
  {
    coordination::Submission submission;
    submission.id_ =
      coordination::SubmissionId("s" + std::to_string(++serial_));
    submission.base_ = aDaemon.node_->configuration()->generation_;
    const state::ServingGroup group = bench::makeGroup(pick(5), serial_);
    submission.put_[state::documentName(group.id_)] =
      state::encodeDocument(group);
    aDaemon.node_->configStore().submit(
      submission, [this](const coordination::SubmitResult& aResult) {
        using coordination::SubmitStatus;
        if (aResult.status_ == SubmitStatus::kCommitted) {
          require(aResult.generation_ > committed_ ||
                    aResult.generation_ <= head(),
                  "a committed change is in the store");
          committed_ = std::max(committed_, aResult.generation_);
        }
        conflicts_ += aResult.status_ == SubmitStatus::kConflict ? 1 : 0;
        unknown_ += aResult.status_ == SubmitStatus::kUnknown ? 1 : 0;
      });
  }

  state::Generation head()
  {
    const auto found = fleet_.storeData().items_.find(coordination::kHeadKey);
    if (found == fleet_.storeData().items_.end()) {
      return {};
    }
    return coordination::decodeHead(found->second.value_)->generation_;
  }

  void checkEvidence()
  {
    for (const auto& [vm, since] : silentSince_) {
      for (const auto& [id, daemon] : fleet_.daemons()) {
        const auto& reports = daemon.node_->observation().reports();
        const auto report = reports.find(vm);
        require(report == reports.end() || report->second.observedAt_ <= since,
                "evidence is never younger than true");
      }
    }
  }

  void heal()
  {
    switch_.cut(nullptr);
    switch_.faults().loss_ = 0;
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      fleet_.platformDown(zone, false);
    }
    for (auto& [id, daemon] : fleet_.daemons()) {
      daemon.store_->faults() = {};
      daemon.paused_ = false;
      switch_.hold(daemon.settings_.self_.endpoint_, false);
    }
  }

  fakes::FakeClock clock_;      ///< Clock.
  fakes::ByteSwitch switch_;    ///< Network.
  fakes::FakeFleet fleet_;      ///< Daemons.
  std::mt19937_64 random_;      ///< Choices of the run.
  std::uint64_t serial_ = 0;    ///< Submissions made.
  std::uint64_t conflicts_ = 0; ///< Submissions that lost a race.
  std::uint64_t unknown_ = 0;   ///< Submissions that were not settled.
  state::Generation committed_; ///< Greatest generation reported committed.
  std::map<state::VmId, state::TimePoint>
    silentSince_; ///< VMs that answer nothing.
};

} // namespace

/**
 * Runs random faults.
 * @param aCount Number of arguments.
 * @param aArguments "--seed N --steps N".
 * @return 0; a broken invariant ends the program.
 */
int
main(int aCount, char** aArguments)
{
  std::uint64_t seed = 1;
  std::uint64_t steps = 200;
  for (int at = 1; at + 1 < aCount; at += 2) {
    const std::uint64_t value = std::strtoull(aArguments[at + 1], nullptr, 10);
    (std::string(aArguments[at]) == "--seed" ? seed : steps) = value;
  }
  std::printf("seed %llu: ", static_cast<unsigned long long>(seed));
  RandomRun(seed).run(steps);
  return 0;
}
