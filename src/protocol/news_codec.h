// Bytes of questions for news of the store, and of their answers.
#pragma once

#include "protocol/config_patches.h"
#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/revision_type.h"

#include <map>
#include <optional>
#include <string>

namespace auburnhaven::protocol {

/** What a daemon has that asks for news. */
struct NewsQuestion
{
  state::Generation version_; ///< Version of its configuration.
  state::Revision at_;        ///< Revision of the store that it knows.
  bool operator==(const NewsQuestion&) const = default;
};

/** What another daemon knows beyond that. */
struct NewsAnswer
{
  state::Generation version_; ///< Newest version of the configuration.
  PatchWay way_;              ///< How to get there; empty when known.
  state::Revision at_;        ///< Revision for which the rest holds; none when
                              ///< there is only the configuration.
  std::map<state::VmId, std::string>
    plainInstances_; ///< Entries of all plain VMs.
  bool operator==(const NewsAnswer&) const = default;
};

/** A daemon cannot answer now, or knows nothing newer. */
struct NewsReferral
{
  state::Endpoint peer_; ///< Who may know more; without a port for nobody.
  bool operator==(const NewsReferral&) const = default;
};

/** @param aQuestion A question. @return Its bytes. Thread-safe. */
std::string
encodeNewsQuestion(const NewsQuestion& aQuestion);

/** @param aMessage Any bytes. @return The question, if they are one.
 * Thread-safe. */
std::optional<NewsQuestion>
decodeNewsQuestion(const std::string& aMessage);

/** @param aReferral A referral. @return Its bytes. Thread-safe. */
std::string
encodeNewsReferral(const NewsReferral& aReferral);

/** @param aMessage Any bytes. @return The referral, if they are one.
 * Thread-safe. */
std::optional<NewsReferral>
decodeNewsReferral(const std::string& aMessage);

/** @param aAnswer An answer. @return Its bytes. Thread-safe. */
std::string
encodeNewsAnswer(const NewsAnswer& aAnswer);

/** @param aMessage Any bytes. @return The answer, if they are one.
 * Thread-safe. */
std::optional<NewsAnswer>
decodeNewsAnswer(const std::string& aMessage);

} // namespace auburnhaven::protocol
