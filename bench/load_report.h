// Figures that the load tool collects and prints.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace auburnhaven::bench {

/** What one thread of the load tool saw. */
struct LoadSamples
{
  std::vector<double> firstToken_;    ///< Milliseconds from the due time.
  std::vector<double> betweenTokens_; ///< Milliseconds between two tokens.
  std::map<std::string, std::uint64_t> outcomes_; ///< Requests by outcome.
  std::uint64_t tokens_ = 0;                      ///< Tokens received.

  /** Adds what another thread saw. */
  void add(const LoadSamples& aOther)
  {
    firstToken_.insert(
      firstToken_.end(), aOther.firstToken_.begin(), aOther.firstToken_.end());
    betweenTokens_.insert(betweenTokens_.end(),
                          aOther.betweenTokens_.begin(),
                          aOther.betweenTokens_.end());
    for (const auto& [outcome, count] : aOther.outcomes_) {
      outcomes_[outcome] += count;
    }
    tokens_ += aOther.tokens_;
  }
};

/** Quantiles of a series. */
struct Quantiles
{
  double p50_ = 0; ///< Median.
  double p95_ = 0; ///< 95 in 100 are not above.
  double p99_ = 0; ///< 99 in 100 are not above.
};

/** @param aSeries Samples, in any order. @return Its quantiles. */
inline Quantiles
quantilesOf(std::vector<double> aSeries)
{
  if (aSeries.empty()) {
    return {};
  }
  std::sort(aSeries.begin(), aSeries.end());
  const auto at = [&](std::size_t aPercent) {
    return aSeries[std::min(aSeries.size() - 1,
                            aSeries.size() * aPercent / 100)];
  };
  return { at(50), at(95), at(99) };
}

/** @return CPU seconds that processes have used. */
inline double
cpuSeconds(const std::vector<int>& aPids)
{
  double ticks = 0;
  for (const int pid : aPids) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int index = 0; index < 11; ++index) {
      rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

} // namespace auburnhaven::bench
