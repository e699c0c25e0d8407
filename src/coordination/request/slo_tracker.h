// Share of requests within the promise, minute by minute.
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

/** What is measured of one request. */
struct SloSample
{
  state::GroupId group_;            ///< Serving group.
  state::AccountId account_;        ///< Client account.
  state::WallTime arrivedAt_{};     ///< When it arrived.
  state::Duration queued_{};        ///< Wait for admission.
  state::Duration firstToken_{};    ///< Time to the first token, wait included.
  state::Duration betweenTokens_{}; ///< Mean time between two tokens.
  Outcome outcome_;                 ///< How it ended.
};

/** Requests of one minute. */
struct SloMinute
{
  state::WallTime at_{};    ///< Start of the minute.
  std::uint64_t total_ = 0; ///< Requests that count.
  std::uint64_t met_ = 0;   ///< Requests within the promise.
  std::map<std::string, std::uint64_t>
    causes_; ///< Requests not within it, by cause.

  /** @return Requests in 1,000 within the promise. */
  std::uint32_t sharePermille() const;
  /** @return The most frequent cause, or empty. */
  std::string mainCause() const;
  bool operator==(const SloMinute&) const = default;
};

/** Standing of one account in one group. */
struct SloStatus
{
  state::GroupId group_;               ///< Serving group.
  state::AccountId account_;           ///< Client account.
  std::uint32_t promisedPermille_ = 0; ///< Promised share.
  SloMinute worst_;                    ///< Worst minute so far.
  SloMinute latest_;                   ///< Latest minute with requests.
  std::uint64_t closedMinutes_ = 0;    ///< Minutes with requests that are over.
  std::uint64_t violatedMinutes_ = 0;  ///< Those below the promised share.
  bool operator==(const SloStatus&) const = default;
};

/**
 * Counts, for each group and account, the requests of each minute of arrival
 * that were within the promise. Requests over the account's own limit, with an
 * unusable key, or whose caller went away do not count. Thread-safe.
 */
class SloTracker
{
public:
  /**
   * Takes the promises of a configuration.
   * @param aConfiguration Configuration in force.
   */
  void configure(const state::Configuration& aConfiguration);
  /**
   * Counts a request that ended.
   * @param aSample What was measured.
   */
  void record(const SloSample& aSample);
  /**
   * @param aNow Wall time; minutes that began two minutes earlier are over.
   * @return Standing of each account in each group, by group and account.
   */
  std::vector<SloStatus> sloStatuses(state::WallTime aNow);

private:
  using Key = std::pair<state::GroupId, state::AccountId>; ///< Whose minutes.
  /** Minutes of one account in one group. */
  struct Series
  {
    std::map<state::WallTime, SloMinute>
      openMinutes_;                 ///< Minutes not yet over.
    SloStatus status_;              ///< Minutes that are over.
    state::WallTime closedUntil_{}; ///< End of the minutes that are over.
  };

  const state::Promise& promiseOf(const state::GroupId& aGroup) const;
  std::string missCause(const SloSample& aSample) const;
  void closeMinutes(Series& aSeries, state::WallTime aBefore) const;

  mutable std::mutex mutex_; ///< Guards the following members.
  std::map<state::GroupId, state::Promise> promises_; ///< Promises by group.
  std::map<Key, Series> series_;                      ///< All minutes.
};

} // namespace auburnhaven::coordination
