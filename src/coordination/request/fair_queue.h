// Waiting requests of one pool in the order in which they go on.
#pragma once

#include "coordination/request/request_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

using TicketId = state::NumberId<struct TicketTag>; ///< One admitted or queued
                                                    ///< request.

/** A request that waits. */
struct QueuedRequest
{
  TicketId ticket_;              ///< Its ticket.
  state::AccountId account_;     ///< Client account.
  std::int32_t priority_ = 0;    ///< Greater goes first.
  state::TimePoint waitUntil_{}; ///< When it gives up.
};

/**
 * Queue by priority, and within a priority by weighted fair shares of the
 * client accounts: the account that got least in proportion to its weight goes
 * first, its own requests in order of arrival. Not thread-safe.
 */
class FairQueue
{
public:
  /**
   * Sets the weight of an account; accounts not set have 1.
   * @param aAccount The account.
   * @param aWeight Its weight, at least 1.
   */
  void setWeight(const state::AccountId& aAccount, std::uint32_t aWeight);
  /** @param aWaiter Request to put in. */
  void push(QueuedRequest aWaiter);
  /**
   * Takes the next request out and charges its account.
   * @param aCost Expected cost of a request.
   * @return The request, or nothing when the queue is empty.
   */
  std::optional<QueuedRequest> pop(double aCost);
  /**
   * Charges an account more or less than expected.
   * @param aAccount The account.
   * @param aCost Cost, or less than zero for one given back.
   */
  void charge(const state::AccountId& aAccount, double aCost);
  /**
   * Takes a request out.
   * @param aTicket Its ticket.
   * @return Whether it was there.
   */
  bool remove(TicketId aTicket);
  /**
   * Takes all requests out that fail a test.
   * @param aPredicate Takes a request and how many go before it; returns
   * whether to take it out.
   * @return The requests taken out.
   */
  std::vector<QueuedRequest> removeIf(
    const std::function<bool(const QueuedRequest&, std::size_t)>& aPredicate);
  /**
   * Makes room for a request in a full queue: takes the last request of the
   * least priority out when that is below the given one, else that of the
   * account with the longest share of the queue when the given account has a
   * shorter one.
   * @param aAccount Account of the request that needs room.
   * @param aPriority Its priority.
   * @return The request taken out, or nothing when none has to yield.
   */
  std::optional<QueuedRequest> evictFor(const state::AccountId& aAccount,
                                        std::int32_t aPriority);
  /**
   * @param aAccount Account of a request.
   * @param aPriority Its priority.
   * @return How many requests will go before a new one.
   */
  std::size_t countAhead(const state::AccountId& aAccount,
                         std::int32_t aPriority) const;
  /** @return Number of requests. */
  std::size_t size() const { return size_; }

private:
  using AccountQueue = std::deque<QueuedRequest>; ///< Requests of one account.
  using AccountQueues =
    std::map<state::AccountId, AccountQueue>; ///< One priority.

  double weightOf(const state::AccountId& aAccount) const;
  std::size_t countAheadInClass(const AccountQueues& aQueues,
                                const state::AccountId& aAccount,
                                std::size_t aOwnAhead) const;
  QueuedRequest removeLast(
    std::map<std::int32_t, AccountQueues>::iterator aClass,
    AccountQueues::iterator aQueue);

  std::map<std::int32_t, AccountQueues> classes_; ///< Requests by priority.
  std::map<state::AccountId, double> weights_;    ///< Weights that are set.
  std::map<state::AccountId, double> normalizedCosts_; ///< Cost by weight.
  double virtualTime_ = 0; ///< Cost by weight of the account served last.
  std::size_t size_ = 0;   ///< Number of requests.
};

} // namespace auburnhaven::coordination
