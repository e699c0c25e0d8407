// Measures traffic, processor time and spreading times of many daemons.

#include "fleet_support.h"

#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <optional>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

/** What a run measures. */
struct Options
{
  std::size_t zones_ = 1;    ///< Availability zones.
  std::size_t daemons_ = 18; ///< Daemons of each zone.
  std::size_t workers_ = 50; ///< VMs of each zone.
  std::size_t groups_ = 20;  ///< Serving groups configured.
  double seconds_ = 60;      ///< Measured time.
  double loss_ = 0;          ///< Part of the messages lost.
  double restarts_ = 0;      ///< VM restarts a second in all zones.
  double changes_ = 0;       ///< Configuration changes a second.
  bool rejoin_ = false;      ///< Whether a zone is cut off and rejoins.
  std::uint64_t seed_ = 1;   ///< Seed.
};

/** Reads "--name value" pairs. */
Options
parse(int aCount, char** aArguments)
{
  Options options;
  for (int at = 1; at + 1 < aCount; at += 2) {
    const std::string name = aArguments[at];
    const double value = std::atof(aArguments[at + 1]);
    const auto count = static_cast<std::size_t>(value);
    if (name == "--zones") {
      options.zones_ = count;
    } else if (name == "--daemons") {
      options.daemons_ = count;
    } else if (name == "--workers") {
      options.workers_ = count;
    } else if (name == "--groups") {
      options.groups_ = count;
    } else if (name == "--seconds") {
      options.seconds_ = value;
    } else if (name == "--loss") {
      options.loss_ = value;
    } else if (name == "--restarts") {
      options.restarts_ = value;
    } else if (name == "--changes") {
      options.changes_ = value;
    } else if (name == "--rejoin") {
      options.rejoin_ = value != 0;
    } else if (name == "--seed") {
      options.seed_ = count;
    } else {
      std::fprintf(stderr, "unknown option %s\n", name.c_str());
      std::exit(2);
    }
  }
  return options;
}

/** One run. */
class Run
{
public:
  explicit Run(const Options& aOptions)
    : options_(aOptions)
    , switch_(clock_, aOptions.seed_)
    , fleet_(
        clock_,
        [this](const state::Endpoint& aOwn) {
          return std::make_unique<bench::CodedLinks>(switch_, clock_, aOwn);
        },
        aOptions.seed_)
    , random_(aOptions.seed_)
  {
    switch_.measure([](const std::string& aMessage) {
      return aMessage.size() + bench::kFrameBytes;
    });
    fleet_.onDeliver([this] { switch_.step(); });
    for (std::size_t zone = 0; zone < options_.zones_; ++zone) {
      fleet_.vms().add(fakes::FakeFleet::zoneName(zone), options_.workers_);
    }
    bench::fillStore(fleet_.storeData(), options_.groups_);
  }

