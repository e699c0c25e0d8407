// Patches that lead from earlier versions of the configuration to the newest.

#include "protocol/config_patches.h"

#include "protocol/text_patch.h"

#include <algorithm>

namespace auburnhaven::protocol {

namespace {

constexpr std::size_t kMaxSteps = 64; ///< Changes that are kept.
constexpr std::size_t kLongWay =
  std::size_t{ 32 } * 1024; ///< Bytes of patches from which on the whole text
                            ///< may be shorter.

/** @return Bytes of all patches. */
std::size_t
bytesOf(const PatchWay& aWay)
{
  std::size_t bytes = 0;
  for (const std::string& patch : aWay.patches_) {
    bytes += patch.size();
  }
  return bytes;
}

} // namespace

void
ConfigPatches::replaced(state::Generation aFrom,
                        const std::string& aOld,
                        state::Generation aTo,
                        const std::string& aNew)
{
  if (unasked_ >= kUnaskedSteps) {
    steps_.clear();
    whole_.reset();
    return;
  }
  ++unasked_;
  if (!steps_.empty() && steps_.back().to_ != aFrom) {
    steps_.clear();
  }
  steps_.push_back({ aFrom, aTo, makePatch(aOld, aNew) });
  if (steps_.size() > kMaxSteps) {
    steps_.pop_front();
  }
}

PatchWay
ConfigPatches::wayFrom(state::Generation aKnown,
                       state::Generation aNewest,
                       const std::string& aText)
{
  unasked_ = 0;
  PatchWay way = stepsFrom(aKnown, aNewest);
  if (!way.patches_.empty() && bytesOf(way) < kLongWay) {
    return way;
  }
  PatchWay whole{ {}, { wholePatch(aNewest, aText) } };
  const bool shorter = way.patches_.empty() || bytesOf(whole) < bytesOf(way);
  return shorter ? whole : way;
}

PatchWay
ConfigPatches::stepsFrom(state::Generation aKnown,
                         state::Generation aNewest) const
{
  PatchWay way{ aKnown, {} };
  if (steps_.empty() || steps_.back().to_ != aNewest) {
    return way;
  }
  const auto first =
    std::find_if(steps_.begin(), steps_.end(), [&](const Step& aStep) {
      return aStep.from_ == aKnown;
    });
  for (auto step = first; step != steps_.end(); ++step) {
    way.patches_.push_back(step->patch_);
  }
  return way;
}

const std::string&
ConfigPatches::wholePatch(state::Generation aNewest, const std::string& aText)
{
  if (!whole_ || whole_->version_ != aNewest) {
    whole_ = Whole{ aNewest, makePatch({}, aText) };
  }
  return whole_->patch_;
}

} // namespace auburnhaven::protocol
