#include "roster/report.h"

namespace fireflydrift::roster {

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
