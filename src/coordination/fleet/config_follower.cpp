// Follows the configuration and activates its newest generation on this daemon.

#include "coordination/fleet/config_follower.h"

#include "coordination/fleet/rendezvous_func.h"
#include "state/digest_func.h"

#include <cassert>
#include <memory>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kWatchTimeout =
  std::chrono::seconds(30); ///< Longest time that a watch stays open.
constexpr state::Duration kRetryDelay =
  std::chrono::seconds(1); ///< Delay after a failed or stale reply.
constexpr char kHeadName[] =
  "head"; ///< Name of the shared entry with the notice.

} // namespace

ConfigFollower::ConfigFollower(const FleetSettings& aSettings,
                               const state::Clock& aClock,
                               const Membership& aMembership,
                               GossipTable& aTable,
                               Store& aStore)
  : settings_(aSettings)
  , clock_(aClock)
  , membership_(aMembership)
  , table_(aTable)
  , store_(aStore)
  , loader_(aStore,
            [this](const std::string& aName, const std::string& aDigest) {
              return findDocumentText(aName, aDigest);
            })
  , inForce_(std::make_shared<state::Configuration>())
  , nextCallAt_(aClock.now() + kStartGrace)
{
  table_.subscribe(EntryKind::kConfigHead,
                   [this](const SharedEntry& aEntry) { handleNotice(aEntry); });
  table_.subscribe(
    EntryKind::kConfigDocument,
    [this](const SharedEntry& aEntry) { handleDocument(aEntry); });
}

void
ConfigFollower::onActivation(ActivationHandler aHandler)
{
  handlers_.push_back(std::move(aHandler));
}

bool
ConfigFollower::watches() const
{
  return rankOf("config/" + settings_.self_.zone_.value(),
                membership_.live(),
                settings_.self_.id_) < kConfigWatchers;
}

void
ConfigFollower::tick()
{
  if (decodePending_) {
    decodeNewest();
  }
  if (replyPending_ || clock_.now() < nextCallAt_) {
    return;
  }
  if (!watches()) {
    // The head may change unseen until this daemon is a watcher again.
    headRead_ = false;
    return;
  }
  if (headRead_) {
    watchHead();
  } else {
    readHead();
  }
}

void
ConfigFollower::scheduleRetry()
{
  nextCallAt_ = clock_.now() + kRetryDelay;
}

void
ConfigFollower::readHead()
{
  replyPending_ = true;
  store_.get(kHeadKey,
             StorePriority::kConfiguration,
             [this](const StoreReply& aReply) { handleReply(aReply); });
}

void
ConfigFollower::watchHead()
{
  replyPending_ = true;
  store_.watch(kHeadKey,
               revision_,
               kWatchTimeout,
               [this](const StoreReply& aReply) { handleReply(aReply); });
}

void
ConfigFollower::handleReply(const StoreReply& aReply)
{
  replyPending_ = false;
  if (aReply.status_ == StoreStatus::kNotFound) {
    headRead_ = true;
    return;
  }
  const std::optional<ConfigHead> head = decodeHead(aReply.value_);
  if (aReply.status_ != StoreStatus::kOk || !head) {
    scheduleRetry();
    return;
  }
  revision_ = aReply.revision_;
  headRead_ = true;
  if (head->generation_ < notice_.generation_) {
    ++staleHeads_;
    headRead_ = false;
    scheduleRetry();
    return;
  }
  if (head->generation_ > inForce_->generation_ ||
      head->generation_ > notice_.generation_) {
    loadDocuments(*head);
  }
}

void
ConfigFollower::loadDocuments(const ConfigHead& aHead)
{
  replyPending_ = true;
  loader_.load(
    aHead, [this, aHead](const std::optional<state::DocumentTexts>& aTexts) {
      replyPending_ = false;
      if (aTexts) {
        publish(aHead, *aTexts);
      } else {
        headRead_ = false;
        scheduleRetry();
      }
    });
}

std::optional<std::string>
ConfigFollower::findDocumentText(const std::string& aName,
                                 const std::string& aDigest) const
{
  const auto document = documents_.find(aName);
  if (document == documents_.end() || document->second.digest_ != aDigest) {
    return std::nullopt;
  }
  return table_.find({ EntryKind::kConfigDocument, aName })->payload_;
}

void
ConfigFollower::publish(const ConfigHead& aHead,
                        const state::DocumentTexts& aTexts)
{
  if (aHead.generation_ < notice_.generation_) {
    return;
  }
  for (const auto& [name, text] : aTexts) {
    const DocumentRef& ref = aHead.documents_.at(name);
    table_.publish({ { EntryKind::kConfigDocument, name },
                     { ref.changedAt_.value(), 0 },
                     text,
                     clock_.now() });
  }
  std::vector<std::string> removed;
  for (const auto& [name, ref] : documents_) {
    if (!aHead.documents_.contains(name)) {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    table_.publish({ { EntryKind::kConfigDocument, name },
                     { aHead.generation_.value(), 0 },
                     {},
                     clock_.now() });
  }
  const HeadNotice notice{ aHead.generation_, rootDigest(aHead.documents_) };
  table_.publish({ { EntryKind::kConfigHead, kHeadName },
                   { aHead.generation_.value(), 0 },
                   encodeNotice(notice),
                   clock_.now() });
}

void
ConfigFollower::handleNotice(const SharedEntry& aEntry)
{
  const std::optional<HeadNotice> notice = decodeNotice(aEntry.payload_);
  if (notice && notice->generation_ >= notice_.generation_) {
    notice_ = *notice;
    decodePending_ = true;
  }
}

void
ConfigFollower::handleDocument(const SharedEntry& aEntry)
{
  const std::string& name = aEntry.key_.name_;
  if (aEntry.payload_.empty()) {
    documents_.erase(name);
  } else {
    documents_[name] = { state::sha256Hex(aEntry.payload_),
                         state::Generation(aEntry.version_.major_) };
  }
  undecoded_.insert(name);
  decodePending_ = true;
}

void
ConfigFollower::decodeNewest()
{
  decodePending_ = false;
  const bool complete = notice_.generation_ > inForce_->generation_ &&
                        rootDigest(documents_) == notice_.root_;
  if (!complete) {
    return;
  }
  faults_.clear();
  for (const std::string& name : undecoded_) {
    state::removeDocument(name, decoded_);
    const std::optional<SharedEntry> entry =
      table_.find({ EntryKind::kConfigDocument, name });
    if (!entry || entry->payload_.empty()) {
      continue;
    }
    state::leaf::try_handle_all(
      [&]() -> state::leaf::result<void> {
        return state::decodeDocument(name, entry->payload_, decoded_);
      },
      [&](const state::InputErrors& aErrors) {
        faults_.insert(
          faults_.end(), aErrors.errors_.begin(), aErrors.errors_.end());
      },
      [&] {
        faults_.push_back({ name, 0, "", "cannot be decoded" });
      });
  }
  if (faults_.empty()) {
    activate();
  }
}

void
ConfigFollower::activate()
{
  assert(notice_.generation_ > inForce_->generation_);
  undecoded_.clear();
  decoded_.generation_ = notice_.generation_;
  inForce_ = std::make_shared<state::Configuration>(decoded_);
  for (const ActivationHandler& handler : handlers_) {
    handler(inForce_);
  }
}

} // namespace auburnhaven::coordination
