/// The pages of parts that this host gives to others.
#ifndef TREFOILMILL_ENTRY_PART_SERVER_H_
#define TREFOILMILL_ENTRY_PART_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "trefoilmill/verdict.h"
#include "trefoilmill_entry/object_parts.h"
#include "trefoilmill_entry/store_sync.h"

namespace trefoilmill::entry {

/// Makes each page once: after a change most hosts ask with the same request.
class part_server {
 public:
  explicit part_server(const store_sync& store) : store_(store) {}

  /// The encoded page for an encoded parts_request; fails with kBadRequest on a
  /// malformed request.
  result<std::string> PageFor(object_kind kind, const std::string& request);

 private:
  struct held_parts {
    revision at;
    object_parts whole;
  };
  struct made_page {
    object_kind kind;
    revision at;
    std::uint64_t request_hash = 0;
    std::string bytes;
  };

  const held_parts& PartsNow(object_kind kind);

  const store_sync& store_;
  std::map<object_kind, held_parts> held_;
  /// The latest pages, oldest first.
  std::deque<made_page> pages_;
};

/// The buckets of `whole` that differ from those of a request, as many as one
/// page holds.
parts_page MakePage(const object_parts& whole,
                    revision as_of,
                    const parts_request& request);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PART_SERVER_H_
