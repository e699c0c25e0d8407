// JSON bodies of the calls to model engines and to the VM list.
#pragma once

#include "coordination/target_port.h"
#include "state/error_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::protocol {

namespace leaf = state::leaf;

/** A request to the head of a copy to generate an answer. */
struct GenerateRequest
{
  state::RequestId request_;     ///< The request.
  std::string prompt_;           ///< Prompt in UTF-8.
  std::uint32_t maxTokens_ = 0;  ///< Most tokens of the whole answer.
  std::int32_t priority_ = 0;    ///< Priority; greater goes first.
  std::uint64_t resumeFrom_ = 0; ///< Offset of the first token wanted.
  state::CopyId copy_;           ///< Copy that must answer.
  state::FencingNumber fencing_; ///< Number of the copy's assignment.
  bool operator==(const GenerateRequest&) const = default;
};

/** One line of a streamed answer. */
struct GenerateLine
{
  bool done_ = false;        ///< Whether this is the last line.
  std::uint64_t offset_ = 0; ///< Offset of the token; of the end when done.
  std::string text_;         ///< Text of the token.
  bool operator==(const GenerateLine&) const = default;
};

/** A prompt prefix that entered or left the cache of an engine. */
struct CacheEvent
{
  std::string hash_;    ///< Hash of the prefix.
  bool stored_ = false; ///< Whether it entered.
  bool operator==(const CacheEvent&) const = default;
};

/** Cache events since a position. */
struct CacheEvents
{
  std::uint64_t next_ = 0;         ///< Position to ask from next time.
  std::vector<CacheEvent> events_; ///< The events, oldest first.
  bool operator==(const CacheEvents&) const = default;
};

/** @param aOrder An order. @return Its body. Thread-safe. */
std::string
encodeOrder(const coordination::EngineOrder& aOrder);

/** @param aRequest A request. @return Its body. Thread-safe. */
std::string
encodeGenerate(const GenerateRequest& aRequest);

/** @param aRequest The request to cancel. @return Its body. Thread-safe. */
std::string
encodeCancel(const state::RequestId& aRequest);

/**
 * Decodes a report. Thread-safe.
 * @param aBody Body of the answer.
 * @return The report without its observation time, or the faults of the body.
 */
leaf::result<state::VmReport>
decodeReport(std::string_view aBody);

/**
 * Decodes one line of a streamed answer. Thread-safe.
 * @param aLine The line.
 * @return The line, or its faults.
 */
leaf::result<GenerateLine>
decodeGenerateLine(std::string_view aLine);

/**
 * Decodes cache events. Thread-safe.
 * @param aBody Body of the answer.
 * @return The events, or the faults of the body.
 */
leaf::result<CacheEvents>
decodeCacheEvents(std::string_view aBody);

/**
 * Decodes the VM list. Thread-safe.
 * @param aBody Body of the answer.
 * @return The VMs, or the faults of the body.
 */
leaf::result<std::vector<state::VmInfo>>
decodeVms(std::string_view aBody);

} // namespace auburnhaven::protocol
