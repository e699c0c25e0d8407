// Counts something for as long as an object lives.
#pragma once

#include <atomic>

namespace auburnhaven::transport {

/**
 * Adds one to a count and takes it off again at its end. Thread-safe towards
 * other users of the count.
 * @tparam Number Type of the count.
 */
template<class Number>
class ScopedCount
{
public:
  /** @param aCount Where to count; outlives this object. */
  explicit ScopedCount(std::atomic<Number>& aCount)
    : count_(aCount)
    , before_(aCount.fetch_add(1))
  {
  }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;
  /** @return The count before this object. */
  Number before() const { return before_; }

private:
  std::atomic<Number>& count_; ///< Where to count.
  Number before_;              ///< The count before this object.
};

} // namespace auburnhaven::transport
