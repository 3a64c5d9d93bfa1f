/// What hosts tell each other of the platform's objects that they have in
/// force: one revision for each kind of object, in the form of a document
/// digest.
#ifndef TREFOILMILL_ENTRY_OBJECT_DIGESTS_H_
#define TREFOILMILL_ENTRY_OBJECT_DIGESTS_H_

#include <optional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/version/stored_object.h"
#include "trefoilmill_entry/store_sync.h"

namespace trefoilmill::entry {

/// The document that stands for a kind in digests.
document_id DocumentIdOf(object_kind kind);

/// The kind that a document stands for; nullopt for any other document.
std::optional<object_kind> KindOf(const document_id& document);

/// The digests of all kinds that this host has a copy of.
std::vector<document_digest> DigestsOf(const store_sync& store);

/// The revision that `digests` state for a kind; nullopt if they state none.
std::optional<revision> FindRevision(
    const std::vector<document_digest>& digests,
    object_kind kind);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_OBJECT_DIGESTS_H_
