// Tracks per minute which requests met the service level objective (SLO).
#pragma once

#include "coordination/request/request_type.h"
#include "state/config_type.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace auburnhaven::coordination {

/** Measurements of one completed request. */
struct SloSample
{
  state::GroupId group_;         ///< Serving group.
  state::AccountId account_;     ///< Client account.
  state::WallTime arrivedAt_{};  ///< Time of arrival.
  state::Duration queued_{};     ///< Time in the admission queue.
  state::Duration firstToken_{}; ///< Time to first token, including queueing.
  state::Duration betweenTokens_{}; ///< Mean time between tokens.
  Outcome outcome_;                 ///< Outcome of the request.
};

/** Counters of the requests that arrived in one minute. */
struct SloMinute
{
  state::WallTime at_{};    ///< Start of the minute.
  std::uint64_t total_ = 0; ///< Requests that count toward the SLO.
  std::uint64_t met_ = 0;   ///< Requests that met the SLO.
  std::map<std::string, std::uint64_t>
    causes_; ///< Requests that missed the SLO, by cause.

  /** @return Requests in 1,000 that met the SLO; 1,000 without requests. */
  std::uint32_t sharePermille() const;
  /** @return The most frequent cause of a miss; empty if there is none. */
  std::string mainCause() const;
  bool operator==(const SloMinute&) const = default;
};

/** SLO status of one account in one serving group. */
struct SloStatus
{
  state::GroupId group_;               ///< Serving group.
  state::AccountId account_;           ///< Client account.
  std::uint32_t promisedPermille_ = 0; ///< Promised share in 1/1000.
  SloMinute worst_;                    ///< Closed minute with the lowest share.
  SloMinute latest_; ///< Latest minute with requests, closed or not.
  std::uint64_t closedMinutes_ = 0;   ///< Closed minutes with requests.
  std::uint64_t violatedMinutes_ = 0; ///< Those below the promised share.
  bool operator==(const SloStatus&) const = default;
};

/**
 * Counts per serving group, account and minute of arrival how many requests
 * met the promise of the group, which is its SLO in the configuration. Requests
 * that fail because of their caller do not count: over the rate limit of the
 * account, with an unusable idempotency key, or disconnected before the end.
 * Thread-safe.
 */
class SloTracker
{
public:
  /**
   * Applies the promises of a configuration. Drops the counters of groups that
   * are no longer configured.
   * @param aConfiguration The active configuration.
   */
  void configure(const state::Configuration& aConfiguration);
  /**
   * Counts a completed request. Ignores groups that are not configured.
   * @param aSample Measurements of the request.
   */
  void record(const SloSample& aSample);
  /**
   * Closes the minutes that began at least two minutes ago and returns the
   * status of all accounts.
   * @param aNow Wall clock time.
   * @return SLO status per group and account, in this order.
   */
  std::vector<SloStatus> sloStatuses(state::WallTime aNow);

private:
  /** Group and account. */
  using Key = std::pair<state::GroupId, state::AccountId>;
  /** Minutes of one account in one group. */
  struct Series
  {
    std::map<state::WallTime, SloMinute>
      openMinutes_;                 ///< Minutes that are still counting.
    SloStatus status_;              ///< Summary of the closed minutes.
    state::WallTime closedUntil_{}; ///< End of the last closed minute.
  };

  const state::Promise& promiseOf(const state::GroupId& aGroup) const;
  std::string missCause(const SloSample& aSample) const;
  void closeMinutes(Series& aSeries, state::WallTime aBefore) const;

  mutable std::mutex mutex_; ///< Guards the following members.
  std::map<state::GroupId, state::Promise> promises_; ///< Promises by group.
  std::map<Key, Series> series_; ///< Minutes by group and account.
};

} // namespace auburnhaven::coordination
