// Head of the configuration in the store and the records of its changes.
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

/** Idempotency key of an operator's submission; submitting the same one again
 * has no further effect. */
using SubmissionId = state::NameId<struct SubmissionTag>;

/** Reference to the text of a document and the generation that set it. */
struct DocumentRef
{
  std::string digest_; ///< SHA-256 of the text.
  state::Generation
    changedAt_; ///< Generation that added or replaced the document.
  bool operator==(const DocumentRef&) const = default;
};

/** Change of one document; an empty digest means that the document does not
 * exist. */
struct DocumentChange
{
  std::string name_;   ///< Name of the document.
  std::string before_; ///< Digest before the change.
  std::string after_;  ///< Digest after the change.
  bool operator==(const DocumentChange&) const = default;
};

/** Record of one change in the audit trail. */
struct ConfigChange
{
  state::Generation generation_;          ///< Generation that the change made.
  state::Generation from_;                ///< Generation that it is based on.
  SubmissionId submission_;               ///< Submission that made the change.
  std::string author_;                    ///< Who submitted it.
  std::string summary_;                   ///< Why, in the author's words.
  state::WallTime at_{};                  ///< When it was submitted.
  std::vector<DocumentChange> documents_; ///< Documents changed.
  std::string previous_; ///< SHA-256 of the previous change's record; empty for
                         ///< the first change.
  bool operator==(const ConfigChange&) const = default;
};

/** A recently committed submission. */
struct CommittedSubmission
{
  SubmissionId submission_;      ///< The submission.
  state::Generation generation_; ///< Generation that it made.
  bool operator==(const CommittedSubmission&) const = default;
};

/** Value of the single key that refers to all documents of the configuration. A
 * compare-and-swap of it commits a change. */
struct ConfigHead
{
  state::Generation generation_;                 ///< Its generation.
  std::map<std::string, DocumentRef> documents_; ///< Documents by name.
  ConfigChange change_; ///< Change that made this generation.
  std::vector<CommittedSubmission>
    recent_; ///< Last committed submissions, oldest first; bounded.
  bool operator==(const ConfigHead&) const = default;
};

/** Short form of the head that daemons gossip; does not list documents. */
struct HeadNotice
{
  state::Generation generation_; ///< Generation of the head.
  std::string root_;             ///< rootDigest() of the head's documents.
  bool operator==(const HeadNotice&) const = default;
};

/** A change that an operator submits. */
struct Submission
{
  SubmissionId id_;          ///< Recognizes the submission when it is repeated.
  std::string author_;       ///< Who submits it.
  std::string summary_;      ///< Why, in the author's words.
  state::Generation base_;   ///< Generation that it is based on.
  state::DocumentTexts put_; ///< Documents to add or replace.
  std::set<std::string> remove_; ///< Names of documents to remove.
  bool operator==(const Submission&) const = default;
};

inline constexpr char kHeadKey[] = "config/head"; ///< Store key of the head.

/** @return Store key of the text with a digest. */
std::string
documentKey(const std::string& aDigest);

/** @return Store key of a change record. The keys form a ring, so new records
 * overwrite the oldest ones. */
std::string
historyKey(state::Generation aGeneration);

/**
 * Computes a digest over the names and digests of all documents. Thread-safe.
 * @param aDocuments Documents by name.
 * @return SHA-256 in hexadecimal.
 */
std::string
rootDigest(const std::map<std::string, DocumentRef>& aDocuments);

/** @return The head as JSON. */
std::string
encodeHead(const ConfigHead& aHead);
/** @return The head, or nothing when the text is not valid. */
std::optional<ConfigHead>
decodeHead(const std::string& aText);
/** @return The change as JSON. */
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
