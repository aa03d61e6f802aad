#include "roster/report.h"

#include "core/endpoint.h"

#include <algorithm>

namespace fireflydrift::roster {

// ---- Plausibility ----------------------------------------------------------

static core::Reason invalid(const char *Field, const char *Message) {
  return {core::ReasonCode::InvalidInput, Field, Message};
}

core::Reason checkReport(const Report &Value, const ReportLimits &Limits,
                         core::Time Now) {
  if (!core::isValidId(Value.m_Target.text()))
    return invalid("id", "must be a valid identifier");
  auto Address = core::parseEndpoint(Value.m_Address);
  if (!Address)
    return Address.reason();
  auto Latest = static_cast<std::uint64_t>(
      std::max<std::int64_t>(core::toMs(Now + Limits.m_MaxClockDifference), 0));
  if (Value.m_Incarnation > Latest)
    return invalid("incarnation", "lies too far in the future");
  if (Value.m_Sequence > Limits.m_MaxSequence)
    return invalid("sequence", "is too large");
  if (Value.m_Pool.empty())
    return invalid("pool", "must not be empty");
  return {};
}

bool isFromOwnHost(const Report &Value) {
  return !Value.m_SourceHost.empty() &&
         Value.m_Address.starts_with(Value.m_SourceHost) &&
         Value.m_Address.find(':') == Value.m_SourceHost.size();
}

// ---- Ends ------------------------------------------------------------------

const char *toString(EndCause Value) noexcept {
  switch (Value) {
  case EndCause::Done:
    return "done";
  case EndCause::Failed:
    return "failed";
  case EndCause::Stopped:
    return "stopped";
  case EndCause::LeaseExpired:
    return "lease_expired";
  case EndCause::GangBroken:
    return "gang_broken";
  case EndCause::GangIncomplete:
    return "gang_incomplete";
  case EndCause::Refused:
    return "refused";
  }
  return "refused";
}

workflow::RunOutcome runOutcomeOf(EndCause Value) noexcept {
  if (Value == EndCause::Done)
    return workflow::RunOutcome::Done;
  return Value == EndCause::Failed ? workflow::RunOutcome::Failed
                                   : workflow::RunOutcome::Interrupted;
}

} // namespace fireflydrift::roster
