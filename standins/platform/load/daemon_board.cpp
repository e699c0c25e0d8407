// What the load client knows of each daemon.

#include "platform/load/daemon_board.h"

#include <boost/asio/ip/address.hpp>

#include <sstream>

namespace auburnhaven::standins {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMisses = 2; ///< Misses that take a daemon out.
constexpr milliseconds kRefusalPause(
  500); ///< Time for which a daemon that refused is not asked again.

} // namespace

DaemonBoard::DaemonBoard(const std::vector<std::string>& aAddresses)
{
  for (const std::string& text : aAddresses) {
    const std::size_t colon = text.find(':');
    const auto address = boost::asio::ip::make_address(text.substr(0, colon));
    const auto port =
      static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    Daemon daemon;
    daemon.callers_ = { address, port };
    daemon.status_ = { address, static_cast<std::uint16_t>(port + 1) };
    daemons_.push_back(std::move(daemon));
  }
}

std::size_t
DaemonBoard::choose(std::mt19937_64& aRandom) const
{
  const LoadTime now = std::chrono::system_clock::now();
  std::vector<std::size_t> inRotation;
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    const Daemon& daemon = daemons_[index];
    if (daemon.misses_ < kMisses && daemon.refusedUntil_ <= now) {
      inRotation.push_back(index);
    }
  }
  if (inRotation.empty()) {
    return std::uniform_int_distribution<std::size_t>(0, daemons_.size() - 1)(
      aRandom);
  }
  return inRotation[std::uniform_int_distribution<std::size_t>(
    0, inRotation.size() - 1)(aRandom)];
}

void
DaemonBoard::noteProbe(std::size_t aDaemon, bool aReady)
{
  daemons_[aDaemon].misses_ = aReady ? 0 : daemons_[aDaemon].misses_ + 1;
}

void
DaemonBoard::noteRefusal(std::size_t aDaemon)
{
  daemons_[aDaemon].refusedUntil_ =
    std::chrono::system_clock::now() + kRefusalPause;
}

void
DaemonBoard::noteLine(const std::string& aLine)
{
  std::istringstream words(aLine);
  std::string what;
  std::size_t index = 0;
  std::int64_t time = 0;
  if (!(words >> what >> index >> time) || index >= daemons_.size()) {
    return;
  }
  const LoadTime at{ milliseconds(time) };
  Daemon& daemon = daemons_[index];
  if (what == "stop") {
    daemon.stops_.push_back(at);
  } else if (what == "pause") {
    daemon.freezes_.push_back({ at });
  } else if (what == "resume" && !daemon.freezes_.empty()) {
    daemon.freezes_.back().to_ = at;
  }
}

std::optional<LoadTime>
DaemonBoard::stopBefore(std::size_t aDaemon, LoadTime aTime) const
{
  std::optional<LoadTime> latest;
  for (const LoadTime stop : daemons_[aDaemon].stops_) {
    const bool near =
      stop <= aTime && aTime - stop <= kGrace + milliseconds(1000);
    latest = near ? stop : latest;
  }
  return latest;
}

bool
DaemonBoard::wasFrozen(std::size_t aDaemon, LoadTime aFrom, LoadTime aTo) const
{
  for (const Freeze& freeze : daemons_[aDaemon].freezes_) {
    const bool over =
      freeze.to_ != LoadTime::max() && freeze.to_ + kContact < aFrom;
    if (freeze.from_ <= aTo && !over) {
      return true;
    }
  }
  return false;
}

void
DaemonBoard::noteOwnDelay(LoadTime aFrom, LoadTime aTo)
{
  ownDelays_.push_back({ aFrom, aTo });
}

bool
DaemonBoard::wasLate(LoadTime aFrom, LoadTime aTo) const
{
  for (const Freeze& delay : ownDelays_) {
    if (delay.from_ <= aTo && delay.to_ >= aFrom) {
      return true;
    }
  }
  return false;
}

} // namespace auburnhaven::standins
