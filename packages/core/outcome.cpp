#include "core/outcome.h"

namespace fireflydrift::core {

const char *toString(ReasonCode Code) noexcept {
  switch (Code) {
  case ReasonCode::None:
    return "none";
  case ReasonCode::InvalidInput:
    return "invalid_input";
  case ReasonCode::NotFound:
    return "not_found";
  case ReasonCode::Conflict:
    return "conflict";
  case ReasonCode::TooLarge:
    return "too_large";
  case ReasonCode::Unplaceable:
    return "unplaceable";
  case ReasonCode::QuotaExceeded:
    return "quota_exceeded";
  case ReasonCode::Overloaded:
    return "overloaded";
  case ReasonCode::NotLeader:
    return "not_leader";
  case ReasonCode::Unavailable:
    return "unavailable";
  case ReasonCode::Corrupt:
    return "corrupt";
  case ReasonCode::Io:
    return "io";
  case ReasonCode::IllegalTransition:
    return "illegal_transition";
  case ReasonCode::TargetLost:
    return "target_lost";
  case ReasonCode::TaskFailed:
    return "task_failed";
  case ReasonCode::Cancelled:
    return "cancelled";
  case ReasonCode::Unauthorized:
    return "unauthorized";
  case ReasonCode::Undecided:
    return "undecided";
  }
  return "none";
}

std::string toString(const Reason &Why) {
  if (Why.m_Code == ReasonCode::None)
    return {};
  std::string Text = toString(Why.m_Code);
  if (!Why.m_Field.empty())
    Text += ": " + Why.m_Field;
  if (!Why.m_Message.empty())
    Text += ": " + Why.m_Message;
  return Text;
}

} // namespace fireflydrift::core
