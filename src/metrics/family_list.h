/// \file Metric families in Prometheus' model, gathered when a page is asked for.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gorsetrail::metrics {

/// Collects families in the order they are added; every name begins with `gorsetrail_`.
class FamilyList {
 public:
  void counter(const std::string& name, const std::string& help, std::uint64_t value) {
    family(name, help, prometheus::MetricType::Counter);
    add(value, {});
  }
  void gauge(const std::string& name, const std::string& help, std::uint64_t value) {
    family(name, help, prometheus::MetricType::Gauge);
    add(value, {});
  }
  /// Starts a family whose values have labels; they follow by `add`.
  void family(const std::string& name, const std::string& help, prometheus::MetricType type);
  void add(std::uint64_t value, std::vector<prometheus::ClientMetric::Label> labels);
  /// Appends families that a registry collected.
  void append(std::vector<prometheus::MetricFamily> families);
  /// \return the page in Prometheus' text format.
  [[nodiscard]] std::string render() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace gorsetrail::metrics
