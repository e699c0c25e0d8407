// Queue of one admission pool, ordered by priority and weighted fair shares.
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

using TicketId = state::NumberId<struct TicketTag>; ///< Identifies an admitted
                                                    ///< or queued request.

/** A request that is waiting for admission. */
struct QueuedRequest
{
  TicketId ticket_;              ///< Ticket of the request.
  state::AccountId account_;     ///< Client account.
  std::int32_t priority_ = 0;    ///< Higher values are admitted first.
  state::TimePoint waitUntil_{}; ///< End of the allowed wait.
};

/**
 * Queue ordered by strict priority, and within a priority by weighted fair
 * queueing over the client accounts: the account with the lowest cost relative
 * to its weight is served first, its own requests in order of arrival. Not
 * thread-safe.
 */
class FairQueue
{
public:
  /**
   * Sets the weight of an account; the default is 1.
   * @param aAccount The account.
   * @param aWeight The weight; 0 counts as 1.
   */
  void setWeight(const state::AccountId& aAccount, std::uint32_t aWeight);
  /**
   * Appends a request to the queue of its account and priority.
   * @param aRequest The request; its ticket must not be in the queue.
   */
  void push(QueuedRequest aRequest);
  /**
   * Removes the next request and charges its account.
   * @param aCost Expected cost of the request.
   * @return The request, or nothing if the queue is empty.
   */
  std::optional<QueuedRequest> pop(double aCost);
  /**
   * Charges an account, for example the difference between the actual and the
   * expected cost.
   * @param aAccount The account.
   * @param aCost The cost; negative for a refund.
   */
  void charge(const state::AccountId& aAccount, double aCost);
  /**
   * Removes a request without charging its account.
   * @param aTicket Ticket of the request.
   * @return Whether the request was in the queue.
   */
  bool remove(TicketId aTicket);
  /**
   * Removes all requests that match a predicate.
   * @param aPredicate Receives a request and the number of remaining requests
   * ahead of it; returns whether to remove the request.
   * @return The removed requests.
   */
  std::vector<QueuedRequest> removeIf(
    const std::function<bool(const QueuedRequest&, std::size_t)>& aPredicate);
  /**
   * Makes room for a new request in a full queue. The victim is the last
   * request of the account with the longest queue relative to its weight, in
   * the lowest queued priority. It is removed if that priority is below the
   * priority of the new request, or if both are equal and the queue of the
   * given account would still be relatively shorter with the new request.
   * @param aAccount Account of the new request.
   * @param aPriority Priority of the new request.
   * @return The removed request, or nothing if the new request has to be
   * refused.
   */
  std::optional<QueuedRequest> evictFor(const state::AccountId& aAccount,
                                        std::int32_t aPriority);
  /**
   * @param aAccount Account of a new request.
   * @param aPriority Priority of a new request.
   * @return Estimated number of queued requests that would be served before it.
   */
  std::size_t countAhead(const state::AccountId& aAccount,
                         std::int32_t aPriority) const;
  /** @return Number of queued requests. */
  std::size_t size() const { return size_; }

private:
  /** Requests of one account in order of arrival. */
  using AccountQueue = std::deque<QueuedRequest>;
  /** Requests of one priority by account. */
  using AccountQueues = std::map<state::AccountId, AccountQueue>;

  double weightOf(const state::AccountId& aAccount) const;
  std::size_t countAheadInClass(const AccountQueues& aQueues,
                                const state::AccountId& aAccount,
                                std::size_t aOwnAhead) const;
  QueuedRequest removeLast(
    std::map<std::int32_t, AccountQueues>::iterator aClass,
    AccountQueues::iterator aQueue);

  std::map<std::int32_t, AccountQueues> classes_; ///< Requests by priority.
  std::map<state::AccountId, double> weights_;    ///< Configured weights.
  /** Cost charged to each account divided by its weight. */
  std::map<state::AccountId, double> normalizedCosts_;
  /**
   * Highest normalized cost at which an account was served. An account that
   * becomes active starts at this value at least.
   */
  double virtualTime_ = 0;
  std::size_t size_ = 0; ///< Number of queued requests.
};

} // namespace auburnhaven::coordination
