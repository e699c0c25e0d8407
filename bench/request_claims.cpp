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
 */
void
runRate(int aRate, std::size_t aDaemons, std::uint32_t aSlots)
{
  fakes::FakeClock clock;
  auto data = std::make_shared<fakes::FakeStoreData>();
  ClaimSettings settings;
  settings.slots_ = aSlots;
  std::vector<ClaimingDaemon> daemons(aDaemons);
  for (std::size_t index = 0; index < aDaemons; ++index) {
    daemons[index].store_ = std::make_unique<fakes::FakeStore>(clock, data);
    daemons[index].claims_ = std::make_unique<ClaimService>(
      *daemons[index].store_,
      clock,
      state::DaemonId("d" + std::to_string(index)),
      state::Incarnation(1),
      settings);
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
    "claims/s %5d daemons %2zu slots %3u: granted %6.0f/s  store writes "
    "%6.1f/s reads %6.1f/s  claims per write %5.1f  wait mean %5.0f ms max "
    "%5.0f ms  bytes a key %5.1f  processor %.0f us a claim\n",
    aRate,
    aDaemons,
    aSlots,
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
    for (const std::size_t daemons : { 1U, 6U }) {
      runRate(rate, daemons, 16);
    }
  }
  runRate(1000, 1, 64);
  runRate(1000, 1, 4);
  return EXIT_SUCCESS;
}
