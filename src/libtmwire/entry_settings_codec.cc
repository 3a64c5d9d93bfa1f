#include "trefoilmill/wire/entry_settings_codec.h"

#include <chrono>
#include <utility>

#include "settings_text.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using enum presence;

constexpr integer_range kPorts = {0, 65535};
constexpr number_range kRatios = {0, 10};
constexpr number_range kUnitInterval = {0, 1};
constexpr number_range kSlacks = {0, 1e9};
constexpr number_range kProcessors = {0.001, 1000};
constexpr integer_range kMegabytes = {16, 1'000'000};
constexpr integer_range kDescriptors = {64, 10'000'000};
constexpr unsigned kBytesPerMegabyteLog2 = 20;
constexpr number_range kSeconds = {0.1, 3600};
constexpr time_range kTimes = {milliseconds(1), milliseconds(3'600'000)};

void ReadSocket(object_reader& reader,
                const std::string& key,
                socket_address& out) {
  std::string text;
  reader.Text(key, text_rule::kAny, kRequired, text);
  if (const auto address = ParseSocketAddress(text)) {
    out = *address;
  } else {
    reader.AddError(key, "must be an IP number and a port, as 10.0.0.1:8000");
  }
}

duration SecondsOf(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

void ReadSeconds(object_reader& reader, const std::string& key, duration& out) {
  double seconds = std::chrono::duration<double>(out).count();
  reader.Number(key, kSeconds, kOptional, seconds);
  out = SecondsOf(seconds);
}

void ReadSeeds(object_reader& reader, std::vector<std::string>& out) {
  const json* seeds = reader.Member("seeds", kOptional);
  if (seeds == nullptr || !seeds->is_array()) {
    return;
  }
  for (const json& seed : *seeds) {
    const auto address = seed.is_string()
                             ? ParseSocketAddress(seed.get<std::string>())
                             : std::nullopt;
    if (address.has_value()) {
      out.push_back(address->ip);
    } else {
      reader.AddError("seeds", "must hold addresses, as 10.0.0.1:8000");
    }
  }
}

void ReadMegabytes(object_reader& reader,
                   const std::string& key,
                   std::size_t& out) {
  std::size_t megabytes = out >> kBytesPerMegabyteLog2;
  reader.Integer(key, kMegabytes, kOptional, megabytes);
  out = megabytes << kBytesPerMegabyteLog2;
}

entry_settings ReadSettings(object_reader& reader) {
  entry_settings out;
  reader.Id("host", text_rule::kAny, kRequired, out.host);
  reader.Id("availability_zone", text_rule::kAny, kRequired, out.zone);
  ReadSocket(reader, "callers", out.callers);
  ReadSocket(reader, "readiness", out.readiness);
  ReadSocket(reader, "directory", out.directory);
  out.peers.ip = out.callers.ip;
  reader.Integer("peer_port", kPorts, kRequired, out.peers.port);
  reader.Integer("metrics_port", kPorts, kOptional, out.metrics_port);
  ReadSocket(reader, "store", out.store);
  ReadSeeds(reader, out.seed_ips);
  reader.Number("processor_share", kProcessors, kOptional, out.processor_share);
  reader.Number("processor_speed", kProcessors, kOptional, out.processor_speed);
  ReadMegabytes(reader, "memory_mb", out.memory_bytes);
  reader.Integer("max_descriptors", kDescriptors, kOptional,
                 out.max_descriptors);
  ReadSeconds(reader, "grace_s", out.grace);
  reader.Milliseconds("drain_ms", kTimes, kOptional, out.drain);
  reader.Number("extra_send_ratio", kRatios, kOptional, out.extra_sends.ratio);
  reader.Number("extra_send_slack", kSlacks, kOptional, out.extra_sends.slack);
  ReadSeconds(reader, "extra_send_window_s", out.extra_sends.window);
  reader.Number("rollout_exposure_ratio", kUnitInterval, kOptional,
                out.rollout_exposure.ratio);
  reader.Number("rollout_exposure_slack", kSlacks, kOptional,
                out.rollout_exposure.slack);
  ReadLogLevel(reader, out.log);
  return out;
}

}  // namespace

parsed_settings<entry_settings> ParseEntrySettings(const std::string& text,
                                                   const std::string& file) {
  const auto any = [](const entry_settings& /*made*/,
                      object_reader& /*reader*/) {};
  return ParseSettingsText<entry_settings>(text, file, ReadSettings, any);
}

}  // namespace trefoilmill
