// JSON of the model engines' generate call.
#pragma once

#include "protocol/generate_type.h"

#include <string>
#include <string_view>

namespace auburnhaven::protocol {

/**
 * @param aRequest The call.
 * @return Its body.
 */
std::string
encodeGenerate(const GenerateRequest& aRequest);

/**
 * @param aRequest The call to end.
 * @return Body of the cancel call.
 */
std::string
encodeCancel(const state::RequestId& aRequest);

/**
 * @param aLine One line of the answer.
 * @return What it says.
 */
GenerateLine
decodeGenerateLine(std::string_view aLine);

} // namespace auburnhaven::protocol