  void run()
  {
    fleet_.startAll(options_.zones_, options_.daemons_);
    const state::Duration settled = fleet_.runUntil(
      [this] {
        return fleet_.agreed() && fleet_.inForce(state::Generation(1));
      },
      300s);
    std::printf("start until settled: %.1f s\n", toSeconds(settled));
    fleet_.run(30s);
    switch_.faults().loss_ = options_.loss_;
    const std::uint64_t deathsBefore = deaths();
    reset();
    const double processorBefore = bench::processorSeconds();
    measure();
    const double processor = bench::processorSeconds() - processorBefore;
    report(processor, deaths() - deathsBefore);
  }

private:
  static double toSeconds(state::Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

  std::uint64_t deaths()
  {
    std::uint64_t deaths = 0;
    for (const auto& [id, daemon] : fleet_.daemons()) {
      deaths += daemon.node_->membership().counts().deaths_;
    }
    return deaths;
  }

  void reset()
  {
    switch_.counts().clear();
    switch_.resetCrossed();
    fleet_.vms().questions_ = 0;
    fleet_.storeData().reads_ = 0;
    fleet_.storeData().writes_ = 0;
  }

  void measure()
  {
    const auto steps = static_cast<int>(options_.seconds_ * 10);
    double changes = 0;
    double restarts = 0;
    for (int step = 0; step < steps; ++step) {
      if (options_.rejoin_) {
        cutAt(step, steps);
      }
      changes += options_.changes_ / 10;
      restarts += options_.restarts_ / 10;
      for (; changes >= 1; changes -= 1) {
        submit();
      }
      for (; restarts >= 1; restarts -= 1) {
        restart();
      }
      fleet_.step();
      note();
      if (step % 10 == 0) {
        sampleAges();
      }
    }
    for (int step = 0; step < 300 && !open_.empty(); ++step) {
      fleet_.step();
      note();
    }
  }

  /** Cuts the last zone off for the middle third of the run. */
  void cutAt(int aStep, int aSteps)
  {
    const std::size_t zone = options_.zones_ - 1;
    if (aStep == aSteps / 3) {
      const std::string address =
        fakes::FakeFleet::endpointOf(zone, 0).address_;
      switch_.cut(
        [address](const state::Endpoint& aFrom, const state::Endpoint& aTo) {
          return (aFrom.address_ == address) != (aTo.address_ == address);
        });
      fleet_.platformDown(zone, true);
      cutZone_ = zone;
    } else if (aStep == 2 * aSteps / 3) {
      switch_.cut(nullptr);
      fleet_.platformDown(zone, false);
      cutZone_.reset();
      rejoinedAt_ = clock_.now();
      rejoinGoal_ = newest_;
    }
  }

  void submit()
  {
    const std::size_t zone =
      random_() % (options_.zones_ - (options_.rejoin_ ? 1 : 0));
    const std::size_t daemon = random_() % options_.daemons_;
    const std::size_t group = random_() % options_.groups_;
    coordination::Submission submission;
    submission.id_ =
      coordination::SubmissionId("bench-" + std::to_string(++serial_));
    submission.author_ = "bench";
    submission.base_ = newest_;
    const state::ServingGroup document = bench::makeGroup(group, serial_);
    submission.put_[state::documentName(document.id_)] =
      state::encodeDocument(document);
    const state::TimePoint at = clock_.now();
    fleet_.at(zone, daemon)
      .node_->configStore()
      .submit(submission,
              [this, at](const coordination::SubmitResult& aResult) {
                if (aResult.status_ == coordination::SubmitStatus::kCommitted) {
                  newest_ = std::max(newest_, aResult.generation_);
                  open_[aResult.generation_] = at;
                } else {
                  ++refused_;
                  newest_ = std::max(newest_, aResult.generation_);
                }
              });
  }

  void restart()
  {
    auto& vms = fleet_.vms().vms_;
    auto vm = vms.begin();
    std::advance(vm, static_cast<std::ptrdiff_t>(random_() % vms.size()));
    bench::restartVm(vm->second);
  }

  bool everywhere(state::Generation aGeneration)
  {
    return fleet_.inForce(aGeneration, [&](const fakes::FleetDaemon& aDaemon) {
      return !cutZone_ || !fakes::FakeFleet::inZone(aDaemon, *cutZone_);
    });
  }

  void note()
  {
    while (!open_.empty() && everywhere(open_.begin()->first)) {
      inForce_.push_back(toSeconds(clock_.now() - open_.begin()->second));
      open_.erase(open_.begin());
    }
    if (rejoinedAt_ && everywhere(rejoinGoal_)) {
      std::printf("cut-off zone has all changes after rejoining: %.1f s\n",
                  toSeconds(clock_.now() - *rejoinedAt_));
      rejoinedAt_.reset();
    }
  }

  void sampleAges()
  {
    for (const auto& [id, daemon] : fleet_.daemons()) {
      for (const auto& [vm, report] : daemon.node_->observation().reports()) {
        ages_.push_back(toSeconds(clock_.now() - report.observedAt_));
      }
      if (ages_.size() > kMaxSamples) {
        return;
      }
    }
  }

  void report(double aProcessor, std::uint64_t aDeaths)
  {
    const auto daemons =
      static_cast<double>(options_.zones_ * options_.daemons_);
    std::vector<double> sent;
    std::vector<double> received;
    double messages = 0;
    for (const auto& [endpoint, count] : switch_.counts()) {
      sent.push_back(static_cast<double>(count.sentBytes_) / options_.seconds_);
      received.push_back(static_cast<double>(count.receivedBytes_) /
                         options_.seconds_);
      messages += static_cast<double>(count.sentMessages_);
    }
    const auto mean = [&](const std::vector<double>& aValues) {
      double sum = 0;
      for (const double value : aValues) {
        sum += value;
      }
      return sum / daemons;
    };
    std::printf("bytes/s a daemon sent: mean %.0f, worst %.0f\n",
                mean(sent),
                bench::quantile(sent, 1));
    std::printf("bytes/s a daemon received: mean %.0f, worst %.0f\n",
                mean(received),
                bench::quantile(received, 1));
    std::printf("bytes/s between zones, all together: %.0f\n",
                static_cast<double>(switch_.crossed()) / options_.seconds_);
    std::printf("messages/s a daemon sent: %.1f\n",
                messages / daemons / options_.seconds_);
    std::printf("processor, fakes included: %.2f ms/s a daemon\n",
                1000 * aProcessor / daemons / options_.seconds_);
    std::printf("evidence age: p50 %.2f s, p99 %.2f s, worst %.2f s\n",
                bench::quantile(ages_, 0.5),
                bench::quantile(ages_, 0.99),
                bench::quantile(ages_, 1));
    std::printf("questions to VMs/s a daemon: %.2f\n",
                static_cast<double>(fleet_.vms().questions_) / daemons /
                  options_.seconds_);
    std::printf(
      "store calls/s in all: %.2f reads, %.2f writes\n",
      static_cast<double>(fleet_.storeData().reads_) / options_.seconds_,
      static_cast<double>(fleet_.storeData().writes_) / options_.seconds_);
    std::printf("verdicts of death: %llu\n",
                static_cast<unsigned long long>(aDeaths));
    std::printf("changes: %zu in force, p50 %.1f s, worst %.1f s; %zu lost a "
                "race, %zu not in force\n",
                inForce_.size(),
                bench::quantile(inForce_, 0.5),
                bench::quantile(inForce_, 1),
                refused_,
                open_.size());
    std::printf("memory of all daemons and fakes: %.0f MB\n",
                bench::peakMegabytes());
  }

  static constexpr std::size_t kMaxSamples = 20000000; ///< Ages kept.

  Options options_;               ///< What to measure.
  fakes::FakeClock clock_;        ///< Clock.
  fakes::ByteSwitch switch_;      ///< Network.
  fakes::FakeFleet fleet_;        ///< Daemons.
  std::mt19937_64 random_;        ///< Choices of the run.
  std::uint64_t serial_ = 0;      ///< Submissions made.
  state::Generation newest_{ 1 }; ///< Newest generation committed.
  std::size_t refused_ = 0;       ///< Submissions not committed.
  std::map<state::Generation, state::TimePoint>
    open_;                             ///< Changes not yet in force.
  std::vector<double> inForce_;        ///< Seconds until in force everywhere.
  std::vector<double> ages_;           ///< Seconds of age of evidence.
  std::optional<std::size_t> cutZone_; ///< Zone that is cut off.
  std::optional<state::TimePoint> rejoinedAt_; ///< When it came back.
  state::Generation rejoinGoal_;               ///< Generation it must get.
};

} // namespace

/**
 * Runs one measurement.
 * @param aCount Number of arguments.
 * @param aArguments Pairs of an option and its value.
 * @return 0.
 */
int
main(int aCount, char** aArguments)
{
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Run(parse(aCount, aArguments)).run();
  return 0;
}
