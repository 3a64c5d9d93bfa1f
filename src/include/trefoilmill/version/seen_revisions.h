/// Which changes of the store this host has seen, of whatever kind of object.
#ifndef TREFOILMILL_VERSION_SEEN_REVISIONS_H_
#define TREFOILMILL_VERSION_SEEN_REVISIONS_H_

#include <set>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// The store counts the changes of all kinds with one revision. If all between
/// two revisions are of other kinds, a kind has not changed between them, and
/// the store need not be asked.
class seen_revisions {
 public:
  /// A change was written at `at`.
  void Add(revision at);
  /// Whether every change after `from` up to `to` has been seen. False if they
  /// are of different eras.
  bool HasAll(revision from, revision to) const;

 private:
  std::set<revision> seen_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_SEEN_REVISIONS_H_
