#include "target/target.h"

#include "core/exponential_delay.h"

namespace fireflydrift::target {

static core::Reason invalid(const char *Field, const char *Rule) {
  return {.m_Code = core::ReasonCode::InvalidInput,
          .m_Field = Field,
          .m_Message = Rule};
}

core::Outcome<Target> Target::create(Announcement Value) {
  if (!core::isValidId(Value.m_Id.text()))
    return invalid("id", "must be a valid identifier");
  if (Value.m_Host.empty() || Value.m_Port == 0)
    return invalid("address", "must be a numeric host and a port");
  if (!core::isValidId(Value.m_Rack))
    return invalid("rack", "must be a valid identifier");
  if (!core::isValidId(Value.m_FailureDomain))
    return invalid("failure_domain", "must be a valid identifier");
  if (!core::isValidId(Value.m_Region))
    return invalid("region", "must be a valid identifier");
  if (!Value.m_Capacity.covers({}))
    return invalid("capacity", "must not be negative");
  if (Value.m_Labels.entries().size() > core::MaxLabels)
    return invalid("labels", "at most 32");
  return Target(TargetFields{.m_Announcement = std::move(Value)});
}

Target Target::restore(TargetFields Fields) noexcept {
  return Target(std::move(Fields));
}

bool Target::isQuarantined(core::Time Now) const noexcept {
  return Now < m_Fields.m_QuarantinedUntil;
}

bool Target::isSchedulable(core::Time Now) const noexcept {
  return m_Fields.m_Presence == Presence::Active && !isQuarantined(Now);
}

bool Target::isLostIncarnation(const Announcement &Value) const noexcept {
  return m_Fields.m_Presence == Presence::Lost &&
         announcement().m_Incarnation == Value.m_Incarnation;
}

Target Target::withAnnouncement(Announcement Value) const {
  TargetFields Next = m_Fields;
  if (Value.m_Incarnation != announcement().m_Incarnation)
    Next.m_ConsecutiveFailures = 0;
  Next.m_Announcement = std::move(Value);
  Next.m_Presence = Presence::Active;
  return Target(std::move(Next));
}

Target Target::withPresence(Presence Value) const {
  TargetFields Next = m_Fields;
  Next.m_Presence = Value;
  return Target(std::move(Next));
}

Target Target::afterSuccess() const {
  TargetFields Next = m_Fields;
  Next.m_ConsecutiveFailures = 0;
  Next.m_Quarantines = 0;
  return Target(std::move(Next));
}

Target Target::afterFailure(core::Time Now) const {
  TargetFields Next = m_Fields;
  ++Next.m_ConsecutiveFailures;
  // A target on probation after a quarantine is quarantined again by its first
  // failure.
  bool OnProbation = Next.m_Quarantines > 0;
  if (OnProbation || Next.m_ConsecutiveFailures >= QuarantineAfterFailures) {
    Next.m_QuarantinedUntil =
        Now + core::exponentialDelay(FirstQuarantine, LongestQuarantine,
                                     Next.m_Quarantines);
    ++Next.m_Quarantines;
    Next.m_ConsecutiveFailures = 0;
  }
  return Target(std::move(Next));
}

} // namespace fireflydrift::target
