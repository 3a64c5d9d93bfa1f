#include "trefoilmill/endpoint_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoilmill {
namespace {

/// Weight of the newest sample in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;
/// Age beyond which a load report is ignored.
constexpr duration kMaxReportAge = std::chrono::milliseconds(2000);
/// How long a draining endpoint is excluded after the last report of it. The
/// owner refuses requests to it in any case.
constexpr duration kDrainingExclusion = std::chrono::seconds(5);
/// An endpoint is a latency outlier above this multiple of its service's
/// median.
constexpr int kOutlierFactor = 3;
/// Minimum excess over the median for an outlier.
constexpr duration kMinOutlierExcess = std::chrono::milliseconds(2);
/// Samples of this host from which its latency average is used.
constexpr int kMinLatencySamples = 4;
/// Age of the last sample beyond which the latency average is ignored.
constexpr duration kMaxLatencyAge = std::chrono::seconds(10);
/// Samples after an ejection before the probation can end.
constexpr int kProbationSamples = 3;
/// Ejection time: doubles with each consecutive ejection, up to the maximum.
constexpr duration kInitialEjectionTime = std::chrono::seconds(2);
constexpr duration kMaxEjectionTime = std::chrono::seconds(30);
/// Bounds the shift in ExponentialBackoff().
constexpr int kMaxDoublings = 8;
/// Backoff after a failure: doubles with each consecutive one, up to the
/// maximum.
constexpr duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::milliseconds(1000);
/// How long the median latency of a service is cached.
constexpr duration kMedianCacheTime = std::chrono::milliseconds(20);
/// Services with at most this many endpoints recompute the median every time.
constexpr std::size_t kMaxUncachedEndpoints = 8;
/// Assumed latency if neither the endpoint's nor the service's is known.
constexpr duration kDefaultLatency = std::chrono::milliseconds(5);

/// `initial` doubled `doublings` times, at most `maximum`.
duration ExponentialBackoff(duration initial, int doublings, duration maximum) {
  return std::min(maximum, initial * (1 << std::min(doublings, kMaxDoublings)));
}

/// Whether the last load report is recent enough to use.
bool HasFreshReport(time_point now, const endpoint_state& view) {
  return view.load && now - view.load_received_at <= kMaxReportAge;
}

/// Requests at the endpoint or on the way to it, as far as known here.
int KnownRequests(time_point now, const endpoint_state& view) {
  if (!HasFreshReport(now, view))
    return view.outstanding;
  return view.load->in_flight + view.load->queued + view.outstanding;
}

/// This host's latency average or else the reported one; 0 when unknown. On
/// probation the reported one is not used.
duration KnownLatency(time_point now, const endpoint_state& view) {
  const bool recent = now - view.last_sample_at <= kMaxLatencyAge;
  if (view.samples >= kMinLatencySamples && recent)
    return view.latency;
  if (view.on_probation)
    return duration{0};
  return HasFreshReport(now, view) ? view.load->latency : duration{0};
}

/// Whether `latency` is an outlier relative to its service's `median`.
bool IsOutlier(duration latency, duration median) {
  return latency > median * kOutlierFactor &&
         latency > median + kMinOutlierExcess;
}

/// Whether the failure indicates a problem of the endpoint itself.
bool IsEndpointFailure(reason_code why) {
  switch (why) {
    case reason_code::kShed:
    case reason_code::kColdLimit:
    case reason_code::kOverloaded:
    case reason_code::kConnectionRefused:
    case reason_code::kConnectionReset:
    case reason_code::kMalformedReply:
    case reason_code::kEndpointError:
      return true;
    default:
      return false;
  }
}

void ClearLatency(endpoint_state& view) {
  view.latency = duration{0};
  view.samples = 0;
}

}  // namespace

void endpoint_table::Configure(const deployment& config) {
  std::map<endpoint_id, endpoint_state> kept;
  services_.clear();
  max_ejected_share_ = config.scheduling.max_ejected_share;
  for (const auto& [service, settings] : config.services) {
    for (const endpoint_config& endpoint : settings.endpoints) {
      endpoint_state& view = kept[endpoint.id];
      if (const auto found = endpoints_.find(endpoint.id);
          found != endpoints_.end()) {
        view = std::move(found->second);
      }
      view.zone = endpoint.zone;
      view.service = service;
      view.limits = settings.limits;
      services_[service].endpoints.push_back(endpoint.id);
    }
  }
  endpoints_ = std::move(kept);
}

