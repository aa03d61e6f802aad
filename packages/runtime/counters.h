// Counters and gauges of one process, in the usual text format.
#ifndef FIREFLYDRIFT_RUNTIME_COUNTERS_H
#define FIREFLYDRIFT_RUNTIME_COUNTERS_H

#include <cstdint>
#include <map>
#include <string>

namespace fireflydrift::runtime {

// Names and help texts of all metrics, in the order in which they are printed.
[[nodiscard]] const std::map<std::string, std::string> &allMetrics();

// Values by metric and label text, such as `vm="b"`.
class Counters {
public:
  // The value; zero for one that was never set.
  [[nodiscard]] std::uint64_t value(const std::string &Name,
                                    const std::string &Label = "") const;
  // All values as text. Names ending in _total are counters, others gauges.
  [[nodiscard]] std::string text() const;

  void add(const std::string &Name, std::uint64_t More = 1,
           const std::string &Label = "");
  void set(const std::string &Name, std::uint64_t Value,
           const std::string &Label = "");

  friend bool operator==(const Counters &, const Counters &) = default;

private:
  std::map<std::string, std::map<std::string, std::uint64_t>> m_Values;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_COUNTERS_H
