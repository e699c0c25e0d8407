// Faults that a test or demo injects into one stand-in.

#include "fault_controls.h"

#include <nlohmann/json.hpp>

#include <array>

namespace auburnhaven::standins {

namespace {

constexpr std::chrono::milliseconds kPausePoll{
  5
}; ///< How often a paused call looks again.

/** A switch and its key. */
struct SwitchKey
{
  const char* key_;             ///< Key in JSON.
  bool FaultControls::*member_; ///< The switch.
};

/** A number and its key. */
struct NumberKey
{
  const char* key_;                      ///< Key in JSON.
  std::uint32_t FaultControls::*member_; ///< The number.
};

constexpr std::array<SwitchKey, 3> kSwitches = { {
  { "down", &FaultControls::down_ },
  { "dead", &FaultControls::dead_ },
  { "paused", &FaultControls::paused_ },
} };

constexpr std::array<NumberKey, 5> kNumbers = { {
  { "delay_ms", &FaultControls::delayMs_ },
  { "lose_answers", &FaultControls::loseAnswers_ },
  { "slow_permille", &FaultControls::slowPermille_ },
  { "load_ms", &FaultControls::loadMs_ },
  { "report_lag_ms", &FaultControls::reportLagMs_ },
} };

} // namespace

nlohmann::json
toJson(const FaultControls& aFaults)
{
  nlohmann::json json;
  for (const SwitchKey& row : kSwitches) {
    json[row.key_] = aFaults.*row.member_;
  }
  for (const NumberKey& row : kNumbers) {
    json[row.key_] = aFaults.*row.member_;
  }
  return json;
}

void
setFaults(const nlohmann::json& aJson, FaultControls& aFaults)
{
  for (const SwitchKey& row : kSwitches) {
    aFaults.*row.member_ = aJson.value(row.key_, aFaults.*row.member_);
  }
  for (const NumberKey& row : kNumbers) {
    aFaults.*row.member_ = aJson.value(row.key_, aFaults.*row.member_);
  }
}

bool
passFaults(Exchange& aExchange, const FaultControls& aFaults)
{
  if (aFaults.delayMs_ > 0) {
    aExchange.wait(std::chrono::milliseconds(aFaults.delayMs_));
  }
  while (aFaults.paused_) {
    aExchange.wait(kPausePoll);
  }
  if (aFaults.dead_) {
    aExchange.drop();
    return false;
  }
  if (aFaults.down_) {
    aExchange.reply(503, R"({"error":"down"})", true);
    return false;
  }
  return true;
}

bool
takeLostAnswer(FaultControls& aFaults)
{
  if (aFaults.loseAnswers_ == 0) {
    return false;
  }
  --aFaults.loseAnswers_;
  return true;
}

} // namespace auburnhaven::standins
