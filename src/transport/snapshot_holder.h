// Hands immutable snapshots from the control thread to the traffic threads.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace auburnhaven::transport {

/**
 * Newest snapshot of a kind. Thread-safe.
 * @tparam Snapshot Immutable type.
 */
template<class Snapshot>
class SnapshotHolder
{
public:
  using Pointer = std::shared_ptr<const Snapshot>; ///< Shared snapshot.

  /** @param aFirst Snapshot until the first set(); may be null. */
  explicit SnapshotHolder(Pointer aFirst = nullptr)
    : newest_(std::move(aFirst))
  {
  }
  /** @param aNext New snapshot. */
  void set(Pointer aNext) { newest_.store(std::move(aNext)); }
  /** @return Newest snapshot. */
  Pointer get() const { return newest_.load(); }

private:
  std::atomic<Pointer> newest_; ///< Newest snapshot.
};

} // namespace auburnhaven::transport
