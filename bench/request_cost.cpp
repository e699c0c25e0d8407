// Cost of decisions in time and bytes as slopes in targets and accounts.

#include "coordination/request/admission.h"
#include "coordination/request/slo_tracker.h"
#include "coordination/request/target_chooser.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <random>

using namespace auburnhaven;
using namespace auburnhaven::coordination;

namespace {

constexpr state::TimePoint kNow{ std::chrono::hours(1) }; ///< Present time.

/** @return Bytes in use on the heap. */
std::size_t
heapBytes()
{
  return mallinfo2().uordblks;
}

/** @return Mean nanoseconds of a call. */
double
timeOf(int aRounds, const std::function<void(int)>& aCall)
{
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < aRounds; ++round) {
    aCall(round);
  }
  const std::chrono::duration<double, std::nano> time =
    std::chrono::steady_clock::now() - begin;
  return time.count() / aRounds;
}

/** @return A view of one group with so many copies and accounts. */
state::ServingViewPtr
makeView(std::uint32_t aCopies, std::uint32_t aAccounts)
{
  auto configuration = std::make_shared<state::Configuration>();
  configuration->groups_[state::GroupId("g")].id_ = state::GroupId("g");
  for (std::uint32_t index = 0; index < aAccounts; ++index) {
    const state::AccountId id("account-" + std::to_string(index));
    configuration->accounts_[id].requestsPerSecond_ = 1000000;
  }
  auto view = std::make_shared<state::ServingView>();
  view->configuration_ = configuration;
  for (std::uint32_t index = 0; index < aCopies; ++index) {
    state::ServingCopy copy;
    copy.id_ = { state::GroupId("g"), index };
    copy.zone_ = state::ZoneId("z");
    copy.head_ = state::VmId("vm-" + std::to_string(index));
    copy.open_ = true;
    copy.load_ = { 3, 0, 16, 100 };
    copy.loadObservedAt_ = kNow;
    copy.evidenceUntil_ = kNow + std::chrono::hours(1);
    view->copies_[state::GroupId("g")].push_back(copy);
  }
  return view;
}

void
measureChoice(std::uint32_t aCopies)
{
  std::mt19937_64 random(1);
  const state::ServingViewPtr view = makeView(aCopies, 1);
  const std::size_t before = heapBytes();
  TargetChooser chooser(state::ZoneId("z"), [&random] { return random(); });
  const std::size_t fixed = heapBytes();
  chooser.setView(view);
  const std::size_t after = heapBytes();
  RequestInfo info;
  info.group_ = state::GroupId("g");
  info.prefixHashes_ = prefixHashes(std::string(4096, 'x'), "m");
  const double choose = timeOf(200000, [&](int aRound) {
    info.prefixHashes_.back() = static_cast<std::uint64_t>(aRound);
    static_cast<void>(chooser.choose(info, kNow));
  });
  const double index = timeOf(200, [&](int) { chooser.setView(view); });
  std::printf("choice, %5u copies: %6.0f ns a choice, %8.0f ns a snapshot, "
              "%7zu bytes fixed, %6.0f bytes a copy\n",
              aCopies,
              choose,
              index,
              fixed - before,
              static_cast<double>(after - fixed) / aCopies);
}

void
measureAdmission(std::uint32_t aAccounts)
{
  const state::ServingViewPtr view = makeView(100, aAccounts);
  const std::size_t before = heapBytes();
  AccountLimiter limiter;
  limiter.configure(*view->configuration_);
  Admission admission(limiter);
  admission.setView(*view, 1);
  SloTracker tracker;
  tracker.configure(*view->configuration_);
  RequestInfo info;
  info.group_ = state::GroupId("g");
  info.deadline_ = kNow + std::chrono::hours(1);
  SloSample sample;
  sample.group_ = info.group_;
  const double admit = timeOf(200000, [&](int aRound) {
    info.account_ = state::AccountId(
      "account-" +
      std::to_string(static_cast<std::uint32_t>(aRound) % aAccounts));
    const auto now = kNow + std::chrono::microseconds(aRound);
    const AdmissionResult result = admission.admit(info, now, {}, {});
    admission.recordFirstToken(result.ticket_, now);
    admission.finish(result.ticket_, 50, now);
  });
  const double record = timeOf(200000, [&](int aRound) {
    sample.account_ = state::AccountId(
      "account-" +
      std::to_string(static_cast<std::uint32_t>(aRound) % aAccounts));
    tracker.record(sample);
  });
  std::printf("admission, %5u accounts: %6.0f ns to admit and finish, %6.0f ns "
              "to record a promise, %6.0f bytes an account\n",
              aAccounts,
              admit,
              record,
              static_cast<double>(heapBytes() - before) / aAccounts);
}

} // namespace

int
main()
{
  std::printf("bench_request_cost\n");
  for (const std::uint32_t copies : { 4U, 40U, 400U, 4000U }) {
    measureChoice(copies);
  }
  for (const std::uint32_t accounts : { 10U, 100U, 1000U, 10000U }) {
    measureAdmission(accounts);
  }
  return EXIT_SUCCESS;
}
