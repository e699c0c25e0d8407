// Audit trail of one fabric domain, kept in the store.
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
 * @param aDomain A fabric domain.
 * @return Key of its audit trail in the store.
 */
std::string
auditKey(const state::DomainId& aDomain);

/**
 * Encodes a trail as JSON text. Thread-safe.
 * @param aTrail The trail.
 * @return The text.
 */
std::string
encodeAudit(const AuditTrail& aTrail);

/**
 * Decodes a trail. Thread-safe.
 * @param aText The text.
 * @return The trail, or InputErrors.
 */
state::leaf::result<AuditTrail>
decodeAudit(std::string_view aText);

/**
 * Appends changes to the trail in the store: after the change itself, one write
 * for all changes of one plan, the oldest entries dropped. Changes wait here
 * while the store is down. Control thread only.
 */
class DomainAudit
{
public:
  /**
   * @param aStore The store.
   * @param aDomain The fabric domain.
   * @param aEntries Entries kept.
   */
  DomainAudit(Store& aStore,
              const state::DomainId& aDomain,
              std::size_t aEntries);
  /** @param aTrail Changes to append. */
  void append(const AuditTrail& aTrail);
  /** Starts a write when changes wait and none is under way. */
  void flush();
  /** @return Changes of this process, written or not. */
  const AuditTrail& localTrail() const;

private:
  void read();
  void write();
  void bound(AuditTrail& aTrail) const;

  Store& store_;             ///< The store.
  std::string key_;          ///< Key of the trail.
  std::size_t entries_;      ///< Entries kept.
  AuditTrail own_;           ///< Changes of this process.
  AuditTrail stored_;        ///< Trail last known in the store.
  AuditTrail waiting_;       ///< Changes not written yet.
  state::Revision revision_; ///< Revision last known.
  bool known_ = false;       ///< Whether the stored trail is known.
  bool underWay_ = false;    ///< Whether a call is under way.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
