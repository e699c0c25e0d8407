// Head of the configuration in the store and the record of each change.
#pragma once

#include "state/config_codec.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Identifies one submission of an operator; repeating it is harmless. */
using SubmissionId = state::NameId<struct SubmissionTag>;

/** Where the text of a document is and since when. */
struct DocumentRef
{
  std::string digest_;          ///< SHA-256 of the text.
  state::Generation changedAt_; ///< Generation that put it in.
  bool operator==(const DocumentRef&) const = default;
};

/** Change of one document; an empty digest means that there is none. */
struct DocumentChange
{
  std::string name_;   ///< Name of the document.
  std::string before_; ///< Digest before the change.
  std::string after_;  ///< Digest after the change.
  bool operator==(const DocumentChange&) const = default;
};

/** Record of one change for the audit trail. */
struct ConfigChange
{
  state::Generation generation_;          ///< Generation that it made.
  state::Generation from_;                ///< Generation that it was made from.
  SubmissionId submission_;               ///< The submission.
  std::string author_;                    ///< Who submitted it.
  std::string summary_;                   ///< Why, in the author's words.
  state::WallTime at_{};                  ///< When it was submitted.
  std::vector<DocumentChange> documents_; ///< What it changed.
  std::string previous_; ///< SHA-256 of the record of the change before.
  bool operator==(const ConfigChange&) const = default;
};

/** A submission that was committed a short while ago. */
struct CommittedSubmission
{
  SubmissionId submission_;      ///< The submission.
  state::Generation generation_; ///< Generation that it made.
  bool operator==(const CommittedSubmission&) const = default;
};

/** The one key that names the configuration; swapping it commits a change. */
struct ConfigHead
{
  state::Generation generation_;                 ///< Its generation.
  std::map<std::string, DocumentRef> documents_; ///< Documents by name.
  ConfigChange change_;                          ///< Change that made it.
  std::vector<CommittedSubmission> recent_;      ///< Newest submissions, oldest
                                                 ///< first; bounded.
  bool operator==(const ConfigHead&) const = default;
};

/** Head as it spreads among daemons: names no documents. */
struct HeadNotice
{
  state::Generation generation_; ///< Generation.
  std::string root_;             ///< Digest of all names and digests.
  bool operator==(const HeadNotice&) const = default;
};

/** A change that an operator submits. */
struct Submission
{
  SubmissionId id_;              ///< Identifies it when it is repeated.
  std::string author_;           ///< Who submits it.
  std::string summary_;          ///< Why, in the author's words.
  state::Generation base_;       ///< Generation that it was made from.
  state::DocumentTexts put_;     ///< Documents to add or replace.
  std::set<std::string> remove_; ///< Names of documents to remove.
  bool operator==(const Submission&) const = default;
};

inline constexpr char kHeadKey[] = "config/head"; ///< Key of the head.

/** @return Key of a document's text. */
std::string
documentKey(const std::string& aDigest);

/** @return Key of the record of a change; keys are used again in a ring. */
std::string
historyKey(state::Generation aGeneration);

/**
 * Digests the names and digests of all documents. Thread-safe.
 * @param aDocuments Documents by name.
 * @return SHA-256 in hexadecimal.
 */
std::string
rootDigest(const std::map<std::string, DocumentRef>& aDocuments);

/** @return JSON of a head. */
std::string
encodeHead(const ConfigHead& aHead);
/** @return The head, or nothing when the text is not valid. */
std::optional<ConfigHead>
decodeHead(const std::string& aText);
/** @return JSON of a change. */
std::string
encodeChange(const ConfigChange& aChange);
/** @return The change, or nothing when the text is not valid. */
std::optional<ConfigChange>
decodeChange(const std::string& aText);
/** @return Payload of a kConfigHead entry. */
std::string
encodeNotice(const HeadNotice& aNotice);
/** @return The notice, or nothing when the payload is not valid. */
std::optional<HeadNotice>
decodeNotice(const std::string& aPayload);

} // namespace auburnhaven::coordination
