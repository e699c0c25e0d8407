// Patches that lead from earlier versions of the configuration to the newest.

#include "protocol/config_patches.h"

#include "protocol/text_patch.h"

#include <algorithm>

namespace auburnhaven::protocol {

namespace {

constexpr std::size_t kMaxSteps = 64; ///< Changes that are kept.

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
  const auto first =
    std::find_if(steps_.begin(), steps_.end(), [&](const Step& aStep) {
      return aStep.from_ == aKnown;
    });
  if (first != steps_.end() && steps_.back().to_ == aNewest) {
    PatchWay way{ aKnown, {} };
    for (auto step = first; step != steps_.end(); ++step) {
      way.patches_.push_back(step->patch_);
    }
    return way;
  }
  if (!whole_ || whole_->version_ != aNewest) {
    whole_ = Whole{ aNewest, makePatch({}, aText) };
  }
  return { {}, { whole_->patch_ } };
}

} // namespace auburnhaven::protocol
