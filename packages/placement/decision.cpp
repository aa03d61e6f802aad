#include "placement/decision.h"

namespace fireflydrift::placement {

const char *toString(Verdict Value) noexcept {
  switch (Value) {
  case Verdict::Placed:
    return "placed";
  case Verdict::Waiting:
    return "waiting";
  case Verdict::Reclaiming:
    return "reclaiming";
  case Verdict::Refused:
    return "refused";
  }
  return "waiting";
}

std::string toString(const Decision &Value) {
  std::string Text = core::toString(Value.m_Job) + " " +
                     toString(Value.m_Verdict) +
                     " considered=" + std::to_string(Value.m_Considered);
  for (const auto &[Rule, Count] : Value.m_RuledOut)
    Text += " ruled_out[" + Rule + "]=" + std::to_string(Count);
  if (!Value.m_Rule.empty())
    Text += " rule=\"" + Value.m_Rule + "\"";
  const char *Separator = " targets=";
  for (const core::TargetId &Id : Value.m_Targets) {
    Text += Separator + Id.text();
    Separator = ",";
  }
  Separator = " victims=";
  for (const core::JobKey &Key : Value.m_Victims) {
    Text += Separator + core::toString(Key);
    Separator = ",";
  }
  return Text;
}

} // namespace fireflydrift::placement
