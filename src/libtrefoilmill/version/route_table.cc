#include "trefoilmill/version/route_table.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <optional>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace trefoilmill {
namespace {

/// Strips the port from a `Host` value and converts it to lower case.
std::string NormalizeHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

/// Strips the query string and the fragment from a request target.
std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

bool HasTarget(const route& r) {
  return !ServicesOf(r).empty();
}

bool IsValidPrefix(const std::string& text) {
  return text.starts_with('/') && text.ends_with('/');
}

/// Returns why the route is invalid, or nullopt if it is valid.
std::optional<std::string> FindError(const route& r) {
  if (!IsValidPrefix(r.prefix)) {
    return "path prefix must begin and end with a slash";
  }
  if (!HasTarget(r)) {
    return "target names no service";
  }
  return std::nullopt;
}

/// Returns why the keys of an organisation are invalid in themselves, or
/// nullopt. Names no key.
std::optional<std::string> FindKeyError(const organisation& o) {
  for (auto key = o.keys.begin(); key != o.keys.end(); ++key) {
    if (key->empty() || std::find(o.keys.begin(), key, *key) != key) {
      return "a key is empty or occurs twice";
    }
  }
  return std::nullopt;
}

std::uint64_t HashOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t HashOf(std::string_view host, std::string_view prefix) {
  return XXH3_64bits_withSeed(prefix.data(), prefix.size(), HashOf(host));
}

/// The bucket of a name.
template <class element>
std::size_t IndexOf(const shared_buckets<element>& /*table*/,
                    std::string_view name) {
  return shared_buckets<element>::IndexOf(HashOf(name));
}

failure InvalidConfiguration(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

}  // namespace

std::vector<service_id> ServicesOf(const route& r) {
  if (const auto* gather = std::get_if<gather_target>(&r.target)) {
    return gather->shards;
  }
  std::vector<service_id> services;
  std::ranges::transform(std::get<relay_target>(r.target).services,
                         std::back_inserter(services),
                         &weighted_service::service);
  return services;
}

result<std::shared_ptr<const route_table>> route_table::Create(
    routing_config config) {
  auto table = std::make_shared<route_table>();
  table->SetVersion(config.version);
  table->SetCallerLimits(config.callers);
  for (route& r : config.routes) {
    auto added = table->Add(std::make_shared<const route>(std::move(r)));
    if (!added.has_value()) {
      return added.error();
    }
  }
  for (auto& [id, settings] : config.services) {
    table->Add(std::make_shared<const service_entry>(
        service_entry{.id = id, .settings = std::move(settings)}));
  }
  if (!config.organisations.has_value()) {
    return std::shared_ptr<const route_table>(std::move(table));
  }
  table->SetEmptyOrganisationList(config.organisations->empty());
  for (organisation& o : *config.organisations) {
    auto added = table->Add(std::make_shared<const organisation>(std::move(o)));
    if (!added.has_value()) {
      return added.error();
    }
  }
  return std::shared_ptr<const route_table>(std::move(table));
}

result<void> route_table::Add(shared_route added) {
  if (const auto error = FindError(*added)) {
    return InvalidConfiguration("route " + added->id.value() + ": " + *error);
  }
  std::string host = NormalizeHost(added->host);
  const std::size_t index =
      shared_buckets<hosted_route>::IndexOf(HashOf(host, added->prefix));
  ++route_count_;
  routes_.Own(index).push_back(
      {.host = std::move(host), .matched = std::move(added)});
  return outcome::success();
}

void route_table::Remove(const shared_route& removed) {
  const std::size_t index = shared_buckets<hosted_route>::IndexOf(
      HashOf(NormalizeHost(removed->host), removed->prefix));
  route_count_ -= std::erase_if(
      routes_.Own(index),
      [&](const hosted_route& stored) { return stored.matched == removed; });
}

void route_table::Add(shared_service added) {
  const std::size_t index = IndexOf(services_, added->id.value());
  services_.Own(index).push_back(std::move(added));
}

void route_table::Remove(const shared_service& removed) {
  const std::size_t index = IndexOf(services_, removed->id.value());
  std::erase(services_.Own(index), removed);
}

result<void> route_table::Add(shared_organisation added) {
  const std::string prefix = "organisation " + added->id.value() + ": ";
  if (added->id.value().empty() || Find(added->id) != nullptr) {
    return InvalidConfiguration(prefix + "its name is empty or occurs twice");
  }
  if (const auto error = FindKeyError(*added)) {
    return InvalidConfiguration(prefix + *error);
  }
  if (std::ranges::any_of(added->keys, [this](const std::string& key) {
        return FindByKey(key) != nullptr;
      })) {
    return InvalidConfiguration(prefix + "a key is empty or occurs twice");
  }
  for (const std::string& key : added->keys) {
    keys_.Own(IndexOf(keys_, key)).push_back({.key = key, .holder = added});
  }
  ++organisation_count_;
  const std::size_t index = IndexOf(organisations_, added->id.value());
  organisations_.Own(index).push_back(std::move(added));
  return outcome::success();
}

void route_table::Remove(const shared_organisation& removed) {
  for (const std::string& key : removed->keys) {
    std::erase_if(keys_.Own(IndexOf(keys_, key)),
                  [&](const held_key& held) { return held.holder == removed; });
  }
  const std::size_t index = IndexOf(organisations_, removed->id.value());
  organisation_count_ -= std::erase(organisations_.Own(index), removed);
}

const organisation* route_table::FindByKey(std::string_view key) const {
  const auto& bucket = keys_.At(IndexOf(keys_, key));
  const auto found = std::ranges::find(bucket, key, &held_key::key);
  return found == bucket.end() ? nullptr : found->holder.get();
}

const organisation* route_table::Find(const organisation_id& id) const {
  const auto& bucket = organisations_.At(IndexOf(organisations_, id.value()));
  const auto found = std::ranges::find_if(
      bucket, [&](const shared_organisation& o) { return o->id == id; });
  return found == bucket.end() ? nullptr : found->get();
}

std::vector<organisation> route_table::OrganisationsWithoutKeys() const {
  std::vector<organisation> copies;
  copies.reserve(organisation_count_);
  organisations_.ForEach([&](const shared_organisation& o) {
    copies.push_back({.id = o->id, .priority = o->priority, .quota = o->quota});
  });
  return copies;
}

const route* route_table::FindExact(std::string_view host,
                                    std::string_view prefix) const {
  const route* found = nullptr;
  for (const hosted_route& stored : routes_.At(
           shared_buckets<hosted_route>::IndexOf(HashOf(host, prefix)))) {
    const bool matches =
        stored.host == host && stored.matched->prefix == prefix;
    if (matches && (found == nullptr || stored.matched->id < found->id)) {
      found = stored.matched.get();
    }
  }
  return found;
}

const route* route_table::Match(std::string_view host,
                                std::string_view target) const {
  const std::string host_name = NormalizeHost(host);
  // Removes one path segment at a time, so the longest prefix is found first.
  std::string_view path = PathOf(target);
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    if (const route* found = FindExact(host_name, path.substr(0, slash + 1))) {
      return found;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const service_settings& route_table::SettingsOf(
    const service_id& service) const {
  static const service_settings default_rules;
  const auto& bucket = services_.At(IndexOf(services_, service.value()));
  const auto found = std::ranges::find_if(
      bucket, [&](const shared_service& s) { return s->id == service; });
  return found == bucket.end() ? default_rules : (*found)->settings;
}

}  // namespace trefoilmill
