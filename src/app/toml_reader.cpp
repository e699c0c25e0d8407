// Reads TOML tables into plain types by tables of field descriptors.

#include "app/toml_reader.h"

#include "state/endpoint_func.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>

namespace auburnhaven::app {

FaultList::FaultList(std::string aSource)
  : source_(std::move(aSource))
{
}

void
FaultList::add(const toml::node& aNode,
               std::string_view aKey,
               std::string aMessage)
{
  addAt(static_cast<int>(aNode.source().begin.line),
        pathTo(aKey),
        std::move(aMessage));
}

void
FaultList::addAt(int aLine, std::string aKey, std::string aMessage)
{
  errors_.push_back({ source_, aLine, std::move(aKey), std::move(aMessage) });
}

void
FaultList::note(const toml::node& aNode, std::string aMessage)
{
  const auto line = static_cast<int>(aNode.source().begin.line);
  notes_.push_back({ source_, line, pathTo(""), std::move(aMessage) });
}

void
FaultList::enter(const std::string& aKey)
{
  path_.push_back(aKey);
}

void
FaultList::leave()
{
  path_.pop_back();
}

std::string
FaultList::pathTo(std::string_view aKey) const
{
  std::string text;
  for (const std::string& key : path_) {
    text += (text.empty() ? "" : ".") + key;
  }
  if (!aKey.empty()) {
    text += text.empty() ? "" : ".";
    text += aKey;
  }
  return text;
}

std::vector<state::InputError>
FaultList::sorted() const
{
  std::vector<state::InputError> errors = errors_;
  std::stable_sort(
    errors.begin(),
    errors.end(),
    [](const state::InputError& aLeft, const state::InputError& aRight) {
      return aLeft.line_ < aRight.line_;
    });
  return errors;
}

std::optional<toml::table>
parseToml(const std::string& aText, FaultList& aFaults)
{
  toml::parse_result result = toml::parse(aText);
  if (!result) {
    const toml::parse_error& error = result.error();
    aFaults.addAt(static_cast<int>(error.source().begin.line),
                  "",
                  std::string(error.description()));
    return std::nullopt;
  }
  return std::move(result).table();
}

namespace {

/** @return Whether a text is an IPv4 or IPv6 number. */
bool
isIpNumber(const std::string& aText, bool aBracketed)
{
  in6_addr address{};
  return inet_pton(aBracketed ? AF_INET6 : AF_INET, aText.c_str(), &address) ==
         1;
}

} // namespace

std::optional<state::Endpoint>
parseEndpoint(const std::string& aText)
{
  std::optional<state::Endpoint> endpoint = state::endpointFrom(aText);
  if (!endpoint) {
    return std::nullopt;
  }
  std::string& address = endpoint->address_;
  const bool bracketed =
    address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  return isIpNumber(address, bracketed) ? endpoint : std::nullopt;
}

void
checkRange(const toml::node& aNode,
           std::int64_t aValue,
           const FieldRange& aRange,
           std::string_view aWhat,
           FaultList& aFaults)
{
  if (aValue >= aRange.least_ && aValue <= aRange.greatest_) {
    return;
  }
  std::ostringstream text;
  text << aWhat << ' ' << aValue << " is not between " << aRange.least_
       << " and " << aRange.greatest_;
  aFaults.add(aNode, "", text.str());
}

bool
expectType(const toml::node& aNode,
           bool aMatches,
           std::string_view aWanted,
           FaultList& aFaults)
{
  if (!aMatches) {
    std::ostringstream text;
    text << "must be of type " << aWanted << ", not " << aNode.type();
    aFaults.add(aNode, "", text.str());
  }
  return aMatches;
}

void
FieldCodec<std::string>::read(const toml::node& aNode,
                              const FieldRange& aRange,
                              std::string& aValue,
                              FaultList& aFaults)
{
  if (!expectType(aNode, aNode.is_string(), kType, aFaults)) {
    return;
  }
  aValue = *aNode.value<std::string>();
  const auto size = static_cast<std::int64_t>(aValue.size());
  checkRange(aNode, size, aRange, "length", aFaults);
}

void
FieldCodec<bool>::read(const toml::node& aNode,
                       const FieldRange& aRange,
                       bool& aValue,
                       FaultList& aFaults)
{
  static_cast<void>(aRange);
  if (expectType(aNode, aNode.is_boolean(), kType, aFaults)) {
    aValue = *aNode.value<bool>();
  }
}

void
FieldCodec<state::Endpoint>::read(const toml::node& aNode,
                                  const FieldRange& aRange,
                                  state::Endpoint& aValue,
                                  FaultList& aFaults)
{
  static_cast<void>(aRange);
  if (!expectType(aNode, aNode.is_string(), kType, aFaults)) {
    return;
  }
  const auto endpoint = parseEndpoint(*aNode.value<std::string>());
  if (!endpoint) {
    aFaults.add(aNode, "", "must be an IP number and a port, address:port");
    return;
  }
  aValue = *endpoint;
}

std::string
FieldCodec<state::Endpoint>::show(const state::Endpoint& aValue)
{
  std::ostringstream text;
  text << '"' << aValue << '"';
  return text.str();
}

} // namespace auburnhaven::app
