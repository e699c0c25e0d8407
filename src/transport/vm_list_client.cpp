// The platform's VM list over HTTP.

#include "transport/vm_list_client.h"

#include "protocol/engine_codec.h"

#include <cassert>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::uint32_t kOkStatus = 200; ///< A list.

/** @return The list of an answer, or nothing. */
std::optional<std::vector<state::VmInfo>>
listOf(const ServiceAnswer& aAnswer)
{
  if (aAnswer.status_ != kOkStatus) {
    return std::nullopt;
  }
  auto decoded = protocol::decodeVms(aAnswer.body_);
  if (!decoded) {
    return std::nullopt;
  }
  return std::move(*decoded);
}

} // namespace

HttpVmList::HttpVmList(ServiceCaller& aCaller, VmListClientSettings aSettings)
  : caller_(aCaller)
  , settings_(std::move(aSettings))
{
  assert(!settings_.endpoints_.empty());
}

void
HttpVmList::fetch(const state::ZoneId& aZone, ListHandler aHandler)
{
  const ServiceCall call{
    { "GET", "/v1/vms?zone=" + percentEncode(aZone.value()), {}, {} },
    settings_.timeout_,
    true,
    settings_.transferTimeout_
  };
  caller_.start([this, call, handler = std::move(aHandler)](
                  const boost::asio::yield_context& aYield) {
    auto list =
      listOf(caller_.callAny(settings_.endpoints_, preferred_, call, aYield));
    caller_.later([handler, result = std::move(list)] { handler(result); });
  });
}

} // namespace auburnhaven::transport
