// How much one coroutine may read before the others on its thread run.
#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include <cstddef>

namespace auburnhaven::transport {

/**
 * Bounds what a coroutine reads without a wait. A peer that sends faster than
 * its bytes are read would otherwise keep the thread, since each read finds
 * more. Pieces count beside bytes, since a piece of one byte costs nearly as
 * much as a long one. Used by one coroutine at a time.
 */
class ReadTurn
{
public:
  /** Counts a piece that was read. @param aBytes Its size. */
  void note(std::size_t aBytes)
  {
    ++pieces_;
    bytes_ += aBytes;
  }
  /** @return Whether the others have to run before the next piece is read. */
  bool isOver() const { return pieces_ >= kMaxPieces || bytes_ >= kMaxBytes; }
  /** Begins the next turn. To be called when the coroutine has waited. */
  void restart()
  {
    pieces_ = 0;
    bytes_ = 0;
  }
  /** Lets the others run if the turn is over. @param aYield The coroutine. */
  void yieldIfOver(const boost::asio::yield_context& aYield)
  {
    if (isOver()) {
      restart();
      boost::asio::post(aYield);
    }
  }

private:
  static constexpr std::size_t kMaxPieces = 32; ///< Pieces of a turn.
  static constexpr std::size_t kMaxBytes =
    std::size_t{ 64 } * 1024; ///< Bytes of a turn.

  std::size_t pieces_ = 0; ///< Pieces read in this turn.
  std::size_t bytes_ = 0;  ///< Their sizes.
};

} // namespace auburnhaven::transport
