// JSON bodies of the calls to the store.

#include "protocol/store_codec.h"

#include "protocol/base64_func.h"
#include "protocol/json_reader.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::protocol {

using Json = nlohmann::json;

namespace {

constexpr char kSource[] = "store"; ///< Origin named in error messages.

} // namespace

std::string
encodeGet(const std::string& aKey)
{
  return Json{ { "key", aKey } }.dump();
}

std::string
encodeSwap(const std::string& aKey,
           state::Revision aExpected,
           const std::string& aValue)
{
  return Json{
    { "key", aKey },
    { "expected", aExpected.value() },
    { "value", toText(aValue) }
  }.dump();
}

std::string
encodeWatch(const std::string& aKey,
            state::Revision aAfter,
            state::Duration aTimeout)
{
  return Json{
    { "key", aKey },
    { "after", aAfter.value() },
    { "timeout_ms", state::countMs(aTimeout) }
  }.dump();
}

std::string
encodeAcquire(const std::string& aName,
              const std::string& aHolder,
              state::Duration aTimeToLive)
{
  return Json{
    { "name", aName },
    { "holder", aHolder },
    { "ttl_ms", state::countMs(aTimeToLive) }
  }.dump();
}

std::string
encodeRelease(const std::string& aName, const std::string& aHolder)
{
  return Json{ { "name", aName }, { "holder", aHolder } }.dump();
}

leaf::result<coordination::StoreReply>
decodeValue(std::string_view aBody)
{
  const JsonReader reader = JsonReader::parse(kSource, aBody);
  coordination::StoreReply reply;
  reply.status_ = coordination::StoreStatus::kOk;
  const std::optional<std::string> value = fromText(reader.text("value"));
  if (value) {
    reply.value_ = *value;
  } else {
    reader.fail("value", "is not base64");
  }
  reply.revision_ = state::Revision(reader.number("revision"));
  return reader.finish(std::move(reply));
}

leaf::result<coordination::StoreReply>
decodeRevision(std::string_view aBody, coordination::StoreStatus aStatus)
{
  const JsonReader reader = JsonReader::parse(kSource, aBody);
  coordination::StoreReply reply;
  reply.status_ = aStatus;
  reply.revision_ = state::Revision(reader.number("revision"));
  return reader.finish(std::move(reply));
}

leaf::result<coordination::LeaseReply>
decodeLease(std::string_view aBody, coordination::StoreStatus aStatus)
{
  const JsonReader reader = JsonReader::parse(kSource, aBody);
  coordination::LeaseReply reply;
  reply.status_ = aStatus;
  reply.holder_ = reader.text("holder");
  reply.number_ = reader.number("number");
  return reader.finish(std::move(reply));
}

} // namespace auburnhaven::protocol
