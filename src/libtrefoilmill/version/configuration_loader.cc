#include "trefoilmill/version/configuration_loader.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {

configuration_loader::configuration_loader(decoder decode)
    : decode_(std::move(decode)) {}

void configuration_loader::SetTarget(part_set parts, revision at) {
  part_set::difference difference = part_set::Difference(working_parts_, parts);
  if (difference.empty() && changed_parts_ == 0) {
    target_.reset();
    return;
  }
  target_ = target{.parts = std::move(parts),
                   .at = at,
                   .missing = std::move(difference.added)};
  RemoveParts(difference.removed);
}

void configuration_loader::RemoveParts(
    const std::vector<part_digest>& removed) {
  struct visitor {
    configuration_loader& self;
    void operator()(const part_without_effect& /*none*/) const {}
    void operator()(const empty_organisation_list& /*list*/) const {
      self.working_table_.SetEmptyOrganisationList(false);
    }
    void operator()(const config_version& /*version*/) const {
      self.working_version_.reset();
    }
    void operator()(const caller_limits& /*limits*/) const {
      self.working_table_.SetCallerLimits({});
    }
    void operator()(const shared_route& route) const {
      self.working_table_.Remove(route);
    }
    void operator()(const shared_service& service) const {
      self.working_table_.Remove(service);
      self.services_changed_ = true;
    }
    void operator()(const shared_organisation& owner) const {
      self.working_table_.Remove(owner);
      self.organisations_changed_ = true;
    }
  };
  for (const part_digest digest : removed) {
    const auto found = decoded_.find(digest);
    std::visit(visitor{*this}, found->second);
    decoded_.erase(found);
    working_parts_.Erase(digest);
    ++changed_parts_;
  }
}

result<void> configuration_loader::AddPart(const shared_part& added) {
  auto decoded = decode_(*added);
  if (!decoded.has_value()) {
    return decoded.error();
  }
  struct visitor {
    configuration_loader& self;
    result<void> operator()(const part_without_effect& /*none*/) const {
      return outcome::success();
    }
    result<void> operator()(const empty_organisation_list& /*list*/) const {
      self.working_table_.SetEmptyOrganisationList(true);
      return outcome::success();
    }
    result<void> operator()(const config_version& version) const {
      self.working_version_ = version;
      return outcome::success();
    }
    result<void> operator()(const caller_limits& limits) const {
      self.working_table_.SetCallerLimits(limits);
      return outcome::success();
    }
    result<void> operator()(const shared_route& route) const {
      return self.working_table_.Add(route);
    }
    result<void> operator()(const shared_service& service) const {
      self.working_table_.Add(service);
      self.services_changed_ = true;
      return outcome::success();
    }
    result<void> operator()(const shared_organisation& owner) const {
      self.organisations_changed_ = true;
      return self.working_table_.Add(owner);
    }
  };
  auto applied = std::visit(visitor{*this}, decoded.value());
  if (applied.has_value()) {
    decoded_.emplace(added->digest(), std::move(decoded.value()));
    working_parts_.Insert(added);
    ++changed_parts_;
  }
  return applied;
}

std::optional<configuration_loader::outcome_of_step>
configuration_loader::CheckVersion() {
  if (std::exchange(target_->version_checked, true)) {
    return std::nullopt;
  }
  for (const shared_part& p : target_->missing) {
    if (p->section().ends_with(kElementSuffix)) {
      continue;
    }
    auto decoded = decode_(*p);
    if (!decoded.has_value()) {
      return Refuse(decoded.error());
    }
    const auto* version = std::get_if<config_version>(&decoded.value());
    if (version != nullptr && in_force_.has_value() && *version <= *in_force_) {
      const revision at = target_->at;
      target_.reset();
      return outdated{.at = at, .version = *version};
    }
  }
  return std::nullopt;
}

configuration_loader::outcome_of_step configuration_loader::Step(
    std::size_t max_parts) {
  if (!target_.has_value()) {
    return in_progress{};
  }
  if (auto ended = CheckVersion()) {
    return *ended;
  }
  const std::size_t end =
      std::min(target_->missing.size(), target_->next + max_parts);
  for (; target_->next < end; ++target_->next) {
    auto added = AddPart(target_->missing[target_->next]);
    if (!added.has_value()) {
      return Refuse(added.error());
    }
  }
  if (target_->next < target_->missing.size()) {
    return in_progress{};
  }
  return Finish();
}

configuration_loader::outcome_of_step configuration_loader::Refuse(
    failure error) {
  const revision at = target_->at;
  target_.reset();
  return refused{.at = at, .error = std::move(error)};
}

configuration_loader::outcome_of_step configuration_loader::Finish() {
  if (!working_version_.has_value()) {
    return Refuse({.reason = reason_code::kBadRequest,
                   .detail = "the configuration states no version"});
  }
  working_table_.SetVersion(*working_version_);
  in_force_ = working_version_;
  loaded done{
      .table = std::make_shared<const route_table>(working_table_),
      .at = target_->at,
      .changed_parts = std::exchange(changed_parts_, 0),
      .services_changed = std::exchange(services_changed_, false),
      .organisations_changed = std::exchange(organisations_changed_, false)};
  target_.reset();
  return done;
}

}  // namespace trefoilmill
