/// The document "catalog": the index versions that may be queried and their
/// layouts, written by the platform's indexing side.
#ifndef TREFOILMILL_WIRE_CATALOG_CODEC_H_
#define TREFOILMILL_WIRE_CATALOG_CODEC_H_

#include <string>

#include "trefoilmill/snapshot.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Reads a catalog; versions come out ascending. Fails with kBadRequest on a
/// malformed text, a version that occurs twice, or a shard without replicas.
result<snapshot_catalog> ParseCatalog(const std::string& text);

std::string WriteCatalog(const snapshot_catalog& catalog);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_CATALOG_CODEC_H_
