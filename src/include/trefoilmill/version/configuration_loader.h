/// Builds the tables of a configuration from its parts, a bounded amount of
/// work at a time, and only for the parts that differ from those of the version
/// before.
#ifndef TREFOILMILL_VERSION_CONFIGURATION_LOADER_H_
#define TREFOILMILL_VERSION_CONFIGURATION_LOADER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/part_set.h"
#include "trefoilmill/version/route_table.h"

namespace trefoilmill {

/// A part that says nothing to this system.
struct part_without_effect {};

/// The list of organisations is there and has no element, so that no key is
/// valid. Without a list callers need no key.
struct empty_organisation_list {};

/// What one part of a configuration says.
using configuration_part = std::variant<part_without_effect,
                                        empty_organisation_list,
                                        config_version,
                                        caller_limits,
                                        shared_route,
                                        shared_service,
                                        shared_organisation>;

/// Moves one working table from version to version. A newer target replaces an
/// unfinished one at once: what has been decoded stays, as far as the newer one
/// holds it too, so that versions in quick succession do not start the work
/// over.
class configuration_loader {
 public:
  /// Decodes one part; fails with the reason if it is malformed.
  using decoder = std::function<result<configuration_part>(const part&)>;

  /// What a finished target changed.
  struct loaded {
    std::shared_ptr<const route_table> table;
    revision at;
    std::size_t changed_parts = 0;
    bool services_changed = false;
    bool organisations_changed = false;
  };
  /// The target cannot be read, and is given up.
  struct refused {
    revision at;
    failure error;
  };
  /// The target is of the version in force or an older one, and is given up.
  struct outdated {
    revision at;
    config_version version;
  };
  /// More steps are needed.
  struct in_progress {};
  using outcome_of_step = std::variant<in_progress, loaded, refused, outdated>;

  explicit configuration_loader(decoder decode);

  /// Aims at the configuration that `target` holds, written at revision `at`.
  void SetTarget(part_set target, revision at);
  /// Whether Step() has something to do.
  bool has_target() const { return target_.has_value(); }
  /// Decodes and applies at most `max_parts` parts of the target.
  outcome_of_step Step(std::size_t max_parts);

 private:
  struct target {
    part_set parts;
    revision at;
    /// The parts that the working table lacks, and the next of them to apply.
    std::vector<shared_part> missing;
    std::size_t next = 0;
    bool version_checked = false;
  };

  /// Gives the target up if its version is not above the one in force.
  std::optional<outcome_of_step> CheckVersion();
  /// Takes the parts out of the working table that the target lacks.
  void RemoveParts(const std::vector<part_digest>& removed);
  result<void> AddPart(const shared_part& added);
  outcome_of_step Refuse(failure error);
  outcome_of_step Finish();

  decoder decode_;
  std::optional<target> target_;
  /// What the working table holds.
  part_set working_parts_;
  route_table working_table_;
  std::unordered_map<part_digest, configuration_part> decoded_;
  /// What the working table's parts say of their version, if they do.
  std::optional<config_version> working_version_;
  /// Version of the table that was finished last.
  std::optional<config_version> in_force_;
  /// Changes of the working table since then.
  std::size_t changed_parts_ = 0;
  bool services_changed_ = false;
  bool organisations_changed_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_CONFIGURATION_LOADER_H_
