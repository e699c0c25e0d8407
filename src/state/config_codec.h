// Canonical JSON of configuration documents.
#pragma once

#include "state/config_type.h"
#include "state/error_type.h"

#include <map>
#include <string>
#include <string_view>

namespace auburnhaven::state {

inline constexpr std::string_view kPolicyDocument =
  "policy"; ///< Name of the document of the system policy.

/** Texts of documents by name. */
using DocumentTexts = std::map<std::string, std::string>;

/** @return Name of the document of a serving group. */
std::string
documentName(const GroupId& aId);
/** @return Name of the document of a client account. */
std::string
documentName(const AccountId& aId);
/** @return Name of the document of a plain service. */
std::string
documentName(const ServiceId& aId);

/**
 * Encodes a document as JSON with sorted keys and no blanks, so that equal
 * documents have equal texts. Thread-safe.
 * @param aDocument The document.
 * @return The text.
 */
std::string
encodeDocument(const ServingGroup& aDocument);
/** @copydoc encodeDocument(const ServingGroup&) */
std::string
encodeDocument(const ClientAccount& aDocument);
/** @copydoc encodeDocument(const ServingGroup&) */
std::string
encodeDocument(const PlainService& aDocument);
/** @copydoc encodeDocument(const ServingGroup&) */
std::string
encodeDocument(const SystemPolicy& aDocument);

/**
 * Encodes all documents of a configuration. Thread-safe.
 * @param aConfiguration The configuration.
 * @return Text of each document by name.
 */
DocumentTexts
encodeConfiguration(const Configuration& aConfiguration);

/**
 * Decodes one document and puts it into a configuration. Thread-safe.
 * @param aName Name of the document; its part before '/' tells the kind.
 * @param aText Text of the document.
 * @param aConfiguration Configuration to change; unchanged on errors.
 * @return Nothing, or InputErrors with all faults found.
 */
leaf::result<void>
decodeDocument(const std::string& aName,
               const std::string& aText,
               Configuration& aConfiguration);

/**
 * Takes a document out of a configuration; the policy becomes the default.
 * @param aName Name of the document.
 * @param aConfiguration Configuration to change.
 */
void
removeDocument(const std::string& aName, Configuration& aConfiguration);

/**
 * Decodes a whole configuration. Thread-safe.
 * @param aGeneration Its generation.
 * @param aTexts Text of each document by name.
 * @return The configuration, or InputErrors with the faults of all documents.
 */
leaf::result<Configuration>
decodeConfiguration(Generation aGeneration, const DocumentTexts& aTexts);

} // namespace auburnhaven::state