void endpoint_table::SetZoneStates(zone_states zones) {
  zones_out_ = std::move(zones.out);
}

void endpoint_table::OnLoadReport(time_point now, const endpoint_load& load) {
  const auto found = endpoints_.find(load.endpoint);
  if (found == endpoints_.end())
    return;
  endpoint_state& view = found->second;
  const bool new_instance = view.load && !load.instance.value().empty() &&
                            view.load->instance != load.instance;
  if (new_instance) {
    ClearLatency(view);
    view.ejected_until = time_point{};
    view.ejections = 0;
    view.on_probation = false;
  }
  view.load = load;
  view.load_received_at = now;
  view.draining_until = load.draining ? now + kDrainingExclusion : time_point{};
  ConsiderEjection(now, view);
}

void endpoint_table::OnSent(const endpoint_id& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end())
    ++found->second.outstanding;
}

void endpoint_table::OnAnswered(time_point now,
                                const endpoint_id& endpoint,
                                duration service_time) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return;
  endpoint_state& view = found->second;
  view.outstanding = std::max(0, view.outstanding - 1);
  view.consecutive_failures = 0;
  view.backoff_until = time_point{};
  AddLatency(now, view, service_time);
}

void endpoint_table::OnFailed(time_point now,
                              const endpoint_id& endpoint,
                              reason_code why) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return;
  endpoint_state& view = found->second;
  view.outstanding = std::max(0, view.outstanding - 1);
  if (why == reason_code::kDraining) {
    view.draining_until = now + kDrainingExclusion;
  }
  if (!IsEndpointFailure(why))
    return;
  view.backoff_until =
      now + ExponentialBackoff(kInitialBackoff, view.consecutive_failures,
                               kMaxBackoff);
  ++view.consecutive_failures;
}

void endpoint_table::OnAbandoned(time_point now,
                                 const endpoint_id& endpoint,
                                 duration elapsed) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return;
  endpoint_state& view = found->second;
  view.outstanding = std::max(0, view.outstanding - 1);
  // With a queue at the owner, `elapsed` includes waiting time and says nothing
  // about the endpoint.
  if (HasFreshReport(now, view) && view.load->queued > 0)
    return;
  // On probation, an abandoned request confirms the latency that the owner last
  // reported.
  const bool use_reported = view.on_probation && view.load;
  const duration lower_bound =
      use_reported ? std::max(elapsed, view.load->latency) : elapsed;
  if (lower_bound >= view.latency)
    AddLatency(now, view, lower_bound);
}

endpoint_eligibility endpoint_table::EligibilityOf(
    time_point now,
    const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return endpoint_eligibility::kExcluded;
  return EligibilityOf(now, found->second);
}

endpoint_eligibility endpoint_table::EligibilityOf(
    time_point now,
    const endpoint_state& view) const {
  if (zones_out_.contains(view.zone))
    return endpoint_eligibility::kExcluded;
  if (now < view.draining_until)
    return endpoint_eligibility::kExcluded;
  if (now < view.ejected_until)
    return endpoint_eligibility::kLastResort;
  if (now < view.backoff_until)
    return endpoint_eligibility::kLastResort;
  if (view.on_probation && view.outstanding > 0) {
    return endpoint_eligibility::kLastResort;
  }
  if (!HasFreshReport(now, view))
    return endpoint_eligibility::kPreferred;
  const bool no_allowance = view.load->allowance == 0;
  const bool cold_and_full =
      view.load->cold && KnownRequests(now, view) >= view.load->allowance;
  return no_allowance || cold_and_full ? endpoint_eligibility::kLastResort
                                       : endpoint_eligibility::kPreferred;
}

bool endpoint_table::HasFreeSlot(time_point now,
                                 const endpoint_id& endpoint) const {
  const endpoint_state* view = Find(endpoint);
  if (view == nullptr || !view->load || view->load->cold)
    return false;
  if (EligibilityOf(now, *view) != endpoint_eligibility::kPreferred)
    return false;
  return KnownRequests(now, *view) < view->load->allowance;
}

