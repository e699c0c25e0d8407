// Patches between texts, which also compress a text that has no base.

#include "protocol/text_patch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <cassert>
#include <memory>

namespace auburnhaven::protocol {

namespace {

constexpr int kLevel = 3;           ///< Effort of the compression.
constexpr int kShortestWindow = 10; ///< Least window, in bits of its size.
constexpr int kLongestWindow = 26;  ///< Largest window that is read, likewise.

/** Frees the library's contexts. */
struct FreeContext
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

/** @return Bits of a window that reaches from the end of the text to the
 * beginning of its base. */
int
windowBits(std::size_t aBase, std::size_t aText)
{
  const int bits = static_cast<int>(std::bit_width(aBase + aText));
  return std::clamp(bits, kShortestWindow, kLongestWindow);
}

} // namespace

std::string
makePatch(const std::string& aBase, const std::string& aText)
{
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(
    context.get(), ZSTD_c_windowLog, windowBits(aBase.size(), aText.size()));
  ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string patch(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress2(
    context.get(), patch.data(), patch.size(), aText.data(), aText.size());
  assert(ZSTD_isError(size) == 0);
  patch.resize(size);
  patch.shrink_to_fit();
  return patch;
}

std::optional<std::string>
applyPatch(const std::string& aBase,
           const std::string& aPatch,
           std::size_t aMaxBytes)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aPatch.data(), aPatch.size());
  // What has no size reads as a size beyond any limit.
  if (size > aMaxBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kLongestWindow);
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string text(size, '\0');
  const std::size_t got = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), aPatch.data(), aPatch.size());
  if (ZSTD_isError(got) != 0 || got != size) {
    return std::nullopt;
  }
  return text;
}

} // namespace auburnhaven::protocol
