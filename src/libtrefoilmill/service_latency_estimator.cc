#include "trefoilmill/service_latency_estimator.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <vector>

namespace trefoilmill {
namespace {

namespace histogram = boost::histogram;

/// Range of the histogram, in microseconds.
constexpr double kMinLatencyUs = 50;
constexpr double kMaxLatencyUs = 60e6;
/// Number of logarithmic bins; adjacent bin edges differ by about 5%.
constexpr unsigned kBins = 288;
/// Half-life of a sample's weight.
constexpr duration kHalfLife = std::chrono::seconds(5);
/// Minimum interval between two decays; each one scales every bin.
constexpr duration kMinDecayInterval = std::chrono::milliseconds(250);
/// Minimum total sample weight for a quantile estimate.
constexpr double kMinSampleWeight = 10;
/// Age of the last sample beyond which a service counts as unknown.
constexpr duration kStaleAfter = std::chrono::seconds(15);

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeHistogram() {
  return histogram::make_histogram_with(
      std::vector<double>(), log_axis(kBins, kMinLatencyUs, kMaxLatencyUs));
}

/// Factor by which a weight shrinks over `elapsed`.
double DecayFactor(duration elapsed) {
  return std::exp2(-std::chrono::duration<double>(elapsed) /
                   std::chrono::duration<double>(kHalfLife));
}

}  // namespace

struct service_latency_estimator::decaying_histogram {
  decltype(MakeHistogram()) counts = MakeHistogram();
  double weight = 0;
  time_point decayed_at;
  time_point last_sample;

  void Decay(time_point now) {
    const duration elapsed = now - decayed_at;
    if (elapsed < kMinDecayInterval)
      return;
    const double factor = DecayFactor(elapsed);
    counts *= factor;
    weight *= factor;
    decayed_at = now;
  }
};

service_latency_estimator::service_latency_estimator() = default;
service_latency_estimator::~service_latency_estimator() = default;
service_latency_estimator::service_latency_estimator(
    service_latency_estimator&&) noexcept = default;
service_latency_estimator& service_latency_estimator::operator=(
    service_latency_estimator&&) noexcept = default;

void service_latency_estimator::Record(time_point now,
                                       const service_id& service,
                                       duration latency) {
  Add(now, services_[service], latency);
  Add(now, all_services_, latency);
}

void service_latency_estimator::Add(
    time_point now,
    std::unique_ptr<decaying_histogram>& samples,
    duration latency) {
  if (!samples) {
    samples = std::make_unique<decaying_histogram>();
    samples->decayed_at = now;
  }
  samples->Decay(now);
  samples->counts(static_cast<double>(latency.count()));
  samples->weight += 1;
  samples->last_sample = now;
}

std::optional<duration> service_latency_estimator::Quantile(
    time_point now,
    const service_id& service,
    double q) const {
  const auto found = services_.find(service);
  return found == services_.end() ? std::nullopt
                                  : Quantile(now, found->second.get(), q);
}

std::optional<duration> service_latency_estimator::QuantileOverAll(
    time_point now,
    double q) const {
  return Quantile(now, all_services_.get(), q);
}

std::optional<duration> service_latency_estimator::Quantile(
    time_point now,
    const decaying_histogram* samples,
    double q) {
  const bool has_estimate = samples != nullptr &&
                            now - samples->last_sample <= kStaleAfter &&
                            samples->weight >= kMinSampleWeight;
  if (!has_estimate)
    return std::nullopt;
  const log_axis& axis = samples->counts.axis();
  const double target_weight = q * samples->weight;
  // Bin -1 is the underflow bin.
  double cumulative_weight = samples->counts.at(-1);
  int bin = 0;
  while (cumulative_weight < target_weight && bin < axis.size()) {
    cumulative_weight += samples->counts.at(bin);
    ++bin;
  }
  return duration(static_cast<duration::rep>(axis.value(bin)));
}

}  // namespace trefoilmill
