// Persists the audit trail of one fabric domain in the store.
#pragma once

#include "coordination/group/group_audit_type.h"
#include "coordination/group/group_limits_type.h"
#include "coordination/store_port.h"
#include "state/error_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnhaven::coordination {

/**
 * @param aDomain Fabric domain that the trail covers.
 * @return Store key of the audit trail.
 */
std::string
auditKey(const state::DomainId& aDomain);

/** @return JSON text of an audit trail. Thread-safe. */
std::string
encodeAudit(const AuditTrail& aTrail);

/**
 * Decodes the JSON text of an audit trail. Thread-safe.
 * @param aText Text that encodeAudit() returned.
 * @return The trail, or InputErrors when the text is malformed.
 */
state::leaf::result<AuditTrail>
decodeAudit(std::string_view aText);

/**
 * Appends entries to the audit trail in the store. Entries are written after
 * the change that they describe, all entries of one plan in one write, and the
 * oldest entries are dropped. Entries are buffered while the store is
 * unavailable. Control thread only.
 */
class DomainAudit
{
public:
  /**
   * @param aStore Store that holds the trail; outlives this object.
   * @param aDomain Fabric domain that the trail covers.
   * @param aMaxEntries Maximum number of entries that the trail retains.
   */
  DomainAudit(Store& aStore,
              const state::DomainId& aDomain,
              std::size_t aMaxEntries);
  /** @param aTrail Entries to buffer until the next flush(), oldest first. */
  void append(const AuditTrail& aTrail);
  /** Starts a store call if entries are pending and no call is in flight: a
   * read while the stored trail is unknown, a write otherwise. */
  void flush();
  /** @return Entries of this process, whether or not they are written. */
  const AuditTrail& localTrail() const;

private:
  void read();
  void write();
  void dropOldest(AuditTrail& aTrail) const;

  Store& store_;             ///< Store that holds the trail.
  std::string key_;          ///< Store key of the trail.
  std::size_t maxEntries_;   ///< Maximum number of entries retained.
  AuditTrail local_;         ///< Entries of this process.
  AuditTrail stored_;        ///< Trail last read from or written to the store.
  AuditTrail pending_;       ///< Entries that are not written yet.
  state::Revision revision_; ///< Revision of stored_.
  bool storedIsKnown_ =
    false; ///< Whether stored_ and revision_ may be used for a write.
  bool callInFlight_ = false; ///< Whether a store call is in flight.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(
    true); ///< Expires on destruction; callbacks check it.
};

} // namespace auburnhaven::coordination
