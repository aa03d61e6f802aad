// A placement decision for a job and the reason for it. The log, the HTTP
// interface and the command line all print this value.
#ifndef FIREFLYDRIFT_PLACEMENT_DECISION_H
#define FIREFLYDRIFT_PLACEMENT_DECISION_H

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace fireflydrift::placement {

enum class Verdict : std::uint8_t { Placed, Waiting, Reclaiming, Refused };

struct Decision {
  core::JobKey m_Job;
  core::Time m_At;
  Verdict m_Verdict = Verdict::Waiting;
  // The chosen target of each task.
  std::vector<core::TargetId> m_Targets;
  // Jobs that are stopped so that this one can be placed.
  std::vector<core::JobKey> m_Victims;
  // Number of targets considered; zero when a rule such as the quota decided
  // before any target was looked at.
  std::uint32_t m_Considered = 0;
  // Targets ruled out, counted by the rule that excluded them.
  std::map<std::string, std::uint32_t> m_RuledOut;
  // The rule that led to the verdict.
  std::string m_Rule;

  friend bool operator==(const Decision &, const Decision &) = default;
  friend auto operator<=>(const Decision &, const Decision &) = default;
};

[[nodiscard]] const char *toString(Verdict Value) noexcept;

// One line with the verdict, the rule, the victims, and the targets considered,
// ruled out and chosen.
[[nodiscard]] std::string toString(const Decision &Value);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_DECISION_H
