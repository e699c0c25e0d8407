// Ways to targets: direct in the own zone, through a daemon in another zone.

#include "app/target_opener.h"

#include <algorithm>

namespace auburnhaven::app {

using coordination::Choice;
using transport::ForwardedRequest;

namespace {

/** @return The copy that a forwarded request means, or nothing. */
std::optional<Choice>
findCopy(const state::ServingView& aView, const ForwardedRequest& aRequest)
{
  const auto group = aView.copies_.find(aRequest.copy_.group_);
  if (group == aView.copies_.end()) {
    return std::nullopt;
  }
  const auto copy = std::find_if(
    group->second.begin(), group->second.end(), [&](const auto& aCopy) {
      return aCopy.id_ == aRequest.copy_ && aCopy.open_ &&
             aCopy.head_ == aRequest.vm_ && aCopy.fencing_ == aRequest.fencing_;
    });
  if (copy == group->second.end()) {
    return std::nullopt;
  }
  Choice choice;
  choice.vm_ = copy->head_;
  choice.copy_ = copy->id_;
  choice.zone_ = copy->zone_;
  choice.endpoint_ = copy->endpoint_;
  choice.fencing_ = copy->fencing_;
  return choice;
}

/** @return The service target that a forwarded request means, or nothing. */
std::optional<Choice>
findServiceTarget(const state::ServingView& aView,
                  const ForwardedRequest& aRequest)
{
  const auto& services = aView.configuration_->services_;
  const auto service = services.find(aRequest.call_.info_.service_);
  if (service == services.end()) {
    return std::nullopt;
  }
  const auto& targets = service->second.targets_;
  const auto target =
    std::find_if(targets.begin(), targets.end(), [&](const auto& aTarget) {
      return aTarget.vm_ == aRequest.vm_;
    });
  if (target == targets.end()) {
    return std::nullopt;
  }
  Choice choice;
  choice.vm_ = target->vm_;
  choice.zone_ = target->zone_;
  choice.endpoint_ = target->endpoint_;
  return choice;
}

} // namespace

TargetOpener::TargetOpener(transport::TrafficPool& aPool,
                           const transport::ForwardSettings& aForward)
{
  for (std::size_t index = 0; index < aPool.size(); ++index) {
    auto& context = aPool.context(index);
    clients_.push_back(
      { std::make_unique<transport::HttpClient>(context),
        std::make_unique<transport::ForwardClient>(context, aForward) });
  }
}

std::unique_ptr<transport::TargetStream>
TargetOpener::open(std::size_t aThread,
                   const Choice& aChoice,
                   const transport::TargetCall& aCall)
{
  Clients& clients = clients_[aThread];
  if (!aChoice.gateway_) {
    return transport::openLocalStream(*clients.http_, aChoice, aCall);
  }
  return clients.forward_->open(
    transport::forwardEndpointOf(aChoice.gateway_->endpoint_),
    { aCall, aChoice.vm_, aChoice.copy_, aChoice.fencing_ });
}

ForwardedTargets::ForwardedTargets(TargetOpener& aOpener,
                                   const ServingViewHolder& aViews)
  : opener_(aOpener)
  , views_(aViews)
{
}

std::unique_ptr<transport::TargetStream>
ForwardedTargets::open(std::size_t aThread, const ForwardedRequest& aRequest)
{
  const state::ServingViewPtr view = views_.get();
  if (!view) {
    return nullptr;
  }
  const auto choice = findForwardedTarget(*view, aRequest);
  if (!choice) {
    return nullptr;
  }
  return opener_.open(aThread, *choice, aRequest.call_);
}

std::optional<Choice>
findForwardedTarget(const state::ServingView& aView,
                    const ForwardedRequest& aRequest)
{
  const auto& leaving = aView.leavingVms_;
  if (std::binary_search(leaving.begin(), leaving.end(), aRequest.vm_)) {
    return std::nullopt;
  }
  return aRequest.call_.info_.service_.empty()
           ? findCopy(aView, aRequest)
           : findServiceTarget(aView, aRequest);
}

} // namespace auburnhaven::app
