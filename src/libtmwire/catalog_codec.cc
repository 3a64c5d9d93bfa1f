#include "trefoilmill/wire/catalog_codec.h"

#include <algorithm>
#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr integer_range kVersions = {0,
                                     std::numeric_limits<std::int64_t>::max()};

shard_layout ReadShard(const json& value,
                       const std::string& path,
                       diagnostics& errors) {
  shard_layout shard;
  if (!value.is_array() || value.empty()) {
    errors.Add(path, "must be a list of at least one endpoint");
    return shard;
  }
  for (const json& replica : value) {
    if (!replica.is_string() ||
        !Obeys(replica.get_ref<const std::string&>(), text_rule::kName)) {
      errors.Add(path, "must hold endpoint names only");
      continue;
    }
    const endpoint_id id(replica.get<std::string>());
    if (std::ranges::find(shard.replicas, id) != shard.replicas.end()) {
      errors.Add(path, "names \"" + id.value() + "\" twice");
      continue;
    }
    shard.replicas.push_back(id);
  }
  return shard;
}

service_layout ReadService(const json& value,
                           const std::string& path,
                           diagnostics& errors) {
  service_layout layout;
  object_reader reader(value, path, errors);
  const json* shards = reader.Member("shards", presence::kRequired);
  if (shards != nullptr && shards->is_array() && !shards->empty()) {
    for (std::size_t i = 0; i < shards->size(); ++i) {
      const std::string at = ElementPath(reader.PathOf("shards"), i);
      layout.shards.push_back(ReadShard((*shards)[i], at, errors));
    }
  } else if (shards != nullptr) {
    reader.AddError("shards", "must be a list of at least one shard");
  }
  return layout;
}

snapshot_layout ReadVersion(const json& value,
                            const std::string& path,
                            diagnostics& errors) {
  snapshot_layout layout;
  object_reader reader(value, path, errors);
  std::uint64_t version = 0;
  reader.Integer("version", kVersions, presence::kRequired, version);
  layout.version = snapshot_version(version);
  const json* services = reader.Member("services", presence::kRequired);
  if (services == nullptr) {
    return layout;
  }
  if (!services->is_object()) {
    reader.AddError("services", "must be an object");
    return layout;
  }
  for (const auto& [name, service] : services->items()) {
    const std::string at = MemberPath(reader.PathOf("services"), name);
    layout.services.emplace(service_id(name), ReadService(service, at, errors));
  }
  return layout;
}

}  // namespace

result<snapshot_catalog> ParseCatalog(const std::string& text) {
  const json parsed = ParseStrictJson(text);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the catalog is not JSON");
  }
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  const json* versions = reader.Member("versions", presence::kRequired);
  snapshot_catalog catalog;
  if (versions != nullptr && !versions->is_array()) {
    reader.AddError("versions", "must be a list");
  } else if (versions != nullptr) {
    for (std::size_t i = 0; i < versions->size(); ++i) {
      catalog.versions.push_back(
          ReadVersion((*versions)[i], ElementPath("versions", i), errors));
    }
  }
  std::ranges::sort(catalog.versions, {}, &snapshot_layout::version);
  if (std::ranges::adjacent_find(catalog.versions, {},
                                 &snapshot_layout::version) !=
      catalog.versions.end()) {
    reader.AddError("versions", "names a version twice");
  }
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return catalog;
}

std::string WriteCatalog(const snapshot_catalog& catalog) {
  json versions = json::array();
  for (const snapshot_layout& layout : catalog.versions) {
    json services = json::object();
    for (const auto& [service, shards] : layout.services) {
      json list = json::array();
      for (const shard_layout& shard : shards.shards) {
        json replicas = json::array();
        for (const endpoint_id& replica : shard.replicas) {
          replicas.push_back(replica.value());
        }
        list.push_back(std::move(replicas));
      }
      services[service.value()] = {{"shards", std::move(list)}};
    }
    versions.push_back({{"version", layout.version.value()},
                        {"services", std::move(services)}});
  }
  return Dump({{"versions", std::move(versions)}});
}

}  // namespace trefoilmill
