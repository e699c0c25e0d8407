// Persists the audit trail of one fabric domain in the store.

#include "coordination/group/domain_audit.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

AuditEntry
decodeEntry(const Json& aJson)
{
  AuditEntry entry;
  entry.time_ = state::WallTime(
    std::chrono::milliseconds(aJson.at("time").get<std::int64_t>()));
  entry.domain_ = state::DomainId(aJson.at("domain").get<std::string>());
  entry.version_ = aJson.at("version").get<std::uint64_t>();
  entry.change_ = aJson.at("change").get<std::string>();
  entry.coordinator_ = aJson.at("coordinator").get<std::string>();
  return entry;
}

} // namespace

std::string
auditKey(const state::DomainId& aDomain)
{
  return "audit/domain/" + aDomain.value();
}

std::string
encodeAudit(const AuditTrail& aTrail)
{
  Json json = Json::array();
  for (const AuditEntry& entry : aTrail) {
    json.push_back({ { "time", entry.time_.time_since_epoch().count() },
                     { "domain", entry.domain_.value() },
                     { "version", entry.version_ },
                     { "change", entry.change_ },
                     { "coordinator", entry.coordinator_ } });
  }
  return json.dump();
}

state::leaf::result<AuditTrail>
decodeAudit(std::string_view aText)
{
  AuditTrail trail;
  try {
    for (const Json& json : Json::parse(aText)) {
      trail.push_back(decodeEntry(json));
    }
  } catch (const std::exception& error) {
    return state::leaf::new_error(
      state::InputErrors{ { { "audit trail", 0, {}, error.what() } } });
  }
  return trail;
}

DomainAudit::DomainAudit(Store& aStore,
                         const state::DomainId& aDomain,
                         std::size_t aMaxEntries)
  : store_(aStore)
  , key_(auditKey(aDomain))
  , maxEntries_(aMaxEntries)
{
}

void
DomainAudit::append(const AuditTrail& aTrail)
{
  local_.insert(local_.end(), aTrail.begin(), aTrail.end());
  pending_.insert(pending_.end(), aTrail.begin(), aTrail.end());
  dropOldest(local_);
  dropOldest(pending_);
}

void
DomainAudit::flush()
{
  if (callInFlight_ || pending_.empty()) {
    return;
  }
  if (storedIsKnown_) {
    write();
  } else {
    read();
  }
}

const AuditTrail&
DomainAudit::localTrail() const
{
  return local_;
}

void
DomainAudit::read()
{
  callInFlight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.get(
    key_, StorePriority::kOther, [this, alive](const StoreReply& aReply) {
      if (alive.expired()) {
        return;
      }
      callInFlight_ = false;
      storedIsKnown_ = aReply.status_ == StoreStatus::kOk ||
                       aReply.status_ == StoreStatus::kNotFound;
      revision_ = aReply.revision_;
      stored_ =
        state::leaf::try_handle_all([&] { return decodeAudit(aReply.value_); },
                                    [] { return AuditTrail(); });
    });
}

void
DomainAudit::write()
{
  AuditTrail next = stored_;
  for (const AuditEntry& entry : pending_) {
    if (std::find(stored_.begin(), stored_.end(), entry) == stored_.end()) {
      next.push_back(entry);
    }
  }
  dropOldest(next);
  const AuditTrail written = std::exchange(pending_, {});
  callInFlight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.compareAndSwap(key_,
                        revision_,
                        encodeAudit(next),
                        StorePriority::kOther,
                        [this, alive, next, written](const StoreReply& aReply) {
                          if (alive.expired()) {
                            return;
                          }
                          callInFlight_ = false;
                          if (aReply.status_ == StoreStatus::kOk) {
                            stored_ = next;
                            revision_ = aReply.revision_;
                            return;
                          }
                          storedIsKnown_ = false;
                          pending_.insert(
                            pending_.begin(), written.begin(), written.end());
                          dropOldest(pending_);
                        });
}

void
DomainAudit::dropOldest(AuditTrail& aTrail) const
{
  if (aTrail.size() > maxEntries_) {
    aTrail.erase(aTrail.begin(),
                 aTrail.end() - static_cast<std::ptrdiff_t>(maxEntries_));
  }
}

} // namespace auburnhaven::coordination
