// Options of the load client.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** What the load client does. */
struct LoadOptions
{
  std::vector<std::string> daemons_;     ///< Address and port for callers.
  std::string operator_;                 ///< Address and port of the operator.
  std::string readyPath_ = "/v1/readyz"; ///< Path of the balancer's question.
  std::string key_ = "key-of-shop-0";    ///< API key.
  std::vector<std::string> models_ = { "large", "small" }; ///< Models.
  std::uint32_t connections_ = 40;      ///< Connections at once.
  std::uint64_t seed_ = 1;              ///< Seed of all choices.
  std::uint32_t slowPercent_ = 20;      ///< Connections that read slowly.
  std::uint32_t halfClosePercent_ = 20; ///< Connections that close their
                                        ///< sending side when a header says
                                        ///< that the connection closes.
  std::uint32_t pipelinePercent_ = 10;  ///< Connections that send two
                                        ///< lookups at once.
  std::uint32_t bodyBytes_ = 32 * 1024; ///< Largest body of a lookup.
  std::uint32_t events_ = 100;          ///< Most events of a usual stream.
};

} // namespace auburnhaven::standins
