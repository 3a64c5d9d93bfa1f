#include "trefoilmill/wire/settings_codec.h"

#include <string_view>
#include <utility>

#include "settings_text.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

constexpr time_range kStoreTimeouts = {milliseconds(1), milliseconds(60000)};
constexpr integer_range kTimelineCapacities = {0, 1000000};
constexpr integer_range kSeeds = {0, std::numeric_limits<std::int64_t>::max()};

void ReadAdvertised(object_reader& reader,
                    const std::string& key,
                    std::optional<socket_address>& out) {
  if (reader.Member(key, presence::kOptional) == nullptr) {
    return;
  }
  reader.Address(key, presence::kRequired, out.emplace());
}

daemon_settings ReadSettings(object_reader& reader) {
  using enum presence;
  daemon_settings out;
  reader.Id("organisation", text_rule::kName, kRequired, out.organisation);
  reader.Id("host", text_rule::kName, kRequired, out.host);
  reader.Id("zone", text_rule::kName, kRequired, out.zone);
  reader.Address("callers", kRequired, out.callers);
  reader.Address("administration", kRequired, out.administration);
  reader.Address("peers", kRequired, out.peers);
  ReadAdvertised(reader, "advertised_callers", out.advertised_callers);
  ReadAdvertised(reader, "advertised_peers", out.advertised_peers);
  reader.Address("store", kRequired, out.store);
  reader.Addresses("seed_peers", kOptional, out.seed_peers);
  reader.Milliseconds("store_timeout_ms", kStoreTimeouts, kOptional,
                      out.store_timeout);
  ReadLogLevel(reader, out.log);
  reader.Text("log_file", text_rule::kAny, kOptional, out.log_file);
  reader.Integer("timeline_capacity", kTimelineCapacities, kOptional,
                 out.timeline_capacity);
  reader.Integer("seed", kSeeds, kOptional, out.seed);
  return out;
}

/// The daemon listens on three addresses, which must differ.
void CheckOwnAddresses(const daemon_settings& settings, object_reader& reader) {
  if (settings.administration == settings.callers) {
    reader.AddError("administration", "must differ from \"callers\"");
  }
  if (settings.peers == settings.callers) {
    reader.AddError("peers", "must differ from \"callers\"");
  }
  if (settings.peers == settings.administration) {
    reader.AddError("peers", "must differ from \"administration\"");
  }
}

}  // namespace

parsed_settings<daemon_settings> ParseDaemonSettings(const std::string& text,
                                                     const std::string& file) {
  return ParseSettingsText<daemon_settings>(text, file, ReadSettings,
                                            CheckOwnAddresses);
}

std::string_view ToString(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace trefoilmill
