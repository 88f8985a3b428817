#include "metrics/family_list.h"

#include <prometheus/text_serializer.h>

#include <iterator>
#include <utility>

namespace gorsetrail::metrics {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

void FamilyList::family(const std::string& name, const std::string& help, MetricType type) {
  families_.push_back({"gorsetrail_" + name, help, type, {}});
}

void FamilyList::add(std::uint64_t value, std::vector<ClientMetric::Label> labels) {
  MetricFamily& family = families_.back();
  ClientMetric metric;
  metric.label = std::move(labels);
  if (family.type == MetricType::Counter) {
    metric.counter.value = static_cast<double>(value);
  } else {
    metric.gauge.value = static_cast<double>(value);
  }
  family.metric.push_back(std::move(metric));
}

void FamilyList::append(std::vector<MetricFamily> families) {
  std::move(families.begin(), families.end(), std::back_inserter(families_));
}

std::string FamilyList::render() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace gorsetrail::metrics
