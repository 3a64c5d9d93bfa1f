/// Reads the services of a deployment: groups of the template, the
/// organisation's list, and the endpoints that follow from both.
#ifndef TREFOILMILL_LIBTMWIRE_SERVICE_READER_H_
#define TREFOILMILL_LIBTMWIRE_SERVICE_READER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "diagnostics.h"
#include "object_reader.h"
#include "trefoilmill/deployment.h"

namespace trefoilmill {

/// A zone as the parameters give it.
struct zone_place {
  zone_id zone;
  /// Where the zone's generated endpoints are; port is the first.
  std::optional<socket_address> first;
  /// False if the zone itself has errors.
  bool usable = true;
};

/// What services of one group have in common.
struct service_group {
  endpoint_limits limits;
  int weight = 1;
  /// Endpoints of one service.
  int searchers = 1;
};

class service_reader {
 public:
  service_reader(const std::vector<zone_place>& zones, diagnostics& errors);

  /// Reads `template.service_groups`.
  void ReadGroups(const json& groups, const std::string& path);

  /// Reads `parameters.services`; services with errors are left out.
  std::map<service_id, service_config> ReadServices(const json& list,
                                                    const std::string& path);

 private:
  /// One line of the organisation's list.
  struct service_entry {
    std::string path;
    std::string name;
    service_group shape;
    /// 0: one service under the plain name.
    int count = 0;
    int port_offset = 0;
    std::vector<endpoint_config> endpoints;
    /// False if its group has errors.
    bool usable = true;
  };

  std::optional<service_entry> ReadEntry(const json& value,
                                         const std::string& path);
  void ReadGroupName(object_reader& reader, service_entry& entry);
  void ReadEndpoints(object_reader& reader, service_entry& entry);
  std::vector<service_config> Generate(const service_entry& entry);
  std::vector<endpoint_config> GenerateEndpoints(const service_entry& entry,
                                                 const service_id& service,
                                                 int index);
  bool CheckUnique(const service_config& service, const std::string& path);

  const std::vector<zone_place>& zones_;
  diagnostics& errors_;
  std::map<std::string, service_group> groups_;
  std::string groups_path_;
  std::map<endpoint_id, service_id> ids_;
  std::map<socket_address, endpoint_id> addresses_;
  std::size_t generated_ = 0;
};

/// "a" to "z", then "aa" and on.
std::string LetterSuffix(int index);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_SERVICE_READER_H_
