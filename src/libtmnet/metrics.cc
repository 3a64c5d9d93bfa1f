#include "trefoilmill/net/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>
#include <variant>

namespace trefoilmill {
namespace {

/// A registered metric family and its existing series by label values. The
/// registry owns both.
template <class metric_type>
struct metric_family {
  prometheus::Family<metric_type>* family = nullptr;
  std::map<std::vector<std::string>, metric_type*> series;
};

using any_metric_family = std::variant<metric_family<prometheus::Counter>,
                                       metric_family<prometheus::Gauge>,
                                       metric_family<prometheus::Histogram>>;

prometheus::Labels ToLabels(const metric_info& info,
                            const std::vector<std::string>& values) {
  prometheus::Labels labels;
  for (std::size_t i = 0; i < info.labels.size() && i < values.size(); ++i) {
    labels.emplace(info.labels[i], values[i]);
  }
  return labels;
}

any_metric_family Register(prometheus::Registry& registry,
                           const metric_info& info) {
  switch (info.kind) {
    case metric_kind::kGauge:
      return metric_family<prometheus::Gauge>{
          .family = &prometheus::BuildGauge()
                         .Name(info.name)
                         .Help(info.help)
                         .Register(registry),
          .series = {}};
    case metric_kind::kHistogram:
      return metric_family<prometheus::Histogram>{
          .family = &prometheus::BuildHistogram()
                         .Name(info.name)
                         .Help(info.help)
                         .Register(registry),
          .series = {}};
    case metric_kind::kCounter:
      break;
  }
  return metric_family<prometheus::Counter>{
      .family =
          &prometheus::BuildCounter().Name(info.name).Help(info.help).Register(
              registry),
      .series = {}};
}

}  // namespace

struct metrics::impl {
  prometheus::Registry registry;
  std::map<metric, std::pair<const metric_info*, any_metric_family>> families;

  /// The series with these label values, created on first use with
  /// `constructor_args`; null if the metric is of another kind.
  template <class metric_type, class... arguments>
  metric_type* FindOrAdd(metric id,
                         const label_values& labels,
                         const arguments&... constructor_args) {
    auto& [info, any_family] = families.at(id);
    auto* typed_family = std::get_if<metric_family<metric_type>>(&any_family);
    if (typed_family == nullptr) {
      return nullptr;
    }
    std::vector<std::string> key(labels.begin(), labels.end());
    const auto found = typed_family->series.find(key);
    if (found != typed_family->series.end()) {
      return found->second;
    }
    metric_type& added =
        typed_family->family->Add(ToLabels(*info, key), constructor_args...);
    typed_family->series.emplace(std::move(key), &added);
    return &added;
  }
};

std::unique_ptr<metrics> metrics::Create() {
  auto state = std::make_unique<impl>();
  for (const metric_info& info : MetricsTable()) {
    state->families.emplace(info.id,
                            std::pair(&info, Register(state->registry, info)));
  }
  std::unique_ptr<metrics> values(new metrics(std::move(state)));
  // Counters and gauges without labels are exported as 0 before their first
  // update.
  for (const metric_info& info : MetricsTable()) {
    if (info.labels.empty() && info.kind == metric_kind::kCounter) {
      values->Increment(info.id, {}, 0);
    } else if (info.labels.empty() && info.kind == metric_kind::kGauge) {
      values->Set(info.id, 0);
    }
  }
  return values;
}

metrics::metrics(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

metrics::~metrics() = default;

void metrics::Increment(metric id, const label_values& labels, double by) {
  if (auto* counter = impl_->FindOrAdd<prometheus::Counter>(id, labels)) {
    counter->Increment(by);
  }
}

void metrics::Set(metric id, double value, const label_values& labels) {
  if (auto* gauge = impl_->FindOrAdd<prometheus::Gauge>(id, labels)) {
    gauge->Set(value);
  }
}

void metrics::Observe(metric id, double value, const label_values& labels) {
  const auto& buckets = impl_->families.at(id).first->buckets;
  if (auto* histogram =
          impl_->FindOrAdd<prometheus::Histogram>(id, labels, buckets)) {
    histogram->Observe(value);
  }
}

void metrics::Observe(metric id, duration value, const label_values& labels) {
  Observe(id, std::chrono::duration<double>(value).count(), labels);
}

std::string metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace trefoilmill
