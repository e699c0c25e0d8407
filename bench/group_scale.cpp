// Slopes of processor time, record size and store calls over fabric domains.

#include "fakes/fake_engine_fleet.h"
#include "group_world.h"
#include "state/domain_record_codec.h"

#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace auburnhaven;
using namespace auburnhaven::bench;

namespace {

constexpr std::uint32_t kVmsPerDomain = 256;
constexpr std::uint32_t kVmsPerCopy = 32;

template<class Work>
double
microseconds(int aTimes, const Work& aWork)
{
  const auto begin = std::chrono::steady_clock::now();
  for (int time = 0; time < aTimes; ++time) {
    aWork();
  }
  const std::chrono::duration<double, std::micro> lasted =
    std::chrono::steady_clock::now() - begin;
  return lasted.count() / aTimes;
}

/** @return Facts of domains that host all their copies. */
coordination::AllocationFacts
factsOf(std::uint32_t aDomains, std::uint32_t aCopiesPerDomain)
{
  coordination::AllocationFacts facts;
  for (std::uint32_t domain = 0; domain < aDomains; ++domain) {
    const state::DomainId id("d" + std::to_string(domain));
    const state::ZoneId zone("z" + std::to_string(domain % 9));
    facts.domains_.push_back({ id, zone, kVmsPerDomain });
    for (std::uint32_t copy = 0; copy < aCopiesPerDomain; ++copy) {
      const std::uint32_t index = domain * aCopiesPerDomain + copy;
      facts.hosted_.push_back(
        { { state::GroupId("g"), index }, id, zone, kVmsPerCopy, true, true });
    }
  }
  return facts;
}

void
measureAllocation()
{
  constexpr std::uint32_t kCopiesPerDomain = 8;
  constexpr int kTimes = 20;
  for (const std::uint32_t domains : { 1U, 10U, 47U, 100U }) {
    state::Configuration configuration;
    state::ServingGroup& group = configuration.groups_[state::GroupId("g")];
    group.id_ = state::GroupId("g");
    group.vmsPerCopy_ = kVmsPerCopy;
    group.copies_ = domains * kCopiesPerDomain;
    const auto facts = factsOf(domains, kCopiesPerDomain);
    const double cost = microseconds(
      kTimes, [&] { coordination::allocateCopies(configuration, facts); });
    std::cout << "allocation over " << domains << " domains, " << group.copies_
              << " copies: " << cost << " us" << std::endl;
  }
}

void
measureDomain()
{
  constexpr int kTimes = 50;
  WorldShape shape{ 1, kVmsPerDomain, kVmsPerCopy, 7, 8, 32, 60 };
  World world(shape, false);
  world.warmUp();
  const state::DomainRecord& record = world.records().front();
  const std::string text = state::encodeDomainRecord(record);
  std::cout << "record of " << kVmsPerDomain << " VMs: " << text.size()
            << " bytes" << std::endl;
  std::cout << "encode: "
            << microseconds(kTimes, [&] { state::encodeDomainRecord(record); })
            << " us, decode: "
            << microseconds(kTimes,
                            [&] {
                              static_cast<void>(
                                state::decodeDomainRecord(text, "bench"));
                            })
            << " us" << std::endl;
  const WorldCosts costs = world.measureCosts(kTimes);
  std::cout << "history of " << kVmsPerDomain << " VMs: " << costs.history_
            << " us, plan: " << costs.plan_
            << " us, choice of loads: " << costs.loads_
            << " us, orders: " << costs.orders_ << " us" << std::endl;
}

void
measureStoreCalls()
{
  constexpr int kSeconds = 120;
  for (const int daemons : { 3, 20 }) {
    for (const int domains : { 1, 2, 4, 8 }) {
      fakes::FleetShape shape;
      shape.daemons_ = daemons;
      shape.domains_ = domains;
      shape.vmsPerDomain_ = 4;
      fakes::FakeFleet fleet(shape);
      fleet.setGroup("g", 1, static_cast<std::uint32_t>(domains), 3);
      fleet.startAll();
      fleet.run(std::chrono::seconds(90));
      const std::uint64_t reads = fleet.store_->reads_;
      const std::uint64_t writes = fleet.store_->writes_;
      fleet.run(std::chrono::seconds(kSeconds));
      const double perSecond = kSeconds;
      std::cout << daemons << " daemons, " << domains << " domains, idle: "
                << static_cast<double>(fleet.store_->reads_ - reads) / perSecond
                << " reads/s, "
                << static_cast<double>(fleet.store_->writes_ - writes) /
                     perSecond
                << " writes/s" << std::endl;
    }
  }
}

} // namespace

/** Prints all slopes. */
int
main()
{
  try {
    std::cout << std::fixed << std::setprecision(2);
    measureDomain();
    measureAllocation();
    measureStoreCalls();
  } catch (const std::exception& fault) {
    std::cout << fault.what() << std::endl;
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
