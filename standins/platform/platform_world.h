// The users' platform on loopback: store, workers and operator.
#pragma once

#include "platform/kv_standin.h"
#include "platform/model_worker.h"
#include "platform/plain_worker.h"
#include "platform/run_book.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** What a run consists of. */
struct PlatformOptions
{
  std::uint16_t basePort_ = 23000; ///< First port on 127.0.0.1.
  std::vector<std::string> zones_ = { "malmo", "lund", "ystad" }; ///< Zones.
  std::uint32_t workersPerZone_ = 8; ///< Model workers of a zone, one domain.
  std::uint32_t plainWorkers_ = 2;   ///< Workers of the plain service.
  std::uint32_t plainSlots_ = 6;     ///< Requests that each runs at once.
  WorkerPace pace_;                  ///< How model workers behave.
};

inline constexpr std::uint16_t kKvPort = 0;       ///< Offset of the store.
inline constexpr std::uint16_t kOperatorPort = 1; ///< Offset of the operator.
inline constexpr std::uint16_t kPlainPort = 10;   ///< Offset of the first one.
inline constexpr std::uint16_t kModelPort = 30;   ///< Offset of the first one.

/**
 * Hosts the users' platform on one thread. The operator's port takes a merge
 * patch of the configuration at "/config", and tells what was seen at
 * "/checks", "/workers" and "/runs" (of one attempt, or of a list in the body).
 */
class PlatformWorld
{
public:
  /** @param aOptions What the run consists of. */
  explicit PlatformWorld(const PlatformOptions& aOptions);
  /** Serves until SIGTERM or SIGINT. */
  void run();
  /** @return Lines that tell where everything listens. */
  std::string plan() const;

private:
  void hostWorkers();
  void handleOperator(Exchange& aExchange);
  nlohmann::json checks() const;
  nlohmann::json runsOf(const std::string& aAttempt) const;
  nlohmann::json firstConfig() const;
  void submit();

  const PlatformOptions options_; ///< What the run consists of.
  asio::io_context context_{ 1 }; ///< Event loop.
  KvStandin store_;               ///< The store.
  RunBook book_;                  ///< Runs and breaches.
  WorkerTable models_;            ///< Model workers.
  std::vector<std::unique_ptr<PlainWorker>> plains_; ///< Plain workers.
  nlohmann::json config_;                            ///< Newest configuration.
};

} // namespace auburnhaven::standins
