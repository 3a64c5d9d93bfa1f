/// Each optional part of a configuration that is missing, empty or zero keeps
/// its meaning in every form in which a configuration travels: the operator's
/// document, parts, pages of parts between hosts, patches from any other
/// version, and whole copies for hosts of the build before. A list of
/// organisations that was there and empty was taken for a missing one, so that
/// all requests ran without a key.
#define BOOST_TEST_MODULE configuration_forms
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include "platform/documents.h"
#include "trefoilmill/version/configuration_loader.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/part_codec.h"
#include "trefoilmill_entry/object_parts.h"

namespace trefoilmill::entry {
namespace {

using platform::DecodeConfiguration;
using platform::DecodeConfigurationPart;
using platform::SplitConfiguration;

constexpr char kRefused[] = "refused";

/// What a member of the configuration means where it is `text`, as a member of
/// the place named by `in`; an empty `text` means that it is missing.
struct member_case {
  const char* in;
  const char* text;
  /// What is to be seen of it, or kRefused.
  const char* meaning;
  friend std::ostream& operator<<(std::ostream& out, const member_case& c) {
    return out << c.in << " {" << c.text << "}";
  }
};

/// @name Places of optional members
/// @{
constexpr char kTop[] = "top";
constexpr char kRoute[] = "route";
constexpr char kService[] = "service";
constexpr char kOrganisation[] = "organisation";
constexpr char kLimits[] = "limits";
/// @}

const member_case cases[] = {
    {kTop, "", "no keys"},
    {kTop, R"("tenants":[])", "keys, 0 organisations"},
    {kTop, R"("tenants":[{"name":"mill","api_keys":["k"]}])",
     "keys, 1 organisations, k is mill's"},
    {kTop, R"("tenants":null)", kRefused},
    {kTop, R"("tenants":{})", kRefused},
    {kOrganisation, "", "no key, priority 0, no quota"},
    {kOrganisation, R"("api_keys":[])", "no key, priority 0, no quota"},
    {kOrganisation, R"("api_keys":["k"])", "k, priority 0, no quota"},
    {kOrganisation, R"("api_keys":[""])", kRefused},
    {kOrganisation, R"("priority":0)", "no key, priority 0, no quota"},
    {kOrganisation, R"("priority":3)", "no key, priority 3, no quota"},
    // The platform's pages: zero or omitted means that there is no limit.
    {kOrganisation, R"("rate_per_s":0,"burst":0)",
     "no key, priority 0, no quota"},
    {kOrganisation, R"("rate_per_s":2)", "no key, priority 0, quota 2+0"},
    {kOrganisation, R"("rate_per_s":2,"burst":5)",
     "no key, priority 0, quota 2+5"},
    {kLimits, "", "16384 262144 15000"},
    {kLimits, R"("max_header_bytes":0)", kRefused},
    {kLimits, R"("max_header_bytes":100)", "100 262144 15000"},
    // No body at all is allowed.
    {kLimits, R"("max_body_bytes":0)", "16384 0 15000"},
    {kLimits, R"("max_body_bytes":7)", "16384 7 15000"},
    {kLimits, R"("idle_timeout_ms":700)", "16384 262144 700"},
    {kRoute, "", "to s1, 900 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("slo_ms":0)", "to s1, 0 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("slo_ms":50)", "to s1, 50 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("priority":2)", "to s1, 900 ms, priority 2, 1 endpoints, keys"},
    {kRoute, R"("max_attempts":0)", kRefused},
    {kRoute, R"("max_attempts":3)",
     "to s1, 900 ms, priority 0, 3 endpoints, keys"},
    {kRoute, R"("public":false)",
     "to s1, 900 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("public":true)",
     "to s1, 900 ms, priority 0, 1 endpoints, public"},
    // An empty list does not fall back on the single service.
    {kRoute, R"("traffic_split":[])", kRefused},
    {kRoute, R"("traffic_split":[{"backend":"s2","weight":0}])", kRefused},
    {kRoute, R"("traffic_split":[{"backend":"s2","weight":1}])",
     "to s2, 900 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("fanout":[],"top_k":1)", kRefused},
    {kRoute, R"("fanout":["s2"],"top_k":0)",
     "shards s2 top 0 from 0, 900 ms, priority 0, 1 endpoints, keys"},
    {kRoute, R"("fanout":["s2"],"top_k":4,"min_coverage":0.5)",
     "shards s2 top 4 from 0.5, 900 ms, priority 0, 1 endpoints, keys"},
    {kService, "", "check '', warm-up 0 ms, 0 per s"},
    {kService, R"("health_path":"")", "check '', warm-up 0 ms, 0 per s"},
    {kService, R"("health_path":"/up")", "check '/up', warm-up 0 ms, 0 per s"},
    {kService, R"("warmup_s":0.5)", "check '', warm-up 500 ms, 0 per s"},
    // The sites state zero where no limit holds, as by leaving it out.
    {kService, R"("warmup_per_s":0)", "check '', warm-up 0 ms, 0 per s"},
    {kService, R"("warmup_per_s":1.5)", "check '', warm-up 0 ms, 1.5 per s"},
};

std::string And(const std::string& members) {
  return members.empty() ? "" : "," + members;
}

/// A document of which the member's place has `text` in addition.
std::string Document(const member_case& c, int version) {
  const auto members = [&c](const char* place) {
    return c.in == std::string(place) ? c.text : std::string();
  };
  std::string text = "{\"version\":" + std::to_string(version);
  text += R"(,"routes":[{"name":"r","hostname":"a","path_prefix":"/",)"
          R"("type":"idempotent","timeout_ms":900,"backend":"s1")" +
          And(members(kRoute)) + "}]";
  text += R"(,"backends":[{"name":"s1","max_conns":4)" +
          And(members(kService)) + "}]";
  if (c.in == std::string(kOrganisation)) {
    text +=
        R"(,"tenants":[{"name":"mill")" + And(members(kOrganisation)) + "}]";
  }
  if (c.in == std::string(kLimits)) {
    text += R"(,"limits":{)" + members(kLimits) + "}";
  }
  return text + And(members(kTop)) + "}";
}

std::string MeaningOfTop(const route_table& table) {
  if (!table.requires_keys()) {
    return "no keys";
  }
  std::string text =
      "keys, " + std::to_string(table.organisation_count()) + " organisations";
  const organisation* holder = table.FindByKey("k");
  return holder == nullptr ? text
                           : text + ", k is " + holder->id.value() + "'s";
}

std::string MeaningOfRoute(const route_table& table) {
  const route& r = *table.Match("a", "/");
  std::ostringstream out;
  if (const auto* gather = std::get_if<gather_target>(&r.target)) {
    out << "shards " << gather->shards.front().value() << " top "
        << gather->top_k << " from " << gather->min_coverage;
  } else {
    out << "to " << ServicesOf(r).front().value();
  }
  out << ", " << r.objective.count() / 1000 << " ms, priority " << r.priority
      << ", " << r.max_endpoints << " endpoints, "
      << (r.is_public ? "public" : "keys");
  return out.str();
}

std::string MeaningOfService(const route_table& table) {
  const service_settings& rules = table.SettingsOf(service_id("s1"));
  std::ostringstream out;
  out << "check '" << rules.health_path << "', warm-up "
      << rules.warmup.count() / 1000 << " ms, " << rules.max_cold_requests_per_s
      << " per s";
  return out.str();
}

std::string MeaningOfOrganisation(const route_table& table) {
  const organisation* found = table.Find(organisation_id("mill"));
  if (found == nullptr) {
    return "none";
  }
  std::ostringstream out;
  out << (found->keys.empty() ? "no key" : found->keys.front()) << ", priority "
      << found->priority << ", ";
  if (found->quota.is_limited()) {
    out << "quota " << found->quota.rate_per_s << "+" << found->quota.burst;
  } else {
    out << "no quota";
  }
  return out.str();
}

std::string MeaningOfLimits(const route_table& table) {
  const caller_limits& limits = table.callers();
  return std::to_string(limits.max_header_bytes) + " " +
         std::to_string(limits.max_body_bytes) + " " +
         std::to_string(limits.idle_timeout.count() / 1000);
}

std::string MeaningOf(const member_case& c, const route_table& table) {
  const std::string place = c.in;
  if (place == kTop) {
    return MeaningOfTop(table);
  }
  if (place == kRoute) {
    return MeaningOfRoute(table);
  }
  if (place == kService) {
    return MeaningOfService(table);
  }
  return place == kOrganisation ? MeaningOfOrganisation(table)
                                : MeaningOfLimits(table);
}

/// Loads the versions one after another; returns the meaning of the last one.
std::string Load(const member_case& c, const std::vector<part_set>& versions) {
  configuration_loader loader(DecodeConfigurationPart);
  std::string meaning;
  std::uint64_t at = 0;
  for (const part_set& parts : versions) {
    loader.SetTarget(parts, revision(++at));
    auto step = loader.Step(1);
    while (std::holds_alternative<configuration_loader::in_progress>(step)) {
      step = loader.Step(1);
    }
    const auto* loaded = std::get_if<configuration_loader::loaded>(&step);
    meaning = loaded == nullptr ? kRefused : MeaningOf(c, *loaded->table);
  }
  return meaning;
}

part_set PartsOf(const member_case& c, int version) {
  return SplitConfiguration(Document(c, version)).value();
}

/// The parts as another host gets them that has none.
part_set SentAsPages(const part_set& parts) {
  parts_page page{.size = parts.size(), .digest = parts.digest()};
  for (std::size_t index = 0; index < part_set::kBuckets; ++index) {
    if (!parts.Bucket(index).empty()) {
      page.buckets.push_back({.index = index, .parts = parts.Bucket(index)});
    }
  }
  const auto decoded = DecodePartsPage(EncodePartsPage(page));
  part_set received;
  for (const bucket_content& content : decoded.value().buckets) {
    for (const shared_part& p : content.parts) {
      received.Insert(p);
    }
  }
  BOOST_TEST((received == parts));
  return received;
}

/// The parts as a host gets them that has those of another version.
part_set SentAsPatch(part_set from, const part_set& to) {
  const auto difference = part_set::Difference(from, to);
  for (const part_digest removed : difference.removed) {
    from.Erase(removed);
  }
  const auto added = DecodeParts(EncodeParts(difference.added));
  for (const shared_part& p : added.value()) {
    from.Insert(p);
  }
  BOOST_TEST((from == to));
  return from;
}

/// The text that a host of the build before is given.
std::string SentAsText(const part_set& parts) {
  const object_parts whole{
      .parts = parts,
      .document = document_place{.name = "main", .at = revision(7)}};
  const auto copy =
      DecodeCopy(EncodeCopy(WithTexts(CopyOf(whole, revision(7)))));
  return copy.value().objects.at(0).content;
}

std::string MeaningOfDocument(const member_case& c, const std::string& text) {
  auto decoded = DecodeConfiguration(text);
  if (!decoded.has_value()) {
    return kRefused;
  }
  const auto table = route_table::Create(std::move(decoded.value()));
  return table.has_value() ? MeaningOf(c, *table.value()) : kRefused;
}

}  // namespace

BOOST_DATA_TEST_CASE(a_member_keeps_its_meaning_in_every_form,
                     boost::unit_test::data::make(cases),
                     c) {
  const std::string wanted = c.meaning;
  const part_set parts = PartsOf(c, 2);
  BOOST_TEST(MeaningOfDocument(c, Document(c, 2)) == wanted);
  BOOST_TEST(Load(c, {parts}) == wanted);
  BOOST_TEST(Load(c, {SentAsPages(parts)}) == wanted);
  BOOST_TEST(MeaningOfDocument(c, SentAsText(parts)) == wanted);
  BOOST_TEST(Load(c, {SplitConfiguration(SentAsText(parts)).value()}) ==
             wanted);
}

BOOST_DATA_TEST_CASE(a_member_keeps_its_meaning_after_any_other,
                     boost::unit_test::data::make(cases),
                     c) {
  for (const member_case& before : cases) {
    if (before.in != std::string(c.in)) {
      continue;
    }
    const part_set first = PartsOf(before, 1);
    const part_set second = SentAsPatch(first, PartsOf(c, 2));
    BOOST_TEST(Load(c, {first, second}) == c.meaning,
               before << " then " << c << ": " << Load(c, {first, second}));
  }
}

BOOST_AUTO_TEST_CASE(required_lists_may_be_empty_and_not_missing) {
  const std::string whole = R"({"version":1,"routes":[],"backends":[]})";
  BOOST_TEST(DecodeConfiguration(whole).has_value());
  BOOST_TEST(SplitConfiguration(whole).has_value());
  for (const std::string lacking :
       {R"({"version":1,"routes":[]})", R"({"version":1,"backends":[]})",
        R"({"routes":[],"backends":[]})"}) {
    BOOST_TEST(DecodeConfiguration(lacking).has_error());
    BOOST_TEST(SplitConfiguration(lacking).has_error());
  }
  const auto joined = SentAsText(SplitConfiguration(whole).value());
  BOOST_TEST((SplitConfiguration(joined).value() ==
              SplitConfiguration(whole).value()));
}

}  // namespace trefoilmill::entry
