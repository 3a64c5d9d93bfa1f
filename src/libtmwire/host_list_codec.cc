#include "trefoilmill/wire/host_list_codec.h"

#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

using enum presence;

/// Fields that this system does not use are left alone: the list is the
/// platform's.
host_record ReadHost(const json& value,
                     const std::string& path,
                     diagnostics& errors) {
  host_record host;
  object_reader reader(value, path, errors);
  reader.Id("host", text_rule::kName, kRequired, host.id);
  reader.Id("zone", text_rule::kName, kRequired, host.zone);
  reader.Address("peer", kRequired, host.peer);
  reader.Address("callers", kRequired, host.callers);
  reader.Address("administration", kRequired, host.administration);
  reader.Choice<host_record::state>("state",
                                    {{"live", host_record::state::kLive},
                                     {"leaving", host_record::state::kLeaving}},
                                    kRequired, host.status);
  return host;
}

}  // namespace

result<std::vector<host_record>> ParseHostList(const std::string& text) {
  const json parsed = ParseStrictJson(text);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the host list is not JSON");
  }
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  const json* list = reader.Member("hosts", kRequired);
  std::vector<host_record> hosts;
  if (list != nullptr && !list->is_array()) {
    reader.AddError("hosts", "must be a list");
  } else if (list != nullptr) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      hosts.push_back(ReadHost((*list)[i], ElementPath("hosts", i), errors));
    }
  }
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return hosts;
}

std::string WriteHostList(const std::vector<host_record>& hosts) {
  json list = json::array();
  for (const host_record& host : hosts) {
    const bool live = host.status == host_record::state::kLive;
    list.push_back({{"host", host.id.value()},
                    {"zone", host.zone.value()},
                    {"peer", AddressJson(host.peer)},
                    {"callers", AddressJson(host.callers)},
                    {"administration", AddressJson(host.administration)},
                    {"state", live ? "live" : "leaving"}});
  }
  return Dump({{"hosts", std::move(list)}});
}

}  // namespace trefoilmill
