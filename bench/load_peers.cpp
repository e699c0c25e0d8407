// Measures processor time and bytes of a control message between daemons.

#include "transport/peer_links.h"

#include <boost/asio.hpp>

#include <cstdio>
#include <ctime>
#include <exception>

namespace {

using namespace auburnhaven;

constexpr std::size_t kSizes[] = { 100, 1000, 10000 }; ///< Message sizes.
constexpr std::uint64_t kMessages = 20000;             ///< Of each size.
constexpr std::uint64_t kBatch = 10; ///< Sent at once, as in a gossip round.
constexpr std::chrono::seconds kLimit{ 60 }; ///< Bounds a measurement.

/** @return Processor seconds of this process. */
double
cpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** @return Settings of a daemon on a port of the system's choice. */
transport::PeerLinksSettings
settings()
{
  transport::PeerLinksSettings result;
  result.listen_ = { "127.0.0.1", 0 };
  result.key_ = "key of the benchmark";
  return result;
}

/** Sends messages in batches and waits for each. @return Whether all came. */
bool
exchange(boost::asio::io_context& aContext,
         transport::PeerLinks& aFrom,
         transport::PeerLinks& aTo,
         std::size_t aSize,
         std::uint64_t aCount)
{
  const auto until = std::chrono::steady_clock::now() + kLimit;
  const std::uint64_t before = aTo.stats().received_;
  for (std::uint64_t sent = 0; sent < aCount; sent += kBatch) {
    for (std::uint64_t index = 0; index < kBatch; ++index) {
      aFrom.send(aTo.endpoint(), std::string(aSize, 'm'));
    }
    while (aTo.stats().received_ < before + sent + kBatch) {
      aContext.run_one_for(std::chrono::milliseconds(100));
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
    }
  }
  return true;
}

/** Runs all measurements. @return 0 when all messages arrived. */
int
measure()
{
  boost::asio::io_context context(1);
  transport::PeerLinks one(context, settings());
  transport::PeerLinks two(context, settings());
  if (!one.start().empty() || !two.start().empty() ||
      !exchange(context, one, two, 1, kBatch)) {
    return 1;
  }
  std::printf("bench_load_peers; both daemons in one process\n");
  std::printf("%10s %22s %22s\n", "bytes", "us CPU, both sides", "wire bytes");
  for (const std::size_t size : kSizes) {
    const double cpu = cpuSeconds();
    const std::uint64_t wire = one.stats().wireBytes_;
    if (!exchange(context, one, two, size, kMessages)) {
      return 1;
    }
    const double count = static_cast<double>(kMessages);
    std::printf("%10zu %22.2f %22.1f\n",
                size,
                (cpuSeconds() - cpu) * 1e6 / count,
                static_cast<double>(one.stats().wireBytes_ - wire) / count);
  }
  return 0;
}

} // namespace

/** @return 0 when all messages arrived. */
int
main()
{
  try {
    return measure();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_load_peers: %s\n", error.what());
    return 1;
  }
}
