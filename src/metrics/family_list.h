/// \file Builds a Prometheus metrics page for one scrape.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gorsetrail::metrics {

/// Collects metric families in insertion order and prefixes their names with `gorsetrail_`.
class FamilyList {
 public:
  /// Adds a counter family with one value and no labels.
  void counter(const std::string& name, const std::string& help, std::uint64_t value) {
    family(name, help, prometheus::MetricType::Counter);
    add(value, {});
  }
  /// Adds a gauge family with one value and no labels.
  void gauge(const std::string& name, const std::string& help, std::uint64_t value) {
    family(name, help, prometheus::MetricType::Gauge);
    add(value, {});
  }
  /// Starts a family; `add` adds its values.
  void family(const std::string& name, const std::string& help, prometheus::MetricType type);
  /// Adds a value to the last family, which must exist. A type other than counter counts as gauge.
  void add(std::uint64_t value, std::vector<prometheus::ClientMetric::Label> labels);
  /// Appends families of a Prometheus registry, without changing their names.
  void append(std::vector<prometheus::MetricFamily> families);
  /// \return all families in the Prometheus text format.
  [[nodiscard]] std::string render() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace gorsetrail::metrics
