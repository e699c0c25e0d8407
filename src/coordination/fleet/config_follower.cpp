// Brings the newest configuration into force on this daemon.

#include "coordination/fleet/config_follower.h"

#include "coordination/fleet/rendezvous_func.h"
#include "state/digest_func.h"

#include <cassert>
#include <memory>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kWatchTimeout =
  std::chrono::seconds(30); ///< Longest wait of a watch.
constexpr state::Duration kRetryDelay =
  std::chrono::seconds(1);           ///< Time before the store is called again.
constexpr char kHeadName[] = "head"; ///< Name of the notice's entry.

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
  , askAt_(aClock.now() + kStartGrace)
{
  table_.subscribe(EntryKind::kConfigHead,
                   [this](const SharedEntry& aEntry) { takeNotice(aEntry); });
  table_.subscribe(EntryKind::kConfigDocument,
                   [this](const SharedEntry& aEntry) { takeDocument(aEntry); });
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
  if (dirty_) {
    assemble();
  }
  if (waiting_ || clock_.now() < askAt_) {
    return;
  }
  if (!watches()) {
    // When the turn comes back, the head may have changed unseen.
    read_ = false;
    return;
  }
  if (read_) {
    watchHead();
  } else {
    readHead();
  }
}

void
ConfigFollower::delay()
{
  askAt_ = clock_.now() + kRetryDelay;
}

void
ConfigFollower::readHead()
{
  waiting_ = true;
  store_.get(kHeadKey,
             StorePriority::kConfiguration,
             [this](const StoreReply& aReply) { takeReply(aReply); });
}

void
ConfigFollower::watchHead()
{
  waiting_ = true;
  store_.watch(kHeadKey,
               revision_,
               kWatchTimeout,
               [this](const StoreReply& aReply) { takeReply(aReply); });
}

void
ConfigFollower::takeReply(const StoreReply& aReply)
{
  waiting_ = false;
  if (aReply.status_ == StoreStatus::kNotFound) {
    read_ = true;
    return;
  }
  const std::optional<ConfigHead> head = decodeHead(aReply.value_);
  if (aReply.status_ != StoreStatus::kOk || !head) {
    delay();
    return;
  }
  revision_ = aReply.revision_;
  read_ = true;
  if (head->generation_ < notice_.generation_) {
    ++staleHeads_;
    read_ = false;
    delay();
    return;
  }
  if (head->generation_ > inForce_->generation_ ||
      head->generation_ > notice_.generation_) {
    takeHead(*head);
  }
}

void
ConfigFollower::takeHead(const ConfigHead& aHead)
{
  waiting_ = true;
  loader_.load(
    aHead, [this, aHead](const std::optional<state::DocumentTexts>& aTexts) {
      waiting_ = false;
      if (aTexts) {
        publish(aHead, *aTexts);
      } else {
        read_ = false;
        delay();
      }
    });
}

std::optional<std::string>
ConfigFollower::findDocumentText(const std::string& aName,
                                 const std::string& aDigest) const
{
  const auto held = held_.find(aName);
  if (held == held_.end() || held->second.digest_ != aDigest) {
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
  std::vector<std::string> gone;
  for (const auto& [name, ref] : held_) {
    if (!aHead.documents_.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const std::string& name : gone) {
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
ConfigFollower::takeNotice(const SharedEntry& aEntry)
{
  const std::optional<HeadNotice> notice = decodeNotice(aEntry.payload_);
  if (notice && notice->generation_ >= notice_.generation_) {
    notice_ = *notice;
    dirty_ = true;
  }
}

void
ConfigFollower::takeDocument(const SharedEntry& aEntry)
{
  const std::string& name = aEntry.key_.name_;
  if (aEntry.payload_.empty()) {
    held_.erase(name);
  } else {
    held_[name] = { state::sha256Hex(aEntry.payload_),
                    state::Generation(aEntry.version_.major_) };
  }
  changed_.insert(name);
  dirty_ = true;
}

void
ConfigFollower::assemble()
{
  dirty_ = false;
  const bool complete = notice_.generation_ > inForce_->generation_ &&
                        rootDigest(held_) == notice_.root_;
  if (!complete) {
    return;
  }
  faults_.clear();
  for (const std::string& name : changed_) {
    state::removeDocument(name, next_);
    const std::optional<SharedEntry> entry =
      table_.find({ EntryKind::kConfigDocument, name });
    if (!entry || entry->payload_.empty()) {
      continue;
    }
    state::leaf::try_handle_all(
      [&]() -> state::leaf::result<void> {
        return state::decodeDocument(name, entry->payload_, next_);
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
    force();
  }
}

void
ConfigFollower::force()
{
  assert(notice_.generation_ > inForce_->generation_);
  changed_.clear();
  next_.generation_ = notice_.generation_;
  inForce_ = std::make_shared<state::Configuration>(next_);
  for (const ActivationHandler& handler : handlers_) {
    handler(inForce_);
  }
}

} // namespace auburnhaven::coordination
