// What the engines of one copy see of each other.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>

namespace auburnhaven::standins {

/** State of one engine that other engines read. Thread-safe. */
struct EnginePresence
{
  std::atomic<bool> alive_{ true };      ///< Neither dead nor paused.
  std::atomic<bool> ready_{ false };     ///< Has loaded what its role asks for.
  std::atomic<std::uint64_t> copy_{ 0 }; ///< Hash of its copy, 0 for none.
};

/** Presence of every engine by port; filled before any thread starts. */
using PresenceBoard = std::map<std::uint16_t, EnginePresence>;

} // namespace auburnhaven::standins
