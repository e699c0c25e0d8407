// Look-ups in the configuration of routed services.

#include "state/routing_func.h"

#include <algorithm>
#include <cassert>

namespace auburnhaven::state {

namespace {

/** @return The item with an identifier, or null. */
template<class Item, class Id>
const Item*
findById(const std::vector<Item>& aItems, const Id& aId)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&](const Item& aItem) {
      return aItem.id_ == aId;
    });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const ServiceSpec*
findService(const RoutingConfig& aConfig, const ServiceId& aService)
{
  return findById(aConfig.services_, aService);
}

const ModelSpec*
findModel(const EngineSpec& aEngine, const ModelId& aModel)
{
  return findById(aEngine.models_, aModel);
}

const ModelSpec&
largestModel(const std::vector<ModelSpec>& aModels)
{
  assert(!aModels.empty());
  return *std::max_element(aModels.begin(),
                           aModels.end(),
                           [](const ModelSpec& aLeft, const ModelSpec& aRight) {
                             return aLeft.size_ < aRight.size_;
                           });
}

std::vector<double>
serviceWeights(const Route& aRoute)
{
  std::vector<double> weights;
  double sum = 0;
  for (const WeightedService& service : aRoute.services_) {
    weights.push_back(std::max(0.0, service.weight_));
    sum += weights.back();
  }
  if (sum == 0) {
    weights.assign(weights.size(), 1);
  }
  return weights;
}

} // namespace auburnhaven::state
