// Builds texts for tests.
#pragma once

#include <cstddef>
#include <string>

namespace auburnhaven::fakes {

/** @return A text many times in a row. */
inline std::string
repeat(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t count = 0; count < aTimes; ++count) {
    text += aText;
  }
  return text;
}

} // namespace auburnhaven::fakes
