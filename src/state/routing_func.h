// Look-ups in the configuration of routed services.
#pragma once

#include "state/routing_type.h"

namespace auburnhaven::state {

/**
 * @param aConfig A configuration.
 * @param aService A service.
 * @return The service's entry, or null. Thread-safe.
 */
const ServiceSpec*
findService(const RoutingConfig& aConfig, const ServiceId& aService);

/**
 * @param aEngine An engine service.
 * @param aModel A model.
 * @return The model's entry, or null. Thread-safe.
 */
const ModelSpec*
findModel(const EngineSpec& aEngine, const ModelId& aModel);

/**
 * @param aModels Models, at least one.
 * @return The first one of those with the most VMs to a copy. Thread-safe.
 */
const ModelSpec&
largestModel(const std::vector<ModelSpec>& aModels);

/**
 * @param aRoute A route.
 * @return Weights of its services, in their order; equal ones when no service
 * has any. Thread-safe.
 */
std::vector<double>
serviceWeights(const Route& aRoute);

} // namespace auburnhaven::state
