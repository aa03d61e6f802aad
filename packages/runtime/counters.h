// Counters, gauges and histograms of one process, rendered in the Prometheus
// text format.
#ifndef FIREFLYDRIFT_RUNTIME_COUNTERS_H
#define FIREFLYDRIFT_RUNTIME_COUNTERS_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace fireflydrift::runtime {

// Names and help texts of all counters and gauges, in output order.
[[nodiscard]] const std::map<std::string, std::string> &allMetrics();

// Names and help texts of all latency histograms. The unit is milliseconds.
[[nodiscard]] const std::map<std::string, std::string> &allHistograms();

// Metric values by name and label set, where a label set is written as in the
// text format, such as `vm="b"`.
class Counters {
public:
  Counters();
  ~Counters();
  Counters(const Counters &) = delete;
  Counters &operator=(const Counters &) = delete;

  // Returns zero for a metric that was never set.
  [[nodiscard]] std::uint64_t value(const std::string &Name,
                                    const std::string &Label = "") const;
  // Renders the metrics of allMetrics() and the histograms of allHistograms(),
  // others are left out. Metrics whose names end in _total are counters, the
  // rest are gauges.
  [[nodiscard]] std::string text() const;

  void add(const std::string &Name, std::uint64_t Increment = 1,
           const std::string &Label = "");
  void set(const std::string &Name, std::uint64_t Value,
           const std::string &Label = "");
  // Adds one observation to a latency histogram. A negative latency counts as
  // zero.
  void observe(const std::string &Name, core::Duration Latency);

private:
  struct Histograms;

  std::map<std::string, std::map<std::string, std::uint64_t>> m_Values;
  std::unique_ptr<Histograms> m_Histograms;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_COUNTERS_H
