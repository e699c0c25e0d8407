// Counters and latency summaries with their text exposition.

#include "transport/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace auburnhaven::transport {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 9> kProbabilities{ 0.1,  0.25, 0.5,  0.75, 0.9,
                                                0.95, 0.98, 0.99, 0.999 };

constexpr std::uint64_t kQuantileSamples =
  2 * kProbabilities.size() + 3; ///< Samples from which quantiles are known.

/** @return Name of a metric without its labels. */
std::string
baseName(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

/** Writes the type line when the base name differs from the last one. */
void
writeType(std::ostream& aOut,
          const std::string& aName,
          const char* aType,
          std::string& aLast)
{
  const std::string base = baseName(aName);
  if (base != aLast) {
    aOut << "# TYPE " << base << ' ' << aType << '\n';
    aLast = base;
  }
}

/** @return The metric of a name, made when there was none. Thread-safe. */
template<class Table>
auto&
findOrMake(Table& aTable, const std::string& aName)
{
  const auto found = aTable.find(aName);
  if (found != aTable.end()) {
    return found->second;
  }
  using Metric = typename Table::mapped_type::element_type;
  return aTable.emplace(aName, std::make_unique<Metric>()).first->second;
}

} // namespace

/** Holds the library's accumulator. */
struct LatencySummary::Accumulator
{
  using Set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;
  Set set_{ acc::extended_p_square_probabilities =
              kProbabilities }; ///< The accumulator.
};

LatencySummary::LatencySummary()
  : accumulator_(std::make_unique<Accumulator>())
{
}

LatencySummary::~LatencySummary() = default;

void
LatencySummary::add(state::Duration aLatency)
{
  const double seconds = std::chrono::duration<double>(aLatency).count();
  const std::lock_guard<std::mutex> lock(mutex_);
  accumulator_->set_(seconds);
}

LatencySummary::Values
LatencySummary::values() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const Accumulator::Set& set = accumulator_->set_;
  Values values;
  values.count_ = acc::count(set);
  if (values.count_ == 0) {
    return values;
  }
  values.sum_ = acc::sum(set);
  values.p50_ = acc::quantile(set, acc::quantile_probability = 0.5);
  values.p95_ = acc::quantile(set, acc::quantile_probability = 0.95);
  values.p99_ = acc::quantile(set, acc::quantile_probability = 0.99);
  return values;
}

Counter&
Metrics::counter(const std::string& aName)
{
  return *findOrMake(counters_, aName);
}

LatencySummary&
Metrics::latency(const std::string& aName)
{
  return *findOrMake(latencies_, aName);
}

void
Metrics::replaceGauges(
  const std::string& aPrefix,
  const std::vector<std::pair<std::string, double>>& aValues)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(gauges_, [&](const auto& aItem) {
    return aItem.first.starts_with(aPrefix);
  });
  for (const auto& [name, value] : aValues) {
    gauges_[name] = value;
  }
}

std::string
Metrics::expose() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  std::string last;
  for (const auto& [name, counter] : counters_) {
    writeType(out, name, "counter", last);
    out << name << ' ' << counter->value() << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    writeType(out, name, "gauge", last);
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : latencies_) {
    const LatencySummary::Values values = summary->values();
    out << "# TYPE " << name << " summary\n";
    if (values.count_ >= kQuantileSamples) {
      out << name << "{quantile=\"0.5\"} " << values.p50_ << '\n';
      out << name << "{quantile=\"0.95\"} " << values.p95_ << '\n';
      out << name << "{quantile=\"0.99\"} " << values.p99_ << '\n';
    }
    out << name << "_sum " << values.sum_ << '\n';
    out << name << "_count " << values.count_ << '\n';
  }
  return out.str();
}

} // namespace auburnhaven::transport
