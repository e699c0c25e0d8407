// Claims a second against store calls a second, and bytes for each key.

#include "coordination/request/claim_service.h"
#include "fakes/fake_store.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

using namespace auburnhaven;
using namespace auburnhaven::coordination;

namespace {

/** A daemon that claims keys. */
struct ClaimingDaemon
{
  std::unique_ptr<fakes::FakeStore> store_; ///< Connection to the store.
  std::unique_ptr<ClaimService> claims_;    ///< Claims.
};

/** Daemons that reach each other one step of the clock later. */
class LocalPeers : public ClaimPeers
{
public:
  /** @param aDaemons All daemons, named by their index. */
  explicit LocalPeers(std::vector<ClaimingDaemon>& aDaemons)
    : daemons_(aDaemons)
  {
  }
  void forward(const state::DaemonId& aTo,
               const ClaimOperation& aOperation,
               ClaimHandler aHandler) override
  {
    const std::size_t index = std::stoul(aTo.value());
    sent_.push_back([this, index, aOperation, handler = std::move(aHandler)] {
      daemons_[index].claims_->serve(
        aOperation, [this, handler](const ClaimResult& aResult) {
          sent_.push_back([handler, aResult] { handler(aResult); });
        });
    });
  }
  /** Delivers what was sent before. */
  void step()
  {
    std::vector<std::function<void()>> due;
    due.swap(sent_);
    for (const auto& deliver : due) {
      deliver();
    }
  }

private:
  std::vector<ClaimingDaemon>& daemons_;    ///< All daemons.
  std::vector<std::function<void()>> sent_; ///< Messages on their way.
};

/** What one run measured. */
struct ClaimRun
{
  std::uint64_t claims_ = 0;   ///< Claims asked for.
  std::uint64_t granted_ = 0;  ///< Claims granted.
  std::uint64_t finished_ = 0; ///< Ends told.
  state::Duration waited_{};   ///< Sum of the waits for a grant.
  state::Duration longest_{};  ///< Longest wait for a grant.
};

constexpr int kSeconds = 20; ///< Simulated length of a run.

/**
 * Runs one rate of claims, spread evenly over daemons, each finished 100 ms
 * after its grant.
 * @param aRate Claims a second.
 * @param aDaemons Daemons.
 * @param aSlots Slots.
 * @param aForward Whether one daemon writes a slot for all.
 */
void
runRate(int aRate, std::size_t aDaemons, std::uint32_t aSlots, bool aForward)
{
  fakes::FakeClock clock;
  auto data = std::make_shared<fakes::FakeStoreData>();
  ClaimSettings settings;
  settings.slots_ = aSlots;
  std::vector<ClaimingDaemon> daemons(aDaemons);
  LocalPeers peers(daemons);
  std::vector<state::DaemonId> names;
  for (std::size_t index = 0; index < aDaemons; ++index) {
    names.emplace_back(std::to_string(index));
  }
  for (std::size_t index = 0; index < aDaemons; ++index) {
    daemons[index].store_ = std::make_unique<fakes::FakeStore>(clock, data);
    daemons[index].claims_ =
      std::make_unique<ClaimService>(*daemons[index].store_,
                                     clock,
                                     names[index],
                                     state::Incarnation(1),
                                     settings,
                                     aForward ? &peers : nullptr);
    daemons[index].claims_->setDaemons(names);
  }
  ClaimRun run;
  std::multimap<state::TimePoint, std::pair<std::size_t, ClaimToken>> ends;
  const auto answer = std::make_shared<const StoredAnswer>(
    StoredAnswer{ 200, "application/json", R"({"confirmed":true})" });
  const auto begin = std::chrono::steady_clock::now();
  double due = 0;
  for (int step = 0; step < kSeconds * 1000; ++step) {
    clock.advance(std::chrono::milliseconds(1));
    for (due += aRate / 1000.0; due >= 1; due -= 1) {
      const std::size_t index = run.claims_++ % aDaemons;
      const state::TimePoint asked = clock.now();
      daemons[index].claims_->claim(
        { state::AccountId("a"),
          "orders/confirm",
          "key-" + std::to_string(run.claims_),
          "0123456789abcdef" },
        [&run, &ends, &clock, asked, index](const ClaimResult& aResult) {
          if (aResult.status_ != ClaimStatus::kGranted) {
            return;
          }
          const state::Duration wait = clock.now() - asked;
          ++run.granted_;
          run.waited_ += wait;
          run.longest_ = std::max(run.longest_, wait);
          ends.emplace(clock.now() + std::chrono::milliseconds(100),
                       std::make_pair(index, aResult.token_));
        });
    }
    while (!ends.empty() && ends.begin()->first <= clock.now()) {
      const auto [index, token] = ends.begin()->second;
      ends.erase(ends.begin());
      ++run.finished_;
      daemons[index].claims_->end(token, ClaimEnd::kFinished, answer);
    }
    peers.step();
    for (ClaimingDaemon& daemon : daemons) {
      daemon.store_->step();
      if (step % 10 == 0) {
        daemon.claims_->tick();
      }
    }
  }
  const double cpu =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
  std::size_t bytes = 0;
  for (const auto& [key, item] : data->items_) {
    bytes += item.value_.size();
  }
  const double granted =
    static_cast<double>(std::max<std::uint64_t>(1, run.granted_));
  std::printf(
    "claims/s %5d daemons %2zu slots %3u %-11s granted %6.0f/s  store writes "
    "%6.1f/s reads %6.1f/s  claims per write %5.1f  wait mean %5.0f ms max "
    "%5.0f ms  bytes a key %5.1f  processor %.0f us a claim\n",
    aRate,
    aDaemons,
    aSlots,
    aForward ? "one writes" : "each writes",
    granted / kSeconds,
    static_cast<double>(data->writes_) / kSeconds,
    static_cast<double>(data->reads_) / kSeconds,
    granted / static_cast<double>(data->writes_),
    std::chrono::duration<double, std::milli>(run.waited_).count() / granted,
    std::chrono::duration<double, std::milli>(run.longest_).count(),
    static_cast<double>(bytes) / granted,
    cpu * 1e6 / granted);
}

} // namespace

int
main()
{
  std::printf("bench_request_claims; %d simulated seconds, store answers in "
              "2 ms, fake store included in the processor time\n",
              kSeconds);
  for (const int rate : { 10, 100, 1000 }) {
    for (const std::size_t daemons : { 1U, 6U, 20U }) {
      runRate(rate, daemons, 16, false);
      runRate(rate, daemons, 16, true);
    }
  }
  runRate(1000, 20, 64, true);
  runRate(1000, 20, 8, true);
  return EXIT_SUCCESS;
}