double endpoint_table::Score(time_point now,
                             const endpoint_id& endpoint) const {
  const endpoint_state* view = Find(endpoint);
  if (view == nullptr)
    return 0;
  duration latency = KnownLatency(now, *view);
  if (latency == duration{0})
    latency = services_.at(view->service).median_latency;
  if (latency == duration{0})
    latency = kDefaultLatency;
  // A stale low allowance would keep away the requests whose replies bring a
  // new report. The owner enforces the actual allowance in any case.
  const int allowance = HasFreshReport(now, *view)
                            ? std::max(1, view->load->allowance)
                            : view->limits.slots;
  return (KnownRequests(now, *view) + 1.0) / allowance *
         ToMilliseconds(latency);
}

bool endpoint_table::HasQueuedRequests(time_point now,
                                       const endpoint_id& endpoint) const {
  const endpoint_state* view = Find(endpoint);
  return view != nullptr && HasFreshReport(now, *view) &&
         view->load->queued > 0;
}

bool endpoint_table::IsEjected(time_point now,
                               const endpoint_id& endpoint) const {
  const endpoint_state* view = Find(endpoint);
  return view != nullptr && now < view->ejected_until;
}

std::optional<takeover_hint> endpoint_table::TakeoverHintFor(
    const endpoint_id& endpoint) const {
  const endpoint_state* view = Find(endpoint);
  if (view == nullptr || !view->load)
    return std::nullopt;
  return takeover_hint{.instance = view->load->instance,
                       .allowance = view->load->allowance,
                       .cold = view->load->cold};
}

const endpoint_state* endpoint_table::Find(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void endpoint_table::AddLatency(time_point now,
                                endpoint_state& view,
                                duration sample) {
  if (view.samples == 0) {
    view.latency = sample;
  } else {
    view.latency += duration(static_cast<duration::rep>(
        kLatencyWeight * static_cast<double>((sample - view.latency).count())));
  }
  ++view.samples;
  view.last_sample_at = now;
  if (view.on_probation && view.samples >= kProbationSamples) {
    view.on_probation =
        IsOutlier(view.latency, MedianLatency(now, view.service));
    if (!view.on_probation)
      view.ejections = 0;
  }
  ConsiderEjection(now, view);
}

void endpoint_table::ConsiderEjection(time_point now, endpoint_state& view) {
  if (now < view.ejected_until)
    return;
  const bool probation_sample = view.on_probation && view.samples > 0;
  const duration latency =
      probation_sample ? view.latency : KnownLatency(now, view);
  const duration median = MedianLatency(now, view.service);
  if (median == duration{0} || !IsOutlier(latency, median))
    return;
  if (!EjectionAllowed(now, view.service))
    return;
  view.ejected_until =
      now + ExponentialBackoff(kInitialEjectionTime, view.ejections,
                               kMaxEjectionTime);
  ++view.ejections;
  view.on_probation = true;
  ClearLatency(view);
}

bool endpoint_table::EjectionAllowed(time_point now,
                                     const service_id& service) const {
  const auto& members = services_.at(service).endpoints;
  const auto ejected = std::ranges::count_if(
      members, [&](const endpoint_id& id) { return IsEjected(now, id); });
  const auto share = static_cast<std::ptrdiff_t>(
      max_ejected_share_ * static_cast<double>(members.size()));
  const std::ptrdiff_t max_ejected =
      max_ejected_share_ > 0 ? std::max<std::ptrdiff_t>(1, share) : 0;
  return ejected < max_ejected;
}

duration endpoint_table::MedianLatency(time_point now,
                                       const service_id& service) {
  service_members& members = services_.at(service);
  const bool uncached = members.endpoints.size() <= kMaxUncachedEndpoints;
  const bool recent = members.median_computed_at &&
                      members.median_latency > duration{0} &&
                      now - *members.median_computed_at < kMedianCacheTime;
  if (recent && !uncached)
    return members.median_latency;
  std::vector<duration> known;
  known.reserve(members.endpoints.size());
  for (const endpoint_id& id : members.endpoints) {
    const duration latency = KnownLatency(now, endpoints_.at(id));
    if (latency > duration{0})
      known.push_back(latency);
  }
  members.median_computed_at = now;
  members.median_latency = duration{0};
  if (!known.empty()) {
    const auto middle = known.begin() + (std::ssize(known) - 1) / 2;
    std::ranges::nth_element(known, middle);
    members.median_latency = *middle;
  }
  return members.median_latency;
}

}  // namespace trefoilmill
