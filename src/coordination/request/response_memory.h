// Bounds the bytes of responses that are held for all callers together.
#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>

namespace auburnhaven::coordination {

/**
 * Bounds the sum of the responses that arrive at the same time and are
 * delivered only when they are whole. It answers the load of targets that send
 * bytes without end: when the sum exceeds the limit, the largest response that
 * is not whole is given up, since sound ones beside a flood are smaller.
 *
 * Thread-safe. Must outlive its shares.
 */
class ResponseMemory
{
public:
  /** The bytes of one response. Used by one thread. */
  class Share
  {
  public:
    /** @param aMemory Memory that the bytes count for; null for no bound. */
    explicit Share(ResponseMemory* aMemory);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /**
     * Sets how many bytes the response takes.
     * @param aBytes All its bytes.
     * @return Whether it may go on; otherwise its bytes must be freed at once.
     */
    bool hold(std::size_t aBytes);
    /** Notes that the response is whole, so that it is no longer given up. */
    void complete();
    /** @return Whether the response was given up for others. */
    bool isGivenUp() const { return givenUp_; }

  private:
    friend class ResponseMemory;

    ResponseMemory* const memory_;       ///< Memory, or null.
    std::size_t bytes_ = 0;              ///< Guarded by the memory's mutex.
    bool complete_ = false;              ///< Guarded by the memory's mutex.
    std::atomic<bool> givenUp_{ false }; ///< Set under the memory's mutex.
  };

  /** @param aMaxBytes Most bytes that are held, apart from those of responses
   * that have been given up and are about to be freed. */
  explicit ResponseMemory(std::size_t aMaxBytes)
    : maxBytes_(aMaxBytes)
  {
  }
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  /** @return Bytes held by responses that have not been given up. */
  std::size_t heldBytes() const;

private:
  void giveUpLargest();

  const std::size_t maxBytes_; ///< Most bytes that are held.
  mutable std::mutex mutex_;   ///< Guards the following members.
  std::size_t held_ = 0;       ///< Bytes of shares that are not given up.
  std::set<Share*> shares_;    ///< All shares.
};

} // namespace auburnhaven::coordination
